#pragma once

#include "core/base/clock.h"
#include "core/membership/failure_detector.h"
#include "core/messages/peer_messages.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace radishvane
{

// Events.

/// A heartbeat came from another entry host.
struct HeartbeatReceived
{
    Heartbeat heartbeat;
};

/// An address at which an entry host may be found.
struct PeerSeed
{
    Endpoint endpoint;
};

/// What this entry host says of itself from now on.
struct OwnConfig
{
    ConfigVersion version;
};

/// The configuration told by OwnConfig was the newest at this time.
struct OwnConfigConfirmed
{
    TimePoint at;
};

struct OwnUsage
{
    std::vector<PeerSpent> spent;
    std::vector<PeerSpare> spare;
};

struct OwnDemand
{
    PeerDemand demand;
};

/// Time that another holder's session was seen without renewal; told in echoes.
struct SessionIdleObserved
{
    HolderId holder;
    Duration idle{};
};

/// The holder id of this process, once the table has given it.
struct OwnHolderAssigned
{
    HolderId holder;
};

struct PeerTick
{
};

struct PeerStop
{
};

using PeerEvent = std::variant<HeartbeatReceived, PeerSeed, OwnConfig, OwnConfigConfirmed, OwnUsage, OwnDemand,
                               SessionIdleObserved, OwnHolderAssigned, PeerTick, PeerStop>;

// Effects.

struct SendHeartbeat
{
    Endpoint to;
    Heartbeat heartbeat;
};

/// The set of live entry hosts has changed.
struct PeersChanged
{
    /// Live entry hosts, this one included, by name.
    std::vector<PeerAddress> live;
};

/// Another entry host has this configuration.
struct PeerConfigObserved
{
    HostId peer;
    ConfigVersion version;
    TimePoint confirmedAt;
};

struct PeerUsageObserved
{
    HostId peer;
    std::vector<PeerSpent> spent;
    std::vector<PeerSpare> spare;
    std::vector<PeerDemand> demand;
};

/// Another entry host said that it had not seen this host's session idle for longer than @p idle at @p at or later.
struct SessionVouched
{
    HolderId voucher;
    TimePoint at;
    Duration idle{};
};

enum class PeerChange {
    Joined,
    Suspected,
    Returned,
    Restarted,
    Left,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 5> peerChangeNames{"joined", "suspected", "returned", "restarted",
                                                                 "left"};

/// For the log.
struct PeerLogEntry
{
    PeerAddress peer;
    PeerChange change{};
};

using PeerEffect
    = std::variant<SendHeartbeat, PeersChanged, PeerConfigObserved, PeerUsageObserved, SessionVouched, PeerLogEntry>;
using PeerEffects = std::vector<PeerEffect>;

/// What one entry host knows about the others. Its knowledge may be wrong and only ever saves work or time: each
/// promise rests on the table, on an expiry or on an echo.
class PeerTable
{
public:
    static constexpr Duration heartbeatInterval{1'000};
    /// Peers not heard of for this long are forgotten.
    static constexpr Duration forgetAfter{600'000};
    /// Bytes of heartbeats that this host sends in a second to all others together. Usage that does not fit waits for
    /// the next heartbeat.
    static constexpr std::size_t bytesPerSecond = 5'000;

    /// @param self of this process; OwnHolderAssigned may raise its incarnation later.
    PeerTable(PeerAddress self, DetectorKind detector);

    PeerEffects handle(const PeerEvent &event, TimePoint now);

    struct PeerView
    {
        PeerAddress address;
        bool live = false;
        ConfigVersion config;
    };

    /// Every other entry host known, by name.
    std::vector<PeerView> peers() const;

private:
    struct Peer
    {
        PeerAddress address;
        FailureDetector detector;
        std::uint64_t sequence = 0;
        ConfigVersion config;
        bool live = false;
        bool leaving = false;
        TimePoint lastHeard;
        Duration sessionIdle = notVouched;
    };

    void on(const HeartbeatReceived &event);
    void on(const PeerSeed &event);
    void on(const OwnConfig &event);
    void on(const OwnConfigConfirmed &event);
    void on(const OwnUsage &event);
    void on(const OwnDemand &event);
    void on(const SessionIdleObserved &event);
    void on(const OwnHolderAssigned &event);
    void on(const PeerTick &event);
    void on(const PeerStop &event);

    Peer *admitSender(const PeerAddress &sender);
    void learn(const PeerAddress &address);
    void readEchoes(const Heartbeat &heartbeat);
    void suspectSilent();
    void sendHeartbeats();
    Heartbeat ownHeartbeat();
    void nameOnePeer(Heartbeat &heartbeat);
    void tellUsage(Heartbeat &heartbeat);
    void reportLive();
    void note(const Peer &peer, PeerChange change);

    PeerAddress m_self;
    DetectorKind m_detectorKind;
    TimePoint m_now;
    PeerEffects m_effects;
    std::map<HostId, Peer> m_peers;
    /// Addresses at which an entry host may be found, with the time until which they are tried.
    std::map<Endpoint, TimePoint> m_seeds;
    std::uint64_t m_sequence = 0;
    /// When recent heartbeats were sent, by sequence; bounds how old an echoed statement can be.
    std::map<std::uint64_t, TimePoint> m_sentAt;
    ConfigVersion m_config;
    TimePoint m_configConfirmed;
    /// Slot time that was not told yet.
    std::map<std::pair<ServiceId, TeamId>, std::uint32_t> m_spent;
    std::vector<PeerSpare> m_spare;
    std::map<std::pair<TeamId, RightsUse>, PeerDemand> m_demand;
    /// Where the next heartbeat goes on telling demand, and which live peer it names.
    std::pair<TeamId, RightsUse> m_nextDemand;
    std::size_t m_nextKnown = 0;
    bool m_leaving = false;
};

} // namespace radishvane
