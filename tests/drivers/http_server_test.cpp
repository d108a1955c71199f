#include "drivers/http_server.h"

#include "drivers/blocking_http.h"
#include "drivers/one_shot.h"
#include "tests/support/ports.h"
#include "tests/support/story.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace radishvane::tests
{

namespace
{

// Each test has a port of its own, since tests run side by side.
const std::uint16_t port = shiftedPort(21'600);
const std::uint16_t idlePort = shiftedPort(21'601);
const std::uint16_t leftPort = shiftedPort(21'602);
/// More than the kernel takes from a server whose caller does not read.
constexpr std::size_t answerBytes = 16 << 20;

/// A caller whose connection the kernel has taken, whether or not the server's process has.
int connectAndSend(const std::string &request, std::uint16_t serverPort = port)
{
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(serverPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(caller);
        return -1;
    }
    send(caller, request.data(), request.size(), MSG_NOSIGNAL);
    return caller;
}

std::string received(int caller)
{
    std::string text(4096, '\0');
    const auto size = recv(caller, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
}

} // namespace

TEST(HttpServer, StopsWithoutCuttingARequest)
{
    story("a server that is about to close its listening socket", [] {
        drivers::EventLoop loop;
        drivers::HttpServer *self = nullptr;
        drivers::HttpServer server(
            loop, {},
            [&](drivers::HttpRequest &&request) {
                self->answer(request.id, {drivers::httpStatus::ok, {}, "whole"});
            },
            [](ExchangeId) {});
        self = &server;
        ASSERT_TRUE(server.listen({"127.0.0.1", port}));
        const int caller = connectAndSend("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_GE(caller, 0);
        section("answers a caller whom only the kernel has accepted so far", [&] {
            server.stopAccepting();
            drivers::runOnce(loop, Duration(300), [&] { loop.stop(); });
            loop.run();
            EXPECT_NE(received(caller).find("whole"), std::string::npos);
        });
        section("and takes no caller after that", [&] { EXPECT_EQ(connectAndSend("GET / HTTP/1.1\r\n\r\n"), -1); });
        close(caller);
    });
}

TEST(HttpServer, IsIdleOnceEveryAnswerIsWritten)
{
    story("a server with an exchange that has no answer yet", [] {
        drivers::EventLoop loop;
        drivers::HttpServer server(
            loop, {}, [&](drivers::HttpRequest &&) { loop.stop(); }, [](ExchangeId) {});
        ASSERT_TRUE(server.listen({"127.0.0.1", idlePort}));
        const int caller = connectAndSend("GET / HTTP/1.1\r\nHost: a\r\n\r\n", idlePort);
        ASSERT_GE(caller, 0);
        loop.run();
        bool isIdle = false;
        section("is not idle while the exchange is open", [&] {
            server.notifyWhenIdle([&] { isIdle = true; });
            EXPECT_FALSE(isIdle);
            EXPECT_EQ(server.open(), 1U);
        });
        section("nor while the caller has not taken the whole answer", [&] {
            server.answerAll({drivers::httpStatus::ok, {}, std::string(answerBytes, 'x')});
            drivers::runOnce(loop, Duration(200), [&] { loop.stop(); });
            loop.run();
            EXPECT_FALSE(isIdle);
            EXPECT_EQ(server.open(), 1U);
        });
        section("but is as soon as the caller has", [&] {
            std::jthread reader([&] {
                std::size_t total = 0;
                for (std::string part(1 << 16, '\0'); total < answerBytes;) {
                    const auto size = recv(caller, part.data(), part.size(), 0);
                    if (size <= 0) {
                        return;
                    }
                    total += static_cast<std::size_t>(size);
                }
            });
            drivers::runOnce(loop, Duration(2'000), [&] { loop.stop(); });
            loop.run();
            EXPECT_TRUE(isIdle);
            EXPECT_EQ(server.open(), 0U);
        });
        section("and takes no caller once it is closed", [&] {
            server.close();
            EXPECT_EQ(connectAndSend("GET / HTTP/1.1\r\n\r\n", idlePort), -1);
        });
        close(caller);
    });
}

TEST(HttpServer, IsIdleOnceACallerHasLeftInTheMidstOfItsAnswer)
{
    drivers::EventLoop loop;
    drivers::HttpServer server(
        loop, {}, [&](drivers::HttpRequest &&) { loop.stop(); }, [](ExchangeId) {});
    ASSERT_TRUE(server.listen({"127.0.0.1", leftPort}));
    const int caller = connectAndSend("GET / HTTP/1.1\r\nHost: a\r\n\r\n", leftPort);
    ASSERT_GE(caller, 0);
    loop.run();
    bool isIdle = false;
    server.notifyWhenIdle([&] { isIdle = true; });
    server.answerAll({drivers::httpStatus::ok, {}, std::string(answerBytes, 'x')});
    close(caller);
    drivers::runOnce(loop, Duration(500), [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(isIdle);
    EXPECT_EQ(server.open(), 0U);
}

} // namespace radishvane::tests
