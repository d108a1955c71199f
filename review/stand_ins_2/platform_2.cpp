// The platform in small, by PROTOCOL.md: the store with transactions, reads and a feed, and the service for machines.
// Runners are processes of their own (worker_2), which register here with POST /runner; an entry is removed after three
// heartbeat intervals of silence.
//
// port=N: the store; N + 1: the service for machines; N + 2: the service that advises which runners may run a step.
// heartbeat=MS decision=MS interval=MS validity=MS (of the advice) good=N (it lets a step run on the first N runners).
// POST /control: {"config": ...} or {"wave": ...} writes as the operator does; {"machine": ...} adds a machine;
// {"feeds": "silent" | "cut"}: the feeds hear nothing; then they are cut, and the history is dropped.
// {"machines": "busy" | "serve"}: the service for machines answers every call with 503; then it serves again.

#include "common_2.h"
#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/timer.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <csignal>
#include <functional>
#include <list>
#include <set>

namespace
{

using namespace radishvane;
using namespace radishvane::drivers;
using review::json;

constexpr auto loopback = "127.0.0.1";
constexpr std::size_t maxRows = 500;
constexpr int forbidden = 403;
constexpr int conditionFailed = 412;
constexpr int gone = 410;

HttpAnswer answerOf(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::map<std::string, std::string> readQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query.c_str(), &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            fields[pair->key] = pair->value;
        }
    }
    evhttp_clear_headers(&pairs);
    return fields;
}

std::string toBase64(const std::string &text)
{
    static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t place = 0; place < 3; ++place) {
            group = (group << 8U) | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0U);
        }
        for (std::size_t place = 0; place < 4; ++place) {
            result += at + place > text.size() ? '=' : letters[(group >> (18 - 6 * place)) & 63U];
        }
    }
    return result;
}

