#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/messages/rows.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace radishvane
{

/// Registry of the workers as one entry host sees them: their resources, their health, and the choice between them.
///
/// Other entry hosts place tasks on the same workers, so a worker may refuse a task that fits by this registry. A
/// refusal is cheap and leaves no doubt that the task did not start. A worker with repeated failures is ejected for a
/// time that doubles with each ejection; the part of a pool that is ejected at one time is limited.
class WorkerRegistry
{
public:
    static constexpr int failuresToEject = 3;
    static constexpr Duration initialEjection{5'000};
    static constexpr Duration maxEjectionTime{300'000};
    /// Maximum part of a pool, in percent of its workers, that may be ejected at one time.
    static constexpr std::size_t maxEjectedPercent = 30;
    /// Time for which a worker that refused a task for lack of room gets no further tasks.
    static constexpr Duration refusalBackoff{500};

    explicit WorkerRegistry(std::uint64_t seed);

    void setConfig(const Config &config);
    void setLeaving(const std::set<HostId> &hosts);

    /// True if the total resources of at least one worker, busy or not, cover @p needs.
    bool canEverFit(const JobResources &needs) const;
    /// Chooses a worker and reserves resources on it: of two random candidates, the less loaded one.
    /// @return nothing if no worker has room.
    std::optional<HostId> reserve(const JobResources &needs, TimePoint now);
    /// Counts resources that a running task already uses.
    void addUsage(const HostId &worker, const JobResources &needs);
    void release(const HostId &worker, const JobResources &needs);

    void recordSuccess(const HostId &worker);
    /// @return true when this failure ejected the worker.
    bool recordFailure(const HostId &worker, TimePoint now);
    void recordRefusal(const HostId &worker, TimePoint now);

    /// Address at which the worker accepts tasks; nothing for an unknown worker.
    std::optional<Endpoint> endpoint(const HostId &worker) const;

private:
    struct Worker
    {
        Endpoint endpoint;
        PoolId pool;
        JobResources total;
        JobResources used;
        bool present = false;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        TimePoint avoidUntil;
        bool ejected = false;
    };

    bool isEligible(const HostId &host, const Worker &worker, const JobResources &needs, TimePoint now) const;
    bool mayEject(const PoolId &pool, TimePoint now) const;

    std::map<HostId, Worker> m_workers;
    std::set<HostId> m_leaving;
    std::minstd_rand m_random;
};

} // namespace radishvane
