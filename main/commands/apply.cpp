#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "core/config/config_applier.h"
#include "drivers/config_files.h"
#include "main/commands/command_line.h"
#include "main/commands/platform_session.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <thread>

namespace radishvane::commands
{

namespace
{

constexpr Duration confirmPollInterval{200};

struct Options
{
    std::string folder;
    Endpoint platform;
    Endpoint operatorPort;
    std::uint64_t expected = 0;
    bool expects = false;
    std::uint32_t waitSeconds = 10;
    OutputFormat format = OutputFormat::Text;
};

/// Entry hosts of one zone that have and have not confirmed a version.
struct ZoneConfirmation
{
    std::vector<std::string> confirmed;
    std::vector<std::string> missing;
};

using Confirmation = std::map<std::string, ZoneConfirmation>;

ApplyEnded applyFiles(const Options &options, const std::string &packed)
{
    const std::string writer = uniqueWriter();
    const auto expected = options.expects ? std::optional(ConfigVersion{options.expected}) : std::nullopt;
    ConfigApplier application(packed, writer, expected);
    ApplyEnded result;
    std::function<void(const ApplyEffects &)> perform;
    PlatformSession platform(options.platform, writer,
                             [&](const PlatformAnswered &answered) { perform(application.answered(answered)); });
    perform = [&](const ApplyEffects &effects) {
        for (const ApplyEffect &effect : effects) {
            std::visit(Overloaded{
                           [&](const PlatformCall &call) { platform.send(call); },
                           [&](const ApplyEnded &ended) {
                               result = ended;
                               platform.stop();
                           },
                       },
                       effect);
        }
    };
    perform(application.begin());
    platform.run();
    return result;
}

/// Zones of the entry hosts that may be serving: those that hold a session, and those whose session was ended while the
/// platform still lists them, since a host that is cut off goes on under its standing rights.
std::map<std::string, std::string> readServing(const Endpoint &platformPort)
{
    std::vector<SessionRow> sessions;
    std::set<HostId> listed;
    int unanswered = 2;
    PlatformSession platform(platformPort, uniqueWriter(), [&](const PlatformAnswered &answered) {
        if (const auto *hosts = std::get_if<HostsListed>(&answered.answer)) {
            for (const ListedHost &host : hosts->hosts) {
                listed.insert(host.host);
            }
        } else if (const auto *found = std::get_if<RowsFound>(&answered.answer)) {
            for (const StoredRow &stored : found->rows) {
                sessions.push_back(std::get<SessionRow>(stored.value));
            }
        }
        if (--unanswered == 0) {
            platform.stop();
        }
    });
    platform.send(PlatformCall{OperationId{1}, ListHosts{}});
    platform.send(PlatformCall{OperationId{2}, ScanRows{std::string(rowKey::sessions)}});
    platform.run();
    std::map<std::string, std::string> zones;
    for (const SessionRow &session : sessions) {
        if (!session.ended || listed.contains(session.holder.host)) {
            zones[session.holder.host.name()] = session.zone.name();
        }
    }
    return zones;
}

/// Versions in force by entry host, as the one asked knows them.
std::map<std::string, std::uint64_t> readVersions(const Endpoint &operatorPort)
{
    std::map<std::string, std::uint64_t> versions;
    const auto outcome = getFrom(operatorPort, "/status");
    const auto *answer = std::get_if<drivers::HttpAnswer>(&outcome);
    const auto json = answer == nullptr ? nlohmann::json() : nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object()) {
        return versions;
    }
    const auto hosts = json.value("entry_hosts", nlohmann::json::array());
    for (const auto &host : hosts) {
        versions[host.value("host", "")] = host.value("version", std::uint64_t{0});
    }
    return versions;
}

Confirmation readConfirmation(const Endpoint &operatorPort, const std::map<std::string, std::string> &zones,
                              ConfigVersion version)
{
    Confirmation confirmation;
    const auto versions = readVersions(operatorPort);
    for (const auto &[host, zone] : zones) {
        const auto found = versions.find(host);
        const bool has = found != versions.end() && found->second >= version.value;
        (has ? confirmation[zone].confirmed : confirmation[zone].missing).push_back(host);
    }
    return confirmation;
}

bool isComplete(const Confirmation &confirmation)
{
    for (const auto &[zone, hosts] : confirmation) {
        if (!hosts.missing.empty()) {
            return false;
        }
    }
    return !confirmation.empty();
}

/// @param after time from the platform's acceptance until now.
void printConfirmation(const Confirmation &confirmation, ConfigVersion version, Duration after, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        nlohmann::json zones = nlohmann::json::array();
        for (const auto &[zone, hosts] : confirmation) {
            zones.push_back({{"zone", zone}, {"confirmed", hosts.confirmed}, {"missing", hosts.missing}});
        }
        std::cout << nlohmann::json{{"outcome", "applied"},
                                    {"version", version.value},
                                    {"zones", zones},
                                    {"after_ms", after.count()}}
                         .dump()
                  << '\n';
        return;
    }
    std::cout << "applied version " << version.value << ", seen after " << after.count() << " ms\n";
    for (const auto &[zone, hosts] : confirmation) {
        std::cout << "  zone " << zone << ": " << hosts.confirmed.size() << " of "
                  << hosts.confirmed.size() + hosts.missing.size() << " entry hosts have it in force";
        for (const std::string &host : hosts.missing) {
            std::cout << ", not " << host;
        }
        std::cout << '\n';
    }
}

