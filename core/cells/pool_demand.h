#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace radishvane::cells
{

/// What the tasks of one pool ask of its hosts.
struct PoolDemand
{
    /// Tasks on workers, and waiting ones whose jobs can still be in time.
    Resources present;
    /// What jobs that come within the next seconds are expected to take beside lasting tasks.
    Resources expected;
    /// Lasting tasks on workers and waiting ones.
    Resources lasting;
    /// Waiting tasks of jobs that can be in time no more.
    Resources late;
    /// Least hosts for steps that bound their tasks on one worker.
    std::uint32_t leastHosts = 0;
    /// Labels that steps of its jobs name.
    std::set<std::string> labels;

    /// What the pool has to hold soon.
    Resources soon() const;
};

/// Foresees what the jobs of each pool take, from the work that came in the last seconds.
///
/// Answers queues that peak in turn, each over some seconds: a host needs longer to come than a task to run, so that
/// the work at hand alone asks for hosts too late.
class DemandForecast
{
public:
    /// Span over which arrivals are counted, and compared with the span before it.
    static constexpr Duration span{1'000};
    /// Time for a host to come and to take tasks (published: 1.5 s for the move), for which a rise is foreseen.
    static constexpr Duration lead{2'500};

    void clear();
    /// A job was accepted for the pool.
    void add(const PoolId &pool, const GraphSpec &spec, TimePoint now);
    /// What finite jobs of @p pool are expected to take at the same time.
    Resources expected(const PoolId &pool, TimePoint now) const;

private:
    struct Arrival
    {
        TimePoint at;
        /// Resources times milliseconds.
        double cpu = 0;
        double memory = 0;
        double accelerators = 0;
    };

    std::map<PoolId, std::deque<Arrival>> m_arrivals;
};

/// Demand of each pool of @p config by the jobs in @p registry.
std::map<PoolId, PoolDemand> demandOfPools(const JobRegistry &registry, const SiteConfig &config,
                                           const DemandForecast &forecast, Instant now);

} // namespace radishvane::cells
