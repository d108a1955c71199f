#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "core/config/document.h"

#include <vector>

namespace radishvane
{

/// Checks a whole set of declarative files.
///
/// @return the configuration with version 0, or every problem found in any of the files.
Result<Config, std::vector<ConfigProblem>> readConfig(const std::vector<Document> &documents);

} // namespace radishvane
