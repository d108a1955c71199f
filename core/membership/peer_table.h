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

/// Address of a possible entry host.
struct PeerSeed
{
    Endpoint endpoint;
};

/// Configuration version that this entry host announces from now on.
struct OwnConfig
{
    ConfigVersion version;
};

/// The version set by OwnConfig was confirmed to be the newest at this time.
struct OwnConfigConfirmed
{
    TimePoint at;
};

/// Slot time and free slots of this entry host, for the next heartbeats.
struct OwnUsage
{
    std::vector<HeartbeatUsage> spent;
    std::vector<HeartbeatSpareSlots> spare;
};

/// Current demand of one team at this entry host, for the next heartbeats.
struct OwnDemand
{
    HeartbeatDemand demand;
};

/// Time for which another holder's session was observed without renewal; sent in echoes.
struct SessionIdleObserved
{
    HolderId holder;
    Duration idle{};
};

/// Holder id that the table has assigned to this process.
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

/// Another entry host announced this configuration version.
struct PeerConfigObserved
{
    HostId peer;
    ConfigVersion version;
    TimePoint confirmedAt;
};

/// Usage and demand that another entry host reported.
struct PeerUsageObserved
{
    HostId peer;
    std::vector<HeartbeatUsage> spent;
    std::vector<HeartbeatSpareSlots> spare;
    std::vector<HeartbeatDemand> demand;
};

/// Another entry host stated, at @p at or later, that it had observed this host's session idle for at most @p idle.
struct SessionLivenessConfirmed
{
    HolderId confirmedBy;
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

/// Log line about a change of one peer.
struct PeerLogEntry
{
    PeerAddress peer;
    PeerChange change{};
};

using PeerEffect = std::variant<SendHeartbeat, PeersChanged, PeerConfigObserved, PeerUsageObserved,
                                SessionLivenessConfirmed, PeerLogEntry>;
using PeerEffects = std::vector<PeerEffect>;

/// Membership view of one entry host, maintained by heartbeats. The view may be wrong and only serves to save work or
/// time: every guarantee is based on the table, on an expiry or on an echo.
class PeerTable
{
public:
    static constexpr Duration heartbeatInterval{1'000};
    /// Peers without a heartbeat for this long are removed.
    static constexpr Duration forgetTimeout{600'000};
    /// Limit for heartbeat bytes per second from this host to all others together. Usage that does not fit waits for
    /// the next heartbeat.
    static constexpr std::size_t maxBytesPerSecond = 5'000;

    /// @param self address of this process; OwnHolderAssigned may raise its incarnation later.
    PeerTable(PeerAddress self, DetectorKind detector);

    PeerEffects handle(const PeerEvent &event, TimePoint now);

    struct PeerView
    {
        PeerAddress address;
        bool live = false;
        ConfigVersion config;
    };

    /// All other known entry hosts, by name.
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
        TimePoint lastHeartbeat;
        Duration sessionIdle = sessionIdleUnknown;
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

    Peer *acceptSender(const PeerAddress &sender);
    void addSeed(const PeerAddress &address);
    void processEchoes(const Heartbeat &heartbeat);
    void suspectUnreachable();
    void sendHeartbeats();
    Heartbeat ownHeartbeat();
    void addKnownPeer(Heartbeat &heartbeat);
    void addUsage(Heartbeat &heartbeat);
    void reportLive();
    void log(const Peer &peer, PeerChange change);

    PeerAddress m_self;
    DetectorKind m_detectorKind;
    TimePoint m_now;
    PeerEffects m_effects;
    std::map<HostId, Peer> m_peers;
    /// Addresses of possible entry hosts, with the time until which heartbeats are sent to them.
    std::map<Endpoint, TimePoint> m_seeds;
    std::uint64_t m_sequence = 0;
    /// Send times of recent heartbeats by sequence number; they bound the age of an echoed statement.
    std::map<std::uint64_t, TimePoint> m_sentAt;
    ConfigVersion m_config;
    TimePoint m_configConfirmedAt;
    /// Slot time that no heartbeat has carried yet.
    std::map<std::pair<ServiceId, TeamId>, std::uint32_t> m_spent;
    std::vector<HeartbeatSpareSlots> m_spare;
    std::map<std::pair<TeamId, RightsUse>, HeartbeatDemand> m_demand;
    /// Round-robin positions of the next heartbeat: the first demand that it sends and the live peer that it names.
    std::pair<TeamId, RightsUse> m_nextDemand;
    std::size_t m_nextKnownPeer = 0;
    bool m_leaving = false;
};

} // namespace radishvane
