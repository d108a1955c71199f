// Stands in for the platform: a transactional table, an object store and a lagging host list, all in memory.
//
// Each --port is one way to the platform, as from one availability zone. POST /control with JSON sets how a port fails:
//   {"mode": "ok" | "down" | "slow" | "lose-answers" | "cut", "delay_ms": 500}
// POST /control/hosts with {"host": "h1", "state": "live" | "leaving" | "gone"} changes the host list, which is told
// after the lag.

#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/one_shot.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/control.h"

#include <csignal>
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
    /// Refuses everything with 503.
    Down,
    /// Answers after a delay.
    Slow,
    /// Lets writes take effect and then closes the connection without an answer.
    LoseAnswers,
    /// Answers nothing, as when the network is cut.
    Cut,
};

constexpr std::array<std::string_view, 5> modeNames{"ok", "down", "slow", "lose-answers", "cut"};

struct Row
{
    std::uint64_t version = 0;
    std::string value;
    std::string writer;
};

/// What the platform keeps, behind all ports.
class Store
{
public:
    Store(EventLoop &loop, Duration lag) : m_loop(loop), m_lag(lag)
    {
    }

    HttpAnswer answer(const HttpRequest &request)
    {
        const auto query = readQuery(request.query);
        if (request.path == "/table/row") {
            return readRow(query.at("key"));
        }
        if (request.path == "/table/rows") {
            return tagged(request, readRows(query.at("prefix")));
        }
        if (request.path == "/table/write") {
            return write(Json::parse(request.body));
        }
        if (request.path == "/hosts") {
            return tagged(request, hosts());
        }
        if (request.path.starts_with("/hosts/")) {
            return reboot(request.path, query.at("token"));
        }
        if (request.path.starts_with("/objects/")) {
            return object(request);
        }
        return textAnswer(httpStatus::notFound, "no such path");
    }

    HttpAnswer counts() const
    {
        return jsonAnswer(
            httpStatus::ok,
            {{"reads", m_reads}, {"writes", m_writes}, {"conflicts", m_conflicts}, {"reboots", m_reboots.size()}});
    }

    void changeHosts(const Json &json)
    {
        for (const Json &entry : json.is_array() ? json : Json::array({json})) {
            const auto host = entry.at("host").get<std::string>();
            const auto state = entry.at("state").get<std::string>();
            runOnce(m_loop, m_lag, [this, host, state] {
                if (state == "gone") {
                    m_listed.erase(host);
                } else {
                    m_listed[host] = state;
                }
            });
        }
    }

private:
    HttpAnswer readRow(const std::string &key)
    {
        ++m_reads;
        const auto found = m_rows.find(key);
        if (found == m_rows.end()) {
            return jsonAnswer(httpStatus::notFound, {{"key", key}});
        }
        return jsonAnswer(httpStatus::ok, rowJson(key, found->second));
    }

    /// Answers with an entity tag, and without the body when the caller has it already.
    static HttpAnswer tagged(const HttpRequest &request, HttpAnswer answer)
    {
        const std::string tag = '"' + std::to_string(std::hash<std::string>{}(answer.body)) + '"';
        if (headerValue(request.headers, "If-None-Match") == tag) {
            return {httpStatus::notModified, {{"ETag", tag}}, ""};
        }
        answer.headers.push_back({"ETag", tag});
        return answer;
    }

