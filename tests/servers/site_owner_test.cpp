#include "tests/support/kept_connection.h"
#include "tests/support/site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds callTimeout{4'000};
/// Later than an owner without an answer is regarded as silent, and earlier than another host takes its cell.
constexpr milliseconds silence{950};

std::string submission(const std::string &job)
{
    const std::string body = json{{"spec", "ms=50"}, {"steps", {{{"count", 1}, {"cpu", 100}, {"memMb", 10}}}}}.dump();
    return "POST /plans/" + job + " HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST(ProcessSiteOwner, IsAskedNothingWhileItIsKnownToBeSilent)
{
    story("the owner of the cell freezes under the calls of another host", [] {
        Site site(25'000, {"--workers", "3"});
        const int owner = site.owner();
        const int host = (owner + 1) % site.hosts();
        site.entry(owner).signal(SIGSTOP);
        CallResult first;
        std::jthread caller([&] {
            KeptConnection connection;
            first = connection.call(site.port(host, 0), submission("00000000000000a1"), callTimeout);
        });
        std::this_thread::sleep_for(silence);
        section("a later call is refused, so that its job is certainly not taken", [&] {
            KeptConnection connection;
            const CallResult later = connection.call(site.port(host, 0), submission("00000000000000a2"), callTimeout);
            EXPECT_EQ(later.status, 503) << later.body;
        });
        caller.join();
        section("the call that was already sent is in doubt", [&] { EXPECT_EQ(first.status, 504) << first.body; });
        site.entry(owner).signal(SIGCONT);
        section("calls are served again by the owner of then", [&] {
            site.submit("00000000000000a3", json{{{"count", 1}, {"cpu", 100}, {"memMb", 10}}}, "ms=50");
            EXPECT_TRUE(site.ends("00000000000000a3", "completed"));
        });
    });
}

} // namespace radishvane::tests
