#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/messages/platform_messages.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace radishvane
{

// Events.

/// Another entry host announced that it has this version in force.
struct PeerConfigAnnounced
{
    ConfigVersion version;
    HostId peer;
    /// Earliest time at which the peer may have confirmed it to be the newest; the clock's origin if unknown.
    TimePoint confirmedAt;
};

/// Another entry host sent the files of a version.
struct PeerConfigReceived
{
    ConfigVersion version;
    std::string files;
};

/// The files of a version were parsed and are valid.
struct ConfigParsed
{
    ConfigVersion version;
    std::shared_ptr<const Config> config;
    std::string files;
};

/// The files of a version are not valid for this program.
struct ConfigUnreadable
{
    ConfigVersion version;
    std::string detail;
};

struct ConfigTick
{
};

using ConfigEvent = std::variant<PlatformAnswered, PeerConfigAnnounced, PeerConfigReceived, ConfigParsed,
                                 ConfigUnreadable, ConfigTick>;

// Effects.

/// Parse the files of a version; the result arrives as ConfigParsed or ConfigUnreadable.
struct ParseFiles
{
    ConfigVersion version;
    std::string files;
};

/// Request the files of a version from another entry host.
struct QueryPeerConfig
{
    HostId peer;
    ConfigVersion version;
};

/// A newer configuration is now in force.
struct ConfigAdopted
{
    std::shared_ptr<const Config> config;
    std::string files;
};

/// The configuration in force was the newest at this time.
struct ConfigConfirmedAt
{
    TimePoint at;
};

/// A newer version is known but was not obtained within maxAdoptionDelay, so the old one must not be served any more.
struct ConfigOutdated
{
    ConfigVersion newest;
};

using ConfigEffect
    = std::variant<PlatformCall, ParseFiles, QueryPeerConfig, ConfigAdopted, ConfigConfirmedAt, ConfigOutdated>;
using ConfigEffects = std::vector<ConfigEffect>;

/// Polls for the newest configuration, fetches it and puts it in force on one entry host. The version in force never
/// decreases.
class ConfigController
{
public:
    /// Interval between polls of the current version.
    static constexpr Duration pollInterval{1'000};
    /// Maximum time from observing a newer version until the old one is no longer served.
    static constexpr Duration maxAdoptionDelay{3'000};
    /// Interval between attempts to fetch the files of a newer version.
    static constexpr Duration fetchRetryInterval{500};

    ConfigEffects handle(const ConfigEvent &event, TimePoint now);

    ConfigVersion inForce() const;
    ConfigVersion newestObserved() const;

private:
    void on(const PlatformAnswered &event);
    void on(const PeerConfigAnnounced &event);
    void on(const PeerConfigReceived &event);
    void on(const ConfigParsed &event);
    void on(const ConfigUnreadable &event);
    void on(const ConfigTick &event);

    void onCurrentRow(const ConfigRow &row);
    void observe(ConfigVersion version);
    void confirm(ConfigVersion version, TimePoint at);
    void fetch();
    OperationId call(PlatformRequest request);

    TimePoint m_now;
    ConfigEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    ConfigVersion m_inForce;
    ConfigVersion m_newestVersion;
    TimePoint m_newestObservedAt;
    bool m_outdatedReported = false;
    TimePoint m_nextPoll;
    TimePoint m_nextFetch;
    OperationId m_pollOperation;
    TimePoint m_pollSentAt;
    OperationId m_fetchOperation;
    ConfigVersion m_fetchVersion;
    /// Object with the files of m_newestObjectVersion, once read from the table.
    std::optional<std::string> m_newestObject;
    ConfigVersion m_newestObjectVersion;
    /// Entry host that most recently announced m_newestVersion or a newer version.
    HostId m_newestSource;
    ConfigVersion m_unreadableVersion;
    /// Latest confirmation of a newer version that is not yet in force.
    ConfigVersion m_pendingVersion;
    TimePoint m_pendingConfirmation;
};

} // namespace radishvane
