#pragma once

#include "core/config/config.h"
#include "drivers/event_loop.h"
#include "drivers/http_client.h"
#include "drivers/run_time_statistics.h"
#include "drivers/timer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishvane::stand_ins
{

/// Requests of one kind at a steady or bursting rate.
struct Flow
{
    std::string service;
    std::string team;
    std::string key;
    double perSecond = 0;
    std::string runMilliseconds;
    /// Empty, "urgent", "idempotent" or "burst": five times the rate for one second out of five.
    std::string kind;
    double due = 0;
};

/// How the requests of one flow ended.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t noAnswer = 0;
    std::uint64_t wrong = 0;
    std::map<std::string, std::uint64_t> reasons;
    drivers::RunTimeStatistics times;
};

/// Reads SERVICE:TEAM:KEY:PER_SECOND:RUN_MS[:KIND]; throws on text with too few parts.
Flow parseFlow(const std::string &text);

/// Callers behind a balancer: spreads requests over entry hosts, and goes to the next one when none of a request's
/// bytes could be sent. Checks that each answer is the whole answer to its own request.
class Callers
{
public:
    static constexpr Duration tick{10};

    Callers(drivers::EventLoop &loop, std::vector<Endpoint> entries, std::vector<Flow> flows, Duration length,
            Duration timeout);

    /// By service and team.
    std::map<std::string, Tally> tallies;

private:
    void onTick();
    void send(const Flow &flow);
    void dispatch(const drivers::HttpCall &call, Tally &tally, const std::string &body, std::size_t tries);
    static void count(Tally &tally, const std::string &body, std::chrono::steady_clock::time_point sentAt,
                      const drivers::HttpOutcome &outcome);

    drivers::EventLoop &m_loop;
    std::vector<Endpoint> m_entries;
    std::vector<Flow> m_flows;
    Duration m_length;
    Duration m_timeout;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
    std::uint64_t m_lastRequest = 0;
    drivers::HttpClient m_client;
    drivers::Timer m_timer;
};

/// Prints a table. @return the number of wrong answers.
std::uint64_t printTallies(const std::map<std::string, Tally> &tallies);

} // namespace radishvane::stand_ins
