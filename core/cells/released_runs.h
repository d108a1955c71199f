#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/worker_roster.h"

namespace radishvane::cells
{

/// Describes what is known about the runs of service tasks when the owner of @p epoch releases the cell.
/// @param longestLease longest lease that a worker grants.
std::vector<ReleaseRow> releaseRows(Epoch epoch, const JobRegistry &registry, const WorkerRoster &roster,
                                    Duration longestLease, TimePoint now);

/// Shortens the waits for workers and tasks by what the last owner knew at its release.
void restoreRelease(const ReleaseRow &row, JobRegistry &registry, WorkerRoster &roster, TimePoint now);

} // namespace radishvane::cells