ExitCode awaitConfirmation(const Options &options, ConfigVersion version)
{
    const auto accepted = std::chrono::steady_clock::now();
    const auto deadline = accepted + std::chrono::seconds(options.waitSeconds);
    const auto zones
        = options.operatorPort.port != 0 ? readServing(options.platform) : std::map<std::string, std::string>();
    Confirmation confirmation;
    while (options.operatorPort.port != 0 && !isComplete(confirmation) && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(confirmPollInterval);
        confirmation = readConfirmation(options.operatorPort, zones, version);
    }
    const auto after = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - accepted);
    printConfirmation(confirmation, version, after, options.format);
    const bool asked = options.operatorPort.port != 0;
    return asked && !isComplete(confirmation) ? ExitCode::NotConfirmed : ExitCode::Done;
}

ExitCode reportFailure(const ApplyEnded &ended)
{
    std::cerr << "apply: " << enumName(applyOutcomeNames, ended.outcome) << ": version " << ended.version.value << ": "
              << ended.detail << '\n';
    switch (ended.outcome) {
    case ApplyOutcome::Applied:
        return ExitCode::Done;
    case ApplyOutcome::Conflict:
        return ExitCode::Conflict;
    case ApplyOutcome::Unavailable:
        return ExitCode::Unavailable;
    case ApplyOutcome::Unknown:
        return ExitCode::Unknown;
    }
    return ExitCode::Failed;
}

ExitCode run(const Options &options)
{
    const auto checked = readAndCheck(options.folder, options.format);
    if (!checked) {
        return ExitCode::BadInput;
    }
    const ApplyEnded ended = applyFiles(options, drivers::packFiles(checked->files));
    if (ended.outcome != ApplyOutcome::Applied) {
        return reportFailure(ended);
    }
    return awaitConfirmation(options, ended.version);
}

} // namespace

void addApply(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command
        = app.add_subcommand("apply", "Check a set of declarative files and put it in force, whole or not at all");
    addFolder(*command, options->folder);
    addEndpoint(*command, "--platform", options->platform, "the platform's table service")->required();
    addEndpoint(*command, "--operator", options->operatorPort,
                "operator port of any entry host, to wait for confirmation by zone");
    CLI::Option *expected
        = command->add_option("--expect", options->expected, "apply only when this version is current");
    command->add_option("--wait", options->waitSeconds, "longest wait for confirmation, in seconds");
    addOutput(*command, options->format);
    command->callback([options, expected, &exitCode] {
        options->expects = expected->count() > 0;
        exitCode = run(*options);
    });
}

} // namespace radishvane::commands
