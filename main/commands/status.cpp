#include "core/base/enum_names.h"
#include "main/commands/command_line.h"
#include "main/commands/platform_session.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <memory>

namespace radishvane::commands
{

namespace
{

using Json = nlohmann::json;

constexpr int columnWidth = 14;

struct Options
{
    Endpoint operatorPort;
    Endpoint platform;
    OutputFormat format = OutputFormat::Text;
};

std::string cell(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints one table of the status with a column for each of the fields.
void printTable(const Json &status, const std::string &name, const std::vector<std::string> &fields)
{
    const Json rows = status.value(name, Json::array());
    std::cout << '\n' << name << '\n';
    for (const std::string &field : fields) {
        std::cout << "  " << std::left << std::setw(columnWidth) << field;
    }
    std::cout << '\n';
    for (const Json &row : rows) {
        for (const std::string &field : fields) {
            std::cout << "  " << std::left << std::setw(columnWidth)
                      << (row.contains(field) ? cell(row.at(field)) : "-");
        }
        std::cout << '\n';
    }
}

void printStatus(const Json &status)
{
    std::cout << "entry host " << cell(status.at("host")) << " in zone " << cell(status.at("zone")) << ": "
              << cell(status.at("stage")) << ", version " << status.at("version")
              << (status.at("version_confirmed").get<bool>() ? " (newest)" : " (not confirmed)") << ", waiting "
              << status.at("waiting") << ", running " << status.at("running") << '\n';
    printTable(status, "entry_hosts", {"host", "zone", "live", "version"});
    printTable(status, "pools", {"pool", "hosts", "max_hosts_out", "spare"});
    printTable(status, "teams", {"team", "share", "ceiling", "standing", "leased", "running", "waiting"});
    printTable(status, "services", {"service", "pool", "backends", "open_to_all"});
    printTable(status, "jobs", {"job", "team", "kind", "state", "reason", "worker", "attempts"});
    std::cout << "\nhosts not in service\n";
    for (const Json &host : status.value("hosts", Json::array())) {
        if (host.value("state", "") != "in-service") {
            std::cout << "  " << cell(host.at("host")) << " of pool " << cell(host.at("pool")) << ": "
                      << cell(host.at("state")) << '\n';
        }
    }
}

/// Jobs of all entry hosts, as the table has them, in place of those of the one asked.
void readAllJobs(const Endpoint &platformPort, Json &status)
{
    Json jobs = Json::array();
    PlatformSession platform(platformPort, uniqueWriter(), [&](const PlatformAnswered &answered) {
        if (const auto *found = std::get_if<RowsFound>(&answered.answer)) {
            for (const StoredRow &stored : found->rows) {
                const auto &row = std::get<JobRow>(stored.value);
                jobs.push_back({{"job", row.id.name()},
                                {"team", row.team.name()},
                                {"kind", row.kind},
                                {"state", enumName(jobStateNames, row.state)},
                                {"reason", enumName(jobReasonNames, row.reason)},
                                {"worker", row.worker.name()},
                                {"attempts", row.attempts},
                                {"owner", row.owner.host.name()}});
            }
        }
        platform.stop();
    });
    platform.send(PlatformCall{OperationId{1}, ScanRows{std::string(rowKey::jobs)}});
    platform.run();
    status["jobs"] = std::move(jobs);
}

ExitCode run(const Options &options)
{
    const auto outcome = getFrom(options.operatorPort, "/status");
    if (const auto *failure = std::get_if<drivers::HttpFailure>(&outcome)) {
        return printFailure("status", options.operatorPort, *failure);
    }
    Json status = Json::parse(std::get<drivers::HttpAnswer>(outcome).body, nullptr, false);
    if (!status.is_object()) {
        std::cerr << "status: the answer cannot be read\n";
        return ExitCode::Failed;
    }
    if (options.platform.port != 0) {
        readAllJobs(options.platform, status);
    }
    if (options.format == OutputFormat::Json) {
        std::cout << status.dump() << '\n';
        return ExitCode::Done;
    }
    printStatus(status);
    return ExitCode::Done;
}

} // namespace

void addStatus(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("status", "Show entry hosts, pools, teams, services and versions in force");
    addEndpoint(*command, "--operator", options->operatorPort, "operator port of any entry host")->required();
    addEndpoint(*command, "--platform", options->platform,
                "the platform's table service, to show the jobs of all entry hosts");
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
