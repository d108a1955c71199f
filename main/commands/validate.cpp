#include "drivers/config_files.h"
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
    const auto files = drivers::readFolder(options.folder);
    if (!files) {
        printProblems({files.error()}, options.format);
        return ExitCode::BadInput;
    }
    const auto config = drivers::checkFiles(files.value());
    if (!config) {
        printProblems(config.error(), options.format);
        return ExitCode::BadInput;
    }
    if (options.format == OutputFormat::Json) {
        std::cout << "{\"problems\":[]}\n";
        return ExitCode::Done;
    }
    std::cout << "valid: " << config.value().pools.size() << " pools, " << config.value().hosts.size() << " hosts, "
              << config.value().teams.size() << " teams, " << config.value().keys.size() << " keys, "
              << config.value().services.size() << " services\n";
    return ExitCode::Done;
}

} // namespace

void addValidate(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("validate", "Check a set of declarative files and change nothing");
    command->add_option("folder", options->folder, "folder that holds the .yaml files")
        ->required()
        ->check(CLI::ExistingDirectory);
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
