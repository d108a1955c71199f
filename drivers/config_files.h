#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "drivers/yaml_documents.h"

#include <string>
#include <vector>

namespace radishvane::drivers
{

/// Largest set of files, in bytes.
inline constexpr std::size_t mostConfigBytes = 8 << 20;

/// Reads every .yaml file of a folder, by name.
Result<std::vector<FileText>, ConfigProblem> readFolder(const std::string &folder);

/// One text that holds a set of files, as the object store keeps it.
std::string packFiles(const std::vector<FileText> &files);

/// Checks a set of files.
Result<Config, std::vector<ConfigProblem>> checkFiles(const std::vector<FileText> &files);

/// Reads a packed set into a configuration.
Result<Config, std::vector<ConfigProblem>> readPacked(const std::string &packed);

} // namespace radishvane::drivers
