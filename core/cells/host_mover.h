#pragma once

#include "core/cells/move_planner.h"
#include "core/cells/work_backlog.h"
#include "core/cells/worker_roster.h"

namespace radishvane::cells
{

/// Tracks the moves of hosts between pools and collects the state of hosts and workers for the move planner.
///
/// Only an idle host is moved, and it is cordoned from then on, so that a move never ends a task. Moves are not stored,
/// since a later owner gets the pool of each host from the list of hosts; @c HostOrderLedger stores which hosts may
/// still be moved.
class HostMover
{
public:
    /// Time for workers to answer a new owner; those that have not answered by then still count as serving.
    static constexpr Duration workerAnswerTime{400};
    /// Interval between two attempts of an order.
    static constexpr Duration retryInterval{500};
    /// A host that does not serve within this time after its move counts as lost.
    static constexpr Duration maxMoveTime{8'000};

    void clear(TimePoint now);
    /// Whether the state of hosts and workers is complete enough for a plan.
    bool isReady(const HostList &list, TimePoint now) const;
    /// Returns the orders that are due now.
    /// @param hostsInWaves hosts that a maintenance wave occupies.
    /// @param maxOrders limit of the orders; repeated orders go first.
    std::vector<PlannedMove> plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                  const HostList &list, const WorkerRoster &roster,
                                  const std::set<HostId> &hostsInWaves, std::size_t maxOrders, TimePoint now);
    /// Hosts that are on their way to a pool or may be moved to any pool.
    /// @param occupied hosts that a maintenance wave or an order in doubt occupies.
    /// @param ordersPerMillisecond rate at which the available hosts can be moved.
    IncomingHosts incoming(const SiteConfig &config, const HostList &list, const WorkerRoster &roster,
                           const std::set<HostId> &occupied, double ordersPerMillisecond, TimePoint now) const;
    /// Updates the state of a move from the answer to its order.
    /// @return the worker that ran on the host at the time of the order; empty if none was known.
    WorkerId handleOutcome(const HostId &host, HostOrderOutcome outcome, TimePoint now);
    /// Workers on hosts that are about to move, including a worker that an order of a former owner has started there.
    std::set<WorkerId> cordoned(const WorkerRoster &roster) const;
    /// Hosts whose moves are not finished.
    std::set<HostId> moving() const;

private:
    enum class MoveStage {
        /// The order was sent and has no answer yet.
        Ordered,
        /// The order was not answered and is sent again.
        InDoubt,
        /// The order was accepted.
        Moving,
    };

    struct Move
    {
        PlannedMove plan;
        MoveStage stage = MoveStage::Ordered;
        TimePoint since;
        WorkerId worker;
    };

    void removeFinished(const SiteConfig &config, const HostList &list, const WorkerRoster &roster, TimePoint now);
    static bool hasArrived(const Move &move, const SiteConfig &config, const HostList &list,
                           const WorkerRoster &roster);
    std::vector<MovableHost> hosts(const HostList &list, const WorkerRoster &roster,
                                   const std::set<HostId> &hostsInWaves, TimePoint now);
    MovableHost toMovableHost(const SiteHost &host, const Worker *worker, bool inWave, TimePoint now) const;

    std::map<HostId, Move> m_moves;
    std::map<HostId, std::set<PoolId>> m_refusingPools;
    /// Hosts whose last order was refused get no new order before this time.
    std::map<HostId, TimePoint> m_notBefore;
    /// Time at which each worker last had a task.
    std::map<WorkerId, TimePoint> m_lastBusy;
    TimePoint m_ownedSince;
};

} // namespace radishvane::cells
