#include "core/cells/start_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishvane::cells
{

namespace
{

/// Completing a job has some value up to this multiple of its allowed time (published by the platform).
constexpr int lateFactor = 3;

/// Exponent of a job's value against its remaining work. Above 1 it favours large jobs, which otherwise come last in
/// every peak.
constexpr double valueExponent = 1.4;

/// What a job can still earn, in starting order.
enum class DeadlineClass {
    InTime,
    Late,
    /// The team exceeded its share when it submitted the job.
    BeyondShare,
    TooLate,
};

struct Rank
{
    std::uint32_t priority = 0;
    bool isBatch = false;
    DeadlineClass deadlineClass = DeadlineClass::TooLate;
    double work = 0;
    WallTime accepted{};

    auto key() const
    {
        return std::tie(priority, isBatch, deadlineClass, work, accepted);
    }
};

struct RankedStep
{
    Rank rank;
    ReadyStep step;
};

bool hasWaitingTask(const Step &step, TimePoint now)
{
    return std::any_of(step.waiting.begin(), step.waiting.end(),
                       [&](std::uint32_t index) { return step.tasks[index].notBefore <= now; });
}

/// Longest path through the steps. Steps that are done in @p occurrence have length zero.
Duration criticalPath(const GraphSpec &spec, const RunTimes &runTimes, const Occurrence *occurrence)
{
    const std::vector<StepSpec> &steps = spec.steps;
    std::vector<Duration> ends(steps.size(), Duration{0});
    Duration longest{0};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        Duration begin{0};
        for (const std::uint32_t earlier : steps[index].after) {
            begin = std::max(begin, ends[earlier]);
        }
        const bool isDone
            = occurrence != nullptr && occurrence->steps[index].done == occurrence->steps[index].tasks.size();
        ends[index] = begin + (isDone ? Duration{0} : runTimes[index]);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

/// Expected processor time of the tasks that are not done, in thousandths of a core times milliseconds.
double remainingWork(const Job &job, const Occurrence &occurrence)
{
    double work = 0;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const Step &step = occurrence.steps[index];
        const StepSpec &spec = job.row.spec.steps[index];
        work += static_cast<double>(step.tasks.size() - step.done) * static_cast<double>(spec.needs.cpu)
            * toMilliseconds(job.runTimes[index]);
    }
    return work;
}

/// Value of a job of @p work relative to a job of the queue's mean work (published by the platform).
double relativeValue(double work, double mean)
{
    constexpr double minValue = 0.3;
    constexpr double maxValue = 4;
    return mean <= 0 ? 1 : std::min(maxValue, minValue + (1 - minValue) * work / mean);
}

/// Recomputes the estimates of an occurrence if tasks of it were completed or run times were learned since the last
/// time.
void updateEstimates(const JobRegistry &registry, Job &job, Occurrence &occurrence, std::uint32_t number,
                     const Queue &queue)
{
    const std::uint64_t generation = registry.runTimes().generation();
    if (occurrence.estimatedAtTasksDone == occurrence.tasksDone && occurrence.estimatedAtGeneration == generation) {
        return;
    }
    occurrence.estimatedAtGeneration = generation;
    const GraphSpec &graph = job.row.spec;
    job.runTimes = registry.runTimes().expected(job.row.queue, graph);
    const JobTimes times = expectedTimes(graph, job.runTimes, queue);
    const WallTime begin = graph.repeats > 0 ? graph.dueAt(number) : job.row.accepted;
    // An accepted job keeps the time that it was accepted for when shorter run times are learned.
    occurrence.objective = std::max(occurrence.objective, begin + times.objective);
    occurrence.usefulUntil = std::max(occurrence.usefulUntil, begin + times.useful);
    occurrence.value = relativeValue(graph.work(job.runTimes), registry.meanWork(job.row.queue));
    occurrence.remainingCriticalPath = criticalPath(graph, job.runTimes, &occurrence);
    occurrence.remainingWork = remainingWork(job, occurrence);
    occurrence.estimatedAtTasksDone = occurrence.tasksDone;
}

Rank rankOf(const Job &job, const Occurrence &occurrence, const StepSpec &spec, const Queue &queue, Instant now)
{
    Rank rank;
    rank.priority = queue.priority;
    rank.isBatch = !spec.isService;
    rank.accepted = job.row.accepted;
    if (spec.isService) {
        return rank;
    }
    const WallTime earliestEnd = now.wall + occurrence.remainingCriticalPath;
    if (earliestEnd > occurrence.usefulUntil) {
        return rank;
    }
    const DeadlineClass deadlineClass
        = earliestEnd <= occurrence.objective ? DeadlineClass::InTime : DeadlineClass::Late;
    rank.deadlineClass = job.withinShare ? deadlineClass : DeadlineClass::BeyondShare;
    rank.work = occurrence.remainingWork / std::pow(occurrence.value, valueExponent);
    return rank;
}

/// Best-effort tasks interfere with service tasks that have a latency target, so the two share a worker only when no
/// other worker has capacity.
bool interferes(const Worker &worker, const StepSpec &spec)
{
    if (spec.bestEffort) {
        return worker.latencyBoundTasks > 0;
    }
    return spec.isService && spec.tailLatencyTarget > Duration{0} && worker.bestEffortTasks > 0;
}

} // namespace

bool hasCapacity(const Worker &worker, const StepSpec &spec, const Step &step)
{
    if (!(worker.used + worker.foreignUsed + spec.reserved()).fitsIn(worker.room())) {
        return false;
    }
    if (spec.maxPerWorker == 0) {
        return true;
    }
    const auto on = step.onWorker.find(worker.id);
    return on == step.onWorker.end() || on->second < spec.maxPerWorker;
}

JobTimes expectedTimes(const GraphSpec &spec, const RunTimes &runTimes, const Queue &queue)
{
    JobTimes times;
    times.criticalPath = criticalPath(spec, runTimes, nullptr);
    times.objective = std::chrono::duration_cast<Duration>(times.criticalPath * queue.stretch) + queue.targetDuration;
    times.useful = lateFactor * times.objective;
    return times;
}

std::vector<ReadyStep> rankReadySteps(JobRegistry &registry, const SiteConfig &config, Instant now)
{
    std::vector<RankedStep> ranked;
    for (const JobId &id : registry.live()) {
        Job &job = *registry.find(id);
        const auto queue = config.queues.find(job.row.queue);
        if (isFinal(job.state) || !job.stored || queue == config.queues.end()) {
            continue;
        }
        for (auto &[number, occurrence] : job.open) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                if (!hasWaitingTask(occurrence.steps[index], now.steady)
                    || !JobRegistry::isReady(job, occurrence, index)) {
                    continue;
                }
                updateEstimates(registry, job, occurrence, number, queue->second);
                const StepSpec &spec = job.row.spec.steps[index];
                ranked.push_back(RankedStep{rankOf(job, occurrence, spec, queue->second, now),
                                            ReadyStep{id, number, index, queue->second.pool}});
            }
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const RankedStep &left, const RankedStep &right) {
        return left.rank.key() < right.rank.key();
    });
    std::vector<ReadyStep> order;
    order.reserve(ranked.size());
    for (RankedStep &step : ranked) {
        order.push_back(std::move(step.step));
    }
    return order;
}

