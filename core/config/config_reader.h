#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "core/config/document.h"

#include <vector>

namespace radishvane
{

/// Builds a configuration from a complete set of declarative files and validates it.
///
/// @return the configuration with version 0, or all problems found in all files.
Result<Config, std::vector<ConfigProblem>> readConfig(const std::vector<Document> &documents);

} // namespace radishvane
