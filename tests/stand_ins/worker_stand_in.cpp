// Stands in for the platform's workers: each port is one worker that runs tasks under leases.
//
// A task runs for the milliseconds that its kind ends with (work-300 runs for 300 ms; others for 200 ms), and fails
// when its kind begins with "fail". A task whose kind begins with "save" can be checkpointed half way. POST /control
// with JSON sets how the port fails:
//   {"mode": "ok" | "refuse" | "fail" | "lose-answers" | "hang"}
// GET /executions tells for every task how often it was started, and how often it was started while it ran.

#include "drivers/event_loop.h"
#include "drivers/http_server.h"
#include "drivers/one_shot.h"
#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/control.h"

#include <algorithm>
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
    /// Refuses each start; nothing runs.
    Refuse,
    /// Each task fails.
    Fail,
    /// Starts tasks and closes the connection without an answer.
    LoseAnswers,
    /// Never answers and starts nothing.
    Hang,
};

constexpr std::array<std::string_view, 5> modeNames{"ok", "refuse", "fail", "lose-answers", "hang"};

struct Task
{
    std::uint64_t epoch = 0;
    std::string state = "unknown";
    std::uint32_t cores = 0;
    std::uint64_t runNumber = 0;
    std::uint64_t leaseNumber = 0;
    Duration run{};
    bool canCheckpoint = false;
    std::string checkpoint;
};

class Worker
{
public:
    Worker(EventLoop &loop, std::uint16_t port, std::uint32_t cores)
        : m_loop(loop)
        , m_port(port)
        , m_cores(cores)
        , m_server(
              loop, HttpLimits{}, [this](HttpRequest &&request) { receive(request); }, [](ExchangeId) {})
    {
    }

    bool listen()
    {
        return m_server.listen({"127.0.0.1", m_port});
    }

private:
    void receive(const HttpRequest &request)
    {
        if (request.path == "/control") {
            m_mode = readMode<Mode>(modeNames, Json::parse(request.body)).value();
            m_server.answer(request.id, textAnswer(httpStatus::ok, "ok"));
            return;
        }
        if (request.path == "/executions") {
            m_server.answer(request.id,
                            jsonAnswer(httpStatus::ok, {{"executions", m_executions}, {"most_cores", m_mostCores}}));
            return;
        }
        if (m_mode == Mode::Hang) {
            return;
        }
        const HttpAnswer answer = answerTo(request);
        if (m_mode == Mode::LoseAnswers) {
            m_server.answer(request.id, textAnswer(httpStatus::badGateway, "lost"));
            return;
        }
        m_server.answer(request.id, answer);
    }

    HttpAnswer answerTo(const HttpRequest &request)
    {
        const Json body = Json::parse(request.body);
        if (request.path == "/tasks") {
            return start(body);
        }
        const std::string rest = request.path.substr(std::string_view("/tasks/").size());
        const auto slash = rest.find('/');
        const std::string task = rest.substr(0, slash);
        const std::string action = rest.substr(slash + 1);
        const auto epoch = body.at("epoch").get<std::uint64_t>();
        if (action == "lease") {
            return renew(task, epoch, Duration(body.at("lease_ms").get<std::int64_t>()));
        }
        if (action == "checkpoint") {
            return checkpoint(task, epoch);
        }
        return action == "fence" ? fence(task, epoch) : stop(task, epoch);
    }

    HttpAnswer start(const Json &body)
    {
        const auto name = body.at("task").get<std::string>();
        const auto epoch = body.at("epoch").get<std::uint64_t>();
        const auto cores = body.at("cores").get<std::uint32_t>();
        Task &task = m_tasks[name];
        if (task.epoch == epoch && task.state != "unknown") {
            return report(task);
        }
        if (task.epoch > epoch || m_mode == Mode::Refuse || m_usedCores + cores > m_cores) {
            return jsonAnswer(httpStatus::unavailable, {{"state", "refused"}});
        }
        if (task.state == "running") {
            end(task, "stopped");
        }
        const auto kind = body.at("kind").get<std::string>();
        const bool resumes = !body.at("checkpoint_object").get<std::string>().empty();
        task = Task{epoch, "running", cores, ++m_lastNumber, 0, runOf(kind), kind.starts_with("save"), ""};
        task.run /= resumes ? 2 : 1;
        m_usedCores += cores;
        m_mostCores = std::max(m_mostCores, m_usedCores);
        // Going on from a checkpoint is no second execution.
        m_executions[name] += resumes ? 0 : 1;
        const bool fails = m_mode == Mode::Fail || kind.starts_with("fail");
        runOnce(m_loop, task.run, [this, name, number = task.runNumber, fails] {
            Task &ended = m_tasks[name];
            if (ended.runNumber == number && ended.state == "running") {
                end(ended, fails ? "failed" : "done");
            }
        });
        lease(name, Duration(body.at("lease_ms").get<std::int64_t>()));
        return report(task);
    }

