#include "drivers/http_client.h"

#include "core/base/enum_names.h"
#include "drivers/http_server.h"
#include "drivers/one_shot.h"
#include "tests/support/manual_clock.h"
#include "tests/support/ports.h"
#include "tests/support/story.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace radishvane::tests
{

namespace
{

using drivers::CallEnd;
using drivers::PeerCalls;
using drivers::PeerKind;

constexpr auto loopback = "127.0.0.1";
// Tests run at the same time, so each has a port of its own.
const std::uint16_t countedPort = shiftedPort(21'610);
const std::uint16_t limitedPort = shiftedPort(21'611);

/// A listening socket that no process accepts from: the kernel takes connections, and nobody reads.
int listenWithoutReader(std::uint16_t port)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    listen(listener, 4);
    return listener;
}

/// A client whose calls are counted by a clock that stands still unless it is moved.
struct CountedClient
{
    drivers::EventLoop loop;
    ManualClock clock;
    drivers::TaskStatistics statistics{clock, Duration(25)};
    drivers::HttpClient client{loop, &statistics};
    std::optional<drivers::HttpOutcome> outcome;

    void send(const std::string &body, Duration timeout, Duration answerDelay = Duration{0})
    {
        drivers::HttpCall call;
        call.endpoint = Endpoint{loopback, countedPort};
        call.method = drivers::HttpMethod::Post;
        call.target = "/";
        call.body = body;
        call.timeout = timeout;
        call.peer = PeerKind::Worker;
        call.answerDelay = answerDelay;
        client.send(call, [this](drivers::HttpOutcome &&result) {
            outcome = std::move(result);
            loop.stop();
        });
    }

    PeerCalls taken()
    {
        return statistics.take().calls[static_cast<std::size_t>(PeerKind::Worker)];
    }
};

std::uint64_t ended(const PeerCalls &calls, CallEnd end)
{
    return calls.ends[static_cast<std::size_t>(end)];
}

} // namespace

TEST(HttpClient, CountsWhatACallWaitedForAndHowItEnded)
{
    story("a peer that answers", [] {
        CountedClient counted;
        drivers::HttpServer *self = nullptr;
        drivers::HttpServer server(
            counted.loop, {},
            [&](drivers::HttpRequest &&request) {
                counted.clock.advance(Duration(300));
                self->answer(request.id, {drivers::httpStatus::ok, {}, "whole"});
            },
            [](ExchangeId) {});
        self = &server;
        ASSERT_TRUE(server.listen({loopback, countedPort}));
        section("a call waits as long as its connection is not made", [&] {
            counted.send("question", Duration(3'000));
            counted.clock.advance(Duration(40));
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(calls.calls, 1U);
            EXPECT_EQ(calls.waiting, 1U);
            EXPECT_EQ(calls.bytesWritten, 0U);
            EXPECT_EQ(calls.wait.count(), 0U);
        });
        section("its wait ends when it is written, and its time with the answer", [&] {
            counted.loop.run();
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(calls.calls, 0U);
            EXPECT_EQ(calls.waiting, 0U);
            EXPECT_GT(calls.bytesWritten, std::string("question").size());
            EXPECT_EQ(calls.bytesRead, std::string("whole").size());
            EXPECT_EQ(calls.wait.longest(), 40);
            EXPECT_EQ(calls.answer.longest(), 340);
            EXPECT_EQ(ended(calls, CallEnd::Answered), 1U);
        });
        section("a call whose answer may be delayed does not count for the time of answers", [&] {
            counted.send("question", Duration(3'000), Duration(1'000));
            counted.loop.run();
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(ended(calls, CallEnd::Answered), 1U);
            EXPECT_EQ(calls.wait.count(), 1U);
            EXPECT_EQ(calls.answer.count(), 0U);
        });
    });
    story("a peer that is not there", [] {
        CountedClient counted;
        counted.send("question", Duration(3'000));
        counted.clock.advance(Duration(7));
        counted.loop.run();
        section("a call to it waited until its end, and is not sent", [&] {
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(ended(calls, CallEnd::NotSent), 1U);
            EXPECT_EQ(calls.bytesWritten, 0U);
            EXPECT_EQ(calls.waiting, 0U);
            EXPECT_EQ(calls.wait.longest(), 7);
            EXPECT_EQ(calls.answer.count(), 0U);
        });
    });
    story("a peer that does not read", [] {
        const int listener = listenWithoutReader(countedPort);
        CountedClient counted;
        constexpr std::size_t bodySize = 32 << 20;
        counted.send(std::string(bodySize, 'x'), Duration(400));
        drivers::runOnce(counted.loop, Duration(200), [&] { counted.loop.stop(); });
        counted.loop.run();
        section("a call that fills the buffer of its connection still waits", [&] {
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(calls.waiting, 1U);
            EXPECT_GT(calls.bytesWritten, 0U);
            EXPECT_LT(calls.bytesWritten, bodySize);
        });
        section("and times out without the bytes that were left", [&] {
            counted.loop.run();
            const PeerCalls calls = counted.taken();
            EXPECT_EQ(calls.waiting, 0U);
            EXPECT_EQ(calls.wait.count(), 1U);
            EXPECT_LT(calls.bytesWritten, bodySize / 2);
            EXPECT_EQ(ended(calls, CallEnd::TimedOut), 1U);
        });
        close(listener);
    });
}

TEST(HttpClient, OpensNoMoreConnectionsToAPeerThanItMay)
{
    story("a client that may have two calls to a peer under way sends four", [] {
        drivers::EventLoop loop;
        drivers::HttpClient client{loop, nullptr, 2};
        std::vector<std::string> outcomes;
        const auto send = [&](const std::string &body, Duration timeout) {
            drivers::HttpCall call;
            call.endpoint = Endpoint{loopback, limitedPort};
            call.method = drivers::HttpMethod::Post;
            call.target = "/";
            call.body = body;
            call.timeout = timeout;
            client.send(call, [&outcomes, &loop, body](drivers::HttpOutcome &&outcome) {
                const auto *failure = std::get_if<drivers::HttpFailure>(&outcome);
                const std::string how
                    = failure == nullptr ? "answered" : std::string(enumName(drivers::httpFailureNames, *failure));
                outcomes.push_back(body + ' ' + how);
                if (outcomes.size() == 4) {
                    loop.stop();
                }
            });
        };
        section("the peer answers: at most two requests are there at a time, and all are answered in order", [&] {
            std::vector<ExchangeId> held;
            std::size_t mostHeld = 0;
            drivers::HttpServer *self = nullptr;
            drivers::HttpServer server(
                loop, {},
                [&](drivers::HttpRequest &&request) {
                    held.push_back(request.id);
                    mostHeld = std::max(mostHeld, held.size());
                    drivers::runOnce(loop, Duration(20), [&] {
                        self->answer(held.front(), {drivers::httpStatus::ok, {}, {}});
                        held.erase(held.begin());
                    });
                },
                [](ExchangeId) {});
            self = &server;
            ASSERT_TRUE(server.listen({loopback, limitedPort}));
            for (const char *body : {"a", "b", "c", "d"}) {
                send(body, Duration(3'000));
            }
            loop.run();
            EXPECT_EQ(mostHeld, 2U);
            EXPECT_EQ(outcomes, (std::vector<std::string>{"a answered", "b answered", "c answered", "d answered"}));
        });
    });
    story("the peer accepts connections and does not answer", [] {
        const int listener = listenWithoutReader(limitedPort);
        drivers::EventLoop loop;
        drivers::HttpClient client{loop, nullptr, 1};
        std::vector<drivers::HttpFailure> failures;
        for (const Duration timeout : {Duration(600), Duration(100)}) {
            drivers::HttpCall call;
            call.endpoint = Endpoint{loopback, limitedPort};
            call.timeout = timeout;
            client.send(call, [&](drivers::HttpOutcome &&outcome) {
                failures.push_back(std::get<drivers::HttpFailure>(outcome));
                if (failures.size() == 2) {
                    loop.stop();
                }
            });
        }
        loop.run();
        section("a call that waited longer than its timeout is certain not to have been sent", [&] {
            EXPECT_EQ(failures, (std::vector{drivers::HttpFailure::NotSent, drivers::HttpFailure::TimedOut}));
        });
        close(listener);
    });
}

} // namespace radishvane::tests
