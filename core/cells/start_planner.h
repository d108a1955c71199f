#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"

#include <functional>
#include <map>
#include <vector>

namespace radishvane::cells
{

/// A step with waiting tasks whose turn has come.
struct ReadyStep
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    PoolId pool;
};

/// Steps that may start tasks, in the order in which they get room.
///
/// Answers the peaks, in which a queue asks for more than its pool holds: a job earns only within its objective, so
/// jobs that can still make it come first, then late ones of some use, then what a team sends beyond its share, then
/// the rest; within each of these, by the work left for what the job is worth.
std::vector<ReadyStep> startOrder(JobRegistry &registry, const SiteConfig &config, Instant now);

/// Workers that may get tasks, by pool, and needs for which a pool is known to have no room.
class PoolRooms
{
public:
    PoolRooms(WorkerRoster &roster, TimePoint now);

    const std::vector<Worker *> &workers(const PoolId &pool) const;
    /// Whether a task of @p spec was already found to have no room.
    bool isFullFor(const PoolId &pool, const StepSpec &spec) const;
    /// A task of @p spec has found no room.
    void noteFull(const PoolId &pool, const StepSpec &spec);
    TimePoint now() const;

private:
    std::map<PoolId, std::vector<Worker *>> m_workers;
    std::map<PoolId, Resources> m_refused;
    TimePoint m_now;
};

/// Whether a worker may run a task for reasons other than its room.
using WorkerFilter = std::function<bool(const Worker &)>;

/// The worker for one more task of @p step, or nullptr when none has room.
///
/// Takes the worker with the least room left, so that hosts that are not needed stay idle and may be moved. Tasks that
/// disturb each other beyond what their needs tell go where the most is left.
Worker *chooseWorker(const PoolRooms &rooms, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, const WorkerFilter &mayRun);

} // namespace radishvane::cells
