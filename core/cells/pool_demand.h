#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Service tasks of one step, on workers and waiting.
struct ServiceTasks
{
    std::size_t count = 0;
    /// What each task reserves.
    Resources each;
    /// Limit of the step's tasks on one host; 0 if there is none.
    std::uint32_t maxPerHost = 0;
};

/// Resources that the tasks of one pool need on its hosts.
struct PoolDemand
{
    /// Tasks on workers, and waiting tasks whose jobs can still meet their objective.
    Resources current;
    /// Forecast for jobs that arrive in the next seconds, without service tasks.
    Resources expected;
    /// Service tasks, both on workers and waiting.
    Resources serviceTasks;
    /// The same tasks by step, since a task of a service waits as long as no host has room for a whole one.
    std::vector<ServiceTasks> services;
    /// Waiting service tasks for which no worker has capacity, although the hosts may suffice by their sums: tasks of
    /// several steps leave capacity that no whole task can use.
    std::vector<ServiceTasks> unplacedServices;
    /// Waiting tasks of jobs that can no longer meet their objective.
    Resources overdue;
    /// Minimum number of hosts for steps that limit their tasks per worker.
    std::uint32_t minHosts = 0;
    /// Labels that the steps of the pool's jobs require.
    std::set<std::string> labels;

    /// Resources that the pool has to provide soon: the larger of the current and the forecast demand.
    Resources required() const;
    /// The part of required() that is not for service tasks.
    Resources requiredForBatch() const;
};

/// Forecasts the resources that the jobs of each pool need, based on the arrivals of the last seconds.
///
/// Serves queues whose load peaks one after the other, each for some seconds. A host takes longer to become available
/// than a task takes to run, so the current work alone would request hosts too late.
class DemandForecast
{
public:
    /// Window over which arrivals are summed and compared with the window before it.
    static constexpr Duration window{1'000};
    /// Time until a moved host accepts tasks (published: 1.5 s for the move); a rise is extrapolated over this time.
    static constexpr Duration leadTime{2'500};

    void clear();
    /// Adds a job that was accepted for @p pool at @p now.
    void add(const PoolId &pool, const GraphSpec &spec, const RunTimes &runTimes, TimePoint now);
    /// Returns the resources that jobs of @p pool without service tasks are expected to use at the same time.
    Resources expected(const PoolId &pool, TimePoint now) const;

private:
    struct Arrival
    {
        TimePoint at;
        /// Resource amounts multiplied by the run time in milliseconds.
        double cpu = 0;
        double memory = 0;
        double accelerators = 0;
    };

    std::map<PoolId, std::deque<Arrival>> m_arrivals;
};

/// Computes the demand of each pool of @p config from the jobs in @p registry and the forecast.
std::map<PoolId, PoolDemand> computePoolDemands(const JobRegistry &registry, const SiteConfig &config,
                                                const DemandForecast &forecast, Instant now);

} // namespace radishvane::cells