class Store
{
public:
    Store(EventLoop &loop, std::uint16_t port, std::int64_t heartbeat)
        : m_port(port)
        , m_heartbeat(heartbeat)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
        , m_timer(loop, Duration(5), [this] { tick(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    /// Newest entry of each machine, whether its runner is still there or not.
    std::map<std::string, json> machines;
    /// The service for machines refuses all calls.
    bool areMachinesBusy = false;

    bool isRegistered(const std::string &id) const
    {
        return m_runners.count(id) > 0;
    }

    void removeRunner(const std::string &id)
    {
        m_runners.erase(id);
        remove({"servers", "", id});
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    struct Waiting
    {
        ExchangeId exchange;
        std::string table;
        std::uint64_t after = 0;
        std::int64_t until = 0;
    };

    struct Runner
    {
        json entry;
        std::int64_t seen = 0;
    };

    static Key keyOf(const json &row)
    {
        return Key{row.at("table"), row.at("part"), row.at("key")};
    }

    static json rowJson(const Key &key, const Row &row)
    {
        json result{
            {"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)}, {"ver", row.version}};
        if (row.removed) {
            result["tombstone"] = true;
        } else {
            result["value"] = row.value;
        }
        return result;
    }

    json withVersion(json body) const
    {
        body["ver"] = m_version;
        body["nowMs"] = review::steadyMilliseconds();
        return body;
    }

    void put(const Key &key, const json &value)
    {
        m_rows[key] = Row{toBase64(value.dump()), ++m_version, false};
    }

    void remove(const Key &key)
    {
        m_rows[key] = Row{{}, ++m_version, true};
    }

    void take(const HttpRequest &request)
    {
        if (request.path == "/control") {
            obey(json::parse(request.body));
            m_server.answer(request.id, answerOf(httpStatus::ok, json::object()));
        } else if (request.path == "/runner") {
            registerRunner(json::parse(request.body));
            m_server.answer(request.id, answerOf(httpStatus::ok, json::object()));
        } else if (request.path == "/-/rows-tx") {
            transact(request);
        } else if (request.path == "/-/rows-get") {
            read(request);
        } else if (request.path == "/-/rows-feed") {
            follow(request);
        } else {
            m_server.answer(request.id, answerOf(httpStatus::notFound, json::object()));
        }
    }

    void obey(const json &order)
    {
        if (order.contains("config")) {
            put({"op", "", "config"}, order.at("config"));
        }
        if (order.contains("wave")) {
            put({"op", "", "wave/" + std::to_string(order.at("wave").at("wave").get<int>())}, order.at("wave"));
        }
        if (order.contains("machine")) {
            machines[order.at("machine").at("machine").get<std::string>()] = order.at("machine");
        }
        if (order.contains("machines")) {
            areMachinesBusy = order.at("machines") == "busy";
        }
        if (order.contains("feeds")) {
            m_areFeedsSilent = order.at("feeds") == "silent";
            if (!m_areFeedsSilent) {
                m_oldest = m_version;
                for (const Waiting &waiting : m_waiting) {
                    m_server.answer(waiting.exchange, answerOf(gone, withVersion(json::object())));
                }
                m_waiting.clear();
            }
        }
    }

    void registerRunner(const json &order)
    {
        const std::string id = order.at("id");
        Runner &runner = m_runners[id];
        runner.seen = review::steadyMilliseconds();
        if (runner.entry != order.at("entry")) {
            runner.entry = order.at("entry");
            machines[runner.entry.at("machine")] = runner.entry;
            machines[runner.entry.at("machine")]["id"] = id;
            put({"servers", "", id}, runner.entry);
        }
    }

    void transact(const HttpRequest &request)
    {
        const json body = json::parse(request.body);
        for (const json &expected : body.at("expectedRev")) {
            const auto found = m_rows.find(keyOf(expected));
            const std::uint64_t version = found == m_rows.end() || found->second.removed ? 0 : found->second.version;
            if (version == expected.at("ver").get<std::uint64_t>()) {
                continue;
            }
            json rows = json::array();
            if (version > 0) {
                rows.push_back(rowJson(found->first, found->second));
            }
            m_server.answer(request.id, answerOf(conditionFailed, withVersion({{"rows", rows}})));
            return;
        }
        for (const char *list : {"writes", "remove"}) {
            for (const json &write : body.at(list)) {
                if (write.at("table") == "servers" || write.at("table") == "op") {
                    m_server.answer(request.id, answerOf(forbidden, json::object()));
                    return;
                }
            }
        }
        ++m_version;
        for (const json &write : body.at("writes")) {
            m_rows[keyOf(write)] = Row{write.at("value"), m_version, false};
        }
        for (const json &removed : body.at("remove")) {
            m_rows[keyOf(removed)] = Row{{}, m_version, true};
        }
        m_server.answer(request.id, answerOf(httpStatus::ok, withVersion(json::object())));
    }

    void read(const HttpRequest &request)
    {
        auto query = readQuery(request.query);
        json rows = json::array();
        bool hasMore = false;
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) == query["table"] && std::get<1>(key) == query["part"]
                && std::get<2>(key) >= query["from"] && !row.removed) {
                hasMore = rows.size() >= maxRows;
                if (hasMore) {
                    break;
                }
                rows.push_back(rowJson(key, row));
            }
        }
        m_server.answer(request.id, answerOf(httpStatus::ok, withVersion({{"rows", rows}, {"hasMore", hasMore}})));
    }

    void follow(const HttpRequest &request)
    {
        auto query = readQuery(request.query);
        const std::uint64_t after = std::stoull(query["after"]);
        if (after < m_oldest) {
            m_server.answer(request.id, answerOf(gone, withVersion(json::object())));
            return;
        }
        m_waiting.push_back(Waiting{request.id, query["table"], after,
                                    review::steadyMilliseconds() + std::stoll("0" + query["waitMs"])});
        answerWaiting();
    }

    void tick()
    {
        const std::int64_t now = review::steadyMilliseconds();
        std::vector<std::string> silent;
        for (const auto &[id, runner] : m_runners) {
            if (now - runner.seen > 3 * m_heartbeat) {
                silent.push_back(id);
            }
        }
        for (const std::string &id : silent) {
            removeRunner(id);
        }
        answerWaiting();
    }

    void answerWaiting()
    {
        if (m_areFeedsSilent) {
            return;
        }
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            json rows = json::array();
            std::vector<std::pair<std::uint64_t, json>> changed;
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == waiting->table && row.version > waiting->after) {
                    changed.emplace_back(row.version, rowJson(key, row));
                }
            }
            if (changed.empty() && review::steadyMilliseconds() < waiting->until) {
                ++waiting;
                continue;
            }
            std::sort(changed.begin(), changed.end(),
                      [](const auto &left, const auto &right) { return left.first < right.first; });
            for (auto &[version, row] : changed) {
                rows.push_back(std::move(row));
            }
            m_server.answer(waiting->exchange, answerOf(httpStatus::ok, withVersion({{"rows", rows}})));
            waiting = m_waiting.erase(waiting);
        }
    }

