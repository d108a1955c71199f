#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/worker_roster.h"

#include <array>
#include <string_view>

namespace radishvane::cells
{

/// Why a task of an inherited job can have no active run of an earlier owner.
enum class StartSafety {
    /// Its runs are known and have ended.
    RunsKnown,
    /// No earlier owner has recorded a start without a stored end.
    NoRecordedStart,
    /// The worker of the last recorded start has answered, or its lease has expired.
    RecordedWorkerSettled,
    /// The only worker that may run it has answered, or its lease has expired.
    ReleasedWorkerSettled,
    /// Every worker has answered.
    WorkersAnswered,
    /// The leases of the workers that have not answered have expired.
    LeasesExpired,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> startSafetyNames{
    "runs-known",       "no-recorded-start", "recorded-worker-settled", "released-worker-settled",
    "workers-answered", "leases-expired",
};

/// Tells which tasks may have active runs of earlier owners that this owner does not know, at one moment.
///
/// Starts are recorded before they are sent, so that a task may run only on the worker of its last record. Tasks of
/// jobs from before the first owner that recorded its starts may run on any worker.
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
    /// Why an inherited task that has no such runs has none.
    StartSafety safety(const Job &job, const StepSpec &step, const Task &task) const;

private:
    const WorkerRoster *m_roster;
    TimePoint m_now;
    bool m_isAnyUnreconciled;
    bool m_isAnyUsuallyUnreconciled;
};

} // namespace radishvane::cells