    static Duration runOf(const std::string &kind)
    {
        constexpr Duration usual{200};
        const auto dash = kind.rfind('-');
        if (dash == std::string::npos || dash + 1 == kind.size()
            || kind.find_first_not_of("0123456789", dash + 1) != std::string::npos) {
            return usual;
        }
        return Duration(std::stol(kind.substr(dash + 1)));
    }

    void lease(const std::string &name, Duration length)
    {
        Task &task = m_tasks[name];
        task.leaseNumber = ++m_lastNumber;
        runOnce(m_loop, length, [this, name, number = task.leaseNumber] {
            Task &lapsed = m_tasks[name];
            if (lapsed.leaseNumber == number && lapsed.state == "running") {
                end(lapsed, "stopped");
            }
        });
    }

    void end(Task &task, const std::string &state)
    {
        task.state = state;
        m_usedCores -= task.cores;
    }

    HttpAnswer renew(const std::string &name, std::uint64_t epoch, Duration length)
    {
        Task &task = m_tasks[name];
        if (task.epoch != epoch) {
            return jsonAnswer(httpStatus::ok, {{"state", "unknown"}});
        }
        if (task.state == "running" && length > Duration(0)) {
            lease(name, length);
        }
        return report(task);
    }

    HttpAnswer fence(const std::string &name, std::uint64_t epoch)
    {
        Task &task = m_tasks[name];
        if (task.epoch == epoch) {
            return report(task);
        }
        if (task.epoch < epoch) {
            // From now on this epoch counts as known, so a late start of it is not taken.
            task.epoch = epoch;
            task.state = "never-started";
        }
        return jsonAnswer(httpStatus::ok, {{"state", "never-started"}});
    }

    HttpAnswer checkpoint(const std::string &name, std::uint64_t epoch)
    {
        Task &task = m_tasks[name];
        if (task.epoch == epoch && task.state == "running" && task.canCheckpoint) {
            task.checkpoint = "checkpoint-" + name;
            end(task, "checkpointed");
        }
        return report(task);
    }

    HttpAnswer stop(const std::string &name, std::uint64_t epoch)
    {
        Task &task = m_tasks[name];
        if (task.epoch == epoch && task.state == "running") {
            end(task, "stopped");
        }
        return report(task);
    }

    HttpAnswer report(const Task &task) const
    {
        constexpr int usedMemoryGb = 2;
        return jsonAnswer(httpStatus::ok,
                          {{"state", task.state},
                           {"result", "port " + std::to_string(m_port)},
                           {"ran_ms", task.run.count()},
                           {"used_memory_gb", usedMemoryGb},
                           {"can_checkpoint", task.canCheckpoint},
                           {"checkpoint_object", task.checkpoint}});
    }

    EventLoop &m_loop;
    std::uint16_t m_port;
    std::uint32_t m_cores;
    std::uint32_t m_usedCores = 0;
    std::uint32_t m_mostCores = 0;
    Mode m_mode = Mode::Ok;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::uint64_t> m_executions;
    HttpServer m_server;
};

} // namespace

} // namespace radishvane::stand_ins

int main(int argumentCount, char **arguments)
{
    radishvane::stand_ins::CommandLine commandLine("Stand-in of workers for tests.");
    std::vector<std::uint16_t> ports;
    std::uint32_t cores = 32;
    commandLine.require("--port", ports);
    commandLine.add("--cores", cores);
    if (const std::optional<int> exitCode = commandLine.parse(argumentCount, arguments)) {
        return *exitCode;
    }
    std::signal(SIGPIPE, SIG_IGN);
    radishvane::drivers::EventLoop loop;
    std::vector<std::unique_ptr<radishvane::stand_ins::Worker>> workers;
    const auto make = [&](std::uint16_t port) {
        return std::make_unique<radishvane::stand_ins::Worker>(loop, port, cores);
    };
    if (!radishvane::stand_ins::listenOnEach(ports, workers, make)) {
        return 1;
    }
    loop.run();
    return 0;
}
