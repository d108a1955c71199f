#pragma once

#include "core/base/result.h"
#include "core/config/config_problem.h"
#include "core/config/document.h"

#include <string>
#include <vector>

namespace radishvane::drivers
{

/// One file of a set, unread.
struct FileText
{
    std::string name;
    std::string text;
};

/// Parses one YAML file; a syntax error comes back as a problem with its place.
Result<Document, ConfigProblem> parseYaml(const FileText &file);

/// Parses a whole set; every file with a syntax error gives one problem.
Result<std::vector<Document>, std::vector<ConfigProblem>> parseYamlSet(const std::vector<FileText> &files);

} // namespace radishvane::drivers
