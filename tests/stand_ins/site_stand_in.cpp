// The users' platform in small, by its published protocol: the store with conditional transactions and a feed, workers
// with leases and fences, and the service for hosts.

#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/system_clock.h"
#include "drivers/timer.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/control.h"

#include <csignal>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>

namespace
{

using namespace radishvane;
using namespace radishvane::drivers;
using namespace radishvane::stand_ins;
using nlohmann::json;

constexpr auto loopback = "127.0.0.1";
constexpr Duration tickInterval{10};
constexpr std::int64_t stopMilliseconds = 200;
constexpr std::int64_t maintenanceMilliseconds = 1'000;
constexpr std::int64_t longestLeaseMilliseconds = 10'000;

/// Tasks that take this long are long ones.
constexpr std::int64_t longTaskMilliseconds = 12'000;
/// Age of the workers that the platform starts with.
constexpr std::int64_t firstAgeMilliseconds = 1'200'000;

/// What befalls a worker from the next start of a long task on, in milliseconds.
struct WorkerTrouble
{
    /// Orders that arrive within this time of the start, and the start itself, are held up.
    std::int64_t heldUpFor = 0;
    /// From the start to the crash, and from there until the worker is back under its id.
    std::int64_t crashAfter = 0;
    std::int64_t darkFor = 0;
    /// From the return until the orders that were held up are carried out, and until discovery lists the new
    /// incarnation.
    std::int64_t carriedOutAfter = 0;
    std::int64_t listedAfter = 0;
    /// From the return until no call reaches the worker, and for how long.
    std::int64_t cutAfter = 0;
    std::int64_t cutFor = 0;

    static WorkerTrouble from(const json &order)
    {
        return WorkerTrouble{
            order.at("held-up-for"),  order.at("crash-after"), order.at("dark-for"), order.at("carried-out-after"),
            order.at("listed-after"), order.at("cut-after"),   order.at("cut-for")};
    }
};

/// What the store does with the next transaction.
enum class StoreMode {
    Serve,
    /// It is done, and its answer never comes.
    LoseNextAnswer,
    /// Every call is turned away.
    Down,
    /// No call is answered, and nothing is done.
    Silent,
};

constexpr std::array<std::string_view, 4> storeModeNames{"serve", "lose-next-answer", "down", "silent"};

std::int64_t milliseconds()
{
    static const SystemClock clock;
    return std::chrono::duration_cast<Duration>(clock.now().time_since_epoch()).count();
}

/// Writes down what happens to a run, in the order in which it happens; a test reads the lines.
void record(const char *event, const std::string &worker, const std::string &task, std::uint64_t run,
            const std::string &how = {})
{
    std::cout << json{{"run-event", event}, {"worker", worker}, {"task", task},
                      {"run", run},         {"how", how},       {"ms", milliseconds()}}
                     .dump()
              << std::endl;
}

std::string toBase64(const std::string &text)
{
    static constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t place = 0; place < 3; ++place) {
            group = (group << 8) | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0);
        }
        for (std::size_t place = 0; place < 4; ++place) {
            result += at + place > text.size() ? '=' : letters[(group >> (18 - 6 * place)) & 63];
        }
    }
    return result;
}

