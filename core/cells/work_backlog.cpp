#include "core/cells/work_backlog.h"

#include "core/cells/move_planner.h"
#include "core/cells/start_planner.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// A job is accepted if it is expected to end within this multiple of its objective.
constexpr double objectives = 1;

/// Longer waits are not told apart.
constexpr Duration maxWait{std::chrono::hours(1)};

/// Part of its run time that a running task still needs on average.
constexpr double remainingPart = 0.5;

bool isBatch(const GraphSpec &spec)
{
    return spec.repeats == 0
        && std::none_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &step) { return step.isService; });
}

/// Whether a worker runs tasks of its pool now or as soon as it has answered this owner.
bool serves(const Worker &worker)
{
    return worker.entry && worker.entry->state == WorkerState::Ready && !worker.incarnationEnded && !worker.cordoned
        && !worker.unreachable;
}

/// Whether completing the occurrence still has value.
bool isUseful(const Occurrence &occurrence, WallTime now)
{
    return !occurrence.estimatedAtTasksDone || now + occurrence.remainingCriticalPath <= occurrence.usefulUntil;
}

/// Largest amount of each resource that one task of the job needs.
Resources largestNeeds(const GraphSpec &spec)
{
    Resources needs;
    for (const StepSpec &step : spec.steps) {
        const Resources one = step.reserved();
        needs.cpu = std::max(needs.cpu, one.cpu);
        needs.memoryMb = std::max(needs.memoryMb, one.memoryMb);
        needs.accelerators = std::max(needs.accelerators, one.accelerators);
    }
    return needs;
}

} // namespace

void WorkBacklog::Amounts::add(const Resources &needs, double factor)
{
    cpu += static_cast<double>(needs.cpu) * factor;
    memoryMb += static_cast<double>(needs.memoryMb) * factor;
    accelerators += static_cast<double>(needs.accelerators) * factor;
}

WorkBacklog::Amounts &WorkBacklog::Amounts::operator+=(const Amounts &other)
{
    cpu += other.cpu;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

WorkBacklog::Amounts WorkBacklog::Amounts::scaled(double factor) const
{
    return Amounts{cpu * factor, memoryMb * factor, accelerators * factor};
}

void WorkBacklog::clear()
{
    m_pools.clear();
    m_nextCount = TimePoint{};
}

bool WorkBacklog::isDue(TimePoint now) const
{
    return now >= m_nextCount;
}

void WorkBacklog::count(const JobRegistry &registry, const WorkerRoster &roster, const SiteConfig &config,
                        const IncomingHosts &incoming, Instant now)
{
    m_nextCount = now.steady + countInterval;
    m_pools.clear();
    for (const auto &[id, worker] : roster.all()) {
        if (serves(worker)) {
            m_pools[worker.pool].capacity.add(worker.room(), MovePlanner::usableFraction);
        }
    }
    for (const auto &[id, hosts] : incoming.moving) {
        m_pools[id].arriving = hosts;
    }
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        const auto queue = config.queues.find(job.row.queue);
        if (!isFinal(job.state) && queue != config.queues.end()) {
            countJob(m_pools[queue->second.pool], job, queue->second, now.wall);
        }
    }
    shareAvailable(incoming.available);
    for (auto &[id, pool] : m_pools) {
        std::sort(pool.arriving.begin(), pool.arriving.end(),
                  [](const ArrivingCapacity &left, const ArrivingCapacity &right) { return left.after < right.after; });
    }
}

void WorkBacklog::countJob(PoolLoad &pool, const Job &job, const Queue &queue, WallTime now)
{
    Amounts &work = pool.work[Rank{queue.priority, !job.withinShare}][queue.id];
    for (const auto &[number, occurrence] : job.open) {
        const bool counts = isUseful(occurrence, now);
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const Step &step = occurrence.steps[index];
            const StepSpec &spec = job.row.spec.steps[index];
            const Resources needs = spec.reserved();
            const auto waiting = static_cast<double>(step.waiting.size());
            const double running = static_cast<double>(step.tasks.size() - step.done) - waiting;
            if (spec.isService) {
                // Waiting ones hold no capacity, and may wait for hosts that will never come.
                pool.services.add(needs, running);
                continue;
            }
            const double time = toMilliseconds(job.runTimes[index]);
            work.add(needs, remainingPart * running * time);
            pool.demand.add(needs, running);
            if (!counts || waiting == 0) {
                continue;
            }
            work.add(needs, waiting * time);
            if (JobRegistry::isReady(job, occurrence, index)) {
                pool.demand.add(needs, waiting);
            }
        }
    }
}

bool WorkBacklog::isLacking(const PoolLoad &pool)
{
    return pool.demand.cpu + pool.services.cpu > pool.capacity.cpu
        || pool.demand.memoryMb + pool.services.memoryMb > pool.capacity.memoryMb
        || pool.demand.accelerators + pool.services.accelerators > pool.capacity.accelerators;
}

