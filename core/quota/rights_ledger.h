#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/messages/platform_messages.h"
#include "core/messages/rows.h"
#include "core/quota/holder_tracker.h"
#include "core/quota/session_controller.h"

#include <array>
#include <map>
#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

// Events: the inputs of RightsLedger.

/// Configuration in force, with the ceilings of the teams and the longest run times of the services.
struct LedgerConfig
{
    std::shared_ptr<const Config> config;
};

/// Rights of one team that this entry host uses and needs.
struct LedgerDemand
{
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Generation of the allowance that was applied when @p running was counted.
    std::uint64_t generation = 0;
};

/// Rights of one team that another entry host uses and needs.
struct LedgerPeerDemand
{
    HostId peer;
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Live entry hosts, this one included, in the same order on every host.
struct LedgerPeers
{
    std::vector<std::pair<HostId, ZoneId>> live;
};

/// Hosts that the platform lists.
struct LedgerHostList
{
    std::set<HostId> hosts;
};

struct LedgerTick
{
};

/// Requests the release of all rights; LedgerReleased follows when no work runs any more.
struct LedgerStop
{
};

using LedgerEvent = std::variant<PlatformAnswered, LedgerConfig, LedgerDemand, LedgerPeerDemand, LedgerPeers,
                                 LedgerHostList, SessionHeld, SessionLost, SessionsObserved, LedgerTick, LedgerStop>;

// Effects: the outputs of RightsLedger.

/// The rights of one team that this entry host may use from now on.
struct AllowanceSet
{
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;
    std::uint64_t generation = 0;
};

enum class LedgerChange {
    Grown,
    Shrunk,
    Reclaimed,
    Refused,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> ledgerChangeNames{"grown", "shrunk", "reclaimed", "refused"};

/// Log entry of a change of the rights of one team, or of a refused increase.
struct LedgerLogEntry
{
    TeamId team;
    LedgerChange change{};
    /// Rights of this host after the change.
    std::uint32_t own = 0;
    std::uint32_t granted = 0;
    std::uint32_t ceiling = 0;
};

/// All rights of this host are released.
struct LedgerReleased
{
};

using LedgerEffect = std::variant<PlatformCall, AllowanceSet, LedgerLogEntry, LedgerReleased>;
using LedgerEffects = std::vector<LedgerEffect>;

/// Distributed quota ledger: reconciles the rights that this entry host holds in the table with its demand.
///
/// Rights increase only by a conditional write of the team's row. They decrease in three steps: the allowance is
/// lowered, the user of the rights confirms that it applies the lower allowance, and only then the row is written
/// without the released rights.
class RightsLedger
{
public:
    /// Minimum time between two writes of one team's row by this host.
    static constexpr Duration writeInterval{250};
    /// Rights held beyond the demand are released after this time.
    static constexpr Duration surplusGracePeriod{3'000};
    /// Interval between reads of a row in which no right was free.
    static constexpr Duration starvedRetryInterval{500};
    /// Time for which the reported demand of another entry host is taken into account.
    static constexpr Duration peerDemandLifetime{10'000};
    /// Maximum row writes of this host per second, over all teams.
    static constexpr double writesPerSecond = 20;
    /// Time for which a host keeps its last right while other hosts have none, and then requests no leased rights.
    static constexpr Duration turnLength{1'000};

    explicit RightsLedger(HostId host);

    LedgerEffects handle(const LedgerEvent &event, TimePoint now);

private:
    static constexpr std::size_t useCount = rightsUseNames.size();

    struct Rights
    {
        std::uint32_t standing = 0;
        std::uint32_t leased = 0;

        std::uint32_t total() const
        {
            return standing + leased;
        }

        auto operator<=>(const Rights &) const = default;
    };

    struct UseState
    {
        /// Rights that the row grants to this host in the current session, as last read or written.
        Rights held;
        /// Standing and leased rights that the row grants to this host in any session. Rights of an earlier session may
        /// cover work that still runs, until another host reclaims them.
        std::uint32_t rowTotal = 0;
        /// Rights that the user of the ledger may take; never more than held.
        Rights allowed;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        /// Generation of the latest allowance.
        std::uint64_t generation = 0;
        /// Latest generation that the user of the rights has confirmed.
        std::uint64_t confirmed = 0;

        std::uint32_t demand() const
        {
            return running + waiting;
        }
    };

    using RightsPerUse = std::array<Rights, useCount>;

    struct PeerDemand
    {
        std::uint32_t demand = 0;
        TimePoint reportedAt;
    };

    struct TeamState
    {
        std::array<UseState, useCount> use;
        bool rowKnown = false;
        std::uint64_t rowVersion = 0;
        RightsRow row;
        OperationId operation;
        /// Contents of the row in the latest write.
        RightsRow pendingRow;
        /// Rights of this host in the latest write.
        RightsPerUse pendingRights;
        bool writePending = false;
        /// The outcome of a write is unknown and it may still take effect; the next write of the row resolves this.
        bool inDoubt = false;
        TimePoint nextCheck;
        TimePoint surplusSince = TimePoint::max();
        /// When fewer rights exist than hosts that need one, a host releases its last right at the end of its turn.
        TimePoint turnEndsAt = TimePoint::max();
        /// After a turn, the host requests no leased rights until this time.
        TimePoint backoffUntil;
        std::map<std::pair<HostId, RightsUse>, PeerDemand> peers;
    };

    void on(const PlatformAnswered &event);
    void on(const LedgerConfig &event);
    void on(const LedgerDemand &event);
    void on(const LedgerPeerDemand &event);
    void on(const LedgerPeers &event);
    void on(const LedgerHostList &event);
    void on(const SessionHeld &event);
    void on(const SessionLost &event);
    void on(const SessionsObserved &event);
    void on(const LedgerTick &event);
    void on(const LedgerStop &event);

    void reconcile(const TeamId &team, TeamState &state);
    void updateTurn(TeamState &state, std::uint32_t ceiling);
    RightsPerUse targetRights(const TeamId &team, const TeamState &state) const;
    std::uint32_t fairShare(const TeamState &state, std::uint32_t need, std::uint32_t ceiling) const;
    std::uint32_t peerDemand(const TeamState &state) const;
    std::uint32_t standingRights(const Team &team) const;
    std::uint32_t ceilingOf(const TeamId &team) const;
    bool peersAreShort(const TeamState &state) const;
    void raiseAllowance(const TeamId &team, TeamState &state, const RightsPerUse &wanted);
    bool lowerAllowance(const TeamId &team, TeamState &state, const RightsPerUse &wanted);
    void read(const TeamId &team, TeamState &state);
    void write(const TeamId &team, TeamState &state, const RightsPerUse &wanted);
    RightsPerUse grantableRights(const TeamState &state, const RightsPerUse &wanted, std::uint32_t free) const;
    bool reclaimExpiredGrants(RightsRow &row);
    void onRow(const TeamId &team, TeamState &state, const StoredRow &stored);
    void handleWriteFailure(TeamState &state, PlatformError error);
    static Rights limitToPendingWrite(const TeamState &state, RightsUse kind, Rights rights);
    void onWritten(const TeamId &team, TeamState &state, const RowsWritten &written);
    void setAllowance(const TeamId &team, UseState &use, RightsUse kind, Rights rights);
    bool consumeWriteBudget();
    OperationId call(const TeamId &team, PlatformRequest request);
    void log(const TeamId &team, const TeamState &state, LedgerChange change);
    void finishStop();

    HostId m_host;
    TimePoint m_now;
    LedgerEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_lastGeneration = 0;
    std::shared_ptr<const Config> m_config;
    Duration m_longestRun{};
    HolderId m_self;
    std::uint64_t m_epoch = 0;
    HolderTracker m_holders;
    std::map<TeamId, TeamState> m_teams;
    std::map<OperationId, TeamId> m_operations;
    std::vector<std::pair<HostId, ZoneId>> m_liveHosts;
    double m_writeBudget = writesPerSecond;
    TimePoint m_budgetAt;
    bool m_stopping = false;
    bool m_released = false;
};

} // namespace radishvane
