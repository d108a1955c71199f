// Makes one HTTP call as a client does and prints the status, 0 without an answer, and the body.
//
// port=N path=PATH [method=GET] [host=NAME] [key=KEY] [body=TEXT] [timeout=MS]
// ports=COUNT: prints the first of so many free ports in a row instead; such blocks do not overlap one another.
// claim=PORT: keeps a port until it is ended, and prints "claimed" once it has it.

#include "common_2.h"
#include "drivers/blocking_http.h"

#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

bool isFree(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool result = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(socket);
    return result;
}

int findPorts(int count)
{
    constexpr int first = 20'000;
    constexpr int ports = 11'000;
    std::random_device random;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int begin = first + static_cast<int>(random() % static_cast<unsigned>(ports / count)) * count;
        int place = 0;
        while (place < count && isFree(static_cast<std::uint16_t>(begin + place))) {
            ++place;
        }
        if (place == count) {
            std::cout << begin << '\n';
            return 0;
        }
    }
    return 2;
}

int claim(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(socket, 1) != 0) {
        return 2;
    }
    std::cout << "claimed" << std::endl;
    pause();
    return 0;
}

} // namespace

int main(int count, char **values)
{
    using namespace radishvane;
    using namespace radishvane::drivers;
    const review::Arguments arguments(count, values);
    if (!arguments.text("ports").empty()) {
        return findPorts(static_cast<int>(arguments.number("ports", 1)));
    }
    if (!arguments.text("claim").empty()) {
        return claim(static_cast<std::uint16_t>(arguments.number("claim", 0)));
    }
    const std::map<std::string, HttpMethod> methods{
        {"GET", HttpMethod::Get}, {"POST", HttpMethod::Post}, {"DELETE", HttpMethod::Delete}};
    HttpCall call;
    call.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(arguments.number("port", 0))};
    call.method = methods.at(arguments.text("method", "GET"));
    call.target = arguments.text("path");
    call.body = arguments.text("body");
    if (!arguments.text("host").empty()) {
        call.headers.push_back({"Host", arguments.text("host")});
        call.headers.push_back({"X-Radishvane-Timeout-Ms", arguments.text("timeout", "3000")});
        call.headers.push_back({"Content-Type", "application/json"});
    }
    if (!arguments.text("key").empty()) {
        call.headers.push_back({"X-Api-Key", arguments.text("key")});
    }
    call.timeout = Duration(arguments.number("timeout", 3'000));
    BlockingHttp http;
    const HttpOutcome outcome = http.call(call);
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    std::cout << (answer == nullptr ? 0 : answer->status) << ' ' << (answer == nullptr ? std::string() : answer->body)
              << '\n';
    return 0;
}
