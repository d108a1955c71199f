#include "main/commands/command_line.h"

#include <iostream>
#include <memory>

namespace radishvane::commands
{

namespace
{

struct Options
{
    std::string folder;
    OutputFormat format = OutputFormat::Text;
};

ExitCode run(const Options &options)
{
    const auto checked = readAndCheck(options.folder, options.format);
    if (!checked) {
        return ExitCode::BadInput;
    }
    if (options.format == OutputFormat::Json) {
        std::cout << "{\"problems\":[]}\n";
        return ExitCode::Done;
    }
    std::cout << "valid: " << checked->config.pools.size() << " pools, " << checked->config.hosts.size() << " hosts, "
              << checked->config.teams.size() << " teams, " << checked->config.keys.size() << " keys, "
              << checked->config.services.size() << " services\n";
    return ExitCode::Done;
}

} // namespace

void addValidate(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("validate", "Check a set of declarative files and change nothing");
    addFolder(*command, options->folder);
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
