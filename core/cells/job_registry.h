#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/cell_rows.h"
#include "core/cells/worker_roster.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

enum class RunPhase {
    /// The worker was asked to start it.
    Ordered,
    /// The worker may or may not have started it.
    InDoubt,
    Running,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> runPhaseNames{"ordered", "in-doubt", "running"};

/// One start of a task, from the order until its end is known.
struct Run
{
    RunNumber number = 0;
    WorkerId worker;
    RunPhase phase = RunPhase::Ordered;
    /// On the worker's clock: carried out later than that, the start is refused.
    std::int64_t startDeadline = 0;
    /// When the worker was known to have it.
    TimePoint confirmedAt;
    double percent = 0;
    double load = 0;
    /// When the percentage last rose.
    TimePoint progressAt;
    /// When the worker last listed it.
    TimePoint listedAt;
    bool stopWanted = false;
    bool stopAccepted = false;
    /// The stop call under way; 0 when none.
    CallId stop;
    TimePoint stopNotBefore;
};

struct Task
{
    TaskProgress progress;
    /// Highest run that this owner has ordered.
    RunNumber startedRun = 0;
    /// Failures of runs up to this one were counted by owners before.
    RunNumber countedRun = 0;
    std::optional<Run> run;
    /// Not started again before then.
    TimePoint notBefore;
    /// Worker of the last run that failed; another is tried first.
    WorkerId failedOn;
};

struct Step
{
    std::vector<Task> tasks;
    /// Tasks that are neither done nor on a worker.
    std::set<std::uint32_t> waiting;
    std::uint32_t done = 0;
    /// Tasks of the step by worker.
    std::map<WorkerId, std::uint32_t> onWorker;
};

struct Occurrence
{
    std::vector<Step> steps;
    std::uint32_t stepsDone = 0;
    /// Time by which the occurrence has to end to earn in full, and what was left to do at @c estimatedAtTasksDone
    /// tasks done.
    WallTime objective{};
    /// Time after which its end is of no use any more.
    WallTime lastUse{};
    Duration remainingCriticalPath{0};
    double workLeft = 0;
    /// What its end in time is worth against the mean of its queue.
    double worth = 1;
    std::uint32_t tasksDone = 0;
    std::optional<std::uint32_t> estimatedAtTasksDone;
};

struct Job
{
    JobRow row;
    GraphState state = GraphState::Queued;
    bool begun = false;
    /// The row that says so is stored.
    bool stored = false;
    /// The end that @c state names is stored.
    bool endStored = false;
    /// Came from an earlier owner, so that runs may be unknown.
    bool inherited = false;
    /// Not beyond what its team may count on.
    bool withinShare = true;
    /// Failures of a task that fail the job, by the newest configuration that named its queue.
    std::uint32_t maxFailures = 0;
    TimePoint addedAt;
    TimePoint endedAt;
    std::uint32_t firstOpen = 0;
    /// Occurrences that are due and not done.
    std::map<std::uint32_t, Occurrence> open;
    std::vector<ExchangeId> submitters;
    std::vector<ExchangeId> cancellers;
};

/// What the end of a run changed.
enum class EndEffect {
    /// The run is not the task's present one.
    Ignored,
    TaskDone,
    TaskWaits,
    JobEnded,
};

/// The jobs of a cell: which tasks wait, run and are done. Decides nothing about workers.
class JobRegistry
{
public:
    void clear();
    Job &add(JobRow row, TimePoint now);
    void restore(const ProgressRow &row, Instant now);
    /// Opens occurrences whose time has come.
    void openDueOccurrences(Job &job, Instant now);

    Job *find(const JobId &id);
    const Job *find(const JobId &id) const;
    Task *task(const TaskId &id);
    const StepSpec *spec(const TaskId &id) const;
    std::map<JobId, Job> &jobs();
    const std::map<JobId, Job> &jobs() const;
    /// Jobs that have not ended, or still have runs.
    const std::set<JobId> &live() const;
    /// Drops a job that has ended and has no runs.
    void erase(const JobId &id);

    /// Whether all steps before @p step are done.
    static bool isReady(const Job &job, const Occurrence &occurrence, std::uint32_t step);

    Run &begin(const TaskId &id, Run run);
    /// A run has ended; @p maxFailures bounds the failures of a task.
    EndEffect end(const TaskId &id, RunNumber run, RunEnd how, std::uint32_t maxFailures, TimePoint now);
    /// A run that is not the task's present one turns out to have failed; its failure counts like any other.
    EndEffect countFailure(const TaskId &id, RunNumber run, std::uint32_t maxFailures, TimePoint now);
    /// A run never took place.
    void withdraw(const TaskId &id, RunNumber run);
    void finish(Job &job, GraphState state, TimePoint now);
    /// Whether some run of the job has not ended.
    static bool hasRuns(const Job &job);
    /// Takes a job off the live list when nothing of it is left to do.
    void retireIfDone(Job &job);

    ProgressRow progressRow(const Job &job) const;
    /// Mean work of the queue's jobs that have come, in thousandths of a core times milliseconds.
    double meanWork(const QueueId &queue) const;
    /// Jobs of @p queue that have not begun.
    std::uint64_t pending(const QueueId &queue) const;

private:
    Step *step(const TaskId &id);
    void giveBack(Step &step, const TaskId &id);

    struct QueueWork
    {
        double jobs = 0;
        double work = 0;
    };

    std::map<JobId, Job> m_jobs;
    std::map<QueueId, QueueWork> m_queueWork;
    std::set<JobId> m_live;
};

} // namespace radishvane::cells
