#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace radishvane::tests
{

/// What the record is held against.
struct RunRules
{
    /// Failed runs after which a task is not started again.
    std::size_t failureLimit = 0;
    /// Tasks of step 0 of each job, which its step 1 comes after.
    std::size_t firstStepSize = 0;
    /// Jobs of which every attempt to hand them in was refused.
    std::set<std::string> refusedJobs;
};

/// Reads what the workers of the platform in small have written down of their runs.
///
/// @return each published rule that is broken, with its task.
std::vector<std::string> brokenRunRules(const std::string &logFile, const RunRules &rules);

} // namespace radishvane::tests