class StoreStandIn
{
public:
    /// @param transactionMilliseconds how long the answer to a transaction takes
    StoreStandIn(EventLoop &loop, std::uint16_t port, std::int64_t transactionMilliseconds)
        : m_port(port)
        , m_transactionMilliseconds(transactionMilliseconds)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
        , m_timer(loop, tickInterval, [this] { answerWaiting(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    void put(const std::string &table, const std::string &part, const std::string &key, const json &value)
    {
        m_rows[{table, part, key}] = Row{toBase64(value.dump()), ++m_version, false};
    }

    void remove(const std::string &table, const std::string &part, const std::string &key)
    {
        m_rows[{table, part, key}] = Row{{}, ++m_version, true};
    }

    /// Called with the number of a worker that is to start again under its id.
    std::function<void(std::size_t)> restartWorker;
    /// Trouble that waits for the next start of a long task.
    std::optional<WorkerTrouble> nextTrouble;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    using Key = std::tuple<std::string, std::string, std::string>;

    struct Waiting
    {
        ExchangeId exchange;
        std::string table;
        std::uint64_t after = 0;
        std::int64_t until = 0;
    };

    /// The answer to a transaction that is done.
    struct Done
    {
        ExchangeId exchange;
        json body;
        std::int64_t at = 0;
    };

    static Key keyOf(const json &row)
    {
        return Key{row.at("table"), row.at("part"), row.at("key")};
    }

    json rowJson(const Key &key, const Row &row) const
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
        body["nowMs"] = milliseconds();
        return body;
    }

    void take(const HttpRequest &request)
    {
        if (request.path == "/control") {
            obey(json::parse(request.body));
            m_server.answer(request.id, jsonAnswer(httpStatus::ok, json{{"trouble-waits", nextTrouble.has_value()}}));
            return;
        }
        if (m_mode == StoreMode::Silent) {
            return;
        }
        if (m_mode == StoreMode::Down) {
            m_server.answer(request.id, jsonAnswer(httpStatus::unavailable, json::object()));
        } else if (request.path == "/-/rows-tx") {
            transact(request);
        } else if (request.path == "/-/rows-get") {
            read(request);
        } else if (request.path == "/-/rows-feed") {
            auto query = readQuery(request.query);
            m_waiting.push_back(Waiting{request.id, query["table"], std::stoull(query["after"]),
                                        milliseconds() + std::stoll(query["waitMs"])});
            answerWaiting();
        } else {
            m_server.answer(request.id, jsonAnswer(httpStatus::notFound, json::object()));
        }
    }

    void obey(const json &order)
    {
        if (order.contains("config")) {
            put("op", "", "config", order.at("config"));
        } else if (order.contains("restart-worker")) {
            restartWorker(order.at("restart-worker").get<std::size_t>());
        } else if (order.contains("trouble")) {
            nextTrouble = WorkerTrouble::from(order.at("trouble"));
        } else if (order.contains("mode")) {
            m_mode = readMode<StoreMode>(storeModeNames, order).value_or(StoreMode::Serve);
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
            constexpr int conditionFailed = 412;
            m_server.answer(request.id, jsonAnswer(conditionFailed, withVersion({{"rows", rows}})));
            return;
        }
        ++m_version;
        for (const json &write : body.at("writes")) {
            m_rows[keyOf(write)] = Row{write.at("value"), m_version, false};
        }
        for (const json &removed : body.at("remove")) {
            m_rows[keyOf(removed)] = Row{{}, m_version, true};
        }
        if (m_mode == StoreMode::LoseNextAnswer) {
            m_mode = StoreMode::Serve;
            return;
        }
        m_done.push_back(Done{request.id, withVersion(json::object()), milliseconds() + m_transactionMilliseconds});
        answerWaiting();
    }

    void read(const HttpRequest &request)
    {
        auto query = readQuery(request.query);
        json rows = json::array();
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) == query["table"] && std::get<1>(key) == query["part"]
                && std::get<2>(key) >= query["from"] && !row.removed) {
                rows.push_back(rowJson(key, row));
            }
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, withVersion({{"rows", rows}, {"hasMore", false}})));
    }

    void answerWaiting()
    {
        if (m_mode == StoreMode::Silent) {
            return;
        }
        while (!m_done.empty() && milliseconds() >= m_done.front().at) {
            m_server.answer(m_done.front().exchange, jsonAnswer(httpStatus::ok, m_done.front().body));
            m_done.pop_front();
        }
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            json rows = json::array();
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == waiting->table && row.version > waiting->after) {
                    rows.push_back(rowJson(key, row));
                }
            }
            if (rows.empty() && milliseconds() < waiting->until) {
                ++waiting;
                continue;
            }
            m_server.answer(waiting->exchange, jsonAnswer(httpStatus::ok, withVersion({{"rows", rows}})));
            waiting = m_waiting.erase(waiting);
        }
    }

    std::uint16_t m_port;
    StoreMode m_mode = StoreMode::Serve;
    std::uint64_t m_version = 0;
    std::map<Key, Row> m_rows;
    std::list<Waiting> m_waiting;
    std::int64_t m_transactionMilliseconds;
    std::list<Done> m_done;
    HttpServer m_server;
    Timer m_timer;
};

