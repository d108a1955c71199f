#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/job_registry.h"
#include "core/cells/team_ledger.h"
#include "core/cells/worker_roster.h"

#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Percentage of a lasting task that is at work.
inline constexpr double serviceReadyPercent = 100;

/// Jobs, workers and what runs where, kept in step with each other: each change of a run goes through here.
class RunLedger
{
public:
    /// Failures in a row, without a task done, after which a worker is avoided.
    static constexpr std::uint32_t suspectFailures = 3;
    /// Time for which a worker that failed tasks is avoided.
    static constexpr Duration avoidTime{3'000};
    /// Part of a pool's workers that may be avoided at one time: one in this many.
    static constexpr std::size_t mostAvoided = 3;

    RunLedger(CellOutbox &outbox, CellWriter &writer);

    void clear();
    JobRegistry &registry();
    WorkerRoster &roster();
    const TeamLedger &teams() const;
    /// Runs whose stop is wanted and has not been accepted.
    std::set<TaskId> &stopping();

    /// Something has changed that may let a task start.
    void requestPlanning();
    /// Whether something has changed since the last call.
    bool takePlanDue();

    /// Takes the room of a task on a worker, and of its team's ceiling.
    void occupy(Worker &worker, const TaskId &id);
    /// Gives back what the task's run takes.
    void vacate(const TaskId &id);
    void leave(Worker &worker, const TaskId &id);
    /// The task's run has ended.
    void endRun(const TaskId &id, RunEnd how);
    /// A run that has been given up, or that a former owner started, turns out to have failed.
    void countFailure(const TaskId &id, RunNumber run);
    /// The task's run never took place.
    void withdrawRun(const TaskId &id);
    /// The task's run is to be stopped.
    void wantStop(const TaskId &id, const std::string &reason);
    /// A job has ended whose runs are to be stopped.
    void jobEnded(const JobId &id, const std::string &reason);
    void stopGang(const TaskId &id, const std::string &reason);

    /// A worker has another life; what ran before has ended.
    void endLife(Worker &worker, std::int64_t born);
    /// All that runs on a worker has ended.
    void loseTasks(Worker &worker, CellDecision why);
    /// What a worker runs beside our tasks, by its newest list.
    void clearForeign(Worker &worker);
    void addForeign(Worker &worker, const TaskId &task);
    /// Avoids a worker that fails one task after the other.
    void judge(Worker &worker, RunEnd how);

private:
    std::vector<TaskId> gangOf(const TaskId &id) const;
    void endGang(const TaskId &id, RunNumber number);
    /// Stores what an end has changed of a job, and ends what else runs of a job that is over.
    void takeEffect(const TaskId &id, EndEffect effect);
    std::uint32_t maxFailures(const JobId &id) const;

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    JobRegistry m_registry;
    WorkerRoster m_roster;
    TeamLedger m_teams;
    std::set<TaskId> m_stopping;
    bool m_planDue = false;
};

} // namespace radishvane::cells
