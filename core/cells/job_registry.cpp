#include "core/cells/job_registry.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Pause before a service task starts again after a run. Without it a task that cannot run would fill the workers'
/// lists of ended runs.
constexpr Duration serviceRestartPause{100};
/// Limit on the late starts in the row of a job.
constexpr std::size_t maxLateStarts = 300;

Occurrence newOccurrence(const GraphSpec &spec)
{
    Occurrence occurrence;
    occurrence.steps.resize(spec.steps.size());
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        Step &step = occurrence.steps[index];
        step.tasks.resize(spec.steps[index].count);
        for (std::uint32_t task = 0; task < spec.steps[index].count; ++task) {
            step.waiting.insert(task);
        }
        if (step.tasks.empty()) {
            ++occurrence.stepsDone;
        }
    }
    return occurrence;
}

/// Number of runs that have failed. The members of a gang share their runs, so one in which several members fail counts
/// once.
std::size_t failuresOf(const StepSpec &spec, const Step &step, const Task &task)
{
    if (!spec.gang) {
        return task.progress.failedRuns.size();
    }
    std::set<RunNumber> failed;
    for (const Task &member : step.tasks) {
        failed.insert(member.progress.failedRuns.begin(), member.progress.failedRuns.end());
    }
    return failed.size();
}

/// Records the failure of a run. Several owners, and one owner several times, may read the same end.
/// @return whether the run was not recorded before.
bool recordFailure(TaskProgress &progress, RunNumber run)
{
    if (std::count(progress.failedRuns.begin(), progress.failedRuns.end(), run) > 0) {
        return false;
    }
    progress.failedRuns.push_back(run);
    return true;
}

/// Adds the start orders of @p task that may still be carried out to @p row, unless it names too many already.
void addLateStarts(ProgressRow &row, const Task &task, LateStart place, TimePoint now)
{
    const auto add = [&](const WorkerId &worker, RunNumber run, TimePoint lateUntil) {
        if (now < lateUntil && row.lateStarts.size() < maxLateStarts) {
            place.worker = worker;
            place.run = run;
            place.left = std::chrono::ceil<Duration>(lateUntil - now);
            row.lateStarts.push_back(place);
        }
    };
    for (const AbandonedStart &start : task.abandonedStarts) {
        // The record of the start says the same.
        if (!start.isAssumed || !task.recordedStart) {
            add(start.worker, start.run, start.lateUntil);
        }
    }
    if (task.run && task.run->phase != RunPhase::Running && task.run->orderedAt != TimePoint{}) {
        add(task.run->worker, task.run->number, task.run->orderedAt + AbandonedStart::maxDelay);
    }
}

/// Adds the start of @p task whose end is not known to @p row.
void addStart(ProgressRow &row, const Task &task, RecordedStart place)
{
    if (task.run) {
        place.run = task.run->number;
        place.worker = task.run->worker;
        place.isConfirmed = task.run->isConfirmed;
        row.starts.push_back(place);
    } else if (task.recordedStart && !task.progress.done && task.progress.endedRun < task.recordedStart->run) {
        row.starts.push_back(*task.recordedStart);
    }
}

} // namespace

void JobRegistry::clear()
{
    m_runTimes.clear();
    m_jobs.clear();
    m_queueWork.clear();
    m_live.clear();
    m_aborted.clear();
}

Job &JobRegistry::add(JobRow row, TimePoint now)
{
    const JobId id = row.id;
    Job &job = m_jobs[id];
    job.row = std::move(row);
    QueueWork &queue = m_queueWork[job.row.queue];
    queue.jobs += 1;
    for (const StepSpec &step : job.row.spec.steps) {
        queue.cpu += static_cast<double>(step.count) * static_cast<double>(step.needs.cpu);
    }
    queue.declaredWork += job.row.spec.work(declaredRunTimes(job.row.spec));
    job.runTimes = m_runTimes.expected(job.row.queue, job.row.spec);
    job.addedAt = now;
    m_live.insert(id);
    return job;
}

