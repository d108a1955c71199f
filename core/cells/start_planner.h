#pragma once

#include "core/cells/job_book.h"
#include "core/cells/site.h"

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

/// Longest chain of declared run times through the steps that are not done.
Duration remainingChain(const Job &job, const Occurrence &occurrence);
/// Declared processor time of the tasks that are not done, in thousandths of a core times milliseconds.
double remainingWork(const Job &job, const Occurrence &occurrence);

/// Steps that may start tasks, in the order in which they get room.
///
/// Answers the peaks, in which a queue asks for more than its pool holds: a job earns only within its objective, so
/// jobs that can still make it come first, and of these the one with the least work left. Jobs that are late come
/// after, in the order of their acceptance.
std::vector<ReadyStep> startOrder(const JobBook &book, const SiteConfig &config, Instant now);

/// The worker for one more task of @p step, or nullptr when none has room.
///
/// Takes the worker with the most processor time left, since tasks on one worker share more than its room tells.
Worker *chooseWorker(WorkerRoster &roster, const ReadyStep &ready, const StepSpec &spec, const Step &step,
                     const Task &task, TimePoint now);

} // namespace radishvane::cells
