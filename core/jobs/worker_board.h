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

/// The workers as one entry host sees them, and the choice between them.
///
/// Other entry hosts place tasks on the same workers, so a choice may be refused by the worker; that is certain and
/// cheap. A worker that fails everything is ejected for a time that doubles, with a cap per pool.
class WorkerBoard
{
public:
    static constexpr int failuresToEject = 3;
    static constexpr Duration firstEjection{5'000};
    static constexpr Duration longestEjection{300'000};
    /// Most workers of a pool, in percent, that may be ejected at one time.
    static constexpr std::size_t mostEjectedPercent = 30;
    /// A worker that refused for want of room is left alone for this long.
    static constexpr Duration restAfterRefusal{500};

    explicit WorkerBoard(std::uint64_t seed);

    void setConfig(const Config &config);
    void setLeaving(const std::set<HostId> &hosts);

    /// True when some worker, busy or not, could ever hold the needs.
    bool canEverHold(const JobResources &needs) const;
    /// Takes room at a worker.
    std::optional<HostId> take(const JobResources &needs, TimePoint now);
    /// Counts room that a task already uses.
    void occupy(const HostId &worker, const JobResources &needs);
    void release(const HostId &worker, const JobResources &needs);

    void noteSuccess(const HostId &worker);
    /// @return true when this failure ejected the worker.
    bool noteFailure(const HostId &worker, TimePoint now);
    void noteRefusal(const HostId &worker, TimePoint now);

    /// Where the worker takes tasks; nothing when the configuration has it no more.
    std::optional<Endpoint> endpoint(const HostId &worker) const;

private:
    struct Worker
    {
        Endpoint endpoint;
        PoolId pool;
        JobResources total;
        JobResources used;
        bool present = false;
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        TimePoint avoidUntil;
        bool ejected = false;
    };

    bool mayTake(const HostId &host, const Worker &worker, const JobResources &needs, TimePoint now) const;
    bool mayEject(const PoolId &pool, TimePoint now) const;

    std::map<HostId, Worker> m_workers;
    std::set<HostId> m_leaving;
    std::minstd_rand m_random;
};

} // namespace radishvane
