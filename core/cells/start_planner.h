#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"

#include <functional>
#include <map>
#include <vector>

namespace radishvane::cells
{

/// A step with waiting tasks whose dependencies are done.
struct ReadyStep
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    PoolId pool;
};

/// Expected times of a job, from its acceptance.
struct JobTimes
{
    Duration criticalPath{0};
    /// Time within which the job earns its full value.
    Duration objective{0};
    /// Time after which completing the job has no value.
    Duration useful{0};
};

/// Whether a task of the step fits on the worker, beside the tasks of the step that it runs.
bool hasCapacity(const Worker &worker, const StepSpec &spec, const Step &step);

JobTimes expectedTimes(const GraphSpec &spec, const RunTimes &runTimes, const Queue &queue);

/// Ranks the steps that can start tasks.
///
/// The order matters when a queue demands more than its pool holds. A job earns its full value only within its
/// objective, so jobs that can still meet it come first, then late jobs that still have some value, then jobs beyond
/// their team's share, then the rest. Within each class the steps are sorted by remaining work relative to the job's
/// value.
std::vector<ReadyStep> rankReadySteps(JobRegistry &registry, const SiteConfig &config, Instant now);

/// Workers that can accept tasks, by pool. Remembers requirements that no worker of a pool can satisfy.
class CandidateWorkers
{
public:
    CandidateWorkers(WorkerRoster &roster, TimePoint now);

    const std::vector<Worker *> &workers(const PoolId &pool) const;
    /// Whether an earlier task with the same or smaller needs found no worker.
    bool isFullFor(const PoolId &pool, const StepSpec &spec) const;
    /// Records that a task of @p spec found no worker.
    void markFull(const PoolId &pool, const StepSpec &spec);
    TimePoint now() const;

private:
    std::map<PoolId, std::vector<Worker *>> m_workers;
    std::map<PoolId, Resources> m_fullFor;
    TimePoint m_now;
};

/// Whether a worker may run a task, apart from its free resources.
using WorkerFilter = std::function<bool(const Worker &)>;

/// Selects the worker for one more task of @p step; nullptr when none has enough free resources.
///
/// Packs tasks on the worker with the least free processor, so that unneeded hosts stay idle and may be moved to other
/// pools. Tasks that interfere with each other beyond their declared needs are spread to the worker
/// with the most free processor.
Worker *chooseWorker(const CandidateWorkers &candidates, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, const WorkerFilter &mayRun);

} // namespace radishvane::cells
