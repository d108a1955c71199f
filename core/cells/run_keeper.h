#pragma once

#include "core/cells/admission_desk.h"
#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/job_book.h"
#include "core/cells/start_planner.h"
#include "core/cells/team_ledger.h"
#include "core/cells/worker_roster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Lengths of time that the site's bounds decide.
struct CellTimes
{
    /// Lease of what runs on a worker, from each hold call.
    Duration hold{5'000};
    /// Time for a worker to stop a task.
    Duration stopGrace{1'000};
    /// An ended job can be asked about for this long.
    Duration keepEnded{150'000};
};

/// The runs of a cell's tasks on its workers: starts, leases, ends and stops.
///
/// A task starts only when no earlier run of it can be alive: each earlier run has ended, was never carried out, or has
/// lost its lease on its worker's clock.
class RunKeeper
{
public:
    /// A start that is carried out later than that is refused by the worker.
    static constexpr Duration startWindow{1'500};
    /// A hold call waits so long for an end.
    static constexpr Duration holdWait{1'000};
    /// Pause between two hold calls to a worker, so that ends come together.
    static constexpr Duration holdPause{25};
    /// Pause after a hold call that had no answer.
    static constexpr Duration holdRetry{250};
    /// A task whose percentage has not risen for that long stands still.
    static constexpr Duration stallTime{2'200};
    /// Failures in a row, without a task done, after which a worker is avoided.
    static constexpr std::uint32_t suspectFailures = 3;
    /// Time for which a worker that failed tasks is avoided.
    static constexpr Duration avoidTime{3'000};
    /// Part of a pool's workers that may be avoided at one time: one in this many.
    static constexpr std::size_t mostAvoided = 3;
    /// A worker that is being emptied has that long to finish its tasks before they are stopped.
    static constexpr Duration emptyPatience{1'500};
    /// Jobs for each millisecond that two looks for starts are apart, so that looks take a bounded part of the time.
    static constexpr std::size_t jobsEachMillisecond = 8;
    /// Beyond the time to stop a task: time for the workers to be asked by a new owner.
    static constexpr Duration disruptionMargin{1'000};
    /// Time without filling tasks on a worker where they came too near to a lasting one.
    static constexpr Duration fillPause{10'000};
    /// Most starts that one look gives out.
    static constexpr std::size_t mostStarts = 64;

    RunKeeper(CellOutbox &outbox, CellWriter &writer, CellTimes times);

    /// Begins under a new epoch with what the store holds.
    void rebuild(const CellContents &contents, const std::vector<WorkerEntry> &entries);
    void clear();

    void see(const std::vector<WorkerEntry> &entries);
    void answered(const OrderAnswered &event);
    void answered(const HoldAnswered &event);
    void answered(const AdmissionAnswered &event);
    /// A transaction has stored what it held of ends.
    void stored(const CellWriter::Pending &done);
    /// The life of a worker has ended for certain, with all that it ran.
    void endWorker(const WorkerId &id);
    /// A job that may need stops has ended.
    void jobEnded(const JobId &id, const std::string &reason);
    /// Tasks may have come due with time, so the next advance() looks for starts.
    void lookAgain();
    /// Sends what is due at intervals: holds, stops and expired leases; then starts.
    /// @param mayOrder whether the cell is owned for certain.
    void advance(const SiteConfig &config, bool mayOrder);
    /// Sends the starts that an event has made possible, unless a look at all jobs would cost too much now.
    void advanceStarts(const SiteConfig &config, bool mayOrder);
    /// Keeps these workers free of new tasks, and empties them.
    void cordon(const std::set<WorkerId> &workers);

    JobBook &book();
    const JobBook &book() const;
    const WorkerRoster &roster() const;

private:
    void advanceHolds();
    void sendHold(Worker &worker);
    void takeEnds(Worker &worker, const HoldReport &report);
    void takeRunning(Worker &worker, const HoldReport &report, TimePoint sent);
    void takeMissing(Worker &worker, const HoldReport &report, TimePoint sent);
    bool adopt(Worker &worker, const RunningRow &row);
    void clearForeign(Worker &worker);
    void addForeign(Worker &worker, const TaskId &task);
    void endLife(Worker &worker, std::int64_t born);
    void loseTasks(Worker &worker, CellDecision why);
    void expireLeases();
    void judge(Worker &worker, RunEnd how);

    void planStarts(const SiteConfig &config);
    bool isAdmitted(const SiteConfig &config, const PoolRooms &rooms, const ReadyStep &ready);
    std::size_t startTasks(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::size_t most);
    /// Starts all tasks of a gang, or none.
    std::size_t startGang(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready);
    Worker *chooseFor(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::uint32_t index);
    void start(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
               const std::string &checkpoint);
    void startAnswered(const TaskId &id, const OrderAnswered &event);
    void stopAnswered(const TaskId &id, const OrderAnswered &event);
    void endRun(const TaskId &id, RunEnd how);
    void withdrawRun(const TaskId &id);
    void wantStop(const TaskId &id, const std::string &reason);
    void advanceStops();
    void stopIfStalled(Worker &worker, const RunningRow &row);
    void emptyWorkers();
    bool mayDisrupt(const TaskId &id) const;
    void occupy(Worker &worker, const TaskId &id);
    void vacate(const TaskId &id);
    void leave(Worker &worker, const TaskId &id);
    /// The other members of a task's gang.
    std::vector<TaskId> gangOf(const TaskId &id) const;
    void endGang(const TaskId &id, RunNumber number);
    void stopGang(const TaskId &id, const std::string &reason);
    /// Stops what disturbs a lasting task that comes near to the bound on its tail.
    void guardTail(Worker &worker, const RunningRow &row);
    RunNumber nextRun(const Job &job, const Task &task) const;
    std::uint32_t mostFailures(const JobId &id) const;

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    CellTimes m_times;
    JobBook m_book;
    WorkerRoster m_roster;
    TeamLedger m_ledger;
    AdmissionDesk m_admission;
    std::map<CallId, TaskId> m_starts;
    std::map<CallId, TaskId> m_stops;
    std::map<CallId, WorkerId> m_holds;
    /// Runs whose stop is wanted and has not been accepted.
    std::set<TaskId> m_stopping;
    bool m_planDue = false;
    TimePoint m_nextPlan;
    /// Stops that the owner before ordered have ended by then.
    TimePoint m_disruptNotBefore;
};

} // namespace radishvane::cells
