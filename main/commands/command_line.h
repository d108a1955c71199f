#pragma once

#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "drivers/http_client.h"
#include "drivers/yaml_documents.h"
#include "main/commands/command.h"

#include <CLI/CLI.hpp>

#include <optional>
#include <string>
#include <vector>

namespace radishvane::commands
{

/// Adds an option for an address and a port.
CLI::Option *addEndpoint(CLI::App &command, const std::string &name, Endpoint &endpoint, const std::string &help);

/// Adds the folder of declarative files.
void addFolder(CLI::App &command, std::string &folder);

/// Adds --output text|json.
void addOutput(CLI::App &command, OutputFormat &format);

/// Prints problems of files, one a line or as JSON, to standard error.
void printProblems(const std::vector<ConfigProblem> &problems, OutputFormat format);

/// A folder of declarative files that was read and checked.
struct CheckedFolder
{
    std::vector<drivers::FileText> files;
    Config config;
};

/// Reads and checks a folder; prints every problem and gives nothing when there is one.
std::optional<CheckedFolder> readAndCheck(const std::string &folder, OutputFormat format);

/// Prints why a call brought no answer. @return the exit code for it.
ExitCode printFailure(const std::string &what, const Endpoint &endpoint, drivers::HttpFailure failure);

/// GET of an operator port.
drivers::HttpOutcome getFrom(const Endpoint &endpoint, const std::string &target, Duration timeout = Duration(5'000));

} // namespace radishvane::commands
