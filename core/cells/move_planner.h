#pragma once

#include "core/cells/pool_demand.h"

#include <vector>

namespace radishvane::cells
{

/// A host as the planner of moves sees it.
struct MovableHost
{
    HostId id;
    /// The pool that it is in, or is on its way to.
    PoolId pool;
    Resources room;
    std::set<std::string> labels;
    RackId rack;
    /// It runs tasks there, or will soon.
    bool serves = false;
    /// Nothing runs on it and nothing is known against a move; for how long.
    std::optional<Duration> idleFor;
    /// Pools that do not take it.
    std::set<PoolId> refusedBy;
};

/// A host to be moved now.
struct PlannedMove
{
    HostId host;
    PoolId from;
    PoolId to;
    /// Hosts that the pool which decided the move needs, and those that it has: the one that lacks hosts, or the one
    /// that has too many.
    double needed = 0;
    double serving = 0;
};

/// Which idle hosts go to which pool, so that hosts follow the work.
///
/// Answers queues that peak in turn. A pool that asks for more than it holds gets idle hosts of pools that have more
/// than they need, else hosts from standby; a host that stays idle beyond need goes to standby, where it costs nothing.
/// A site without a standby pool keeps its hosts where they are until another pool needs them.
class MovePlanner
{
public:
    /// A host that has been idle for less does not go to standby; a return takes about as long (published: 1.5 s).
    static constexpr Duration idlePatience{1'500};
    /// Part of a pool's room that tasks of uneven sizes can fill.
    static constexpr double usableRoom = 0.85;
    /// Share of a host by which a pool may fall short before one is moved there.
    static constexpr double shortfall = 0.15;
    /// Most moves of one plan.
    static constexpr std::size_t mostMoves = 12;

    static std::vector<PlannedMove> plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                         const std::vector<MovableHost> &hosts);
};

} // namespace radishvane::cells