/// A worker without a guard of its own; a job's text "ms=N" tells how long its tasks take, "fail=N" that they then
/// fail.
class SiteWorkerStandIn
{
public:
    SiteWorkerStandIn(EventLoop &loop, std::uint16_t port)
        : m_port(port)
        , m_born(milliseconds())
        , m_clockBegin(m_born - firstAgeMilliseconds)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
        , m_timer(loop, tickInterval, [this] { tick(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    std::string id() const
    {
        return "i-" + std::to_string(m_port);
    }

    json entry(const std::string &service) const
    {
        return json{{"service", service},
                    {"address", std::string(loopback) + ':' + std::to_string(m_port)},
                    {"zone", "a"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldLeftMs", 0},
                    {"capacity", {{"cpu", 8'000}, {"memMb", 8'000}, {"gpus", 0}}},
                    {"labels", {"a", "r1-1"}},
                    {"clockMs", 0},
                    {"born", m_born},
                    {"machine", "m-" + std::to_string(m_port)},
                    {"seqNo", 1}};
    }

    /// Ends all that runs, as a host that goes down does.
    void goDown()
    {
        for (const auto &[task, run] : m_running) {
            record("gone", id(), task, run.number);
        }
        m_running.clear();
        m_waiting.clear();
        m_ended.clear();
        m_highest.clear();
        m_lastEnd = 0;
        m_lastLapsed = 0;
        m_fence = 0;
        m_deadline = 0;
        begin();
    }

    bool isTroubled() const
    {
        return m_trouble.has_value();
    }

    /// Called with each start of a long task while the worker is not troubled. @return what befalls the worker then.
    std::function<std::optional<WorkerTrouble>()> longStart;
    /// Called when discovery is to list the incarnation.
    std::function<void()> list;

private:
    /// The trouble, with its times by the steady clock.
    struct Trouble
    {
        std::int64_t heldUpUntil = 0;
        std::int64_t crashAt = 0;
        std::int64_t returnAt = 0;
        std::int64_t carryOutAt = 0;
        std::int64_t listAt = 0;
        std::int64_t cutAt = 0;
        std::int64_t cutUntil = 0;
        std::vector<HttpRequest> heldUp;
        bool hasCrashed = false;
        bool hasReturned = false;
        bool isListed = false;
    };

    struct Run
    {
        std::uint64_t number = 0;
        std::int64_t endsAt = 0;
        std::int64_t startedAt = 0;
        std::string how = "done";
    };

    struct Waiting
    {
        ExchangeId exchange;
        std::int64_t until = 0;
    };

    void begin()
    {
        m_born = milliseconds();
        m_clockBegin = m_born;
    }

    std::int64_t clock() const
    {
        return milliseconds() - m_clockBegin;
    }

    void refuse(const HttpRequest &request, const std::string &reason)
    {
        m_server.answer(request.id, jsonAnswer(httpStatus::conflict, {{"clockMs", clock()}, {"reason", reason}}));
    }

    void take(const HttpRequest &request)
    {
        const std::int64_t now = milliseconds();
        if (!m_trouble && isLongStart(request)) {
            if (const std::optional<WorkerTrouble> next = longStart()) {
                befall(*next);
            }
        }
        if (m_trouble && now < std::min(m_trouble->heldUpUntil, m_trouble->crashAt)) {
            m_trouble->heldUp.push_back(request);
        } else if (!isUnreachable(now)) {
            carryOut(request);
        }
    }

    static bool isLongStart(const HttpRequest &request)
    {
        return request.path == "/-/run-start"
            && durationOf(json::parse(request.body).at("spec")) >= longTaskMilliseconds;
    }

    static std::int64_t durationOf(const std::string &payload)
    {
        return std::stoll(payload.substr(payload.find('=') + 1));
    }

    void befall(const WorkerTrouble &next)
    {
        const std::int64_t now = milliseconds();
        const std::int64_t returnAt = now + next.crashAfter + next.darkFor;
        m_trouble = Trouble{now + next.heldUpFor,
                            now + next.crashAfter,
                            returnAt,
                            returnAt + next.carriedOutAfter,
                            returnAt + next.listedAfter,
                            returnAt + next.cutAfter,
                            returnAt + next.cutAfter + next.cutFor,
                            {}};
        std::cout << json{{"trouble", id()},
                          {"ms", now},
                          {"held-up-until", m_trouble->heldUpUntil},
                          {"crash", m_trouble->crashAt},
                          {"return", m_trouble->returnAt},
                          {"carry-out", m_trouble->carryOutAt},
                          {"list", m_trouble->listAt},
                          {"cut", m_trouble->cutAt},
                          {"cut-until", m_trouble->cutUntil}}
                         .dump()
                  << std::endl;
    }

    bool isUnreachable(std::int64_t now) const
    {
        return m_trouble
            && ((now >= m_trouble->crashAt && now < m_trouble->returnAt)
                || (now >= m_trouble->cutAt && now < m_trouble->cutUntil));
    }

    void followTrouble()
    {
        const std::int64_t now = milliseconds();
        if (now >= m_trouble->crashAt && !m_trouble->hasCrashed) {
            m_trouble->hasCrashed = true;
            goDown();
        }
        if (now >= m_trouble->returnAt && !m_trouble->hasReturned) {
            m_trouble->hasReturned = true;
            begin();
        }
        if (now >= m_trouble->listAt && !m_trouble->isListed) {
            m_trouble->isListed = true;
            list();
        }
        if (now >= m_trouble->carryOutAt) {
            for (HttpRequest &request : std::exchange(m_trouble->heldUp, {})) {
                // The connection that it came on ended with the crash.
                request.id = ExchangeId{};
                carryOut(request);
            }
        }
        if (isUnreachable(now)) {
            m_waiting.clear();
        }
        if (now >= std::max({m_trouble->cutUntil, m_trouble->carryOutAt, m_trouble->listAt})) {
            m_trouble.reset();
        }
    }

    void carryOut(const HttpRequest &request)
    {
        constexpr int misdirected = 421;
        if (headerValue(request.headers, "X-Radishvane-Target-Instance") != id()) {
            m_server.answer(request.id, jsonAnswer(misdirected, json::object()));
            return;
        }
        const json body = json::parse(request.body);
        const std::uint64_t fence = body.value("fencingToken", std::uint64_t{0});
        if (fence < m_fence) {
            refuse(request, "fence");
            return;
        }
        m_fence = fence;
        if (request.path == "/-/run-start") {
            start(request, body);
        } else if (request.path == "/-/run-stop") {
            stop(request, body);
        } else {
            hold(request, body);
        }
    }

    void start(const HttpRequest &request, const json &body)
    {
        const std::string task = body.at("task");
        const std::int64_t deadline = body.at("deadlineMs");
        if (deadline < clock()) {
            refuse(request, "late");
            return;
        }
        extendLease(deadline);
        const std::uint64_t number = body.at("runId");
        const auto running = m_running.find(task);
        if (running == m_running.end() && number <= m_highest[task]) {
            refuse(request, "old");
            return;
        }
        if (running == m_running.end() || running->second.number < number) {
            const std::string payload = body.at("spec");
            record("start", id(), task, number);
            m_running[task] = Run{number, milliseconds() + durationOf(payload), milliseconds(),
                                  payload.starts_with("fail") ? "failed" : "done"};
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"clockMs", clock()}}));
    }

    void stop(const HttpRequest &request, const json &body)
    {
        const std::string task = body.at("task");
        const auto running = m_running.find(task);
        m_highest[task] = std::max(m_highest[task], body.at("runId").get<std::uint64_t>());
        if (running != m_running.end() && running->second.number == body.at("runId").get<std::uint64_t>()) {
            running->second.how = "stopped";
            running->second.endsAt = milliseconds() + stopMilliseconds;
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"clockMs", clock()}}));
    }

    /// A lease is never shortened, and never longer than the platform allows.
    void extendLease(std::int64_t deadline)
    {
        m_deadline = std::max(m_deadline, std::min(deadline, clock() + longestLeaseMilliseconds));
    }

    void hold(const HttpRequest &request, const json &body)
    {
        const std::uint64_t noted = body.at("ackSeq");
        extendLease(body.value("deadlineMs", std::int64_t{0}));
        if (noted > m_lastEnd) {
            std::cout << json{{"acknowledged-beyond", m_lastEnd},
                              {"acknowledged", noted},
                              {"worker", id()},
                              {"fence", m_fence},
                              {"ms", milliseconds()}}
                             .dump()
                      << std::endl;
        }
        for (const json &end : m_ended) {
            if (end[0] <= noted && end[0] > m_lastLapsed) {
                record("noted", id(), end[1], end[2], end[3]);
            }
        }
        std::erase_if(m_ended, [noted](const json &end) { return end[0].get<std::uint64_t>() <= noted; });
        m_waiting.push_back(Waiting{request.id, milliseconds() + body.value("waitMs", 0)});
        answerWaiting();
    }

    void tick()
    {
        if (m_trouble) {
            followTrouble();
        }
        const bool lapsed = clock() > m_deadline;
        m_lastLapsed = lapsed ? m_lastEnd : m_lastLapsed;
        for (auto running = m_running.begin(); running != m_running.end();) {
            if (!lapsed && milliseconds() < running->second.endsAt) {
                ++running;
                continue;
            }
            const std::string how = lapsed ? std::string("lapsed") : running->second.how;
            record("end", id(), running->first, running->second.number, how);
            m_highest[running->first] = std::max(m_highest[running->first], running->second.number);
            m_ended.push_back(json{++m_lastEnd, running->first, running->second.number, how, ""});
            running = m_running.erase(running);
        }
        answerWaiting();
    }

    void answerWaiting()
    {
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            if (m_ended.empty() && milliseconds() < waiting->until) {
                ++waiting;
                continue;
            }
            json running = json::array();
            for (const auto &[task, run] : m_running) {
                const std::int64_t whole = std::max<std::int64_t>(run.endsAt - run.startedAt, 1);
                running.push_back(json{task, run.number, "", (milliseconds() - run.startedAt) * 100 / whole, 0});
            }
            m_server.answer(
                waiting->exchange,
                jsonAnswer(httpStatus::ok,
                           {{"clockMs", clock()}, {"born", m_born}, {"running", running}, {"endedRuns", m_ended}}));
            waiting = m_waiting.erase(waiting);
        }
    }

    std::uint16_t m_port;
    std::int64_t m_born;
    /// When the worker's clock showed 0.
    std::int64_t m_clockBegin;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_lastEnd = 0;
    /// Ends up to this number were listed when a lease lapsed.
    std::uint64_t m_lastLapsed = 0;
    std::map<std::string, Run> m_running;
    /// Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> m_highest;
    std::vector<json> m_ended;
    std::list<Waiting> m_waiting;
    std::optional<Trouble> m_trouble;
    HttpServer m_server;
    Timer m_timer;
};

