#include "tests/support/cell_site.h"

#include "core/base/overloaded.h"

#include <algorithm>

namespace radishvane::tests
{

namespace
{

using namespace cells;

const CellId cell("c0");
constexpr std::int64_t tickInterval = 20;
constexpr std::int64_t tellInterval = 200;
constexpr std::int64_t workerDelay = 2;
constexpr std::int64_t callTimeout = 1'200;
constexpr std::int64_t mostHold = 10'000;
constexpr std::int64_t stopTime = 900;
constexpr std::int64_t maintenanceTime = 2'000;
constexpr std::int64_t moveTime = 1'500;
constexpr std::int64_t startUp = 150;
constexpr double atWork = 100;

HostId hostOf(const std::string &worker)
{
    return HostId("h-" + worker);
}

} // namespace

GraphSpec graphOf(std::uint32_t steps, std::uint32_t count, std::uint64_t cpu, Duration estimate)
{
    GraphSpec spec;
    spec.payload = "work";
    for (std::uint32_t index = 0; index < steps; ++index) {
        StepSpec step;
        step.count = count;
        step.needs = Needs{cpu, 100, 0};
        step.estimate = estimate;
        if (index > 0) {
            step.after = {index - 1};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

CellSite::CellSite(std::uint64_t seed) : m_random(seed), m_config(std::make_shared<SiteConfig>())
{
    m_config->version = 1;
    later(0, [this] { tickWorkers(); });
}

ModelNode &CellSite::addNode(const std::string &name)
{
    ModelNode &node = m_nodes[name];
    node.host = HostId(name);
    restart(name);
    later(tickInterval, [this, name] { tickNode(name); });
    later(1, [this, name] { tellNode(name); });
    return node;
}

ModelWorker &CellSite::addWorker(const std::string &id, const std::string &pool, std::uint64_t cpu)
{
    ModelWorker &worker = m_workers[id];
    worker.entry.id = WorkerId(id);
    worker.entry.host = hostOf(id);
    worker.entry.pool = PoolId(pool);
    worker.entry.endpoint = Endpoint{id, 1};
    worker.entry.room = Needs{cpu, 100'000, 0};
    worker.entry.born = m_now + 1;
    worker.bornAt = m_now;
    return worker;
}

void CellSite::addQueue(const std::string &name, const std::string &pool, std::uint32_t mostFailures)
{
    Queue queue;
    queue.id = QueueId(name);
    queue.pool = PoolId(pool);
    queue.mostFailures = mostFailures;
    queue.stretch = 2;
    m_config->pools.try_emplace(queue.pool, SitePool{queue.pool, false});
    m_config->queues[queue.id] = queue;
}

void CellSite::setAdmission(const std::string &queue)
{
    m_config->queues.at(QueueId(queue)).admission = AdmissionTimes{Duration(20), Duration(2), Duration(3'000)};
}

void CellSite::addTeam(const std::string &name, std::uint64_t cpuCeiling, double weight)
{
    SiteTeam team;
    team.id = TeamId(name);
    team.ceiling.cpu = cpuCeiling;
    team.weight = weight;
    m_config->teams[team.id] = team;
}

void CellSite::addStandby(const std::string &pool, std::size_t hosts, std::uint64_t cpu)
{
    m_config->pools[PoolId(pool)] = SitePool{PoolId(pool), true};
    for (std::size_t index = 0; index < hosts; ++index) {
        ModelWorker &host = addWorker(pool + std::to_string(index), pool, cpu);
        host.alive = false;
        host.listed = false;
    }
}

void CellSite::addWave(std::uint64_t number, const std::vector<std::string> &workers, std::uint32_t mostAtOnce)
{
    Wave wave;
    wave.number = number;
    wave.mostAtOnce = mostAtOnce;
    wave.duration = Duration(30'000);
    for (const std::string &worker : workers) {
        wave.hosts.push_back(hostOf(worker));
    }
    m_waves.push_back(wave);
}

void CellSite::submit(const std::string &nodeName, const std::string &job, const std::string &queue, GraphSpec spec,
                      const std::string &team)
{
    const ExchangeId exchange{++m_exchanges};
    m_asked[exchange] = job;
    m_specs[JobId(job)] = spec;
    m_teams[JobId(job)] = TeamId(team);
    give(nodeName, SubmitJob{exchange, JobId(job), QueueId(queue), TeamId(team), std::move(spec)});
}

void CellSite::cancel(const std::string &nodeName, const std::string &job)
{
    give(nodeName, CancelJob{ExchangeId{++m_exchanges}, JobId(job)});
}

void CellSite::kill(const std::string &name)
{
    node(name).alive = false;
    node(name).keeper.reset();
}

void CellSite::restart(const std::string &name)
{
    ModelNode &entry = node(name);
    CellTimes times;
    times.hold = Duration(6'000);
    times.stopGrace = Duration(stopTime);
    entry.keeper = std::make_unique<CellKeeper>(cell, entry.host, ++m_incarnations, Endpoint{name, 1}, times);
    entry.alive = true;
    ++entry.life;
    entry.frozen = false;
    entry.held.clear();
}

void CellSite::stop(const std::string &name)
{
    give(name, CellStop{});
}

void CellSite::freeze(const std::string &name)
{
    node(name).frozen = true;
}

void CellSite::thaw(const std::string &name)
{
    ModelNode &entry = node(name);
    entry.frozen = false;
    std::vector<CellEvent> held;
    held.swap(entry.held);
    for (const CellEvent &event : held) {
        give(name, event);
    }
}

void CellSite::crash(const std::string &id)
{
    ModelWorker &crashed = worker(id);
    crashed.alive = false;
    crashed.running.clear();
}

void CellSite::revive(const std::string &id)
{
    if (m_movingUntil.count(id) == 0 && m_maintainedUntil.count(id) == 0 && !isStandby(id)) {
        beginLife(id);
    }
}

void CellSite::replace(const std::string &id, const std::string &by)
{
    crash(id);
    ModelWorker &old = worker(id);
    old.listed = false;
    old.replaced = true;
    const WorkerEntry entry = old.entry;
    addWorker(by, entry.pool.name(), entry.room.cpu).entry.host = entry.host;
}

void CellSite::beginLife(const std::string &id)
{
    ModelWorker &old = worker(id);
    WorkerEntry entry = old.entry;
    old = ModelWorker{};
    old.entry = entry;
    old.entry.born = m_now + 1;
    old.bornAt = m_now;
}

void CellSite::comeBack(const std::string &id)
{
    beginLife(id);
    if (isStandby(id)) {
        worker(id).alive = false;
        worker(id).listed = false;
    }
}

void CellSite::run(Duration time)
{
    const std::int64_t until = m_now + time.count();
    while (!m_queue.empty() && m_queue.front().at <= until) {
        std::pop_heap(m_queue.begin(), m_queue.end(), std::greater<>{});
        Timed next = std::move(m_queue.back());
        m_queue.pop_back();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = until;
}

ModelNode &CellSite::node(const std::string &name)
{
    return m_nodes.at(name);
}

ModelWorker &CellSite::worker(const std::string &id)
{
    return m_workers.at(id);
}

std::string CellSite::owner() const
{
    for (const auto &[name, entry] : m_nodes) {
        if (entry.alive && entry.keeper->isServing(instant().steady)) {
            return name;
        }
    }
    return {};
}

std::optional<GraphState> CellSite::state(const std::string &job) const
{
    const std::string name = owner();
    if (name.empty()) {
        return std::nullopt;
    }
    const Job *found = m_nodes.at(name).keeper->book().find(JobId(job));
    return found == nullptr ? std::nullopt : std::optional(found->state);
}

const std::vector<CallAnswer> &CellSite::answers(const std::string &job)
{
    return m_answers[job];
}

std::size_t CellSite::runs(const std::string &job) const
{
    const auto found = m_runs.find(JobId(job));
    return found == m_runs.end() ? 0 : found->second;
}

std::size_t CellSite::runningOn(const std::string &id) const
{
    return m_workers.at(id).running.size();
}

bool CellSite::isMaintained(const std::string &id) const
{
    return m_maintained.count(id) > 0;
}

std::size_t CellSite::hostsIn(const std::string &pool) const
{
    return static_cast<std::size_t>(std::count_if(
        m_workers.begin(), m_workers.end(), [&](const auto &pair) { return pair.second.entry.pool == PoolId(pool); }));
}

std::int64_t CellSite::time() const
{
    return m_now;
}

WallTime CellSite::wall() const
{
    return instant().wall;
}

Instant CellSite::instant() const
{
    // Beyond the start of the clock, so that a time that was never set lies long ago.
    constexpr std::chrono::hours begin{1'000};
    return Instant{TimePoint(begin) + Duration(m_now), WallTime(begin + Duration(m_now))};
}

void CellSite::later(std::int64_t delay, std::function<void()> action)
{
    m_queue.push_back(Timed{m_now + delay, ++m_order, std::move(action)});
    std::push_heap(m_queue.begin(), m_queue.end(), std::greater<>{});
}

bool CellSite::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

// ---- entry hosts ----

void CellSite::give(const std::string &name, const CellEvent &event)
{
    ModelNode &entry = node(name);
    if (!entry.alive) {
        return;
    }
    if (entry.frozen) {
        entry.held.push_back(event);
        return;
    }
    for (const CellEffect &effect : entry.keeper->handle(event, instant())) {
        apply(name, effect);
    }
}

void CellSite::give(const Caller &caller, const CellEvent &event)
{
    if (node(caller.node).life == caller.life) {
        give(caller.node, event);
    }
}

void CellSite::apply(const std::string &name, const CellEffect &effect)
{
    const Caller caller{name, node(name).life};
    std::visit(
        Overloaded{
            [&](const StartOrder &order) { start(caller, order); },
            [&](const StopOrder &order) { stopTask(caller, order); },
            [&](const AskAdmission &ask) {
                AdmissionAnswered answer{ask.call, true, {}};
                for (const WorkerId &worker : ask.workers) {
                    if (admitted.count(worker.name()) > 0) {
                        answer.tickets[worker] = "t-" + worker.name();
                    }
                }
                later(30, [this, caller, answer] { give(caller, answer); });
            },
            [&](const HoldOrder &order) { hold(caller, order); },
            [&](const WriteCell &call) { write(caller, call); },
            [&](const ReadCell &call) { read(caller, call); },
            [&](const ListHosts &call) {
                std::vector<SiteHost> hosts;
                for (const auto &[id, model] : m_workers) {
                    if (!model.replaced) {
                        hosts.push_back(listed(model));
                    }
                }
                later(4, [this, caller, call, hosts] { give(caller, HostsListed{call.call, hosts}); });
            },
            [&](const MaintainHost &order) {
                orderHost(caller, order.call, [this, order] { return carryOut(order); });
            },
            [&](const MoveHost &order) { orderHost(caller, order.call, [this, order] { return carryOut(order); }); },
            [&](const ReportWave &report) {
                if (report.completed) {
                    completedWaves.insert(report.wave);
                }
                later(4, [this, caller, report] { give(caller, WaveReported{report.call, true}); });
            },
            [&](const AnswerCall &answer) {
                const auto asked = m_asked.find(answer.exchange);
                if (asked != m_asked.end()) {
                    m_answers[asked->second].push_back(answer.answer);
                }
            },
            [](const OwnershipChanged &) {},
            [](const DecisionNoted &) {},
        },
        effect);
}

void CellSite::tickNode(const std::string &name)
{
    give(name, CellTick{});
    later(tickInterval, [this, name] { tickNode(name); });
}

void CellSite::tellNode(const std::string &name)
{
    later(tellInterval, [this, name] { tellNode(name); });
    if (storeDown || node(name).cutFromStore) {
        return;
    }
    const TimePoint asked = instant().steady;
    OwnerSeen seen{m_owner, m_ownerVersion};
    std::vector<WorkerEntry> entries;
    for (const auto &[id, model] : m_workers) {
        if (model.listed) {
            entries.push_back(model.entry);
        }
    }
    later(storeDelay, [this, name, asked, seen, entries] {
        give(name, seen);
        give(name, StoreContact{asked});
        give(name, ConfigSeen{m_config});
        give(name, WorkersSeen{entries});
        give(name, WavesSeen{m_waves});
    });
}

// ---- the store ----

void CellSite::write(const Caller &caller, const WriteCell &call)
{
    if (storeDown || node(caller.node).cutFromStore) {
        later(callTimeout, [this, caller, call] {
            give(caller, CellWritten{call.call, CellWriteOutcome::Unknown, 0, std::nullopt});
        });
        return;
    }
    const bool holdsRows = !call.transaction.progress.empty();
    const bool isLost = loseNextWrite && holdsRows;
    if (isLost || chance(lostAnswers)) {
        loseNextWrite = loseNextWrite && !isLost;
        const std::int64_t delay = !isLost && chance(0.5) ? storeDelay : 3'000;
        later(delay, [this, call] { carryOut(call); });
        later(callTimeout, [this, caller, call] {
            give(caller, CellWritten{call.call, CellWriteOutcome::Unknown, 0, std::nullopt});
        });
        return;
    }
    later(storeDelay, [this, caller, call] {
        const CellWritten written = carryOut(call);
        later(1, [this, caller, written] { give(caller, written); });
    });
}

CellWritten CellSite::carryOut(const WriteCell &call)
{
    const CellTransaction &transaction = call.transaction;
    if (transaction.guard != m_ownerVersion) {
        return CellWritten{call.call, CellWriteOutcome::Conflict, m_ownerVersion, m_owner};
    }
    ++storeWrites;
    ++m_version;
    if (transaction.owner) {
        m_owner = transaction.owner;
        m_ownerVersion = m_version;
    }
    for (const JobRow &row : transaction.jobs) {
        m_jobs[row.id] = row;
    }
    for (const ProgressRow &row : transaction.progress) {
        m_progress[row.id] = row;
    }
    for (const WaveRow &row : transaction.waves) {
        m_waveRows[row.number] = row;
    }
    if (transaction.roster) {
        m_roster = *transaction.roster;
    }
    return CellWritten{call.call, CellWriteOutcome::Written, m_version, std::nullopt};
}

void CellSite::read(const Caller &caller, const ReadCell &call)
{
    if (storeDown || node(caller.node).cutFromStore) {
        later(callTimeout, [this, caller, call] { give(caller, CellReadDone{call.call, std::nullopt}); });
        return;
    }
    CellContents contents;
    for (const auto &[id, row] : m_jobs) {
        contents.jobs.push_back(row);
    }
    for (const auto &[id, row] : m_progress) {
        contents.progress.push_back(row);
    }
    for (const auto &[number, row] : m_waveRows) {
        contents.waves.push_back(row);
    }
    contents.roster = m_roster;
    later(storeDelay, [this, caller, call, contents] { give(caller, CellReadDone{call.call, contents}); });
}

// ---- workers ----

ModelWorker *CellSite::reach(const WorkerAddress &address)
{
    const auto found = m_workers.find(address.id.name());
    return found == m_workers.end() || !found->second.alive || found->second.cut ? nullptr : &found->second;
}

std::int64_t CellSite::clockOf(const ModelWorker &worker) const
{
    // 2 % slow, as the platform allows.
    return (m_now - worker.bornAt) * 98 / 100;
}

void CellSite::start(const Caller &caller, const StartOrder &order)
{
    const auto unknown = [this, caller, order] {
        give(caller, OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt});
    };
    if (chance(lostAnswers)) {
        later(chance(0.5) ? workerDelay : 3'000, [this, order] {
            if (ModelWorker *worker = reach(order.worker)) {
                carryOut(*worker, order);
            }
        });
        later(callTimeout, unknown);
        return;
    }
    later(workerDelay, [this, caller, order, unknown] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, unknown);
            return;
        }
        const OrderOutcome outcome = carryOut(*worker, order);
        later(workerDelay, [this, caller, order, outcome] {
            give(caller, OrderAnswered{order.call, outcome, std::nullopt});
        });
    });
}

OrderOutcome CellSite::carryOut(ModelWorker &worker, const StartOrder &order)
{
    if (order.fence < worker.fence) {
        return OrderOutcome::Fenced;
    }
    worker.fence = order.fence;
    const std::int64_t clock = clockOf(worker);
    if (order.deadline < clock) {
        return OrderOutcome::Late;
    }
    worker.deadline = std::max(worker.deadline, std::min(order.deadline, clock + mostHold));
    const auto present = worker.running.find(order.task);
    if (present != worker.running.end() && present->second.number == order.run) {
        return OrderOutcome::Accepted;
    }
    const auto closed = worker.closed.find(order.task);
    if (closed != worker.closed.end() && order.run <= closed->second) {
        return OrderOutcome::Outdated;
    }
    checkStart(worker, order);
    ++m_runs[order.task.job];
    ModelRun run;
    run.number = order.run;
    run.startedAt = m_now;
    run.lasting = m_specs[order.task.job].steps[order.task.step].lasting;
    run.stalled = worker.stalls;
    const auto duration = durations.find(order.task.job);
    run.duration = duration == durations.end() ? 300 : duration->second;
    if (worker.fails) {
        run.duration = -50;
    }
    worker.running[order.task] = run;
    return OrderOutcome::Accepted;
}

void CellSite::checkStart(const ModelWorker &worker, const StartOrder &order)
{
    const std::string what = taskName(order.task) + " run " + std::to_string(order.run) + " at " + std::to_string(m_now)
        + " on " + worker.entry.id.name();
    for (const auto &[id, other] : m_workers) {
        if (other.alive && other.running.count(order.task) > 0) {
            broken.push_back("two runs at a time: " + what + ", also on " + id);
        }
    }
    if (m_doneNoted.count(order.task) > 0) {
        broken.push_back("a start after its end was noted: " + what);
    }
    const GraphSpec &spec = m_specs[order.task.job];
    for (const std::uint32_t earlier : spec.steps[order.task.step].after) {
        for (std::uint32_t index = 0; index < spec.steps[earlier].count; ++index) {
            if (m_done.count(TaskId{order.task.job, order.task.occurrence, earlier, index}) == 0) {
                broken.push_back("a start before its turn: " + what);
            }
        }
    }
    Needs used = spec.steps[order.task.step].reserved();
    for (const auto &[task, run] : worker.running) {
        used += m_specs[task.job].steps[task.step].reserved();
    }
    if (!used.fitIn(worker.entry.room)) {
        broken.push_back("a worker over its room: " + what);
    }
    const TeamId team = m_teams[order.task.job];
    const auto ceiling = m_config->teams.find(team);
    if (ceiling == m_config->teams.end() || ceiling->second.ceiling.cpu == 0) {
        return;
    }
    std::uint64_t cpu = spec.steps[order.task.step].needs.cpu;
    for (const auto &[id, other] : m_workers) {
        for (const auto &[task, run] : other.running) {
            cpu += m_teams[task.job] == team ? m_specs[task.job].steps[task.step].needs.cpu : 0;
        }
    }
    if (cpu > ceiling->second.ceiling.cpu) {
        broken.push_back("a team over its ceiling: " + what);
    }
}

void CellSite::stopTask(const Caller &caller, const StopOrder &order)
{
    later(workerDelay, [this, caller, order] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, [this, caller, order] {
                give(caller, OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt});
            });
            return;
        }
        const OrderOutcome outcome = carryOut(*worker, order);
        later(workerDelay, [this, caller, order, outcome] {
            give(caller, OrderAnswered{order.call, outcome, std::nullopt});
        });
    });
}

OrderOutcome CellSite::carryOut(ModelWorker &worker, const StopOrder &order)
{
    if (order.fence < worker.fence) {
        return OrderOutcome::Fenced;
    }
    worker.fence = order.fence;
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second.number == order.run) {
        if (!running->second.stopsAt) {
            running->second.stopsAt = m_now + stopTime;
        }
    } else {
        worker.closed[order.task] = std::max(worker.closed[order.task], order.run);
    }
    return OrderOutcome::Accepted;
}

void CellSite::hold(const Caller &caller, const HoldOrder &order)
{
    ++holds;
    const auto unknown = [this, caller, order] {
        const bool refuses
            = m_workers.count(order.worker.id.name()) > 0 && worker(order.worker.id.name()).refusesConnections;
        give(caller, HoldAnswered{order.call, refuses ? OrderOutcome::NotSent : OrderOutcome::Unknown, {}});
    };
    if (chance(lostAnswers)) {
        later(callTimeout + order.wait.count(), unknown);
        if (ModelWorker *worker = reach(order.worker);
            worker != nullptr && order.fence >= worker->fence && order.deadline) {
            worker->fence = order.fence;
            worker->deadline = std::max(worker->deadline, std::min(*order.deadline, clockOf(*worker) + mostHold));
        }
        return;
    }
    later(workerDelay, [this, caller, order, unknown] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, unknown);
            return;
        }
        if (order.fence < worker->fence) {
            give(caller, HoldAnswered{order.call, OrderOutcome::Fenced, {}});
            return;
        }
        worker->fence = order.fence;
        if (order.deadline) {
            worker->deadline = std::max(worker->deadline, std::min(*order.deadline, clockOf(*worker) + mostHold));
        }
        for (const EndedRow &row : worker->ended) {
            if (row.number <= order.noted && row.how == RunEnd::Done) {
                m_doneNoted[row.task] = row.run;
            }
        }
        std::erase_if(worker->ended, [&order](const EndedRow &row) { return row.number <= order.noted; });
        answerHold(caller, order, m_now + order.wait.count());
    });
}

