#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/cell_rows.h"
#include "core/cells/run_time_model.h"
#include "core/cells/worker_roster.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishvane::cells
{

enum class RunPhase {
    /// The store does not hold the start yet, so that its order is not sent.
    Recording,
    /// The start order was sent and has no answer yet.
    Ordered,
    /// The start order had no answer, so the worker may or may not run the task.
    InDoubt,
    Running,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> runPhaseNames{"recording", "ordered", "in-doubt", "running"};

/// One start of a task on a worker, from the order until its end is known.
struct Run
{
    RunNumber number = 0;
    WorkerId worker;
    RunPhase phase = RunPhase::Ordered;
    /// On the worker's clock. The worker refuses a start that it would carry out later.
    std::int64_t startDeadline = 0;
    /// When the start order was sent; not set for the run of an earlier owner.
    TimePoint orderedAt;
    /// When the worker confirmed that it runs the task.
    TimePoint confirmedAt;
    double percent = 0;
    double load = 0;
    /// When the reported percentage last rose.
    TimePoint progressAt;
    /// When the worker last reported the run as running.
    TimePoint listedAt;
    bool stopRequested = false;
    bool stopAccepted = false;
    TimePoint stopAcceptedAt;
    /// The worker restarted after the order was sent. Its new incarnation may carry out the order until it has accepted
    /// a stop of the run, since the order's deadline refers to the former clock.
    bool hasWorkerRestarted = false;
    /// The incarnation of the worker that the order was meant for runs the task.
    bool isConfirmed = false;
    /// The pending stop call; 0 when there is none.
    CallId stop;
    TimePoint stopNotBefore;
};

/// A start order that had no answer and whose run was given up, by this owner or an earlier one. The deadline of the
/// order keeps the incarnation of the worker that it was sent to from carrying it out, but not the next one, whose
/// clock starts anew.
struct AbandonedStart
{
    /// Time after which an order without an answer is no longer carried out.
    static constexpr Duration maxDelay{20'000};

    WorkerId worker;
    RunNumber run = 0;
    /// The order is not carried out after this time.
    TimePoint lateUntil;
    /// An earlier owner has recorded the start, and this one does not know whether it had an answer.
    bool isAssumed = false;
};

struct Task
{
    TaskProgress progress;
    /// Start orders of the task that the next incarnation of their worker may still carry out.
    std::vector<AbandonedStart> abandonedStarts;
    /// Highest run number that this owner has ordered.
    RunNumber startedRun = 0;
    std::optional<Run> run;
    /// This owner knows every run that earlier owners started.
    bool hasKnownRuns = false;
    /// The last start of an earlier owner, while this owner does not know its outcome.
    std::optional<RecordedStart> recordedStart;
    /// The only worker that may execute an unknown run of an earlier owner; empty if any worker may.
    WorkerId releasedOn;
    /// A run that had been given up turned out to be done while a later run was active. The task is done when the later
    /// run has ended.
    bool isDoneEarlier = false;
    /// The task does not start again before this time.
    TimePoint notBefore;
    /// Worker of the last run that failed. Other workers are preferred for the next run.
    WorkerId failedOn;

    /// Whether an earlier owner has recorded a later start than @p earlier.
    bool isSuperseded(RunNumber earlier) const
    {
        return recordedStart && earlier < recordedStart->run;
    }
};

struct Step
{
    std::vector<Task> tasks;
    /// Tasks that are neither done nor assigned to a worker.
    std::set<std::uint32_t> waiting;
    std::uint32_t done = 0;
    /// Number of the step's assigned tasks by worker.
    std::map<WorkerId, std::uint32_t> onWorker;
    /// The last planning pass found no worker with capacity for a waiting task.
    bool lacksCapacity = false;
};

struct Occurrence
{
    std::vector<Step> steps;
    std::uint32_t stepsDone = 0;
    /// Latest end for which the job earns its full value. The estimates below are valid for @c estimatedAtTasksDone
    /// completed tasks.
    WallTime objective{};
    /// After this time completing the occurrence has no value.
    WallTime usefulUntil{};
    Duration remainingCriticalPath{0};
    double remainingWork = 0;
    /// Value of completing the occurrence in time, relative to the mean job of its queue.
    double value = 1;
    std::uint32_t tasksDone = 0;
    std::optional<std::uint32_t> estimatedAtTasksDone;
    /// State of the run time model that the estimates were made with.
    std::uint64_t estimatedAtGeneration = 0;
};

struct Job
{
    JobRow row;
    RunTimes runTimes;
    GraphState state = GraphState::Queued;
    bool begun = false;
    /// A transaction with the job's row was sent to the store.
    bool sentToStore = false;
    /// The store holds the job's row.
    bool stored = false;
    /// The store holds the final state in @c state.
    bool endStored = false;
    /// The job was accepted by an earlier owner, so runs of it may exist that this owner does not know.
    bool inherited = false;
    /// The stored progress named every start of earlier owners that may be active.
    bool areStartsRecorded = false;
    /// The team was within its share when it submitted the job.
    bool withinShare = true;
    /// Failures of one task that fail the job, by the newest configuration that contains its queue.
    std::uint32_t maxFailures = 0;
    TimePoint addedAt;
    TimePoint endedAt;
    /// Rows that the progress may have in the store.
    std::size_t progressRows = 1;
    std::uint32_t firstOpen = 0;
    /// Occurrences that are due and not done.
    std::map<std::uint32_t, Occurrence> open;
    std::vector<ExchangeId> submitters;
    std::vector<ExchangeId> cancellers;
};

/// Effect of the end of a run on its task and job.
enum class EndEffect {
    /// The run is not the task's current run.
    Ignored,
    TaskDone,
    TaskWaits,
    JobEnded,
};

/// Registry of the jobs of a cell: the state of each job, occurrence, step, task and run. Assigns no tasks to workers.
class JobRegistry
{
public:
    void clear();
    Job &add(JobRow row, TimePoint now);
    void restore(const ProgressRow &row, Instant now);
    /// Adds the occurrences that have become due.
    void openDueOccurrences(Job &job, Instant now);
    /// Adds the occurrence of @p id, of which an earlier owner has started a run. That owner's wall clock may be ahead.
    void openInheritedOccurrence(const TaskId &id);

    Job *find(const JobId &id);
    const Job *find(const JobId &id) const;
    Task *task(const TaskId &id);
    const StepSpec *spec(const TaskId &id) const;
    std::unordered_map<JobId, Job> &jobs();
    const std::unordered_map<JobId, Job> &jobs() const;
    /// Jobs that have not ended or that still have runs.
    const std::set<JobId> &live() const;
    /// Jobs that have failed or were cancelled. Runs of them may go on until their workers have stopped them.
    const std::set<JobId> &aborted() const;
    /// Removes a job that has ended and has no runs.
    void erase(const JobId &id);

    /// Whether all steps that @p step depends on are done.
    static bool isReady(const Job &job, const Occurrence &occurrence, std::uint32_t step);

    Run &begin(const TaskId &id, Run run);
    /// Records that the order of a run that was being recorded is sent.
    void markSent(const TaskId &id, TimePoint now);
    /// Ends the task's current run. The job fails when a task reaches @p maxFailures failures.
    EndEffect end(const TaskId &id, RunNumber run, RunEnd how, std::uint32_t maxFailures, TimePoint now);
    /// Completes a task without a current run, because a run that had been given up turned out to be done.
    EndEffect complete(const TaskId &id, RunNumber run, TimePoint now);
    /// Closes the occurrences that are done, and completes the job with the last one.
    EndEffect closeOccurrences(Job &job, TimePoint now);
    /// Counts the failure of a run that is not the task's current run, unless it is already counted.
    EndEffect countFailure(const TaskId &id, RunNumber run, std::uint32_t maxFailures, TimePoint now);
    /// Keeps the newest checkpoint of a task.
    /// @return whether the progress of the job has capacity for it; the checkpoint before stays otherwise.
    bool recordCheckpoint(const TaskId &id, const std::string &checkpoint);
    /// Removes a run that never started on its worker, and makes its task wait again.
    void withdraw(const TaskId &id, RunNumber run);
    void finish(Job &job, GraphState state, TimePoint now);
    /// Whether any run of the job has not ended.
    static bool hasRuns(const Job &job);
    /// Frees the payload of a job and removes it from live() once its end is stored and it has no runs.
    void retireIfDone(Job &job);

    ProgressRow progressRow(const Job &job, TimePoint now) const;
    RunTimeModel &runTimes();
    const RunTimeModel &runTimes() const;
    /// Expected mean work of the jobs that were added to @p queue, in thousandths of a core times milliseconds.
    double meanWork(const QueueId &queue) const;
    /// Number of stored jobs of @p queue that have not begun.
    std::uint64_t pending(const QueueId &queue) const;

private:
    Step *step(const TaskId &id);
    void requeue(Step &step, const TaskId &id);
    static void markBegun(Job &job);
    void restoreStart(const JobId &job, const RecordedStart &start);
    EndEffect countDone(const TaskId &id, TimePoint now);
    void recordAborted(const Job &job);

    /// Sums over the jobs of a queue.
    struct QueueWork
    {
        double jobs = 0;
        /// Thousandths of a core of all tasks.
        double cpu = 0;
        double declaredWork = 0;
    };

    RunTimeModel m_runTimes;
    std::unordered_map<JobId, Job> m_jobs;
    std::map<QueueId, QueueWork> m_queueWork;
    std::set<JobId> m_live;
    std::set<JobId> m_aborted;
};

} // namespace radishvane::cells
