#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"

#include <map>
#include <utility>
#include <vector>

namespace radishvane::cells
{

/// Capacity that a host adds to a pool.
struct ArrivingCapacity
{
    /// Time until the move of the host can be ordered, or zero if it was. The time of the move itself does not count:
    /// jobs that were refused for it would not show the demand that brings the host.
    Duration after{0};
    Resources room;
};

/// Hosts that serve no pool yet.
struct IncomingHosts
{
    /// Hosts on their way, by target pool.
    std::map<PoolId, std::vector<ArrivingCapacity>> moving;
    /// Hosts that may be moved to any pool, in the order in which the host service accepts the moves.
    std::vector<ArrivingCapacity> available;
};

/// Work that the accepted jobs still need from the workers of each pool. Estimates whether the workers can end one more
/// job in time.
///
/// Serves bursts of several times the load that the pools are sized for, by many callers who retry. Without a bound the
/// accepted jobs wait until they are useless, and the fleet stays busy with late work after the burst. The capacity
/// includes hosts that can still be brought, so that the rise of a peak is not refused. Labels, racks and gangs are not
/// modelled.
class WorkBacklog
{
public:
    /// Interval between two counts. Jobs that are accepted in between are added.
    static constexpr Duration countInterval{100};
    /// Jobs that wait less than this are always accepted.
    static constexpr Duration minWait{250};

    void clear();

    /// Whether the last count is too old.
    bool isDue(TimePoint now) const;
    void count(const JobRegistry &registry, const WorkerRoster &roster, const SiteConfig &config,
               const IncomingHosts &incoming, Instant now);
    /// Counts a job that was accepted after the last count.
    void add(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes, bool withinShare);
    /// Returns how much too late a job would end that is accepted now, because the workers are busy with jobs that rank
    /// before it. Zero if it is accepted, and for service tasks and jobs with due times.
    ///
    /// Among queues of the same rank, one with less than an equal share of the work is judged by that share, so that no
    /// queue is refused because of another.
    Duration lateness(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes, bool withinShare) const;

private:
    /// Priority of the queue, and whether the job is beyond its team's share.
    using Rank = std::pair<std::uint32_t, bool>;

    /// Amounts of each resource, or amounts multiplied by milliseconds.
    struct Amounts
    {
        double cpu = 0;
        double memoryMb = 0;
        double accelerators = 0;

        void add(const Resources &needs, double factor);
        Amounts &operator+=(const Amounts &other);
        Amounts scaled(double factor) const;
    };

    struct PoolLoad
    {
        /// Work of jobs that are not service tasks.
        std::map<Rank, std::map<QueueId, Amounts>> work;
        /// Tasks that run or could run now.
        Amounts demand;
        /// What service tasks reserve.
        Amounts services;
        Amounts capacity;
        std::vector<ArrivingCapacity> arriving;
    };

    static bool isLacking(const PoolLoad &pool);
    static Amounts workBefore(const PoolLoad &pool, const Queue &queue, const Rank &rank);
    static Duration waitFor(const PoolLoad &pool, const Amounts &work, const Resources &needs);
    static Duration waitFor(const PoolLoad &pool, double work, double Amounts::*amount, std::uint64_t Resources::*room);
    void countJob(PoolLoad &pool, const Job &job, const Queue &queue, WallTime now);
    void shareAvailable(const std::vector<ArrivingCapacity> &available);

    std::map<PoolId, PoolLoad> m_pools;
    TimePoint m_nextCount;
};

} // namespace radishvane::cells
