#include "drivers/config_files.h"
#include "drivers/log.h"
#include "drivers/settings.h"
#include "drivers/site_settings.h"
#include "main/entry_host.h"
#include "main/site_host.h"

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

int report(const std::vector<radishvane::ConfigProblem> &problems)
{
    for (const radishvane::ConfigProblem &problem : problems) {
        std::cerr << describe(problem) << '\n';
    }
    return exitBadSettings;
}

int reportUnbound(const std::string &path, const std::string &address)
{
    std::cerr << path << ": the address of " << address << " cannot be bound\n";
    return exitNotBound;
}

int runEntryHost(const radishvane::drivers::FileText &file)
{
    using namespace radishvane;
    const auto settings = drivers::readSettings(file);
    if (!settings) {
        return report(settings.error());
    }
    drivers::startLog(settings.value().logLevel);
    EntryHost host(settings.value());
    const std::string unbound = host.listen();
    if (!unbound.empty()) {
        return reportUnbound(file.name, unbound);
    }
    drivers::logLine(drivers::LogLevel::Info, "started",
                     {{"host", settings.value().host.name()}, {"zone", settings.value().zone.name()}});
    host.run();
    drivers::logLine(drivers::LogLevel::Info, "ended", {{"host", settings.value().host.name()}});
    return 0;
}

int runOnSite(const radishvane::drivers::FileText &file)
{
    using namespace radishvane;
    const auto settings = drivers::readSiteSettings(file);
    if (!settings) {
        return report(settings.error());
    }
    drivers::startLog(settings.value().logLevel);
    SiteHost host(settings.value());
    const std::string unbound = host.listen();
    if (!unbound.empty()) {
        return reportUnbound(file.name, unbound);
    }
    host.run();
    return 0;
}

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
    bool onSite = false;
    app.add_flag("--site", onSite, "runs on the users' platform, with the settings of a site");
    CLI11_PARSE(app, argumentCount, arguments);

    using namespace radishvane;
    std::ifstream stream(path, std::ios::binary);
    drivers::FileText file{path, std::string(std::istreambuf_iterator<char>(stream), {})};
    if (!logLevel.empty()) {
        file.text += "\nlog_level: " + logLevel + '\n';
    }
    // A connection that its peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Settings are read at the start only, and a hangup must not cut open calls.
    std::signal(SIGHUP, SIG_IGN);
    return onSite ? runOnSite(file) : runEntryHost(file);
}
