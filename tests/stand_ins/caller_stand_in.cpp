// Stands in for callers: sends flows of requests to entry hosts in turn, as a balancer would spread them, and checks
// that each answer is the whole answer to its own request.
//
// --flow SERVICE:TEAM:KEY:PER_SECOND:RUN_MS[:urgent|:idempotent|:burst] may be repeated. A burst flow sends five times
// its rate for one second out of five. Prints a table, and exits with 1 when an answer was wrong.

#include "drivers/event_loop.h"
#include "drivers/http_client.h"
#include "drivers/one_shot.h"
#include "drivers/run_time_statistics.h"
#include "drivers/timer.h"

#include "core/config/field_reader.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace radishvane::stand_ins
{

namespace
{

using namespace drivers;

struct Flow
{
    std::string service;
    std::string team;
    std::string key;
    double perSecond = 0;
    std::string runMilliseconds;
    std::string kind;
    double due = 0;
};

struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t noAnswer = 0;
    std::uint64_t wrong = 0;
    std::map<std::string, std::uint64_t> reasons;
    RunTimeStatistics times;
};

Flow parseFlow(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ':');) {
        parts.push_back(part);
    }
    constexpr std::size_t required = 5;
    if (parts.size() < required) {
        throw CLI::ValidationError("flow '" + text + "' has too few parts");
    }
    return Flow{
        parts[0], parts[1], parts[2], std::stod(parts[3]), parts[4], parts.size() > required ? parts[required] : "", 0};
}

class Callers
{
public:
    static constexpr Duration tick{10};

    Callers(EventLoop &loop, std::vector<Endpoint> entries, std::vector<Flow> flows, Duration length, Duration timeout)
        : m_loop(loop)
        , m_entries(std::move(entries))
        , m_flows(std::move(flows))
        , m_length(length)
        , m_timeout(timeout)
        , m_client(loop)
        , m_timer(loop, tick, [this] { onTick(); })
    {
    }

    std::map<std::string, Tally> tallies;

private:
    void onTick()
    {
        const auto elapsed = std::chrono::steady_clock::now() - m_started;
        if (elapsed >= m_length) {
            if (m_client.open() == 0) {
                m_loop.stop();
            }
            return;
        }
        const double seconds = std::chrono::duration<double>(elapsed).count();
        for (Flow &flow : m_flows) {
            constexpr double burstPeriod = 5;
            const bool peak = std::fmod(seconds, burstPeriod) < 1;
            const double factor = flow.kind == "burst" ? (peak ? burstPeriod : 0.05) : 1;
            flow.due += flow.perSecond * factor * std::chrono::duration<double>(tick).count();
            for (; flow.due >= 1; flow.due -= 1) {
                send(flow);
            }
        }
    }

    void send(const Flow &flow)
    {
        const std::string body = "order-" + std::to_string(++m_lastRequest);
        HttpCall call;
        call.endpoint = m_entries[m_lastRequest % m_entries.size()];
        call.method = HttpMethod::Post;
        call.target = "/v1/services/" + flow.service + "/work";
        call.headers = {{"Authorization", "Bearer " + flow.key},
                        {"X-Team", flow.team},
                        {"X-Run-Ms", flow.runMilliseconds},
                        {"X-Radishvane-Timeout-Ms", std::to_string(m_timeout.count())}};
        if (flow.kind == "urgent") {
            call.headers.push_back({"X-Radishvane-Urgent", "true"});
        }
        if (flow.kind == "idempotent") {
            call.headers.push_back({"X-Radishvane-Idempotent", "true"});
        }
        call.body = body;
        constexpr Duration beyondTimeout{5'000};
        call.timeout = m_timeout + beyondTimeout;
        Tally &tally = tallies[flow.service + ' ' + flow.team];
        ++tally.sent;
        const auto sentAt = std::chrono::steady_clock::now();
        m_client.send(call, [&tally, body, sentAt](HttpOutcome &&outcome) { count(tally, body, sentAt, outcome); });
    }

    static void count(Tally &tally, const std::string &body, std::chrono::steady_clock::time_point sentAt,
                      const HttpOutcome &outcome)
    {
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer == nullptr) {
            ++tally.noAnswer;
            return;
        }
        const std::string kind = headerValue(answer->headers, "X-Radishvane-Outcome");
        const auto json = nlohmann::json::parse(answer->body, nullptr, false);
        if (kind == "not-run") {
            ++tally.refused;
            ++tally.reasons[json.value("error", "?")];
        } else if (kind == "unknown") {
            ++tally.unknown;
        } else if (kind == "answered" && json.is_object() && json.value("body", "") == body) {
            ++tally.served;
            tally.times.add(
                std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - sentAt).count());
        } else {
            ++tally.wrong;
        }
    }

    EventLoop &m_loop;
    std::vector<Endpoint> m_entries;
    std::vector<Flow> m_flows;
    Duration m_length;
    Duration m_timeout;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
    std::uint64_t m_lastRequest = 0;
    HttpClient m_client;
    Timer m_timer;
};

/// Prints the table. @return the number of wrong answers.
std::uint64_t printTallies(const std::map<std::string, Tally> &tallies)
{
    constexpr int wide = 28;
    constexpr int narrow = 9;
    std::cout << std::left << std::setw(wide) << "service team";
    for (const char *column : {"sent", "served", "refused", "unknown", "no-answer", "wrong", "p50 ms", "p99 ms"}) {
        std::cout << std::right << std::setw(narrow + 1) << column;
    }
    std::cout << '\n';
    std::uint64_t wrong = 0;
    for (const auto &[name, tally] : tallies) {
        std::cout << std::left << std::setw(wide) << name << std::right;
        for (const std::uint64_t count :
             {tally.sent, tally.served, tally.refused, tally.unknown, tally.noAnswer, tally.wrong}) {
            std::cout << std::setw(narrow + 1) << count;
        }
        std::cout << std::fixed << std::setprecision(1) << std::setw(narrow + 1) << tally.times.median()
                  << std::setw(narrow + 1) << tally.times.p99();
        for (const auto &[reason, count] : tally.reasons) {
            std::cout << "  " << reason << '=' << count;
        }
        std::cout << '\n';
        wrong += tally.wrong;
    }
    return wrong;
}

} // namespace

} // namespace radishvane::stand_ins

int main(int argumentCount, char **arguments)
{
    using namespace radishvane;
    CLI::App app("Stand-in of callers for tests.");
    std::vector<std::string> entries;
    std::vector<std::string> flows;
    std::int64_t seconds = 5;
    std::int64_t timeout = 2'000;
    app.add_option("--entry", entries)->required();
    app.add_option("--flow", flows)->required();
    app.add_option("--seconds", seconds);
    app.add_option("--timeout-ms", timeout);
    CLI11_PARSE(app, argumentCount, arguments);
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
