#pragma once

#include "core/cells/pool_demand.h"

#include <vector>

namespace radishvane::cells
{

/// State of a host as input of the move planner.
struct MovableHost
{
    HostId id;
    /// The host's pool, or the target pool of a move in progress.
    PoolId pool;
    Resources room;
    std::set<std::string> labels;
    RackId rack;
    /// The host runs tasks in this pool or is about to.
    bool serves = false;
    /// The host is on its way to the pool.
    bool isArriving = false;
    /// Idle time of a host that may be moved; empty if the host runs tasks or must not be moved.
    std::optional<Duration> idleFor;
    /// Pools that have refused the host.
    std::set<PoolId> refusingPools;
};

/// Decision to move a host now.
struct PlannedMove
{
    HostId host;
    PoolId from;
    PoolId to;
    /// Number of hosts that are needed and that serve in the pool that caused the move: the pool that lacks hosts, or
    /// the pool that has too many.
    double needed = 0;
    double serving = 0;
};

/// Assigns idle hosts to pools according to their demand.
///
/// Serves queues whose load peaks one after the other. A pool that needs more hosts than it has gets idle hosts of
/// pools with a surplus, otherwise hosts from standby. A surplus host that stays idle goes to standby, where it costs
/// nothing. In a site without a standby pool a host stays in its pool until another pool needs the host.
class MovePlanner
{
public:
    /// Idle time before a host goes to standby; a move back takes about as long (published: 1.5 s).
    static constexpr Duration minIdleTime{1'500};
    /// Fraction of a pool's capacity that tasks of uneven sizes can use.
    static constexpr double usableFraction = 0.85;
    /// Fraction of a host that a pool may lack before a host is moved to the pool.
    static constexpr double toleratedShortfall = 0.15;

    /// @param maxMoves limit of moves in this plan.
    static std::vector<PlannedMove> plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                         const std::vector<MovableHost> &hosts, std::size_t maxMoves);
};

} // namespace radishvane::cells