CandidateWorkers::CandidateWorkers(WorkerRoster &roster, TimePoint now) : m_now(now)
{
    for (auto &[id, worker] : roster.all()) {
        if (worker.acceptsTasks(now)) {
            m_workers[worker.pool].push_back(&worker);
        }
    }
}

const std::vector<Worker *> &CandidateWorkers::workers(const PoolId &pool) const
{
    static const std::vector<Worker *> none;
    const auto found = m_workers.find(pool);
    return found == m_workers.end() ? none : found->second;
}

TimePoint CandidateWorkers::now() const
{
    return m_now;
}

bool CandidateWorkers::isFullFor(const PoolId &pool, const StepSpec &spec) const
{
    const auto found = m_fullFor.find(pool);
    return found != m_fullFor.end() && found->second.fitsIn(spec.reserved());
}

void CandidateWorkers::markFull(const PoolId &pool, const StepSpec &spec)
{
    // Only the failure of an unconstrained task shows that the pool is full for other tasks.
    if (spec.label.empty() && spec.maxPerWorker == 0 && !spec.bestEffort && spec.tailLatencyTarget == Duration{0}) {
        m_fullFor.try_emplace(pool, spec.reserved());
    }
}

Worker *chooseWorker(const CandidateWorkers &candidates, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, const WorkerFilter &mayRun)
{
    Worker *best = nullptr;
    std::tuple<bool, bool, bool, double> bestScore;
    for (Worker *worker : candidates.workers(ready.pool)) {
        if (!worker->hasLabel(spec.label) || !hasCapacity(*worker, spec, step) || !mayRun(*worker)
            || (spec.bestEffort && candidates.now() < worker->bestEffortNotBefore)) {
            continue;
        }
        const bool isRemote = !worker->hasLabel(spec.rack);
        const bool failedHere = task.failedOn == worker->id;
        const double capacity = static_cast<double>(std::max<std::uint64_t>(worker->room().cpu, 1));
        const double usage = static_cast<double>(worker->used.cpu + worker->bestEffortCpu) / capacity;
        // Packing leaves whole workers idle, which may then serve another pool. Tasks that interfere with each other
        // are spread.
        const bool shouldSpread = spec.bestEffort || spec.tailLatencyTarget > Duration{0};
        const std::tuple<bool, bool, bool, double> score{interferes(*worker, spec), isRemote, failedHere,
                                                         shouldSpread ? usage : -usage};
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

} // namespace radishvane::cells
