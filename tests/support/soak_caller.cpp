#include "tests/support/soak_caller.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

// The stated bounds of the platform.
constexpr milliseconds keysWithin{5'000};
constexpr milliseconds visibleWithin{3'000};
constexpr milliseconds contactTime{3'000};

constexpr int longestShortTask = 300;

} // namespace

SoakConditions::SoakConditions(int hosts)
    : killed(static_cast<std::size_t>(hosts)), disturbed(static_cast<std::size_t>(hosts))
{
}

std::int64_t SoakConditions::now()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void SoakConditions::addBroken(const std::string &what)
{
    const std::lock_guard lock(mutex);
    broken.push_back(what);
}

SoakCaller::SoakCaller(std::uint32_t seed, int index, const Site &site, SoakConditions &conditions)
    : m_random(seed * 1'000 + static_cast<std::uint32_t>(index))
    , m_index(index)
    , m_key(index % 4 == 0 ? "key-2" : "key-1")
    , m_site(site)
    , m_conditions(conditions)
{
}

void SoakCaller::run()
{
    while (!m_conditions.over) {
        if (m_open.empty() || draw(0, 15) == 0) {
            submit();
        } else {
            query(static_cast<std::size_t>(draw(0, static_cast<int>(m_open.size()) - 1)));
        }
        std::this_thread::sleep_for(milliseconds(draw(0, 40)));
    }
}

const std::vector<SoakCaller::Job> &SoakCaller::open() const
{
    return m_open;
}

const std::vector<std::string> &SoakCaller::refused() const
{
    return m_refused;
}

std::size_t SoakCaller::accepted() const
{
    return m_accepted;
}

int SoakCaller::draw(int first, int last)
{
    return std::uniform_int_distribution(first, last)(m_random);
}

CallResult SoakCaller::call(const std::string &method, const std::string &job, const std::string &body)
{
    constexpr milliseconds timeout{4'000};
    if (!m_connection.isOpen()) {
        m_host = draw(0, m_site.hosts() - 1);
    }
    const std::string request = method + " /plans/" + job + " HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: " + m_key
        + "\r\nX-Radishvane-Timeout-Ms: 4000\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::int64_t withdrawn = m_conditions.withdrawn;
    m_sent = SoakConditions::now();
    CallResult result = m_connection.call(m_site.port(m_host, 0), request, timeout);
    const auto host = static_cast<std::size_t>(m_host);
    const std::string what = method + ' ' + job + " at entry-" + std::to_string(m_host) + ", sent "
        + std::to_string(SoakConditions::now() - m_sent) + " ms before the end";
    if (result.end == CallEnd::Cut && m_conditions.killed[host] + contactTime.count() < m_sent) {
        m_conditions.addBroken("cut without an answer: " + what);
    }
    if (result.status == 200 && m_key == "key-2" && withdrawn != 0 && withdrawn == m_conditions.withdrawn
        && m_sent > withdrawn + keysWithin.count()) {
        m_conditions.addBroken("a withdrawn key was accepted: " + what);
    }
    return result;
}

void SoakCaller::submit()
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%04x%012x", static_cast<unsigned>(m_index), ++m_lastJob);
    Job job{id.data(), 0, draw(0, 15) == 0};
    const bool isLong = !job.fails && draw(0, 23) == 0 && !m_conditions.closing;
    const int duration = isLong ? draw(12'000, 30'000) : draw(20, longestShortTask);
    const json step{
        {"count", soakStepSize}, {"cpu", 1'000}, {"memMb", 100}, {"estimateMs", isLong ? duration : longestShortTask}};
    json steps = json::array({step});
    if (!isLong) {
        steps.push_back(step);
        steps.back()["after"] = {0};
    }
    const std::string payload = (job.fails ? "fail=" : "ms=") + std::to_string(duration);
    const std::string body = json{{"spec", payload}, {"steps", steps}}.dump();
    constexpr int attempts = 12;
    bool isInDoubt = false;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const CallResult result = call("POST", job.id, body);
        if (result.end == CallEnd::Answered && result.status == 200) {
            job.accepted = SoakConditions::now();
            m_open.push_back(job);
            ++m_accepted;
            return;
        }
        const bool isRefused = result.end == CallEnd::NotConnected
            || (result.end == CallEnd::Answered && result.status != 502 && result.status != 504);
        isInDoubt = isInDoubt || !isRefused;
        std::this_thread::sleep_for(milliseconds(draw(50, 400)));
    }
    if (!isInDoubt) {
        m_refused.push_back(job.id);
    }
}

void SoakCaller::query(std::size_t index)
{
    const Job job = m_open[index];
    const CallResult result = call("GET", job.id, {});
    if (result.end != CallEnd::Answered) {
        return;
    }
    if (result.status == 410 && isCalm() && m_sent > job.accepted + visibleWithin.count()) {
        m_conditions.addBroken("an accepted job is not known: " + job.id + " at entry-" + std::to_string(m_host));
    }
    const json answer = result.status == 200 ? json::parse(result.body) : json{{"state", ""}};
    if (answer.at("state") == (job.fails ? "completed" : "failed")) {
        m_conditions.addBroken("job " + job.id + " is shown as " + answer.at("state").get<std::string>());
    }
    if (answer.at("state") == "completed" || answer.at("state") == "failed") {
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

bool SoakCaller::isCalm() const
{
    const std::int64_t last
        = std::max(m_conditions.disturbed[static_cast<std::size_t>(m_host)].load(), m_conditions.storeDisturbed.load());
    return last + contactTime.count() < m_sent;
}

} // namespace radishvane::tests
