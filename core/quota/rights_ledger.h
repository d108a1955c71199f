#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/messages/platform_messages.h"
#include "core/messages/rows.h"
#include "core/quota/holder_watch.h"
#include "core/quota/session_controller.h"

#include <array>
#include <map>
#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

// Events.

/// Ceilings and run times that hold from now on.
struct LedgerConfig
{
    std::shared_ptr<const Config> config;
};

/// Rights that this entry host uses and wants for one team.
struct LedgerDemand
{
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Generation of the allowance under which @p running was counted.
    std::uint64_t generation = 0;
};

/// Rights that another entry host uses and wants.
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

/// Give everything back; LedgerReleased follows once nothing runs.
struct LedgerStop
{
};

using LedgerEvent = std::variant<PlatformAnswered, LedgerConfig, LedgerDemand, LedgerPeerDemand, LedgerPeers,
                                 LedgerHostList, SessionHeld, SessionLost, SessionsObserved, LedgerTick, LedgerStop>;

// Effects.

/// This entry host may use these rights from now on.
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

/// For the log.
struct LedgerLogEntry
{
    TeamId team;
    LedgerChange change{};
    /// Rights of this host after the change.
    std::uint32_t own = 0;
    std::uint32_t granted = 0;
    std::uint32_t ceiling = 0;
};

struct LedgerReleased
{
};

using LedgerEffect = std::variant<PlatformCall, AllowanceSet, LedgerLogEntry, LedgerReleased>;
using LedgerEffects = std::vector<LedgerEffect>;

/// This entry host's part in the rights of all teams.
///
/// Rights grow only by a conditional write of the team's row. They shrink in three steps: the allowance is lowered, the
/// user of the rights confirms that it counts under the lower allowance, and only then the row gives them up.
class RightsLedger
{
public:
    /// Least time between two writes of one team's row by this host.
    static constexpr Duration writeInterval{250};
    /// Rights held beyond the need for this long are given back.
    static constexpr Duration surplusFor{3'000};
    /// Interval between looks at a row in which no right was free.
    static constexpr Duration starvedInterval{500};
    /// Demand of another entry host counts for this long.
    static constexpr Duration peerDemandFor{10'000};
    /// Most row writes of this host in a second, all teams together.
    static constexpr double writesPerSecond = 20;
    /// Time for which a host keeps its last right while others have none, and rests after that.
    static constexpr Duration turnLength{1'000};

    explicit RightsLedger(HostId host);

    LedgerEffects handle(const LedgerEvent &event, TimePoint now);

private:
    static constexpr std::size_t uses = rightsUseNames.size();

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

    struct Use
    {
        /// What the row holds for this host in the present session, as far as it is known.
        Rights held;
        /// Rights that the row holds for this host in any session, standing ones too. Those of an earlier session may
        /// cover work that still runs, as long as nobody has reclaimed them.
        std::uint32_t rowTotal = 0;
        /// What the user of the rights may take; never more than is held.
        Rights allowed;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        /// Generation of the latest allowance, and the one that the user has confirmed.
        std::uint64_t generation = 0;
        std::uint64_t confirmed = 0;

        std::uint32_t demand() const
        {
            return running + waiting;
        }
    };

    using UseRights = std::array<Rights, uses>;

    struct PeerNeed
    {
        std::uint32_t demand = 0;
        TimePoint at;
    };

    struct TeamState
    {
        std::array<Use, uses> use;
        bool rowKnown = false;
        std::uint64_t rowVersion = 0;
        RightsRow row;
        OperationId operation;
        /// Row that the write under way asks for.
        RightsRow writing;
        UseRights writingOwn;
        bool writingUnderWay = false;
        /// A write is in doubt and may still take effect; the next write of the row settles it.
        bool inDoubt = false;
        TimePoint nextLook;
        TimePoint surplusSince = TimePoint::max();
        /// With fewer rights than hosts that want one, a host gives its last right back after a turn and rests.
        TimePoint turnEnds = TimePoint::max();
        TimePoint restEnds;
        std::map<std::pair<HostId, RightsUse>, PeerNeed> peers;
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

    void consider(const TeamId &team, TeamState &state);
    void considerTurn(TeamState &state, std::uint32_t ceiling);
    UseRights targets(const TeamId &team, const TeamState &state) const;
    std::uint32_t fairPart(const TeamState &state, std::uint32_t need, std::uint32_t ceiling) const;
    std::uint32_t demandOfPeers(const TeamState &state) const;
    std::uint32_t standingPart(const Team &team) const;
    std::uint32_t ceilingOf(const TeamId &team) const;
    bool othersAreShort(const TeamState &state) const;
    void raise(const TeamId &team, TeamState &state, const UseRights &wanted);
    bool lower(const TeamId &team, TeamState &state, const UseRights &wanted);
    void read(const TeamId &team, TeamState &state);
    void write(const TeamId &team, TeamState &state, const UseRights &wanted);
    UseRights affordable(const TeamState &state, const UseRights &wanted, std::uint32_t free) const;
    bool dropOverGrants(RightsRow &row);
    void onRow(const TeamId &team, TeamState &state, const StoredRow &stored);
    void doubt(TeamState &state, PlatformError error);
    static Rights boundByDoubt(const TeamState &state, RightsUse kind, Rights rights);
    void onWritten(const TeamId &team, TeamState &state, const RowsWritten &written);
    void allow(const TeamId &team, Use &use, RightsUse kind, Rights rights);
    bool spendWrite();
    OperationId call(const TeamId &team, PlatformRequest request);
    void note(const TeamId &team, const TeamState &state, LedgerChange change);
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
    HolderWatch m_watch;
    std::map<TeamId, TeamState> m_teams;
    std::map<OperationId, TeamId> m_operations;
    std::vector<std::pair<HostId, ZoneId>> m_live;
    double m_writeBudget = writesPerSecond;
    TimePoint m_budgetAt;
    bool m_stopping = false;
    bool m_released = false;
};

} // namespace radishvane