void JobRegistry::restore(const ProgressRow &row, Instant now)
{
    Job *job = find(row.id);
    if (job == nullptr) {
        return;
    }
    job->state = row.state;
    job->begun = row.begun;
    job->firstOpen = row.firstOpen;
    job->progressRows = row.storedRows;
    if (isFinal(row.state)) {
        job->endStored = true;
        job->endedAt = now.steady;
        job->open.clear();
        m_live.erase(row.id);
        recordAborted(*job);
        return;
    }
    for (const auto &[number, progress] : row.open) {
        Occurrence occurrence = newOccurrence(job->row.spec);
        for (std::size_t index = 0; index < std::min(progress.size(), occurrence.steps.size()); ++index) {
            Step &step = occurrence.steps[index];
            for (std::uint32_t taskIndex = 0; taskIndex < std::min(progress[index].size(), step.tasks.size());
                 ++taskIndex) {
                step.tasks[taskIndex].progress = progress[index][taskIndex];
                if (progress[index][taskIndex].done) {
                    step.waiting.erase(taskIndex);
                    ++step.done;
                }
            }
            if (!step.tasks.empty() && step.done == step.tasks.size()) {
                ++occurrence.stepsDone;
            }
        }
        job->open[number] = std::move(occurrence);
    }
    for (const LateStart &late : row.lateStarts) {
        if (Task *lateTask = task(TaskId{row.id, late.occurrence, late.step, late.index})) {
            lateTask->abandonedStarts.push_back(AbandonedStart{late.worker, late.run, now.steady + late.left});
        }
    }
    for (const RecordedStart &start : row.starts) {
        restoreStart(row.id, start);
    }
}

void JobRegistry::restoreStart(const JobId &job, const RecordedStart &start)
{
    Task *started = task(TaskId{job, start.occurrence, start.step, start.index});
    if (started != nullptr && !started->progress.done && start.run > started->progress.endedRun) {
        started->recordedStart = start;
        started->startedRun = std::max(started->startedRun, start.run);
    }
}

void JobRegistry::openDueOccurrences(Job &job, Instant now)
{
    if (isFinal(job.state)) {
        return;
    }
    const GraphSpec &spec = job.row.spec;
    std::uint32_t next = job.open.empty() ? job.firstOpen : job.open.rbegin()->first + 1;
    while (next < spec.occurrences() && job.open.size() < spec.maxOpenOccurrences()
           && (spec.repeats == 0 || now.wall >= spec.dueAt(next))) {
        job.open[next] = newOccurrence(spec);
        ++next;
    }
}

void JobRegistry::openInheritedOccurrence(const TaskId &id)
{
    Job *job = find(id.job);
    if (job == nullptr || !job->inherited || isFinal(job->state) || id.occurrence >= job->row.spec.occurrences()) {
        return;
    }
    std::uint32_t next = job->open.empty() ? job->firstOpen : job->open.rbegin()->first + 1;
    for (; next <= id.occurrence && job->open.size() < job->row.spec.maxOpenOccurrences(); ++next) {
        job->open[next] = newOccurrence(job->row.spec);
    }
}

Job *JobRegistry::find(const JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Job *JobRegistry::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

Step *JobRegistry::step(const TaskId &id)
{
    Job *job = find(id.job);
    if (job == nullptr) {
        return nullptr;
    }
    const auto occurrence = job->open.find(id.occurrence);
    if (occurrence == job->open.end() || id.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    Step &step = occurrence->second.steps[id.step];
    return id.index < step.tasks.size() ? &step : nullptr;
}

Task *JobRegistry::task(const TaskId &id)
{
    Step *found = step(id);
    return found == nullptr ? nullptr : &found->tasks[id.index];
}

const StepSpec *JobRegistry::spec(const TaskId &id) const
{
    const Job *job = find(id.job);
    return job == nullptr || id.step >= job->row.spec.steps.size() ? nullptr : &job->row.spec.steps[id.step];
}

std::unordered_map<JobId, Job> &JobRegistry::jobs()
{
    return m_jobs;
}

const std::unordered_map<JobId, Job> &JobRegistry::jobs() const
{
    return m_jobs;
}

const std::set<JobId> &JobRegistry::live() const
{
    return m_live;
}

const std::set<JobId> &JobRegistry::aborted() const
{
    return m_aborted;
}

void JobRegistry::erase(const JobId &id)
{
    m_live.erase(id);
    m_aborted.erase(id);
    m_jobs.erase(id);
}

bool JobRegistry::isReady(const Job &job, const Occurrence &occurrence, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.row.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) {
        const Step &before = occurrence.steps[earlier];
        return before.done == before.tasks.size();
    });
}

