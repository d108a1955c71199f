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

/// Another entry host has this version in force.
struct PeerConfigAnnounced
{
    ConfigVersion version;
    HostId peer;
    /// When the peer confirmed it to be the newest, at the earliest; the clock's origin when that is not known.
    TimePoint confirmedAt;
};

/// Files of a version, as another entry host sent them.
struct PeerConfigReceived
{
    ConfigVersion version;
    std::string files;
};

/// The files of a version were read and hold a configuration.
struct ConfigParsed
{
    ConfigVersion version;
    std::shared_ptr<const Config> config;
    std::string files;
};

/// The files of a version cannot be read by this program.
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

/// Read the files into a configuration; ConfigParsed or ConfigUnreadable follows.
struct ParseFiles
{
    ConfigVersion version;
    std::string files;
};

/// Ask another entry host for the files of its version.
struct QueryPeerConfig
{
    HostId peer;
    ConfigVersion version;
};

/// A newer configuration is in force from now on.
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

/// A newer version is known and could not be had in time, so nothing may be served under the old one.
struct ConfigOutdated
{
    ConfigVersion newest;
};

using ConfigEffect
    = std::variant<PlatformCall, ParseFiles, QueryPeerConfig, ConfigAdopted, ConfigConfirmedAt, ConfigOutdated>;
using ConfigEffects = std::vector<ConfigEffect>;

/// Keeps the newest configuration in force on one entry host. The version in force never decreases.
class ConfigController
{
public:
    /// Interval between looks at the current version.
    static constexpr Duration pollInterval{1'000};
    /// Time from hearing of a newer version until the old one is no longer served.
    static constexpr Duration adoptWithin{3'000};
    /// Interval between attempts to get the files of a newer version.
    static constexpr Duration fetchInterval{500};

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
    void hear(ConfigVersion version);
    void confirm(ConfigVersion version, TimePoint at);
    void fetch();
    OperationId call(PlatformRequest request);

    TimePoint m_now;
    ConfigEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    ConfigVersion m_inForce;
    ConfigVersion m_newest;
    TimePoint m_heardAt;
    bool m_outdatedReported = false;
    TimePoint m_nextPoll;
    TimePoint m_nextFetch;
    OperationId m_pollOperation;
    TimePoint m_pollSentAt;
    OperationId m_fetchOperation;
    ConfigVersion m_fetchVersion;
    /// Object of m_newest, when the table told it.
    std::optional<std::string> m_object;
    ConfigVersion m_objectVersion;
    /// Latest entry host that said it has m_newest.
    HostId m_source;
    ConfigVersion m_unreadable;
    /// Latest confirmation of a version that is not in force yet.
    ConfigVersion m_pendingVersion;
    TimePoint m_pendingConfirmation;
};

} // namespace radishvane
