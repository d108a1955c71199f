#include "main/commands/command_line.h"

#include "core/base/enum_names.h"
#include "core/config/field_reader.h"
#include "drivers/blocking_http.h"
#include "drivers/config_files.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace radishvane::commands
{

CLI::Option *addEndpoint(CLI::App &command, const std::string &name, Endpoint &endpoint, const std::string &help)
{
    const auto read = [&endpoint](const std::string &text) {
        const auto parsed = parseEndpoint(text);
        if (!parsed) {
            throw CLI::ValidationError("'" + text + "' is not an IPv4 address and a port, as in 127.0.0.1:8080");
        }
        endpoint = *parsed;
    };
    return command.add_option_function<std::string>(name, read, help)->type_name("ADDRESS:PORT");
}

void addFolder(CLI::App &command, std::string &folder)
{
    command.add_option("folder", folder, "folder that holds the .yaml files")
        ->required()
        ->check(CLI::ExistingDirectory);
}

void addOutput(CLI::App &command, OutputFormat &format)
{
    const auto read = [&format](const std::string &name) {
        format = enumValue<OutputFormat>(outputFormatNames, name).value_or(OutputFormat::Text);
    };
    command.add_option_function<std::string>("--output", read, "text or json")->check(CLI::IsMember({"text", "json"}));
}

void printProblems(const std::vector<ConfigProblem> &problems, OutputFormat format)
{
    if (format == OutputFormat::Text) {
        for (const ConfigProblem &problem : problems) {
            std::cerr << describe(problem) << '\n';
        }
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigProblem &problem : problems) {
        list.push_back({{"file", problem.at.file},
                        {"line", problem.at.line},
                        {"column", problem.at.column},
                        {"kind", enumName(configProblemKindNames, problem.kind)},
                        {"field", problem.field},
                        {"value", problem.value},
                        {"message", problem.message}});
    }
    std::cout << nlohmann::json{{"problems", list}}.dump() << '\n';
}

std::optional<CheckedFolder> readAndCheck(const std::string &folder, OutputFormat format)
{
    auto files = drivers::readFolder(folder);
    if (!files) {
        printProblems({files.error()}, format);
        return std::nullopt;
    }
    auto config = drivers::checkFiles(files.value());
    if (!config) {
        printProblems(config.error(), format);
        return std::nullopt;
    }
    return CheckedFolder{std::move(files).value(), std::move(config).value()};
}

ExitCode printFailure(const std::string &what, const Endpoint &endpoint, drivers::HttpFailure failure)
{
    std::cerr << what << ": " << endpoint.address << ':' << endpoint.port << ": "
              << enumName(drivers::httpFailureNames, failure) << '\n';
    return failure == drivers::HttpFailure::NotSent ? ExitCode::Unavailable : ExitCode::Unknown;
}

drivers::HttpOutcome getFrom(const Endpoint &endpoint, const std::string &target, Duration timeout)
{
    drivers::BlockingHttp http;
    drivers::HttpCall call;
    call.endpoint = endpoint;
    call.target = target;
    call.timeout = timeout;
    return http.call(call);
}

} // namespace radishvane::commands
