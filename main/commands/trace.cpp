#include "drivers/log_trace.h"
#include "main/commands/command_line.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>

namespace radishvane::commands
{

namespace
{

struct Options
{
    std::string id;
    std::vector<std::string> files;
    OutputFormat format = OutputFormat::Text;
};

void read(std::istream &input, std::vector<drivers::LogRecord> &records)
{
    for (std::string line; std::getline(input, line);) {
        if (auto record = drivers::readLogRecord(line)) {
            records.push_back(std::move(*record));
        }
    }
}

void printText(const drivers::LogTrace &trace)
{
    constexpr double millisecondsEachSecond = 1'000;
    const std::int64_t begin = trace.records.front().time;
    for (const drivers::LogRecord &record : trace.records) {
        std::printf("%+9.3f s  %-24s %-20s", static_cast<double>(record.time - begin) / millisecondsEachSecond,
                    record.host.c_str(), record.event.c_str());
        for (const auto &[key, value] : record.fields) {
            std::printf(" %s=%s", key.c_str(), value.c_str());
        }
        std::printf("\n");
    }
}

void printJson(const Options &options, const drivers::LogTrace &trace)
{
    nlohmann::ordered_json lines = nlohmann::ordered_json::array();
    for (const drivers::LogRecord &record : trace.records) {
        nlohmann::ordered_json line{{"ts", record.time}, {"host", record.host}, {"event", record.event}};
        for (const auto &[key, value] : record.fields) {
            line[key] = value;
        }
        lines.push_back(std::move(line));
    }
    std::cout << nlohmann::ordered_json{{"id", options.id}, {"lines", lines}}.dump() << '\n';
}

ExitCode run(const Options &options)
{
    std::vector<drivers::LogRecord> records;
    for (const std::string &file : options.files) {
        std::ifstream input(file);
        read(input, records);
    }
    if (options.files.empty()) {
        read(std::cin, records);
    }
    const drivers::LogTrace trace = drivers::traceOf(options.id, std::move(records));
    if (trace.own == 0) {
        std::cerr << "trace: no line is about '" << options.id << "'\n";
        return ExitCode::Failed;
    }
    if (options.format == OutputFormat::Json) {
        printJson(options, trace);
    } else {
        printText(trace);
    }
    return ExitCode::Done;
}

} // namespace

void addTrace(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("trace", "Show what the logs of entry hosts tell of one job or call");
    command->add_option("id", options->id, "id of the job or call")->required();
    command->add_option("files", options->files, "logs of entry hosts; standard input when there are none")
        ->check(CLI::ExistingFile);
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
