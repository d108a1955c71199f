#include "core/cells/unknown_runs.h"

namespace radishvane::cells
{

UnknownRuns::UnknownRuns(const WorkerRoster &roster, TimePoint now)
    : m_roster(&roster)
    , m_now(now)
    , m_isAnyUnreconciled(roster.hasUnreconciledWorker(now, LeaseBound::Longest))
    , m_isAnyUsuallyUnreconciled(m_isAnyUnreconciled && roster.hasUnreconciledWorker(now, LeaseBound::Usual))
{
}

bool UnknownRuns::mayExist(const Job &job, const StepSpec &step, const Task &task) const
{
    if (!(step.isService ? m_isAnyUsuallyUnreconciled : m_isAnyUnreconciled)) {
        return false;
    }
    if (!job.inherited || task.hasKnownRuns) {
        return false;
    }
    const LeaseBound bound = step.isService ? LeaseBound::Usual : LeaseBound::Longest;
    return task.releasedOn.empty() || !m_roster->isReconciled(task.releasedOn, m_now, bound);
}

} // namespace radishvane::cells
