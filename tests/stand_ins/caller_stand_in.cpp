// Stands in for callers: sends flows of requests to entry hosts in turn, as a balancer would spread them, and checks
// that each answer is the whole answer to its own request.
//
// --flow SERVICE:TEAM:KEY:PER_SECOND:RUN_MS[:urgent|:idempotent|:burst] may be repeated. A burst flow sends five times
// its rate for one second out of five. Prints a table, and exits with 1 when an answer was wrong.

#include "core/config/field_reader.h"
#include "tests/stand_ins/callers.h"
#include "tests/stand_ins/command_line.h"

#include <csignal>
#include <optional>

int main(int argumentCount, char **arguments)
{
    using namespace radishvane;
    stand_ins::CommandLine commandLine("Stand-in of callers for tests.");
    std::vector<std::string> entries;
    std::vector<std::string> flows;
    std::int64_t seconds = 5;
    std::int64_t timeout = 2'000;
    commandLine.require("--entry", entries);
    commandLine.require("--flow", flows);
    commandLine.add("--seconds", seconds);
    commandLine.add("--timeout-ms", timeout);
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<Endpoint> endpoints;
    for (const std::string &entry : entries) {
        endpoints.push_back(parseEndpoint(entry).value());
    }
    std::vector<stand_ins::Flow> parsed;
    for (const std::string &flow : flows) {
        parsed.push_back(stand_ins::parseFlow(flow));
    }
    drivers::EventLoop loop;
    stand_ins::Callers callers(loop, endpoints, parsed, std::chrono::seconds(seconds), Duration(timeout));
    loop.run();
    return stand_ins::printTallies(callers.tallies) == 0 ? 0 : 1;
}
