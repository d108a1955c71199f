#include "drivers/log.h"
#include "main/commands/command.h"
#include "main/logging.h"

#include <CLI/CLI.hpp>

#include <csignal>

int main(int argumentCount, char **arguments)
{
    using namespace radishvane;
    drivers::startLog(drivers::LogLevel::Error);
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Command line of radishvane, a fleet capacity and maintenance manager.", "radishvane");
    app.require_subcommand(1);
    commands::ExitCode exitCode = commands::ExitCode::Done;
    commands::addValidate(app, exitCode);
    commands::addPlan(app, exitCode);
    commands::addApply(app, exitCode);
    commands::addStatus(app, exitCode);
    commands::addExplain(app, exitCode);
    commands::addCall(app, exitCode);
    commands::addTrace(app, exitCode);
    CLI11_PARSE(app, argumentCount, arguments);
    return static_cast<int>(exitCode);
}
