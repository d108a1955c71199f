// The users' platform in small, as PROTOCOL.md describes it, with the limits that its store sets on rows and calls.
// One process holds the store, the host service and the workers of one pool. It writes down what runs.

#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/system_clock.h"
#include "drivers/timer.h"
#include "review/stand_ins/support.h"

#include <csignal>
#include <deque>
#include <iostream>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace
{

using namespace radishvane;
using namespace radishvane::drivers;
using namespace review;
using nlohmann::json;

/// Figures of the site hcbw-sched.
constexpr std::size_t maxRowBytes = 65'536;
constexpr std::size_t maxCallBytes = 1'048'576;
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t maxRowsRead = 500;
constexpr std::size_t maxEndsListed = 500;
constexpr std::int64_t transactionMs = 6;
constexpr std::int64_t longestLeaseMs = 10'000;
constexpr std::int64_t stopMs = 400;
constexpr std::int64_t checkpointMs = 500;
constexpr std::int64_t ackMs = 4'000;
/// A crash: how long after the order, and for how long.
constexpr std::int64_t crashAfterMs = 3'000;
constexpr std::int64_t crashMs = 1'000;
/// How long after the restart the order is carried out, and the worker's entry is written.
constexpr std::int64_t lateMs = 200;
constexpr std::int64_t entryMs = 700;
constexpr std::int64_t workerCpu = 32'000;
constexpr std::int64_t workerMemory = 65'536;
constexpr Duration tickInterval{10};

HttpAnswer jsonAnswer(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

void record(json line)
{
    line["ms"] = nowMs();
    std::cout << line.dump() << std::endl;
}

/// Size of the bytes that a text in base64 holds.
std::size_t decodedSize(const std::string &text)
{
    std::size_t letters = text.size();
    while (letters > 0 && text[letters - 1] == '=') {
        --letters;
    }
    return letters * 3 / 4;
}

class Store
{
public:
    Store(EventLoop &loop, std::uint16_t port)
        : m_port(port)
        , m_server(
              loop, HttpLimits{8 << 20, 16 << 10, Duration(60'000)}, [this](HttpRequest &&request) { take(request); },
              [](ExchangeId) {})
        , m_timer(loop, tickInterval, [this] { answerWaiting(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    void put(const std::string &table, const std::string &key, const json &value)
    {
        m_rows[{table, "", key}] = Row{toBase64(value.dump()), ++m_version, false};
    }

    std::function<json()> describe;

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

    struct Done
    {
        ExchangeId exchange;
        HttpAnswer answer;
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
        body["nowMs"] = nowMs();
        return body;
    }

    void take(const HttpRequest &request)
    {
        if (request.path == "/control/state") {
            m_server.answer(request.id, jsonAnswer(httpStatus::ok, describe()));
        } else if (request.path.starts_with("/control/")) {
            m_isDown = request.path == "/control/down";
            record({{"store", m_isDown ? "down" : "serves"}});
            m_server.answer(request.id, jsonAnswer(httpStatus::ok, json::object()));
        } else if (m_isDown) {
            m_server.answer(request.id, jsonAnswer(httpStatus::unavailable, json::object()));
        } else if (request.path == "/-/rows-tx") {
            // A transaction takes some time, one after another.
            m_busyUntil = std::max(m_busyUntil, nowMs()) + transactionMs;
            m_done.push_back(Done{request.id, transact(request.body), m_busyUntil});
        } else if (request.path == "/-/rows-get") {
            read(request);
        } else if (request.path == "/-/rows-feed") {
            auto query = readQuery(request.query);
            m_waiting.push_back(Waiting{request.id, query["table"], std::stoull(query["after"]),
                                        nowMs() + std::stoll(query["waitMs"])});
            answerWaiting();
        } else {
            m_server.answer(request.id, jsonAnswer(httpStatus::notFound, json::object()));
        }
    }

    /// Whether the store takes a call at all; if not, nothing is done.
    std::string problemOf(const std::string &text, const json &body) const
    {
        const json &writes = body.at("writes");
        if (text.size() > maxCallBytes) {
            return "call of " + std::to_string(text.size()) + " bytes";
        }
        if (body.at("expectedRev").size() + writes.size() + body.at("remove").size() > maxEntries) {
            return "too many entries";
        }
        for (const json &write : writes) {
            const std::size_t bytes = decodedSize(write.at("value").get_ref<const std::string &>());
            if (bytes > maxRowBytes) {
                return "row " + write.at("key").get<std::string>() + " of " + std::to_string(bytes) + " bytes";
            }
            if (write.at("key").get_ref<const std::string &>().size() > maxNameBytes) {
                return "name too long";
            }
        }
        return {};
    }

    HttpAnswer transact(const std::string &text)
    {
        const json body = json::parse(text);
        if (const std::string problem = problemOf(text, body); !problem.empty()) {
            if (problem != m_lastProblem) {
                record({{"store", "refused"}, {"problem", problem}, {"writes", body.at("writes").size()}});
                m_lastProblem = problem;
            }
            return jsonAnswer(httpStatus::badRequest, {{"error", problem}});
        }
        for (const json &expected : body.at("expectedRev")) {
            const auto found = m_rows.find(keyOf(expected));
            const std::uint64_t version = found == m_rows.end() || found->second.removed ? 0 : found->second.version;
            if (version != expected.at("ver").get<std::uint64_t>()) {
                json rows = json::array();
                if (version > 0) {
                    rows.push_back(rowJson(found->first, found->second));
                }
                constexpr int conditionFailed = 412;
                return jsonAnswer(conditionFailed, withVersion({{"rows", rows}}));
            }
        }
        ++m_version;
        for (const json &write : body.at("writes")) {
            m_rows[keyOf(write)] = Row{write.at("value"), m_version, false};
        }
        for (const json &removed : body.at("remove")) {
            m_rows[keyOf(removed)] = Row{{}, m_version, true};
        }
        return jsonAnswer(httpStatus::ok, withVersion(json::object()));
    }

    void read(const HttpRequest &request)
    {
        auto query = readQuery(request.query);
        json rows = json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) != query["table"] || std::get<1>(key) != query["part"]
                || std::get<2>(key) < query["from"] || row.removed) {
                continue;
            }
            bytes += row.value.size();
            if (rows.size() >= maxRowsRead || (bytes > maxCallBytes && !rows.empty())) {
                hasMore = true;
                break;
            }
            rows.push_back(rowJson(key, row));
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, withVersion({{"rows", rows}, {"hasMore", hasMore}})));
    }

    void answerWaiting()
    {
        while (!m_done.empty() && nowMs() >= m_done.front().at) {
            m_server.answer(m_done.front().exchange, m_done.front().answer);
            m_done.pop_front();
        }
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            json rows = json::array();
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == waiting->table && row.version > waiting->after) {
                    rows.push_back(rowJson(key, row));
                }
            }
            if (rows.empty() && nowMs() < waiting->until) {
                ++waiting;
                continue;
            }
            m_server.answer(waiting->exchange, jsonAnswer(httpStatus::ok, withVersion({{"rows", rows}})));
            waiting = m_waiting.erase(waiting);
        }
    }

    std::uint16_t m_port;
    std::uint64_t m_version = 0;
    std::map<Key, Row> m_rows;
    std::list<Waiting> m_waiting;
    std::list<Done> m_done;
    std::int64_t m_busyUntil = 0;
    std::string m_lastProblem;
    /// Every call is turned away, and nothing is done.
    bool m_isDown = false;
    HttpServer m_server;
    Timer m_timer;
};

