// Stands in for the network between entry hosts: passes their datagrams on until a zone is cut off.
//
// Each --link ZONE:FROM_PORT:TO_PORT is the way to the entry host of one zone. POST /control with {"cut": ["c"]} drops
// what the named zones send and what is sent to them. Streams between entry hosts are not carried.

#include "drivers/datagram_socket.h"
#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/peer_codec.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/control.h"

#include <csignal>
#include <iostream>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

namespace radishvane::stand_ins
{

namespace
{

using namespace drivers;

constexpr auto loopback = "127.0.0.1";

struct Link
{
    std::string zone;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
};

Link parseLink(const std::string &text)
{
    Link link;
    std::istringstream parts(text);
    std::string from;
    std::string to;
    std::getline(parts, link.zone, ':');
    std::getline(parts, from, ':');
    std::getline(parts, to);
    link.from = static_cast<std::uint16_t>(std::stoi(from));
    link.to = static_cast<std::uint16_t>(std::stoi(to));
    return link;
}

class Network
{
public:
    explicit Network(EventLoop &loop)
        : m_loop(loop)
        , m_control(
              loop, HttpLimits{}, [this](HttpRequest &&request) { control(request); }, [](ExchangeId) {})
    {
    }

    bool listen(std::uint16_t port)
    {
        return m_control.listen({loopback, port});
    }

    bool add(const Link &link)
    {
        auto &socket = m_sockets.emplace_back();
        socket = std::make_unique<DatagramSocket>(
            m_loop, [this, link, socket = &socket](std::string_view bytes) { pass(link, **socket, bytes); });
        return socket->bind({loopback, link.from});
    }

private:
    void pass(const Link &link, DatagramSocket &socket, std::string_view bytes)
    {
        const auto heartbeat = decodeHeartbeat(bytes);
        const bool fromCut = heartbeat && m_cut.contains(heartbeat.value().sender.zone.name());
        if (!fromCut && !m_cut.contains(link.zone)) {
            socket.send({loopback, link.to}, bytes);
        }
    }

    void control(const HttpRequest &request)
    {
        m_cut = nlohmann::json::parse(request.body).at("cut").get<std::set<std::string>>();
        m_control.answer(request.id, textAnswer(httpStatus::ok, "ok"));
    }

    EventLoop &m_loop;
    std::set<std::string> m_cut;
    /// Addresses of elements are kept by the handlers, so that the container must not move them.
    std::list<std::unique_ptr<DatagramSocket>> m_sockets;
    HttpServer m_control;
};

} // namespace

} // namespace radishvane::stand_ins

int main(int argumentCount, char **arguments)
{
    using namespace radishvane::stand_ins;
    CommandLine commandLine("Stand-in of the network between entry hosts for tests.");
    std::uint16_t port = 0;
    std::vector<std::string> links;
    commandLine.require("--port", port);
    commandLine.require("--link", links);
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    radishvane::drivers::EventLoop loop;
    Network network(loop);
    bool bound = network.listen(port);
    for (const std::string &link : links) {
        bound = network.add(parseLink(link)) && bound;
    }
    if (!bound) {
        std::cerr << "a port cannot be bound\n";
        return 1;
    }
    loop.run();
    return 0;
}
