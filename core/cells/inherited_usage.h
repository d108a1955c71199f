#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/worker_roster.h"

#include <map>

namespace radishvane::cells
{

/// Returns for each team with a ceiling an upper bound of the resources that runs of earlier owners may still use on
/// workers that have not answered: at most the needs of the inherited tasks without a known run, and at most what these
/// workers can hold. Empty if every worker is reconciled.
std::map<TeamId, Resources> inheritedUsage(const JobRegistry &registry, const WorkerRoster &roster,
                                           const SiteConfig &config, TimePoint now);

} // namespace radishvane::cells