/// A worker that starts whatever it is told to. The text of a job tells what its tasks do; see Work.
class Worker
{
public:
    /// @param kind its first label
    Worker(EventLoop &loop, std::uint16_t port, std::string kind)
        : m_port(port)
        , m_kind(std::move(kind))
        , m_born(nowMs())
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
        , m_timer(loop, tickInterval, [this] { tick(); })
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

    /// Called when the worker has started again, to write its entry.
    std::function<void()> hasRestarted;

    std::string id() const
    {
        return "i-" + std::to_string(m_port);
    }

    std::string machine() const
    {
        return "m-" + std::to_string(m_port);
    }

    json labels() const
    {
        return {m_kind, "r1-1"};
    }

    static json capacity()
    {
        return {{"cpu", workerCpu}, {"memMb", workerMemory}, {"gpus", 0}};
    }

    json entry() const
    {
        return json{{"service", "cutroom"}, {"address", std::string(loopback) + ':' + std::to_string(m_port)},
                    {"zone", "mill-a"},     {"version", "v1"},
                    {"slots", 8},           {"state", "ready"},
                    {"coldLeftMs", 0},      {"capacity", capacity()},
                    {"labels", labels()},   {"born", m_born},
                    {"machine", machine()}, {"seqNo", 1}};
    }