Run &JobRegistry::begin(const TaskId &id, Run run)
{
    Step &taskStep = *step(id);
    if (run.phase != RunPhase::Recording) {
        markBegun(*find(id.job));
    }
    taskStep.waiting.erase(id.index);
    ++taskStep.onWorker[run.worker];
    Task &task = taskStep.tasks[id.index];
    task.startedRun = std::max(task.startedRun, run.number);
    task.recordedStart.reset();
    task.run = std::move(run);
    return *task.run;
}

void JobRegistry::markSent(const TaskId &id, TimePoint now)
{
    Run &run = *task(id)->run;
    run.phase = RunPhase::Ordered;
    run.orderedAt = now;
    markBegun(*find(id.job));
}

void JobRegistry::markBegun(Job &job)
{
    job.begun = true;
    if (job.state == GraphState::Queued) {
        job.state = GraphState::Running;
    }
}

void JobRegistry::requeue(Step &step, const TaskId &id)
{
    Task &task = step.tasks[id.index];
    const auto on = step.onWorker.find(task.run->worker);
    if (on != step.onWorker.end() && --on->second == 0) {
        step.onWorker.erase(on);
    }
    task.run.reset();
    if (!task.progress.done) {
        step.waiting.insert(id.index);
    }
}

EndEffect JobRegistry::end(const TaskId &id, RunNumber run, RunEnd how, std::uint32_t maxFailures, TimePoint now)
{
    Step *taskStep = step(id);
    if (taskStep == nullptr) {
        return EndEffect::Ignored;
    }
    Task &task = taskStep->tasks[id.index];
    if (!task.run || task.run->number != run) {
        return EndEffect::Ignored;
    }
    Job &job = *find(id.job);
    const bool isService = job.row.spec.steps[id.step].isService;
    const bool hasJobEnded = isFinal(job.state);
    if (how == RunEnd::Failed) {
        task.failedOn = task.run->worker;
    }
    task.progress.done = how == RunEnd::Done && !isService;
    task.progress.endedRun = std::max(task.progress.endedRun, run);
    requeue(*taskStep, id);
    if (isService) {
        task.notBefore = now + serviceRestartPause;
    }
    if (hasJobEnded) {
        return EndEffect::TaskWaits;
    }
    if (how == RunEnd::Failed && !isService) {
        recordFailure(task.progress, run);
    }
    if (how == RunEnd::Failed && !isService
        && failuresOf(job.row.spec.steps[id.step], *taskStep, task) >= maxFailures) {
        finish(job, GraphState::Failed, now);
        return EndEffect::JobEnded;
    }
    return task.progress.done ? countDone(id, now) : EndEffect::TaskWaits;
}

EndEffect JobRegistry::complete(const TaskId &id, RunNumber run, TimePoint now)
{
    Step &taskStep = *step(id);
    Task &task = taskStep.tasks[id.index];
    task.progress.done = true;
    task.progress.endedRun = std::max(task.progress.endedRun, run);
    taskStep.waiting.erase(id.index);
    return countDone(id, now);
}

EndEffect JobRegistry::countDone(const TaskId &id, TimePoint now)
{
    Job &job = *find(id.job);
    Occurrence &occurrence = job.open.at(id.occurrence);
    Step &taskStep = occurrence.steps[id.step];
    ++occurrence.tasksDone;
    if (++taskStep.done == taskStep.tasks.size()) {
        ++occurrence.stepsDone;
    }
    return closeOccurrences(job, now);
}

EndEffect JobRegistry::closeOccurrences(Job &job, TimePoint now)
{
    // Occurrences are closed in order, so that firstOpen alone tells which ones are done.
    while (!job.open.empty() && job.open.begin()->first == job.firstOpen
           && job.open.begin()->second.stepsDone == job.open.begin()->second.steps.size()) {
        job.open.erase(job.open.begin());
        ++job.firstOpen;
    }
    if (job.firstOpen < job.row.spec.occurrences()) {
        return EndEffect::TaskDone;
    }
    finish(job, GraphState::Completed, now);
    return EndEffect::JobEnded;
}