/// Hosts of this pool are switched off.
constexpr auto standbyPool = "spare";

class HostServiceStandIn
{
public:
    HostServiceStandIn(EventLoop &loop, std::uint16_t port, std::vector<std::unique_ptr<SiteWorkerStandIn>> &workers,
                       StoreStandIn &store)
        : m_port(port)
        , m_workers(workers)
        , m_store(store)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    /// Puts a worker's host into a pool; in the standby pool it is switched off.
    void place(SiteWorkerStandIn &worker, const std::string &pool)
    {
        m_pools[worker.id()] = pool;
        if (pool == standbyPool) {
            m_store.remove("servers", "", worker.id());
        } else {
            m_store.put("servers", "", worker.id(), worker.entry(pool));
        }
    }

private:
    static std::string hostOf(const SiteWorkerStandIn &worker)
    {
        return "m-" + worker.id().substr(2);
    }

    void take(const HttpRequest &request)
    {
        if (request.path == "/-/machines") {
            json machines = json::array();
            for (const auto &worker : m_workers) {
                const bool isDown = m_downUntil[worker->id()] > milliseconds();
                const std::string pool = m_pools[worker->id()];
                machines.push_back(json{{"machine", hostOf(*worker)},
                                        {"pool", pool},
                                        {"state", isDown ? "upkeep" : "up"},
                                        {"capacity", {{"cpu", 8'000}, {"memMb", 8'000}, {"gpus", 0}}},
                                        {"labels", {"a", "r1-1"}},
                                        {"id", pool == standbyPool ? std::string() : worker->id()}});
            }
            m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"machines", machines}, {"nextToken", nullptr}}));
            return;
        }
        const json body = json::parse(request.body);
        for (const auto &worker : m_workers) {
            if (hostOf(*worker) != body.at("machine").get<std::string>()) {
                continue;
            }
            if (request.path == "/-/machine-move") {
                move(*worker, body.at("pool"));
            } else if (m_downUntil[worker->id()] == 0) {
                m_downUntil[worker->id()] = milliseconds() + maintenanceMilliseconds;
                worker->goDown();
                place(*worker, m_pools[worker->id()]);
            }
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, json::object()));
    }

    /// Done at once, where the platform takes a second or two.
    void move(SiteWorkerStandIn &worker, const std::string &pool)
    {
        if (m_pools[worker.id()] != pool) {
            worker.goDown();
            place(worker, pool);
        }
    }

    std::uint16_t m_port;
    std::vector<std::unique_ptr<SiteWorkerStandIn>> &m_workers;
    StoreStandIn &m_store;
    /// Pool of each worker's host.
    std::map<std::string, std::string> m_pools;
    std::map<std::string, std::int64_t> m_downUntil;
    HttpServer m_server;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    CommandLine commandLine("The users' platform in small: store, host service and workers.", "site_stand_in");
    std::uint16_t port = 0;
    int workerCount = 3;
    bool hasWave = false;
    bool hasStandby = false;
    std::int64_t transactionMilliseconds = 0;
    commandLine.require("--port", port, "the store's; the host service and the workers follow");
    commandLine.add("--workers", workerCount, "workers of the one pool");
    commandLine.addFlag("--wave", hasWave, "all hosts are due for maintenance");
    commandLine.addFlag("--standby", hasStandby, "there is a pool whose hosts are switched off");
    commandLine.add("--transaction-ms", transactionMilliseconds, "time that the store takes for a transaction");
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);

    EventLoop loop;
    StoreStandIn store(loop, port, transactionMilliseconds);
    std::vector<std::unique_ptr<SiteWorkerStandIn>> workers;
    std::vector<std::uint16_t> ports;
    for (int index = 0; index < workerCount; ++index) {
        ports.push_back(static_cast<std::uint16_t>(port + 2 + index));
    }
    HostServiceStandIn hosts(loop, static_cast<std::uint16_t>(port + 1), workers, store);
    const auto make = [&loop](std::uint16_t own) {
        return std::make_unique<SiteWorkerStandIn>(loop, own);
    };
    if (!store.listen() || !hosts.listen()) {
        std::cerr << "port " << port << " or the next one cannot be bound\n";
        return 1;
    }
    if (!listenOnEach(ports, workers, make)) {
        return 1;
    }
    std::cout << json{{"listening", port}}.dump() << std::endl;
    json machines = json::array();
    for (const auto &worker : workers) {
        hosts.place(*worker, "looms");
        worker->longStart = [&store] {
            return std::exchange(store.nextTrouble, std::nullopt);
        };
        worker->list = [&hosts, own = worker.get()] {
            hosts.place(*own, "looms");
        };
        machines.push_back("m-" + worker->id().substr(2));
    }
    store.restartWorker = [&](std::size_t index) {
        if (!workers.at(index)->isTroubled()) {
            workers.at(index)->goDown();
            hosts.place(*workers.at(index), "looms");
        }
    };
    // Entries of other writers name no worker to use, and end nothing.
    store.put("servers", "", "i-other", json{{"service", 7}});
    const json queue{{"name", "q"},      {"host", "site.example"}, {"prefix", "/plans/"},    {"service", "looms"},
                     {"maxAttempts", 3}, {"stretch", 1.5},         {"targetDurationMs", 500}};
    json services{{{"name", "looms"}}};
    if (hasStandby) {
        services.push_back({{"name", standbyPool}, {"standby", true}});
    }
    store.put("op", "", "config",
              json{{"version", 3},
                   {"routes", {queue}},
                   {"services", services},
                   {"tenants", {{{"name", "t"}, {"weight", 1}, {"apiKeys", {"key-1"}}}}}});
    if (hasWave) {
        store.put("op", "", "wave/1", json{{"wave", 1}, {"machines", machines}, {"durationS", 20}, {"cap", 1}});
    }
    loop.run();
    return 0;
}
