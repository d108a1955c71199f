#include "core/cells/start_planner.h"

#include <algorithm>
#include <tuple>

namespace radishvane::cells
{

namespace
{

struct Rank
{
    std::uint32_t priority = 0;
    bool finite = false;
    bool late = false;
    double work = 0;
    WallTime accepted{};

    auto key() const
    {
        return std::tie(priority, finite, late, work, accepted);
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

Rank rankOf(const Job &job, const Occurrence &occurrence, std::uint32_t number, const StepSpec &spec,
            const Queue &queue, Instant now)
{
    Rank rank;
    rank.priority = queue.priority;
    rank.finite = !spec.lasting;
    rank.accepted = job.row.accepted;
    if (spec.lasting) {
        return rank;
    }
    const GraphSpec &graph = job.row.spec;
    Duration chain{0};
    for (const StepSpec &step : graph.steps) {
        chain += step.estimate;
    }
    const WallTime begin = graph.repeats > 0 ? graph.dueAt(number) : job.row.accepted;
    const auto objective = std::chrono::duration_cast<Duration>(chain * queue.stretch) + queue.targetDuration;
    rank.late = now.wall + remainingChain(job, occurrence) > begin + objective;
    rank.work = rank.late ? 0 : remainingWork(job, occurrence);
    return rank;
}

bool hasRoom(const Worker &worker, const StepSpec &spec, const Step &step)
{
    if (!(worker.used + spec.reserved()).fitIn(worker.room())) {
        return false;
    }
    if (spec.mostPerWorker == 0) {
        return true;
    }
    const auto on = step.onWorker.find(worker.id);
    return on == step.onWorker.end() || on->second < spec.mostPerWorker;
}

/// Filling tasks disturb lasting ones, so the two are kept apart.
bool disturbs(const Worker &worker, const StepSpec &spec)
{
    if (spec.filling) {
        return worker.guarded > 0;
    }
    return spec.lasting && spec.tailTarget > Duration{0} && worker.filling > 0;
}

} // namespace

Duration remainingChain(const Job &job, const Occurrence &occurrence)
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
        const bool isDone = step.done == step.tasks.size();
        ends[index] = begin + (isDone ? Duration{0} : steps[index].estimate);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

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

std::vector<ReadyStep> startOrder(const JobBook &book, const SiteConfig &config, Instant now)
{
    std::vector<RankedStep> ranked;
    for (const JobId &id : book.live()) {
        const Job &job = *book.find(id);
        const auto queue = config.queues.find(job.row.queue);
        if (isFinal(job.state) || !job.stored || queue == config.queues.end()) {
            continue;
        }
        for (const auto &[number, occurrence] : job.open) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                if (!hasWaitingTask(occurrence.steps[index], now.steady) || !JobBook::isReady(job, occurrence, index)) {
                    continue;
                }
                const StepSpec &spec = job.row.spec.steps[index];
                ranked.push_back(RankedStep{rankOf(job, occurrence, number, spec, queue->second, now),
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

Worker *chooseWorker(WorkerRoster &roster, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, TimePoint now)
{
    Worker *best = nullptr;
    std::tuple<bool, bool, double> bestScore;
    for (auto &[id, worker] : roster.all()) {
        if (worker.pool != ready.pool || !worker.takesTasks(now) || !worker.hasLabel(spec.label)
            || !hasRoom(worker, spec, step) || disturbs(worker, spec)) {
            continue;
        }
        const bool nearData = worker.hasLabel(spec.rack);
        const bool failedHere = task.failedOn == id;
        const double room = static_cast<double>(std::max<std::uint64_t>(worker.room().cpu, 1));
        const double taken = static_cast<double>(worker.used.cpu + worker.fillingCpu) / room;
        const std::tuple<bool, bool, double> score{!nearData, failedHere, taken};
        if (best == nullptr || score < bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

} // namespace radishvane::cells
