#include "core/cells/unknown_runs.h"

#include <algorithm>

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
    if (job.areStartsRecorded) {
        const auto mayRunOn = [&](const WorkerId &worker) {
            return !m_roster->isReconciled(worker, m_now, bound);
        };
        return (task.recordedStart && mayRunOn(task.recordedStart->worker))
            || std::any_of(task.abandonedStarts.begin(), task.abandonedStarts.end(),
                           [&](const AbandonedStart &start) { return mayRunOn(start.worker); });
    }
    return task.releasedOn.empty() || !m_roster->isReconciled(task.releasedOn, m_now, bound);
}

StartSafety UnknownRuns::safety(const Job &job, const StepSpec &step, const Task &task) const
{
    if (task.hasKnownRuns) {
        return StartSafety::RunsKnown;
    }
    if (job.areStartsRecorded) {
        return task.recordedStart ? StartSafety::RecordedWorkerSettled : StartSafety::NoRecordedStart;
    }
    if (step.isService ? m_isAnyUsuallyUnreconciled : m_isAnyUnreconciled) {
        return StartSafety::ReleasedWorkerSettled;
    }
    const auto &workers = m_roster->all();
    const bool isAnySilent = std::any_of(workers.begin(), workers.end(), [](const auto &pair) {
        return !pair.second.fenced && !pair.second.incarnationEnded && pair.second.inheritedUntil != TimePoint{};
    });
    return isAnySilent ? StartSafety::LeasesExpired : StartSafety::WorkersAnswered;
}

} // namespace radishvane::cells