void CellSite::answerHold(const Caller &caller, const HoldOrder &order, std::int64_t until)
{
    ModelWorker *worker = reach(order.worker);
    if (worker == nullptr) {
        later(callTimeout, [this, caller, order] {
            give(caller, HoldAnswered{order.call, OrderOutcome::Unknown, {}});
        });
        return;
    }
    if (worker->ended.empty() && m_now < until) {
        later(10, [this, caller, order, until] { answerHold(caller, order, until); });
        return;
    }
    HoldAnswered answer{order.call, OrderOutcome::Accepted, {}};
    answer.report.clock = clockOf(*worker);
    answer.report.born = worker->entry.born;
    for (const auto &[task, run] : worker->running) {
        RunningRow row;
        row.task = task;
        row.run = run.number;
        const double age = static_cast<double>(m_now - run.startedAt);
        row.percent = run.stalled ? 0
            : run.lasting         ? (age >= startUp ? atWork : 0)
                          : std::min(99.0, age * 100 / static_cast<double>(std::max<std::int64_t>(run.duration, 1)));
        row.load = worker->load;
        answer.report.running.push_back(row);
    }
    answer.report.ended = worker->ended;
    later(workerDelay, [this, caller, answer] { give(caller, answer); });
}

void CellSite::end(ModelWorker &worker, const TaskId &task, RunEnd how)
{
    const RunNumber run = worker.running[task].number;
    worker.running.erase(task);
    worker.closed[task] = std::max(worker.closed[task], run);
    if (how == RunEnd::Done) {
        m_done[task] = true;
    }
    worker.ended.push_back(EndedRow{++worker.lastEnd, task, run, how, {}});
}

