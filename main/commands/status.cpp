#include "main/commands/command_line.h"

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
    if (status.contains("jobs")) {
        printTable(status, "jobs", {"job", "team", "kind", "state", "reason", "worker", "attempts"});
    }
}

ExitCode run(const Options &options)
{
    const auto outcome = getFrom(options.operatorPort, "/status");
    if (const auto *failure = std::get_if<drivers::HttpFailure>(&outcome)) {
        return printFailure("status", options.operatorPort, *failure);
    }
    const std::string &body = std::get<drivers::HttpAnswer>(outcome).body;
    if (options.format == OutputFormat::Json) {
        std::cout << body;
        return ExitCode::Done;
    }
    const Json status = Json::parse(body, nullptr, false);
    if (!status.is_object()) {
        std::cerr << "status: the answer cannot be read\n";
        return ExitCode::Failed;
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
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