    json describe() const
    {
        json running = json::array();
        std::int64_t cpu = 0;
        for (const auto &[task, run] : m_running) {
            running.push_back(task);
            cpu += run.cpu;
        }
        std::size_t unnoted = 0;
        for (const std::int64_t endedAt : m_endedAt) {
            unnoted += nowMs() - endedAt > ackMs ? 1 : 0;
        }
        return {{"id", id()},     {"running", running}, {"cpu", cpu},
                {"done", m_done}, {"ends", m_lastEnd},  {"unnoted", unnoted}};
    }

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::int64_t cpu = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        /// Work that a checkpoint had saved before this run.
        std::int64_t resumedMs = 0;
        std::int64_t wholeMs = 0;
        bool saves = false;
        std::size_t savedSize = 0;
        bool lasts = false;
        std::string how = "done";
    };

    struct Waiting
    {
        ExchangeId exchange;
        std::int64_t until = 0;
    };

    std::int64_t clock() const
    {
        return nowMs() - m_born;
    }

    void refuse(const HttpRequest &request, const std::string &reason)
    {
        m_server.answer(request.id, jsonAnswer(httpStatus::conflict, {{"clockMs", clock()}, {"reason", reason}}));
    }

    void take(const HttpRequest &request)
    {
        constexpr int misdirected = 421;
        if (m_isDark) {
            return;
        }
        if (headerValue(request.headers, "X-Radishvane-Target-Instance") != id()) {
            m_server.answer(request.id, jsonAnswer(misdirected, json::object()));
            return;
        }
        const json body = json::parse(request.body);
        if (request.path == "/-/run-start" && meetsTrouble(body)) {
            m_lateOrder = request;
            return;
        }
        carryOut(request, body);
    }

    /// Whether the order is held up, as the text of its job says.
    bool meetsTrouble(const json &body)
    {
        const Work work = readWork(body.at("spec"));
        if (body.at("runId") != 1 || m_crashAt != 0 || (!work.isCarriedOutLate && !work.meetsCrash)) {
            return false;
        }
        m_crashAt = nowMs() + crashAfterMs;
        record({{"worker", id()}, {"order", work.isCarriedOutLate ? "held up" : "taken"}});
        return work.isCarriedOutLate;
    }

    void carryOut(const HttpRequest &request, const json &body)
    {
        const std::uint64_t fence = body.value("fencingToken", std::uint64_t{0});
        if (fence < m_fence) {
            record({{"worker", id()}, {"refused", request.path}, {"fence", fence}});
            refuse(request, "fence");
            return;
        }
        m_fence = fence;
        if (request.path == "/-/run-start") {
            start(request, body);
        } else if (request.path == "/-/run-stop") {
            stop(request, body);
        } else if (request.path == "/-/hold") {
            hold(request, body);
        } else {
            m_server.answer(request.id, jsonAnswer(httpStatus::notFound, json::object()));
        }
    }

    /// A task's checkpoint: the work that is done, and a part of the job's id, 16 digits as in the pages' example.
    static std::string checkpointOf(const std::string &task, std::int64_t workMs)
    {
        char text[9];
        std::snprintf(text, sizeof text, "%08llx", static_cast<unsigned long long>(workMs));
        return text + task.substr(4, 8);
    }

    static std::string savedOf(const std::string &task, const Run &run)
    {
        const std::int64_t work = run.resumedMs + (nowMs() - run.startedAt) / checkpointMs * checkpointMs;
        if (!run.saves || work <= 0) {
            return {};
        }
        std::string saved = checkpointOf(task, work);
        saved.append(run.savedSize - saved.size(), '0');
        return saved;
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
            const Work work = readWork(body.at("spec"));
            const std::string checkpoint = body.value("lastCheckpoint", std::string());
            Run run;
            run.number = number;
            run.cpu = work.cpu;
            run.saves = work.saves;
            run.savedSize = work.savedSize;
            run.lasts = work.lasts;
            run.wholeMs = work.lengthOf(task);
            run.resumedMs = checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(0, 8), nullptr, 16);
            run.startedAt = nowMs();
            run.endsAt = run.startedAt + std::max<std::int64_t>(run.wholeMs - run.resumedMs, 1);
            run.how = work.fails ? "failed" : "done";
            if (work.lasts) {
                run.endsAt = std::numeric_limits<std::int64_t>::max();
            }
            m_running[task] = run;
            record({{"run", "start"}, {"worker", id()}, {"task", task}, {"number", number}});
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"clockMs", clock()}}));
    }

    void stop(const HttpRequest &request, const json &body)
    {
        const std::string task = body.at("task");
        const auto running = m_running.find(task);
        const auto number = body.at("runId").get<std::uint64_t>();
        m_highest[task] = std::max(m_highest[task], number);
        if (running != m_running.end() && running->second.number == number) {
            running->second.how = "stopped";
            running->second.endsAt = std::min(running->second.endsAt, nowMs() + stopMs);
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"clockMs", clock()}}));
    }

    void extendLease(std::int64_t deadline)
    {
        m_deadline = std::max(m_deadline, std::min(deadline, clock() + longestLeaseMs));
    }

    void hold(const HttpRequest &request, const json &body)
    {
        const std::uint64_t noted = body.at("ackSeq");
        extendLease(body.value("deadlineMs", std::int64_t{0}));
        while (!m_ended.empty() && m_ended.front()[0].get<std::uint64_t>() <= noted) {
            m_ended.pop_front();
            m_endedAt.pop_front();
        }
        m_waiting.push_back(Waiting{request.id, nowMs() + body.value("waitMs", 0)});
        answerWaiting();
    }

    /// Ends all that runs without a word, and forgets everything.
    void crash()
    {
        record({{"worker", id()}, {"state", "crashed"}});
        for (const auto &[task, run] : m_running) {
            record({{"run", "gone"}, {"worker", id()}, {"task", task}, {"number", run.number}});
        }
        m_isDark = true;
        m_running.clear();
        m_highest.clear();
        m_ended.clear();
        m_endedAt.clear();
        m_waiting.clear();
        m_lastEnd = 0;
        m_fence = 0;
        m_deadline = 0;
        m_restartAt = nowMs() + crashMs;
    }

    void crashOrRestart()
    {
        if (m_crashAt != 0 && !m_isDark && m_restartAt == 0 && nowMs() >= m_crashAt) {
            crash();
        }
        if (m_isDark && nowMs() >= m_restartAt) {
            m_isDark = false;
            m_born = nowMs();
            m_entryAt = m_born + entryMs;
            record({{"worker", id()}, {"state", "started again"}});
        }
        if (m_entryAt != 0 && nowMs() >= m_entryAt) {
            m_entryAt = 0;
            record({{"worker", id()}, {"state", "entered"}});
            hasRestarted();
        }
        if (m_lateOrder && m_restartAt != 0 && nowMs() >= m_restartAt + lateMs) {
            const HttpRequest order = *std::exchange(m_lateOrder, std::nullopt);
            record({{"worker", id()}, {"order", "carried out late"}});
            carryOut(order, json::parse(order.body));
        }
    }

    void tick()
    {
        crashOrRestart();
        const bool hasLapsed = clock() > m_deadline;
        for (auto running = m_running.begin(); running != m_running.end();) {
            const std::string &task = running->first;
            const Run &run = running->second;
            if (!hasLapsed && nowMs() < run.endsAt) {
                ++running;
                continue;
            }
            const std::string how = hasLapsed ? std::string("lapsed") : run.how;
            record({{"run", "end"}, {"worker", id()}, {"task", task}, {"number", run.number}, {"how", how}});
            m_highest[task] = std::max(m_highest[task], run.number);
            m_ended.push_back(json{++m_lastEnd, task, run.number, how, savedOf(task, run)});
            m_endedAt.push_back(nowMs());
            if (how == "done") {
                m_done.insert(task);
            }
            running = m_running.erase(running);
        }
        answerWaiting();
    }

    void answerWaiting()
    {
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            if (m_ended.empty() && nowMs() < waiting->until) {
                ++waiting;
                continue;
            }
            json running = json::array();
            for (const auto &[task, run] : m_running) {
                const std::int64_t work = run.resumedMs + nowMs() - run.startedAt;
                const std::int64_t percent = work * 100 / std::max<std::int64_t>(run.wholeMs, 1);
                running.push_back(json{task, run.number, savedOf(task, run),
                                       std::min<std::int64_t>(percent, run.lasts ? 100 : 99), run.cpu});
            }
            const auto listed = static_cast<std::ptrdiff_t>(std::min(m_ended.size(), maxEndsListed));
            const json ended = std::vector<json>(m_ended.begin(), m_ended.begin() + listed);
            m_server.answer(
                waiting->exchange,
                jsonAnswer(httpStatus::ok,
                           {{"clockMs", clock()}, {"born", m_born}, {"running", running}, {"endedRuns", ended}}));
            waiting = m_waiting.erase(waiting);
        }
    }

    std::uint16_t m_port;
    std::string m_kind;
    std::int64_t m_crashAt = 0;
    std::int64_t m_restartAt = 0;
    std::int64_t m_entryAt = 0;
    bool m_isDark = false;
    std::optional<HttpRequest> m_lateOrder;
    std::int64_t m_born;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running;
    /// Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> m_highest;
    /// Tasks of which a run has ended as done here.
    std::set<std::string> m_done;
    std::deque<json> m_ended;
    /// When these ended.
    std::deque<std::int64_t> m_endedAt;
    std::list<Waiting> m_waiting;
    HttpServer m_server;
    Timer m_timer;
};

