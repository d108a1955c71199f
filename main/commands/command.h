#pragma once

#include <array>
#include <string_view>

namespace CLI
{
class App;
}

namespace radishvane::commands
{

/// How a command prints its result.
enum class OutputFormat {
    Text,
    Json,
};

/// Command-line names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> outputFormatNames{"text", "json"};

/// Exit codes of the command line.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    BadInput = 2,
    Conflict = 3,
    Unavailable = 4,
    Unknown = 5,
    NotConfirmed = 6,
};

/// Each adds one command, whose end it leaves in @p exitCode.
void addValidate(CLI::App &app, ExitCode &exitCode);
void addPlan(CLI::App &app, ExitCode &exitCode);
void addApply(CLI::App &app, ExitCode &exitCode);
void addStatus(CLI::App &app, ExitCode &exitCode);
void addExplain(CLI::App &app, ExitCode &exitCode);
void addCall(CLI::App &app, ExitCode &exitCode);
void addTrace(CLI::App &app, ExitCode &exitCode);

} // namespace radishvane::commands
