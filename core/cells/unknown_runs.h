#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/worker_roster.h"

namespace radishvane::cells
{

/// Tells which tasks may have active runs of earlier owners that this owner does not know, at one moment.
///
/// A worker that does not answer may have restarted without the last owner's knowledge, so that most tasks wait for the
/// longest lease. Service tasks are started rarely and must not be away for long: they wait for the lease that owners
/// grant, unless the store says that the worker may hold a longer one.
class UnknownRuns
{
public:
    UnknownRuns(const WorkerRoster &roster, TimePoint now);

    /// Whether a task of @p step may have such runs.
    bool mayExist(const Job &job, const StepSpec &step, const Task &task) const;

private:
    const WorkerRoster *m_roster;
    TimePoint m_now;
    bool m_isAnyUnreconciled;
    bool m_isAnyUsuallyUnreconciled;
};

} // namespace radishvane::cells
