#include "core/cells/start_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishvane::cells
{

namespace
{

/// An end is of some use up to this many times the objective (published by the platform).
constexpr int lateFactor = 3;

/// Weight of a job's worth against its work; above 1 it favours large jobs, which otherwise come last in every peak.
constexpr double sizeFavour = 1.4;

/// What a job can still earn; the order is that of the starts.
enum class Hope {
    InTime,
    Late,
    /// Its team has sent more than it may count on.
    BeyondShare,
    TooLate,
};

struct Rank
{
    std::uint32_t priority = 0;
    bool finite = false;
    Hope hope = Hope::TooLate;
    double work = 0;
    WallTime accepted{};

    auto key() const
    {
        return std::tie(priority, finite, hope, work, accepted);
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

/// Longest chain of declared run times through the steps; done steps count for nothing when @p onlyLeft.
Duration longestChain(const Job &job, const Occurrence &occurrence, bool onlyLeft)
{
    const std::vector<StepSpec> &steps = job.row.spec.steps;
    std::vector<Duration> ends(steps.size(), Duration{0});
    Duration longest{0};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        Duration begin{0};
        for (const std::uint32_t earlier : steps[index].after) {
            begin = std::max(begin, ends[earlier]);
        }
        const Step &step = occurrence.steps[index];
        const bool isDone = onlyLeft && step.done == step.tasks.size();
        ends[index] = begin + (isDone ? Duration{0} : steps[index].estimate);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

/// Declared processor time of the tasks that are not done, in thousandths of a core times milliseconds.
double remainingWork(const Job &job, const Occurrence &occurrence)
{
    double work = 0;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const Step &step = occurrence.steps[index];
        const StepSpec &spec = job.row.spec.steps[index];
        work += static_cast<double>(step.tasks.size() - step.done) * static_cast<double>(spec.needs.cpu)
            * static_cast<double>(spec.estimate.count());
    }
    return work;
}

/// What a job of @p work earns against one of the mean work (published by the platform).
double worthOf(double work, double mean)
{
    constexpr double least = 0.3;
    constexpr double most = 4;
    return mean <= 0 ? 1 : std::min(most, least + (1 - least) * work / mean);
}

/// Weighs an occurrence anew when tasks of it have been done since.
void weigh(const JobRegistry &registry, const Job &job, Occurrence &occurrence, std::uint32_t number,
           const Queue &queue)
{
    if (occurrence.estimatedAtTasksDone == occurrence.tasksDone) {
        return;
    }
    const GraphSpec &graph = job.row.spec;
    if (!occurrence.estimatedAtTasksDone) {
        const auto whole = longestChain(job, occurrence, false);
        const WallTime begin = graph.repeats > 0 ? graph.dueAt(number) : job.row.accepted;
        const Duration allowed = std::chrono::duration_cast<Duration>(whole * queue.stretch) + queue.targetDuration;
        occurrence.objective = begin + allowed;
        occurrence.lastUse = begin + lateFactor * allowed;
        occurrence.worth = worthOf(graph.work(), registry.meanWork(job.row.queue));
    }
    occurrence.remainingCriticalPath = longestChain(job, occurrence, true);
    occurrence.workLeft = remainingWork(job, occurrence);
    occurrence.estimatedAtTasksDone = occurrence.tasksDone;
}

Rank rankOf(const Job &job, const Occurrence &occurrence, const StepSpec &spec, const Queue &queue, Instant now)
{
    Rank rank;
    rank.priority = queue.priority;
    rank.finite = !spec.isService;
    rank.accepted = job.row.accepted;
    if (spec.isService) {
        return rank;
    }
    const WallTime soonest = now.wall + occurrence.remainingCriticalPath;
    if (soonest > occurrence.lastUse) {
        return rank;
    }
    const Hope hope = soonest <= occurrence.objective ? Hope::InTime : Hope::Late;
    rank.hope = job.withinShare ? hope : Hope::BeyondShare;
    rank.work = occurrence.workLeft / std::pow(occurrence.worth, sizeFavour);
    return rank;
}

bool hasRoom(const Worker &worker, const StepSpec &spec, const Step &step)
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

/// Filling tasks disturb lasting ones, so the two are kept apart as far as there is other room.
bool disturbs(const Worker &worker, const StepSpec &spec)
{
    if (spec.bestEffort) {
        return worker.guarded > 0;
    }
    return spec.isService && spec.tailLatencyTarget > Duration{0} && worker.filling > 0;
}

} // namespace

std::vector<ReadyStep> startOrder(JobRegistry &registry, const SiteConfig &config, Instant now)
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
                weigh(registry, job, occurrence, number, queue->second);
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

PoolRooms::PoolRooms(WorkerRoster &roster, TimePoint now) : m_now(now)
{
    for (auto &[id, worker] : roster.all()) {
        if (worker.takesTasks(now)) {
            m_workers[worker.pool].push_back(&worker);
        }
    }
}

const std::vector<Worker *> &PoolRooms::workers(const PoolId &pool) const
{
    static const std::vector<Worker *> none;
    const auto found = m_workers.find(pool);
    return found == m_workers.end() ? none : found->second;
}

TimePoint PoolRooms::now() const
{
    return m_now;
}

bool PoolRooms::isFullFor(const PoolId &pool, const StepSpec &spec) const
{
    const auto found = m_refused.find(pool);
    return found != m_refused.end() && found->second.fitsIn(spec.reserved());
}

void PoolRooms::noteFull(const PoolId &pool, const StepSpec &spec)
{
    // Only a task that any worker could have taken tells about others.
    if (spec.label.empty() && spec.maxPerWorker == 0 && !spec.bestEffort && spec.tailLatencyTarget == Duration{0}) {
        m_refused.try_emplace(pool, spec.reserved());
    }
}

Worker *chooseWorker(const PoolRooms &rooms, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, const WorkerFilter &mayRun)
{
    Worker *best = nullptr;
    std::tuple<bool, bool, bool, double> bestScore;
    for (Worker *worker : rooms.workers(ready.pool)) {
        if (!worker->hasLabel(spec.label) || !hasRoom(*worker, spec, step) || !mayRun(*worker)
            || (spec.bestEffort && rooms.now() < worker->fillNotBefore)) {
            continue;
        }
        const bool isFar = !worker->hasLabel(spec.rack);
        const bool failedHere = task.failedOn == worker->id;
        const double room = static_cast<double>(std::max<std::uint64_t>(worker->room().cpu, 1));
        const double taken = static_cast<double>(worker->used.cpu + worker->fillingCpu) / room;
        // Filled workers leave others idle, which may then serve another pool; tasks that disturb each other are
        // spread.
        const bool isSpread = spec.bestEffort || spec.tailLatencyTarget > Duration{0};
        const std::tuple<bool, bool, bool, double> score{disturbs(*worker, spec), isFar, failedHere,
                                                         isSpread ? taken : -taken};
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

} // namespace radishvane::cells
