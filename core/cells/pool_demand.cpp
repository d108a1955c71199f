#include "core/cells/pool_demand.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

std::uint64_t times(std::uint64_t need, std::size_t count)
{
    return need * static_cast<std::uint64_t>(count);
}

Resources needsOf(const StepSpec &spec, std::size_t count)
{
    const Resources one = spec.reserved();
    return Resources{times(one.cpu, count), times(one.memoryMb, count), times(one.accelerators, count)};
}

std::uint32_t minHosts(const StepSpec &spec)
{
    return spec.maxPerWorker == 0 ? 1 : (spec.count + spec.maxPerWorker - 1) / spec.maxPerWorker;
}

/// Whether the occurrence can still end within its objective; a new one without a computed objective counts as able to.
bool canMeetObjective(const Occurrence &occurrence, WallTime now)
{
    return !occurrence.estimatedAtTasksDone || now + occurrence.remainingCriticalPath <= occurrence.objective;
}

void addStep(PoolDemand &demand, const Job &job, const Occurrence &occurrence, std::uint32_t index, Instant now)
{
    const StepSpec &spec = job.row.spec.steps[index];
    const Step &step = occurrence.steps[index];
    if (!spec.label.empty()) {
        demand.labels.insert(spec.label);
    }
    const std::size_t running = step.tasks.size() - step.done - step.waiting.size();
    const bool isWaiting = !step.waiting.empty() && JobRegistry::isReady(job, occurrence, index);
    if (running == 0 && !isWaiting) {
        return;
    }
    demand.minHosts = std::max(demand.minHosts, minHosts(spec));
    const bool needsHost = isWaiting && (spec.isService || canMeetObjective(occurrence, now.wall));
    const std::size_t tasks = running + (needsHost ? step.waiting.size() : 0);
    const Resources needs = needsOf(spec, tasks);
    demand.current += needs;
    if (isWaiting && !needsHost) {
        demand.overdue += needsOf(spec, step.waiting.size());
    }
    if (spec.isService) {
        demand.serviceTasks += needs;
        demand.services.push_back(ServiceTasks{tasks, spec.reserved(), spec.maxPerWorker});
        if (isWaiting && step.lacksCapacity && spec.label.empty()) {
            demand.unplacedServices.push_back(ServiceTasks{step.waiting.size(), spec.reserved(), spec.maxPerWorker});
        }
    }
}

} // namespace

Resources PoolDemand::required() const
{
    const Resources forecast = serviceTasks + expected;
    return Resources{std::max(current.cpu, forecast.cpu), std::max(current.memoryMb, forecast.memoryMb),
                     std::max(current.accelerators, forecast.accelerators)};
}

Resources PoolDemand::requiredForBatch() const
{
    return Resources{std::max(current.cpu - serviceTasks.cpu, expected.cpu),
                     std::max(current.memoryMb - serviceTasks.memoryMb, expected.memoryMb),
                     std::max(current.accelerators - serviceTasks.accelerators, expected.accelerators)};
}

void DemandForecast::clear()
{
    m_arrivals.clear();
}

void DemandForecast::add(const PoolId &pool, const GraphSpec &spec, const RunTimes &runTimes, TimePoint now)
{
    Arrival arrival;
    arrival.at = now;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        if (step.isService || spec.repeats > 0) {
            continue;
        }
        const Resources needs = needsOf(step, step.count);
        const double length = toMilliseconds(runTimes[index]);
        arrival.cpu += static_cast<double>(needs.cpu) * length;
        arrival.memory += static_cast<double>(needs.memoryMb) * length;
        arrival.accelerators += static_cast<double>(needs.accelerators) * length;
    }
    std::deque<Arrival> &arrivals = m_arrivals[pool];
    arrivals.push_back(arrival);
    while (now - arrivals.front().at > 2 * window) {
        arrivals.pop_front();
    }
}

Resources DemandForecast::expected(const PoolId &pool, TimePoint now) const
{
    const auto found = m_arrivals.find(pool);
    if (found == m_arrivals.end()) {
        return {};
    }
    Arrival recent;
    Arrival earlier;
    for (const Arrival &arrival : found->second) {
        const Duration age = std::chrono::duration_cast<Duration>(now - arrival.at);
        if (age > 2 * window) {
            continue;
        }
        Arrival &sum = age <= window ? recent : earlier;
        sum.cpu += arrival.cpu;
        sum.memory += arrival.memory;
        sum.accelerators += arrival.accelerators;
    }
    const double leadWindows = toMilliseconds(leadTime) / toMilliseconds(window);
    const auto extrapolate = [leadWindows](double current, double previous) {
        // Extrapolates a rise over the lead time, but follows a fall only after it has happened.
        const double rise = std::max(0.0, current - previous) * leadWindows;
        return static_cast<std::uint64_t>((current + rise) / toMilliseconds(window));
    };
    return Resources{extrapolate(recent.cpu, earlier.cpu), extrapolate(recent.memory, earlier.memory),
                     extrapolate(recent.accelerators, earlier.accelerators)};
}

std::map<PoolId, PoolDemand> computePoolDemands(const JobRegistry &registry, const SiteConfig &config,
                                                const DemandForecast &forecast, Instant now)
{
    std::map<PoolId, PoolDemand> demands;
    for (const auto &[id, pool] : config.pools) {
        demands[id].expected = forecast.expected(id, now.steady);
    }
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        const auto queue = config.queues.find(job.row.queue);
        if (isFinal(job.state) || !job.stored || queue == config.queues.end()) {
            continue;
        }
        PoolDemand &demand = demands[queue->second.pool];
        for (const auto &[number, occurrence] : job.open) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                addStep(demand, job, occurrence, step, now);
            }
        }
    }
    return demands;
}

} // namespace radishvane::cells
