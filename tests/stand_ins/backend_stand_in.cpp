// Stands in for backend servers: each port is one server with slots and a bound on connections.
//
// A request runs for the time in X-Run-Ms (default 10 ms) in a slot, waits when all slots are busy, and is answered
// with JSON that repeats its name, its body and the port. POST /control with JSON sets how the port fails:
//   {"mode": "ok" | "hang" | "close-after-work" | "close-before-work" | "answer-twice" | "fail" | "not-run" |
//   "truncate"}
// GET /executions tells for every request name how often it was run.

#include "drivers/event_loop.h"
#include "drivers/one_shot.h"
#include "drivers/socket_address.h"
#include "drivers/time_value.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/control.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace radishvane::stand_ins
{

namespace
{

using Json = nlohmann::json;
using namespace drivers;

enum class Mode {
    Ok,
    /// Reads the request and never answers.
    Hang,
    CloseAfterWork,
    CloseBeforeWork,
    AnswerTwice,
    /// Answers 500 after the work.
    Fail,
    /// Answers 503 and says that nothing ran.
    NotRun,
    /// Closes the connection in the middle of the answer.
    Truncate,
};

constexpr std::array<std::string_view, 8> modeNames{"ok",           "hang", "close-after-work", "close-before-work",
                                                    "answer-twice", "fail", "not-run",          "truncate"};

/// A request as it was read from a connection; raw sockets are needed to answer wrongly on purpose.
struct Incoming
{
    std::uint64_t connection = 0;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Requests of each team that run at all ports of this process together.
struct TeamCounts
{
    std::map<std::string, int> running;
    std::map<std::string, int> most;
};

class Backend
{
public:
    Backend(EventLoop &loop, TeamCounts &teams, std::uint16_t port, std::size_t slots, std::size_t mostConnections)
        : m_loop(loop), m_teams(teams), m_port(port), m_slots(slots), m_mostConnections(mostConnections)
    {
    }

    bool listen()
    {
        const sockaddr_in address = toSocketAddress({"127.0.0.1", m_port});
        constexpr int backlog = 128;
        const auto accept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
            static_cast<Backend *>(self)->accept(socket);
        };
        return evconnlistener_new_bind(m_loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                       reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != nullptr;
    }

private:
    struct Connection
    {
        Backend *backend = nullptr;
        std::uint64_t id = 0;
        bufferevent *events = nullptr;
    };

    void accept(evutil_socket_t socket)
    {
        if (m_connections.size() >= m_mostConnections) {
            evutil_closesocket(socket);
            ++m_refusedConnections;
            return;
        }
        const std::uint64_t id = ++m_lastConnection;
        auto connection = std::make_unique<Connection>(
            Connection{this, id, bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)});
        const auto readable = [](bufferevent *, void *target) {
            auto *own = static_cast<Connection *>(target);
            own->backend->read(*own);
        };
        const auto ended = [](bufferevent *, short, void *target) {
            auto *own = static_cast<Connection *>(target);
            own->backend->close(own->id);
        };
        bufferevent_setcb(connection->events, readable, nullptr, ended, connection.get());
        bufferevent_enable(connection->events, EV_READ | EV_WRITE);
        m_connections.emplace(id, std::move(connection));
    }

    void close(std::uint64_t id)
    {
        const auto found = m_connections.find(id);
        if (found != m_connections.end()) {
            bufferevent_free(found->second->events);
            m_connections.erase(found);
        }
    }

    void read(Connection &connection)
    {
        evbuffer *input = bufferevent_get_input(connection.events);
        const std::string data(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), evbuffer_get_length(input));
        const auto end = data.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        Incoming incoming = parseHead(data.substr(0, end));
        incoming.connection = connection.id;
        const std::size_t length
            = incoming.headers.contains("content-length") ? std::stoul(incoming.headers["content-length"]) : 0;
        constexpr std::size_t separator = 4;
        if (data.size() < end + separator + length) {
            return;
        }
        incoming.body = data.substr(end + separator, length);
        evbuffer_drain(input, end + separator + length);
        receive(std::move(incoming));
    }

    static Incoming parseHead(const std::string &head)
    {
        Incoming incoming;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        const auto first = line.find(' ');
        incoming.path = line.substr(first + 1, line.rfind(' ') - first - 1);
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            std::string value = line.substr(std::min(line.size(), colon + 2));
            while (!value.empty() && value.back() == '\r') {
                value.pop_back();
            }
            incoming.headers[name] = value;
        }
        return incoming;
    }

    void receive(Incoming &&incoming)
    {
        if (incoming.path == "/control") {
            m_mode = readMode<Mode>(modeNames, Json::parse(incoming.body)).value();
            write(incoming, httpStatus::ok, "ok", "");
            return;
        }
        if (incoming.path == "/executions") {
            const Json counts{{"executions", m_executions},
                              {"most_running", m_mostRunning},
                              {"most_by_team", m_teams.most},
                              {"running", m_running},
                              {"refused_connections", m_refusedConnections}};
            write(incoming, httpStatus::ok, counts.dump(), "");
            return;
        }
        if (m_mode == Mode::NotRun) {
            write(incoming, httpStatus::unavailable, "not run", "X-Request-Not-Run: true\r\n");
            return;
        }
        if (m_mode == Mode::CloseBeforeWork) {
            close(incoming.connection);
            return;
        }
        m_waiting.push_back(std::move(incoming));
        startWaiting();
    }

    void startWaiting()
    {
        while (!m_waiting.empty() && m_running < m_slots) {
            Incoming incoming = std::move(m_waiting.front());
            m_waiting.pop_front();
            ++m_running;
            m_mostRunning = std::max(m_mostRunning, m_running);
            ++m_executions[incoming.headers["x-radishvane-request"]];
            noteTeam(incoming.headers["x-team"], 1);
            const auto found = incoming.headers.find("x-run-ms");
            const Duration run(found == incoming.headers.end() ? 10 : std::stol(found->second));
            runOnce(m_loop, run, [this, incoming = std::move(incoming)] { finish(incoming); });
        }
    }

    void noteTeam(const std::string &team, int change)
    {
        m_teams.running[team] += change;
        m_teams.most[team] = std::max(m_teams.most[team], m_teams.running[team]);
    }

    void finish(const Incoming &incoming)
    {
        --m_running;
        const auto team = incoming.headers.find("x-team");
        noteTeam(team == incoming.headers.end() ? "" : team->second, -1);
        switch (m_mode) {
        case Mode::Ok:
        case Mode::NotRun:
        case Mode::CloseBeforeWork:
            answer(incoming, httpStatus::ok);
            break;
        case Mode::Hang:
            break;
        case Mode::CloseAfterWork:
            close(incoming.connection);
            break;
        case Mode::AnswerTwice:
            answer(incoming, httpStatus::ok);
            answer(incoming, httpStatus::ok);
            break;
        case Mode::Fail:
            answer(incoming, httpStatus::serverError);
            break;
        case Mode::Truncate:
            truncate(incoming);
            break;
        }
        startWaiting();
    }

    void answer(const Incoming &incoming, int status)
    {
        const auto name = incoming.headers.find("x-radishvane-request");
        const Json body{{"request", name == incoming.headers.end() ? "" : name->second},
                        {"path", incoming.path},
                        {"body", incoming.body},
                        {"port", m_port}};
        write(incoming, status, body.dump(), "");
    }

    void truncate(const Incoming &incoming)
    {
        const auto found = m_connections.find(incoming.connection);
        if (found == m_connections.end()) {
            return;
        }
        const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf of it";
        bufferevent_write(found->second->events, half.data(), half.size());
        constexpr Duration flushTime{20};
        runOnce(m_loop, flushTime, [this, id = incoming.connection] { close(id); });
    }

    void write(const Incoming &incoming, int status, const std::string &body, const std::string &extra)
    {
        const auto found = m_connections.find(incoming.connection);
        if (found == m_connections.end()) {
            return;
        }
        std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n" + extra;
        const auto id = incoming.headers.find("x-request-id");
        if (id != incoming.headers.end()) {
            head += "X-Request-Id: " + id->second + "\r\n";
        }
        head += "\r\n" + body;
        bufferevent_write(found->second->events, head.data(), head.size());
    }

    EventLoop &m_loop;
    TeamCounts &m_teams;
    std::uint16_t m_port;
    std::size_t m_slots;
    std::size_t m_mostConnections;
    Mode m_mode = Mode::Ok;
    std::uint64_t m_lastConnection = 0;
    std::size_t m_running = 0;
    std::size_t m_mostRunning = 0;
    std::uint64_t m_refusedConnections = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::deque<Incoming> m_waiting;
    std::map<std::string, std::uint64_t> m_executions;
};

} // namespace

} // namespace radishvane::stand_ins

int main(int argumentCount, char **arguments)
{
    radishvane::stand_ins::CommandLine commandLine("Stand-in of backend servers for tests.");
    std::vector<std::uint16_t> ports;
    std::size_t slots = 8;
    std::size_t connections = 64;
    commandLine.require("--port", ports);
    commandLine.add("--slots", slots);
    commandLine.add("--connections", connections);
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    radishvane::drivers::EventLoop loop;
    radishvane::stand_ins::TeamCounts teams;
    std::vector<std::unique_ptr<radishvane::stand_ins::Backend>> backends;
    const auto make = [&](std::uint16_t port) {
        return std::make_unique<radishvane::stand_ins::Backend>(loop, teams, port, slots, connections);
    };
    if (!radishvane::stand_ins::listenOnEach(ports, backends, make)) {
        return 1;
    }
    loop.run();
    return 0;
}