/// Lists the machines. No move or upkeep is asked for in these cases, since there is one pool and no wave.
class HostService
{
public:
    HostService(EventLoop &loop, std::uint16_t port, std::vector<std::unique_ptr<Worker>> &workers)
        : m_port(port)
        , m_workers(workers)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { take(request); }, [](ExchangeId) {})
    {
    }

    bool listen()
    {
        return m_server.listen(Endpoint{loopback, m_port});
    }

private:
    void take(const HttpRequest &request)
    {
        if (request.path != "/-/machines") {
            m_server.answer(request.id, jsonAnswer(httpStatus::badRequest, json::object()));
            return;
        }
        json machines = json::array();
        for (const auto &worker : m_workers) {
            machines.push_back(json{{"machine", worker->machine()},
                                    {"pool", "cutroom"},
                                    {"state", "up"},
                                    {"zone", "mill-a"},
                                    {"capacity", Worker::capacity()},
                                    {"labels", worker->labels()},
                                    {"id", worker->id()}});
        }
        m_server.answer(request.id, jsonAnswer(httpStatus::ok, {{"machines", machines}, {"nextToken", ""}}));
    }

    std::uint16_t m_port;
    std::vector<std::unique_ptr<Worker>> &m_workers;
    HttpServer m_server;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3) {
        std::cerr << "usage: platform PORT WORKERS\n";
        return 2;
    }
    const auto port = static_cast<std::uint16_t>(std::stoi(arguments[1]));
    const int workerCount = std::stoi(arguments[2]);
    std::signal(SIGPIPE, SIG_IGN);

    EventLoop loop;
    Store store(loop, port);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int index = 0; index < workerCount; ++index) {
        workers.push_back(
            std::make_unique<Worker>(loop, static_cast<std::uint16_t>(port + 2 + index), index == 0 ? "b" : "a"));
        if (!workers.back()->listen()) {
            return 2;
        }
        const auto enter = [&store, worker = workers.back().get()] {
            store.put("servers", worker->id(), worker->entry());
        };
        workers.back()->hasRestarted = enter;
        enter();
    }
    HostService hosts(loop, static_cast<std::uint16_t>(port + 1), workers);
    if (!store.listen() || !hosts.listen()) {
        return 2;
    }
    store.describe = [&workers] {
        json state = json::array();
        for (const auto &worker : workers) {
            state.push_back(worker->describe());
        }
        return state;
    };
    const auto route = [](const char *name, const char *prefix, int priority, int maxAttempts) {
        return json{{"name", name},         {"host", siteHost},       {"prefix", prefix},
                    {"service", "cutroom"}, {"priority", priority},   {"maxAttempts", maxAttempts},
                    {"stretch", 1.6},       {"targetDurationMs", 600}};
    };
    store.put("op", "config",
              json{{"version", 3},
                   {"routes", {route("quote-price", "/quotes/", 0, 3), route("cut-plan", "/plans/", 1, 4)}},
                   {"services", {{{"name", "cutroom"}}}},
                   {"tenants",
                    {{{"name", "office"}, {"weight", 20}, {"apiKeys", {"key-office"}}},
                     {{"name", "floor"}, {"weight", 20}, {"apiKeys", {"key-floor"}}}}}});
    loop.run();
    return 0;
}