    HttpAnswer readRows(const std::string &prefix)
    {
        ++m_reads;
        Json rows = Json::array();
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
            rows.push_back(rowJson(row->first, row->second));
        }
        return jsonAnswer(httpStatus::ok, {{"rows", rows}});
    }

    static Json rowJson(const std::string &key, const Row &row)
    {
        return {{"key", key}, {"version", row.version}, {"value", row.value}, {"writer", row.writer}};
    }

    HttpAnswer write(const Json &request)
    {
        for (const Json &entry : request.at("writes")) {
            const auto key = entry.at("key").get<std::string>();
            const auto found = m_rows.find(key);
            const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
            if (version != entry.at("expected").get<std::uint64_t>()) {
                ++m_conflicts;
                return jsonAnswer(httpStatus::conflict, {{"key", key}});
            }
        }
        Json versions = Json::array();
        for (const Json &entry : request.at("writes")) {
            ++m_writes;
            const auto key = entry.at("key").get<std::string>();
            if (entry.at("value").is_null()) {
                m_rows.erase(key);
                versions.push_back(0);
                continue;
            }
            m_rows[key]
                = Row{++m_lastVersion, entry.at("value").get<std::string>(), request.at("writer").get<std::string>()};
            versions.push_back(m_lastVersion);
        }
        return jsonAnswer(httpStatus::ok, {{"versions", versions}});
    }

    HttpAnswer object(const HttpRequest &request)
    {
        const std::string name = decode(request.path.substr(std::string_view("/objects/").size()));
        if (request.method == HttpMethod::Put) {
            m_objects[name] = request.body;
            return textAnswer(httpStatus::created, "stored");
        }
        const auto found = m_objects.find(name);
        if (found == m_objects.end()) {
            return textAnswer(httpStatus::notFound, "no such object");
        }
        return textAnswer(httpStatus::ok, found->second);
    }

    /// Reboots a host once for each token; the reboot takes a while.
    HttpAnswer reboot(const std::string &path, const std::string &token)
    {
        constexpr Duration rebootTime{1'500};
        const std::string name = path + token;
        if (!m_reboots.contains(name)) {
            m_reboots[name] = false;
            runOnce(m_loop, rebootTime, [this, name] { m_reboots[name] = true; });
        }
        return jsonAnswer(httpStatus::ok, {{"done", m_reboots[name]}});
    }

    HttpAnswer hosts()
    {
        ++m_reads;
        Json list = Json::array();
        for (const auto &[host, state] : m_listed) {
            list.push_back({{"host", host}, {"state", state}});
        }
        return jsonAnswer(httpStatus::ok, {{"hosts", list}});
    }

    EventLoop &m_loop;
    Duration m_lag;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::string> m_listed;
    std::map<std::string, bool> m_reboots;
};

/// One way to the platform, with its own faults.
class Port
{
public:
    Port(EventLoop &loop, Store &store, std::uint16_t port)
        : m_loop(loop)
        , m_store(store)
        , m_port(port)
        , m_server(
              loop, HttpLimits{16 << 20, 64 << 10, Duration(60'000)},
              [this](HttpRequest &&request) { receive(std::move(request)); }, [](ExchangeId) {})
    {
    }

    bool listen()
    {
        return m_server.listen({"127.0.0.1", m_port});
    }

private:
    void receive(HttpRequest &&request)
    {
        if (request.path == "/control") {
            control(request);
            return;
        }
        if (request.path == "/control/hosts") {
            m_store.changeHosts(Json::parse(request.body));
            m_server.answer(request.id, textAnswer(httpStatus::ok, "ok"));
            return;
        }
        if (request.path == "/control/counts") {
            m_server.answer(request.id, m_store.counts());
            return;
        }
        switch (m_mode) {
        case Mode::Ok:
            m_server.answer(request.id, m_store.answer(request));
            return;
        case Mode::Down:
            m_server.answer(request.id, textAnswer(httpStatus::unavailable, "down"));
            return;
        case Mode::Slow:
            runOnce(m_loop, m_delay,
                    [this, request = std::move(request)] { m_server.answer(request.id, m_store.answer(request)); });
            return;
        case Mode::LoseAnswers:
            if (request.method == HttpMethod::Get) {
                m_server.answer(request.id, m_store.answer(request));
                return;
            }
            m_store.answer(request);
            runOnce(m_loop, m_delay,
                    [this, id = request.id] { m_server.answer(id, textAnswer(httpStatus::badGateway, "lost")); });
            return;
        case Mode::Cut:
            return;
        }
    }

    void control(const HttpRequest &request)
    {
        const Json json = Json::parse(request.body);
        const auto mode = readMode<Mode>(modeNames, json);
        if (!mode) {
            m_server.answer(request.id, textAnswer(httpStatus::badRequest, "unknown mode in " + request.body));
            return;
        }
        m_mode = *mode;
        m_delay = Duration(json.value("delay_ms", 0));
        m_server.answer(request.id, textAnswer(httpStatus::ok, "ok"));
    }

    EventLoop &m_loop;
    Store &m_store;
    std::uint16_t m_port;
    Mode m_mode = Mode::Ok;
    Duration m_delay{};
    HttpServer m_server;
};

} // namespace

} // namespace radishvane::stand_ins

int main(int argumentCount, char **arguments)
{
    radishvane::stand_ins::CommandLine commandLine("Stand-in of the platform for tests.");
    std::vector<std::uint16_t> ports;
    std::int64_t lag = 500;
    commandLine.require("--port", ports);
    commandLine.add("--host-list-lag-ms", lag);
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    radishvane::drivers::EventLoop loop;
    radishvane::stand_ins::Store store(loop, radishvane::Duration(lag));
    std::vector<std::unique_ptr<radishvane::stand_ins::Port>> ways;
    const auto make = [&](std::uint16_t port) {
        return std::make_unique<radishvane::stand_ins::Port>(loop, store, port);
    };
    if (!radishvane::stand_ins::listenOnEach(ports, ways, make)) {
        return 1;
    }
    loop.run();
    return 0;
}