void CellSite::tickWorkers()
{
    later(10, [this] { tickWorkers(); });
    for (auto &[id, worker] : m_workers) {
        const auto maintained = m_maintainedUntil.find(id);
        if (maintained != m_maintainedUntil.end() && m_now >= maintained->second) {
            m_maintainedUntil.erase(maintained);
            comeBack(id);
        }
        const auto moving = m_movingUntil.find(id);
        if (moving != m_movingUntil.end() && m_now >= moving->second) {
            m_movingUntil.erase(moving);
            comeBack(id);
        }
        if (!worker.alive) {
            continue;
        }
        const std::map<TaskId, ModelRun> running = worker.running;
        const bool lapsed = clockOf(worker) > worker.deadline;
        for (const auto &[task, run] : running) {
            const std::int64_t age = m_now - run.startedAt;
            if (lapsed) {
                end(worker, task, RunEnd::LeaseExpired);
            } else if (run.stopsAt && m_now >= *run.stopsAt) {
                end(worker, task, RunEnd::Stopped);
            } else if (run.duration < 0 && age >= -run.duration) {
                end(worker, task, RunEnd::Failed);
            } else if (!run.lasting && !run.stalled && run.duration >= 0 && age >= run.duration) {
                end(worker, task, RunEnd::Done);
            }
        }
    }
}

