#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/cell_times.h"
#include "core/cells/cell_writer.h"
#include "core/cells/job_registry.h"
#include "core/cells/team_ledger.h"
#include "core/cells/worker_roster.h"

#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Percentage that a worker reports for a service task that is ready.
inline constexpr double serviceReadyPercent = 100;

/// Ledger of the runs in a cell. It applies each change of a run to the jobs, the workers and the usage of the teams,
/// so that the three stay consistent.
class RunLedger
{
public:
    /// Consecutive failures after which a worker is avoided.
    static constexpr std::uint32_t avoidAfterFailures = 3;
    /// Time for which a worker is avoided after failures.
    static constexpr Duration avoidanceTime{3'000};
    /// At most one in this many workers of a pool is avoided at the same time.
    static constexpr std::size_t workersPerAvoided = 3;
    RunLedger(CellOutbox &outbox, CellWriter &writer, CellTimes times = {});

    void clear();
    JobRegistry &registry();
    WorkerRoster &roster();
    const TeamLedger &teams() const;
    /// Reserves what the teams may use in unknown runs of earlier owners, until the next call.
    void reserveInheritedUsage(const SiteConfig &config);
    /// Runs for which a stop was requested and not yet accepted by the worker.
    std::set<TaskId> &pendingStops();

    /// Records a change that may allow a task to start.
    void requestPlanning();
    /// Whether planning was requested since the last call.
    bool takePlanningRequest();

    /// Reserves a task's resources on a worker, and counts them against its team's ceiling.
    void allocate(Worker &worker, const TaskId &id);
    /// Releases the resources of the task's current run.
    void release(const TaskId &id);
    void releaseFrom(Worker &worker, const TaskId &id);
    /// Ends the task's current run.
    void endRun(const TaskId &id, RunEnd how);
    /// Counts the failure of a run that was given up or that an earlier owner started.
    void countFailure(const TaskId &id, RunNumber run);
    /// Records that a run that was given up is done. The task does not start again; its current run is stopped.
    void recordEarlierDone(const TaskId &id, RunNumber run);
    /// Removes the task's current run, which never started on its worker.
    void withdrawRun(const TaskId &id);
    /// Records that a worker has carried out the start of a run, so that it does not carry it out later.
    void recordCarriedOut(const TaskId &id, RunNumber run, const WorkerId &worker);
    /// Records that a worker, or its next incarnation, may carry out orders of former owners or those given up.
    void expectLateOrders(const WorkerId &worker, TimePoint until);
    /// Stores the starts of a job without a known end, so that later owners know of them.
    void storeStarts(const JobId &job);
    /// Records that the incarnation of the worker that the start was meant for runs the task.
    void confirm(const TaskId &id, const Worker &worker);
    /// Whether an abandoned start of the task may be active on a worker that has restarted.
    bool mayRunAbandoned(const TaskId &id, const Task &task) const;
    /// The worker of the last start of the task that was abandoned and may still be carried out; empty if there is
    /// none. A crash of this worker ends the runs that it has, so that none of them meets the abandoned one.
    WorkerId abandonedOn(const Task &task) const;
    /// Requests the stop of the task's current run.
    void requestStop(const TaskId &id, const std::string &reason);
    /// Requests stops of all runs of a job that has ended.
    void jobEnded(const JobId &id, const std::string &reason);
    void stopGang(const TaskId &id, const std::string &reason);

    /// Ends all runs of the previous incarnation of a worker and begins a new one, which may have received the orders
    /// of runs that the previous one never listed.
    void endIncarnation(Worker &worker, std::int64_t startedAtMs);
    /// Takes the runs on a restarted worker as active until the longest lease has expired. The worker has answered
    /// under its new fencing token, so that only orders before this time may have extended the lease.
    void settleIncarnation(Worker &worker);
    /// Takes the runs on the worker as active until the longest lease has expired, unless its present incarnation
    /// answers before. A new incarnation may have accepted the start that had no answer.
    void recordUnansweredStart(Worker &worker);
    /// Takes a run on the worker as active until the longest lease has expired, because an incarnation whose clock is
    /// not known has accepted an order.
    void expectUnknownIncarnation(Worker &worker);
    /// Whether orders for runs on the worker were sent.
    bool hasSentRuns(const Worker &worker);
    /// Ends all runs on a worker whose lease has expired or which is lost.
    void endAllRuns(Worker &worker, CellDecision why);
    /// Forgets the foreign runs of a worker: those on its newest list that are not the current runs of our tasks.
    void clearForeign(Worker &worker);
    void addForeign(Worker &worker, const TaskId &task);
    /// Counts consecutive failures of a worker, and avoids the worker when there are too many.
    void recordOutcome(Worker &worker, RunEnd how);

private:
    /// Records that the order of the task's current run may be carried out after the run was given up.
    void recordAbandoned(Task &task);
    std::vector<TaskId> otherGangMembers(const TaskId &id) const;
    /// Records the run time of a task whose whole run this owner has seen.
    void learnRunTime(const TaskId &id, const Task &task);
    /// Returns the tasks on a worker that no list of the worker has shown.
    std::set<TaskId> unlistedTasks(const Worker &worker);
    void endGang(const TaskId &id, RunNumber number);
    void completeEarlier(const TaskId &id, RunNumber run);
    /// Stores the changes of a job after the end of a run, and stops the other runs of a job that has ended.
    void applyEffect(const TaskId &id, EndEffect effect);
    std::uint32_t maxFailures(const JobId &id) const;
    /// Returns the time by which each lease that a worker grants now has expired.
    TimePoint longestLeaseEnd() const;

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    CellTimes m_times;
    JobRegistry m_registry;
    WorkerRoster m_roster;
    TeamLedger m_teams;
    std::set<TaskId> m_pendingStops;
    bool m_planningRequested = false;
};

} // namespace radishvane::cells