void WorkBacklog::shareAvailable(const std::vector<ArrivingCapacity> &available)
{
    std::vector<PoolLoad *> lacking;
    for (auto &[id, pool] : m_pools) {
        if (isLacking(pool)) {
            lacking.push_back(&pool);
        }
    }
    for (std::size_t index = 0; index < available.size() && !lacking.empty(); ++index) {
        lacking[index % lacking.size()]->arriving.push_back(available[index]);
    }
}

void WorkBacklog::add(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes, bool withinShare)
{
    if (!isBatch(spec)) {
        return;
    }
    PoolLoad &pool = m_pools[queue.pool];
    Amounts &work = pool.work[Rank{queue.priority, !withinShare}][queue.id];
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        work.add(step.reserved(), step.count * toMilliseconds(runTimes[index]));
        if (step.after.empty()) {
            pool.demand.add(step.reserved(), step.count);
        }
    }
}

Duration WorkBacklog::lateness(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes,
                               bool withinShare) const
{
    const auto found = m_pools.find(queue.pool);
    if (found == m_pools.end() || !isBatch(spec)) {
        return Duration{0};
    }
    const PoolLoad &pool = found->second;
    PoolLoad withJob;
    withJob.capacity = pool.capacity;
    for (const ArrivingCapacity &host : pool.arriving) {
        withJob.capacity.add(host.room, MovePlanner::usableFraction);
    }
    withJob.services = pool.services;
    withJob.demand = pool.demand;
    for (const StepSpec &step : spec.steps) {
        if (step.after.empty()) {
            withJob.demand.add(step.reserved(), step.count);
        }
    }
    if (!isLacking(withJob)) {
        return Duration{0};
    }
    const Duration wait
        = waitFor(pool, workBefore(pool, queue, Rank{queue.priority, !withinShare}), largestNeeds(spec));
    const JobTimes times = expectedTimes(spec, runTimes, queue);
    const auto limit = std::chrono::duration_cast<Duration>(times.objective * objectives);
    return wait < minWait ? Duration{0} : std::max(Duration{0}, wait + times.criticalPath - limit);
}

WorkBacklog::Amounts WorkBacklog::workBefore(const PoolLoad &pool, const Queue &queue, const Rank &rank)
{
    Amounts before;
    for (auto earlier = pool.work.begin(); earlier != pool.work.lower_bound(rank); ++earlier) {
        for (const auto &[id, work] : earlier->second) {
            before += work;
        }
    }
    const auto same = pool.work.find(rank);
    if (same == pool.work.end()) {
        return before;
    }
    Amounts all;
    Amounts own;
    for (const auto &[id, work] : same->second) {
        all += work;
        own += id == queue.id ? work : Amounts{};
    }
    const auto queues = static_cast<double>(same->second.size() + (same->second.count(queue.id) == 0 ? 1 : 0));
    const Amounts share = own.scaled(queues);
    before.cpu += std::min(all.cpu, share.cpu);
    before.memoryMb += std::min(all.memoryMb, share.memoryMb);
    before.accelerators += std::min(all.accelerators, share.accelerators);
    return before;
}

Duration WorkBacklog::waitFor(const PoolLoad &pool, const Amounts &work, const Resources &needs)
{
    Duration wait{0};
    if (needs.cpu > 0) {
        wait = std::max(wait, waitFor(pool, work.cpu, &Amounts::cpu, &Resources::cpu));
    }
    if (needs.memoryMb > 0) {
        wait = std::max(wait, waitFor(pool, work.memoryMb, &Amounts::memoryMb, &Resources::memoryMb));
    }
    if (needs.accelerators > 0) {
        wait = std::max(wait, waitFor(pool, work.accelerators, &Amounts::accelerators, &Resources::accelerators));
    }
    return wait;
}

Duration WorkBacklog::waitFor(const PoolLoad &pool, double work, double Amounts::*amount,
                              std::uint64_t Resources::*room)
{
    // Capacity for the work until the arrival of the next host.
    double rate = std::max(0.0, pool.capacity.*amount - pool.services.*amount);
    double since = 0;
    for (const ArrivingCapacity &host : pool.arriving) {
        const double until = toMilliseconds(host.after);
        if (work <= rate * (until - since)) {
            break;
        }
        work -= rate * (until - since);
        since = until;
        rate += static_cast<double>(host.room.*room) * MovePlanner::usableFraction;
    }
    // A pool without hosts says nothing about the time of their arrival.
    const double wait = rate <= 0 ? 0 : since + work / rate;
    return Duration(static_cast<Duration::rep>(std::min(wait, toMilliseconds(maxWait))));
}

} // namespace radishvane::cells
