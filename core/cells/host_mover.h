#pragma once

#include "core/cells/move_planner.h"
#include "core/cells/worker_roster.h"

namespace radishvane::cells
{

/// Moves of hosts that are under way, and what has to be known before the next.
///
/// Only a host on which nothing runs is moved, and it takes no task from then on, so that a move never ends work. Moves
/// are not stored: the list of hosts tells a later owner where each one is.
class HostMover
{
public:
    /// Workers have answered a new owner by then; those that have not still count as serving.
    static constexpr Duration settleTime{400};
    /// Interval between two tries of an order.
    static constexpr Duration retryInterval{500};
    /// A host that does not serve so long after its move is counted as lost.
    static constexpr Duration mostTravel{8'000};

    void clear(TimePoint now);
    /// Whether enough is known of hosts and workers for a plan.
    bool isReady(const HostList &list, TimePoint now) const;
    /// Orders that are due now.
    /// @param inWaves hosts that a maintenance wave has taken.
    std::vector<PlannedMove> plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                  const HostList &list, const WorkerRoster &roster, const std::set<HostId> &inWaves,
                                  TimePoint now);
    /// @return the worker that ran on the host when it was ordered; empty when none was known.
    WorkerId ordered(const HostId &host, HostOrderOutcome outcome, TimePoint now);
    /// Workers whose hosts are about to go: also one that a former owner's order has brought there meanwhile.
    std::set<WorkerId> cordoned(const WorkerRoster &roster) const;
    /// Hosts with a move that has not ended.
    std::set<HostId> moving() const;

private:
    enum class MoveStage {
        /// The order is under way.
        Ordered,
        /// The order had no answer and is given again.
        InDoubt,
        /// The order was accepted.
        Travelling,
    };

    struct Move
    {
        PlannedMove plan;
        MoveStage stage = MoveStage::Ordered;
        TimePoint since;
        WorkerId worker;
    };

    void settle(const SiteConfig &config, const HostList &list, const WorkerRoster &roster, TimePoint now);
    static bool hasArrived(const Move &move, const SiteConfig &config, const HostList &list,
                           const WorkerRoster &roster);
    std::vector<MovableHost> hosts(const HostList &list, const WorkerRoster &roster, const std::set<HostId> &inWaves,
                                   TimePoint now);
    MovableHost viewOf(const SiteHost &host, const Worker *worker, bool inWave, TimePoint now) const;

    std::map<HostId, Move> m_moves;
    std::map<HostId, std::set<PoolId>> m_refusedBy;
    /// Hosts whose last order was refused are left alone until then.
    std::map<HostId, TimePoint> m_notBefore;
    /// When each worker was last seen with a task.
    std::map<WorkerId, TimePoint> m_lastBusy;
    TimePoint m_begun;
};

} // namespace radishvane::cells