    std::uint16_t m_port;
    std::int64_t m_heartbeat;
    std::uint64_t m_version = 0;
    std::uint64_t m_oldest = 0;
    bool m_areFeedsSilent = false;
    std::map<Key, Row> m_rows;
    std::list<Waiting> m_waiting;
    std::map<std::string, Runner> m_runners;
    HttpServer m_server;
    Timer m_timer;
};

/// Lists machines, takes moves to the pool where a machine already is, and upkeep of machines without a runner.
class MachineService
{
public:
    MachineService(EventLoop &loop, std::uint16_t port, Store &store, std::string recordPath)
        : m_port(port)
        , m_store(store)
        , m_recordPath(std::move(recordPath))
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

private:
    static constexpr std::int64_t upkeepMilliseconds = 2'000;

    void take(const HttpRequest &request)
    {
        if (m_store.areMachinesBusy) {
            m_server.answer(request.id, answerOf(httpStatus::unavailable, json::object()));
            return;
        }
        if (request.path == "/-/machines") {
            json rows = json::array();
            for (const auto &[machine, entry] : m_store.machines) {
                const bool isInUpkeep
                    = m_upkeepUntil.count(machine) > 0 && review::steadyMilliseconds() < m_upkeepUntil.at(machine);
                const std::string id = entry.value("id", std::string());
                const bool isUp = m_store.isRegistered(id);
                rows.push_back(json{{"machine", machine},
                                    {"pool", entry.at("service")},
                                    {"state",
                                     isInUpkeep ? "upkeep"
                                         : isUp ? "up"
                                                : "down"},
                                    {"zone", entry.at("zone")},
                                    {"labels", entry.at("labels")},
                                    {"capacity", entry.at("capacity")},
                                    {"id", isUp ? id : std::string()}});
            }
            m_server.answer(request.id, answerOf(httpStatus::ok, {{"machines", rows}, {"nextToken", ""}}));
            return;
        }
        const json body = json::parse(request.body);
        const std::string machine = body.at("machine");
        const std::string token = headerValue(request.headers, "X-Radishvane-Fencing-Token");
        const std::uint64_t fence = std::stoull("0" + token);
        if (m_store.machines.count(machine) == 0) {
            m_server.answer(request.id, answerOf(httpStatus::badRequest, json::object()));
            return;
        }
        if (fence < m_fences[machine]) {
            m_server.answer(request.id, answerOf(httpStatus::conflict, {{"reason", "fence"}}));
            return;
        }
        m_fences[machine] = fence;
        json &entry = m_store.machines[machine];
        if (request.path == "/-/machine-move" && body.at("pool") == entry.at("service")) {
            m_server.answer(request.id, answerOf(httpStatus::ok, json::object()));
            return;
        }
        if (request.path == "/-/machine-upkeep") {
            if (!m_kept[machine].insert(body.at("wave").get<int>()).second) {
                // Already done.
                m_server.answer(request.id, answerOf(httpStatus::ok, json::object()));
                return;
            }
            review::record(m_recordPath, "upkeep " + machine + " wave " + std::to_string(body.at("wave").get<int>()));
            m_upkeepUntil[machine] = review::steadyMilliseconds() + upkeepMilliseconds;
            m_store.removeRunner(entry.value("id", std::string()));
            m_server.answer(request.id, answerOf(httpStatus::ok, json::object()));
            return;
        }
        m_server.answer(request.id, answerOf(httpStatus::conflict, {{"reason", "busy"}}));
    }

