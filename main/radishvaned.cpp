#include "drivers/config_files.h"
#include "drivers/log.h"
#include "drivers/settings.h"
#include "main/entry_host.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "main/logging.h"

namespace
{

constexpr int exitBadSettings = 2;
constexpr int exitNotBound = 3;

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Entry host daemon of radishvane, a fleet capacity and maintenance manager.", "radishvaned");
    std::string path;
    std::string logLevel;
    app.add_option("settings", path, "YAML file with the settings of this entry host")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--log-level", logLevel, "overrides log_level")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    CLI11_PARSE(app, argumentCount, arguments);

    using namespace radishvane;
    std::ifstream stream(path, std::ios::binary);
    drivers::FileText file{path, std::string(std::istreambuf_iterator<char>(stream), {})};
    if (!logLevel.empty()) {
        file.text += "\nlog_level: " + logLevel + '\n';
    }
    const auto settings = drivers::readSettings(file);
    if (!settings) {
        for (const ConfigProblem &problem : settings.error()) {
            std::cerr << describe(problem) << '\n';
        }
        return exitBadSettings;
    }
    drivers::startLog(settings.value().logLevel);
    // A connection that its peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    EntryHost host(settings.value());
    const std::string unbound = host.listen();
    if (!unbound.empty()) {
        std::cerr << path << ": the address of " << unbound << " cannot be bound\n";
        return exitNotBound;
    }
    drivers::logLine(drivers::LogLevel::Info, "started",
                     {{"host", settings.value().host.name()}, {"zone", settings.value().zone.name()}});
    host.run();
    drivers::logLine(drivers::LogLevel::Info, "ended", {{"host", settings.value().host.name()}});
    return 0;
}
