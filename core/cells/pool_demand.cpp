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

std::uint32_t leastHosts(const StepSpec &spec)
{
    return spec.maxPerWorker == 0 ? 1 : (spec.count + spec.maxPerWorker - 1) / spec.maxPerWorker;
}

/// Whether the occurrence's end can still earn in full; a new one has not been weighed yet.
bool canBeInTime(const Occurrence &occurrence, WallTime now)
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
    demand.leastHosts = std::max(demand.leastHosts, leastHosts(spec));
    const bool isWanted = isWaiting && (spec.isService || canBeInTime(occurrence, now.wall));
    const Resources needs = needsOf(spec, running + (isWanted ? step.waiting.size() : 0));
    demand.present += needs;
    if (isWaiting && !isWanted) {
        demand.late += needsOf(spec, step.waiting.size());
    }
    if (spec.isService) {
        demand.lasting += needs;
    }
}

} // namespace

Resources PoolDemand::soon() const
{
    const Resources foreseen = lasting + expected;
    return Resources{std::max(present.cpu, foreseen.cpu), std::max(present.memoryMb, foreseen.memoryMb),
                     std::max(present.accelerators, foreseen.accelerators)};
}

void DemandForecast::clear()
{
    m_arrivals.clear();
}

void DemandForecast::add(const PoolId &pool, const GraphSpec &spec, TimePoint now)
{
    Arrival arrival;
    arrival.at = now;
    for (const StepSpec &step : spec.steps) {
        if (step.isService || spec.repeats > 0) {
            continue;
        }
        const Resources needs = needsOf(step, step.count);
        const double length = toMilliseconds(step.estimate);
        arrival.cpu += static_cast<double>(needs.cpu) * length;
        arrival.memory += static_cast<double>(needs.memoryMb) * length;
        arrival.accelerators += static_cast<double>(needs.accelerators) * length;
    }
    std::deque<Arrival> &arrivals = m_arrivals[pool];
    arrivals.push_back(arrival);
    while (now - arrivals.front().at > 2 * span) {
        arrivals.pop_front();
    }
}

Resources DemandForecast::expected(const PoolId &pool, TimePoint now) const
{
    const auto found = m_arrivals.find(pool);
    if (found == m_arrivals.end()) {
        return {};
    }
    Arrival latest;
    Arrival before;
    for (const Arrival &arrival : found->second) {
        const Duration age = std::chrono::duration_cast<Duration>(now - arrival.at);
        if (age > 2 * span) {
            continue;
        }
        Arrival &sum = age <= span ? latest : before;
        sum.cpu += arrival.cpu;
        sum.memory += arrival.memory;
        sum.accelerators += arrival.accelerators;
    }
    const double spans = toMilliseconds(lead) / toMilliseconds(span);
    const auto foresee = [spans](double recent, double earlier) {
        // A rise goes on for the lead time; a fall is believed only once it has come.
        const double rise = std::max(0.0, recent - earlier) * spans;
        return static_cast<std::uint64_t>((recent + rise) / toMilliseconds(span));
    };
    return Resources{foresee(latest.cpu, before.cpu), foresee(latest.memory, before.memory),
                     foresee(latest.accelerators, before.accelerators)};
}

std::map<PoolId, PoolDemand> demandOfPools(const JobRegistry &registry, const SiteConfig &config,
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