// ---- hosts ----

bool CellSite::isStandby(const std::string &id) const
{
    const auto pool = m_config->pools.find(m_workers.at(id).entry.pool);
    return pool != m_config->pools.end() && pool->second.standby;
}

SiteHost CellSite::listed(const ModelWorker &model) const
{
    const std::string id = model.entry.id.name();
    SiteHost host;
    host.id = model.entry.host;
    host.pool = model.entry.pool;
    host.room = model.entry.room;
    host.state = m_maintainedUntil.count(id) > 0 ? SiteHostState::Maintained
        : m_movingUntil.count(id) > 0            ? SiteHostState::Moving
                                                 : SiteHostState::Up;
    if (host.state == SiteHostState::Up && !isStandby(id)) {
        host.worker = model.entry.id;
    }
    return host;
}

void CellSite::orderHost(const Caller &caller, CallId call, std::function<HostOrderOutcome()> carryOut)
{
    if (chance(lostHostOrders)) {
        later(hostOrderDelay, [carryOut] { carryOut(); });
        later(callTimeout, [this, caller, call] { give(caller, HostOrderAnswered{call, HostOrderOutcome::Unknown}); });
        return;
    }
    const HostOrderOutcome outcome = carryOut();
    later(4, [this, caller, call, outcome] { give(caller, HostOrderAnswered{call, outcome}); });
}

