#include "drivers/http_server.h"

#include "drivers/blocking_http.h"
#include "drivers/one_shot.h"
#include "tests/support/story.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace radishvane::tests
{

namespace
{

constexpr std::uint16_t port = 21'600;

/// A caller whose connection the kernel has taken, whether or not the server's process has.
int connectAndSend(const std::string &request)
{
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
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

} // namespace radishvane::tests
