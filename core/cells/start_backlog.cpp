#include "core/cells/start_backlog.h"

#include "core/cells/start_planner.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

double bytesOf(const GraphSpec &spec, std::size_t orders)
{
    return static_cast<double>(orders) * StartPacer::orderBytes(spec.payload.size());
}

double bytesOf(const GraphSpec &spec)
{
    std::size_t orders = 0;
    for (const StepSpec &step : spec.steps) {
        orders += step.count;
    }
    return bytesOf(spec, orders);
}

/// Number of waiting tasks of the occurrences that can still end in time.
std::size_t waitingTasks(const Job &job, WallTime now)
{
    std::size_t tasks = 0;
    for (const auto &[number, occurrence] : job.open) {
        if (occurrence.estimatedAtTasksDone && now + occurrence.remainingCriticalPath > occurrence.usefulUntil) {
            continue;
        }
        for (const Step &step : occurrence.steps) {
            tasks += step.waiting.size();
        }
    }
    return tasks;
}

} // namespace

void StartBacklog::clear()
{
    m_bytes.clear();
    m_nextUpdate = TimePoint{};
}

void StartBacklog::update(JobRegistry &registry, const SiteConfig &config, Instant now)
{
    if (now.steady < m_nextUpdate) {
        return;
    }
    m_nextUpdate = now.steady + countInterval;
    m_bytes.clear();
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        const auto queue = config.queues.find(job.row.queue);
        if (!isFinal(job.state) && queue != config.queues.end()) {
            m_bytes[Rank{queue->second.priority, !job.withinShare}]
                += bytesOf(job.row.spec, waitingTasks(job, now.wall));
        }
    }
}

void StartBacklog::add(const Queue &queue, const GraphSpec &spec, bool withinShare)
{
    if (spec.repeats == 0) {
        m_bytes[Rank{queue.priority, !withinShare}] += bytesOf(spec);
    }
}

Duration StartBacklog::lateness(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes, bool withinShare,
                                const StartPacer &pacer) const
{
    const bool hasService
        = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &step) { return step.isService; });
    if (hasService || spec.repeats > 0) {
        return Duration{0};
    }
    double bytes = bytesOf(spec);
    for (auto rank = m_bytes.begin(); rank != m_bytes.upper_bound(Rank{queue.priority, !withinShare}); ++rank) {
        bytes += rank->second;
    }
    const Duration wait = pacer.timeFor(bytes);
    const JobTimes times = expectedTimes(spec, runTimes, queue);
    return wait < minWait ? Duration{0} : std::max(Duration{0}, wait + times.criticalPath - times.objective);
}

} // namespace radishvane::cells