HostOrderOutcome CellSite::carryOut(const MoveHost &order)
{
    const std::string id = order.host.name().substr(2);
    ModelWorker &moved = worker(id);
    if (order.fence < m_hostFences[order.host]) {
        return HostOrderOutcome::Fenced;
    }
    m_hostFences[order.host] = order.fence;
    if (moved.entry.pool == order.pool) {
        return HostOrderOutcome::Accepted;
    }
    if (m_maintainedUntil.count(id) > 0 || m_movingUntil.count(id) > 0) {
        return HostOrderOutcome::Busy;
    }
    // An order of a former owner that is held up may meet tasks of the next one, which cannot know of it.
    const bool isOfPresentOwner = m_owner && order.fence >> 32 == m_owner->epoch;
    if (!moved.running.empty() && isOfPresentOwner) {
        broken.push_back("a host is moved with tasks on it: " + id);
    }
    ++moves;
    crash(id);
    moved.entry.pool = order.pool;
    m_movingUntil[id] = m_now + moveTime;
    return HostOrderOutcome::Accepted;
}

HostOrderOutcome CellSite::carryOut(const MaintainHost &order)
{
    const std::string id = order.host.name().substr(2);
    if (order.fence < m_hostFences[order.host]) {
        return HostOrderOutcome::Fenced;
    }
    m_hostFences[order.host] = order.fence;
    if (m_movingUntil.count(id) > 0) {
        return HostOrderOutcome::Busy;
    }
    const Wave &wave = *std::find_if(m_waves.begin(), m_waves.end(),
                                     [&order](const Wave &candidate) { return candidate.number == order.wave; });
    if (m_maintained.insert(id).second) {
        if (m_maintainedUntil.size() >= wave.mostAtOnce) {
            broken.push_back("more hosts down than the wave allows: " + id);
        }
        if (!worker(id).running.empty()) {
            broken.push_back("a host is maintained with tasks on it: " + id);
        }
        crash(id);
        m_maintainedUntil[id] = m_now + maintenanceTime;
    }
    return HostOrderOutcome::Accepted;
}

} // namespace radishvane::tests
