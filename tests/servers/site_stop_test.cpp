#include "tests/support/kept_connection.h"
#include "tests/support/site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time that the platform grants from SIGTERM to SIGKILL.
constexpr seconds stopWithin{6};

/// Clients that submit jobs to one entry host over connections that they keep, until told to end.
class KeptCallers
{
public:
    KeptCallers(const Site &site, int host, int callers)
    {
        for (int index = 0; index < callers; ++index) {
            m_threads.emplace_back([this, &site, host, index] { run(site.port(host, 0), index); });
        }
    }

    void end()
    {
        m_isOver = true;
        m_threads.clear();
    }

    std::size_t cut() const
    {
        return m_ends[static_cast<std::size_t>(CallEnd::Cut)] + m_ends[static_cast<std::size_t>(CallEnd::TimedOut)];
    }

    std::size_t answered() const
    {
        return m_ends[static_cast<std::size_t>(CallEnd::Answered)];
    }

    std::size_t refused() const
    {
        return m_refused;
    }

private:
    void run(int port, int index)
    {
        constexpr milliseconds timeout{4'000};
        // Some clients call again while the host stops, over connections that were idle when it began to.
        const milliseconds pause = milliseconds{20} + index % 4 * milliseconds{800};
        const std::string body
            = json{{"spec", "ms=50"}, {"steps", {{{"count", 1}, {"cpu", 100}, {"memMb", 10}}}}}.dump();
        KeptConnection connection;
        for (unsigned job = 0; !m_isOver; ++job) {
            std::array<char, 17> id{};
            std::snprintf(id.data(), id.size(), "%04x%012x", static_cast<unsigned>(index), job);
            const std::string request = "POST /plans/" + std::string(id.data())
                + " HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
            const CallResult result = connection.call(port, request, timeout);
            ++m_ends[static_cast<std::size_t>(result.end)];
            m_refused += result.end == CallEnd::Answered && result.status == 503 ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<bool> m_isOver{false};
    std::array<std::atomic<std::size_t>, 5> m_ends{};
    std::atomic<std::size_t> m_refused{0};
    std::vector<std::jthread> m_threads;
};

/// Stops an entry host under the calls of clients, and waits for the end of its process.
/// @param disturb called @p delay after the signal
template<typename Disturb>
void stopUnderCalls(Site &site, int host, milliseconds delay, const Disturb &disturb)
{
    constexpr int callers = 24;
    constexpr seconds before{2};
    KeptCallers clients(site, host, callers);
    std::this_thread::sleep_for(before);
    EXPECT_GT(clients.answered(), 0U);
    const auto signalled = std::chrono::steady_clock::now();
    site.entry(host).signal(SIGTERM);
    std::this_thread::sleep_for(delay);
    disturb();
    EXPECT_EQ(site.entry(host).wait(), 0);
    EXPECT_LT(std::chrono::steady_clock::now() - signalled, stopWithin);
    clients.end();
    EXPECT_EQ(clients.cut(), 0U) << clients.answered() << " calls were answered";
    EXPECT_GT(clients.refused(), 0U);
}

} // namespace

TEST(ProcessSiteStop, AnswersEachCallThatItHasReadThoughTheOwnerIsSilent)
{
    story("a host that passes calls to the owner is stopped", [] {
        Site site(24'800, {"--workers", "3"});
        const int owner = site.owner();
        const int host = (owner + 1) % site.hosts();
        section("the owner falls silent while the balancer still sends calls, and none of them is cut",
                [&] { stopUnderCalls(site, host, milliseconds{1'500}, [&] { site.entry(owner).signal(SIGSTOP); }); });
        site.entry(owner).signal(SIGCONT);
    });
}

TEST(ProcessSiteStop, EndsInTimeThoughTheStoreIsSilent)
{
    story("the store does not answer, and the owner is stopped", [] {
        Site site(24'900, {"--workers", "3"});
        const int owner = site.owner();
        site.control("silent");
        section("it cannot release the cell, ends by itself in time, and answers or refuses each call",
                [&] { stopUnderCalls(site, owner, milliseconds{0}, [] {}); });
    });
}

} // namespace radishvane::tests
