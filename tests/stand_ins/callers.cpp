#include "tests/stand_ins/callers.h"

#include "core/base/enum_names.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace radishvane::stand_ins
{

using namespace drivers;

Flow parseFlow(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ':');) {
        parts.push_back(part);
    }
    constexpr std::size_t required = 5;
    if (parts.size() < required) {
        throw std::invalid_argument("flow '" + text + "' has too few parts");
    }
    return Flow{
        parts[0], parts[1], parts[2], std::stod(parts[3]), parts[4], parts.size() > required ? parts[required] : "", 0};
}

Callers::Callers(EventLoop &loop, std::vector<Endpoint> entries, std::vector<Flow> flows, Duration length,
                 Duration timeout)
    : m_loop(loop)
    , m_entries(std::move(entries))
    , m_flows(std::move(flows))
    , m_length(length)
    , m_timeout(timeout)
    , m_client(loop)
    , m_timer(loop, tick, [this] { onTick(); })
{
}

void Callers::onTick()
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

void Callers::send(const Flow &flow)
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
    dispatch(call, tally, body, m_entries.size());
}

void Callers::dispatch(const HttpCall &call, Tally &tally, const std::string &body, std::size_t tries)
{
    const auto sentAt = std::chrono::steady_clock::now();
    m_client.send(call, [this, call, &tally, body, sentAt, tries](HttpOutcome &&outcome) {
        const auto *failure = std::get_if<HttpFailure>(&outcome);
        if (failure != nullptr && *failure == HttpFailure::NotSent && tries > 1) {
            HttpCall again = call;
            again.endpoint = m_entries[++m_lastRequest % m_entries.size()];
            dispatch(again, tally, body, tries - 1);
            return;
        }
        count(tally, body, sentAt, outcome);
    });
}

void Callers::count(Tally &tally, const std::string &body, std::chrono::steady_clock::time_point sentAt,
                    const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (answer == nullptr) {
        ++tally.noAnswer;
        ++tally.reasons[std::string(enumName(httpFailureNames, std::get<HttpFailure>(outcome)))];
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
        tally.times.add(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - sentAt).count());
    } else {
        ++tally.wrong;
    }
}

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

} // namespace radishvane::stand_ins