EndEffect JobRegistry::countFailure(const TaskId &id, RunNumber run, std::uint32_t maxFailures, TimePoint now)
{
    Step *taskStep = step(id);
    if (taskStep == nullptr) {
        return EndEffect::Ignored;
    }
    Task &task = taskStep->tasks[id.index];
    Job &job = *find(id.job);
    const StepSpec &spec = job.row.spec.steps[id.step];
    if (isFinal(job.state) || spec.isService || task.progress.done || !recordFailure(task.progress, run)) {
        return EndEffect::Ignored;
    }
    if (failuresOf(spec, *taskStep, task) < maxFailures) {
        return EndEffect::TaskWaits;
    }
    finish(job, GraphState::Failed, now);
    return EndEffect::JobEnded;
}

bool JobRegistry::recordCheckpoint(const TaskId &id, const std::string &checkpoint)
{
    if (checkpoint.empty()) {
        return true;
    }
    if (checkpoint.size() > find(id.job)->row.spec.maxCheckpointBytesPerTask()) {
        return false;
    }
    task(id)->progress.checkpoint = checkpoint;
    return true;
}

void JobRegistry::withdraw(const TaskId &id, RunNumber run)
{
    Step *taskStep = step(id);
    if (taskStep == nullptr || !taskStep->tasks[id.index].run || taskStep->tasks[id.index].run->number != run) {
        return;
    }
    requeue(*taskStep, id);
}

void JobRegistry::finish(Job &job, GraphState state, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    recordAborted(job);
}

void JobRegistry::recordAborted(const Job &job)
{
    if (job.state != GraphState::Completed) {
        m_aborted.insert(job.row.id);
    }
}

bool JobRegistry::hasRuns(const Job &job)
{
    for (const auto &[number, occurrence] : job.open) {
        for (const Step &step : occurrence.steps) {
            if (!step.onWorker.empty()) {
                return true;
            }
        }
    }
    return false;
}

void JobRegistry::retireIfDone(Job &job)
{
    if (!isFinal(job.state) || !job.endStored || hasRuns(job)) {
        return;
    }
    job.open.clear();
    // The steps stay: their resource needs are required while a worker that was cut off may still run a task of the
    // job.
    job.row.spec.payload.clear();
    m_live.erase(job.row.id);
}

ProgressRow JobRegistry::progressRow(const Job &job, TimePoint now) const
{
    ProgressRow row;
    row.id = job.row.id;
    row.state = job.state;
    row.begun = job.begun;
    row.firstOpen = job.firstOpen;
    if (isFinal(job.state)) {
        return row;
    }
    for (const auto &[number, occurrence] : job.open) {
        OccurrenceProgress &progress = row.open[number];
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            std::vector<TaskProgress> &tasks = progress.emplace_back();
            for (const Task &task : occurrence.steps[index].tasks) {
                const auto taskIndex = static_cast<std::uint32_t>(tasks.size());
                const auto stepIndex = static_cast<std::uint32_t>(index);
                addLateStarts(row, task, LateStart{number, stepIndex, taskIndex, 0, {}, {}}, now);
                addStart(row, task, RecordedStart{number, stepIndex, taskIndex, 0, {}, false});
                TaskProgress &stored = tasks.emplace_back(task.progress);
                stored.done = stored.done || task.isDoneEarlier;
                if (stored.done && !job.row.spec.steps[index].gang) {
                    stored.checkpoint.clear();
                }
            }
        }
    }
    return row;
}

RunTimeModel &JobRegistry::runTimes()
{
    return m_runTimes;
}

const RunTimeModel &JobRegistry::runTimes() const
{
    return m_runTimes;
}

double JobRegistry::meanWork(const QueueId &queue) const
{
    const auto found = m_queueWork.find(queue);
    if (found == m_queueWork.end() || found->second.cpu <= 0) {
        return 0;
    }
    const QueueWork &work = found->second;
    return work.cpu / work.jobs * m_runTimes.mean(queue, work.declaredWork / work.cpu);
}

std::uint64_t JobRegistry::pending(const QueueId &queue) const
{
    std::uint64_t count = 0;
    for (const JobId &id : m_live) {
        const Job &job = m_jobs.at(id);
        if (job.row.queue == queue && job.stored && !job.begun && !isFinal(job.state)) {
            ++count;
        }
    }
    return count;
}

} // namespace radishvane::cells