    std::uint16_t m_port;
    Store &m_store;
    std::string m_recordPath;
    std::map<std::string, std::uint64_t> m_fences;
    std::map<std::string, std::int64_t> m_upkeepUntil;
    /// Waves for which each machine has had its upkeep.
    std::map<std::string, std::set<int>> m_kept;
    HttpServer m_server;
};

/// Names the runners that may run a step, one call at a time and in turn. A ticket is valid from the answer on.
class AdviceService
{
public:
    AdviceService(EventLoop &loop, std::uint16_t port, const review::Arguments &arguments)
        : m_port(port)
        , m_arguments(arguments)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
        , m_timer(loop, Duration(5), [this] { tick(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

private:
    static constexpr std::size_t maxWaiting = 32;

    struct Call
    {
        ExchangeId exchange;
        json body;
    };

    void take(const HttpRequest &request)
    {
        if (m_waiting.size() > maxWaiting) {
            m_server.answer(request.id, answerOf(httpStatus::tooManyRequests, json::object()));
            return;
        }
        m_waiting.push_back(Call{request.id, json::parse(request.body)});
        if (m_waiting.size() == 1) {
            begin();
        }
    }

    void begin()
    {
        const auto workers = static_cast<std::int64_t>(m_waiting.front().body.at("workers").size());
        m_readyAt = review::steadyMilliseconds() + m_arguments.number("decision", 100)
            + workers * m_arguments.number("interval", 10);
    }

    void tick()
    {
        while (!m_waiting.empty() && review::steadyMilliseconds() >= m_readyAt) {
            const Call call = m_waiting.front();
            m_waiting.pop_front();
            const std::int64_t validity = m_arguments.number("validity", 3'000);
            json good = json::array();
            for (const json &worker : call.body.at("workers")) {
                // Runners are named i-1, i-2 and so on.
                const std::string id = worker;
                if (std::stoll("0" + id.substr(2)) <= m_arguments.number("good", 1'000)) {
                    good.push_back({id,
                                    call.body.at("step").get<std::string>() + '|' + id + '|'
                                        + std::to_string(review::steadyMilliseconds() + validity)});
                }
            }
            review::record(m_arguments.text("record"),
                           "advice " + call.body.at("step").get<std::string>() + " on "
                               + std::to_string(call.body.at("workers").size()) + " runners, "
                               + std::to_string(good.size()) + " may run it");
            m_server.answer(call.exchange, answerOf(httpStatus::ok, {{"good", good}, {"validityMs", validity}}));
            if (!m_waiting.empty()) {
                begin();
            }
        }
    }

    std::uint16_t m_port;
    const review::Arguments &m_arguments;
    std::list<Call> m_waiting;
    std::int64_t m_readyAt = 0;
    HttpServer m_server;
    Timer m_timer;
};

} // namespace

int main(int count, char **values)
{
    const review::Arguments arguments(count, values);
    std::signal(SIGPIPE, SIG_IGN);
    const auto port = static_cast<std::uint16_t>(arguments.number("port", 0));
    EventLoop loop;
    Store store(loop, port, arguments.number("heartbeat", 1'500));
    MachineService machines(loop, static_cast<std::uint16_t>(port + 1), store, arguments.text("record"));
    AdviceService advice(loop, static_cast<std::uint16_t>(port + 2), arguments);
    if (!store.listen() || !machines.listen() || !advice.listen()) {
        std::cerr << "a port cannot be bound\n";
        return 2;
    }
    loop.run();
    return 0;
}
