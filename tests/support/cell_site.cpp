#include "tests/support/cell_site.h"

#include "tests/support/test_store_limits.h"

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

constexpr std::int64_t callTimeout = 1'200;

/// The call that an event answers; nothing for other events.
std::optional<CallId> callOf(const CellEvent &event)
{
    return std::visit(
        [](const auto &alternative) -> std::optional<CallId> {
            if constexpr (requires { alternative.call; }) {
                return alternative.call;
            } else {
                return std::nullopt;
            }
        },
        event);
}

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
        step.needs = Resources{cpu, 100, 0};
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

ModelNode &CellSite::addNode(const std::string &name, HostCapacity capacity)
{
    ModelNode &node = m_nodes[name];
    node.capacity = capacity;
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
    worker.entry.room = Resources{cpu, 100'000, 0};
    worker.entry.startedAtMs = m_now + 1;
    worker.bornAt = m_now;
    return worker;
}

void CellSite::addQueue(const std::string &name, const std::string &pool, std::uint32_t maxFailures)
{
    Queue queue;
    queue.id = QueueId(name);
    queue.pool = PoolId(pool);
    queue.maxFailures = maxFailures;
    queue.stretch = 2;
    m_config->pools.try_emplace(queue.pool, SitePool{queue.pool, false});
    m_config->queues[queue.id] = queue;
}

void CellSite::setPriority(const std::string &queue, std::uint32_t priority)
{
    m_config->queues.at(QueueId(queue)).priority = priority;
}

void CellSite::setTargetDuration(const std::string &queue, Duration time)
{
    m_config->queues.at(QueueId(queue)).targetDuration = time;
}

void CellSite::setAdmission(const std::string &queue, AdmissionTimes times)
{
    m_config->queues.at(QueueId(queue)).admission = times;
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

void CellSite::addWave(std::uint64_t number, const std::vector<std::string> &workers, std::uint32_t maxHostsDown)
{
    Wave wave;
    wave.number = number;
    wave.maxHostsDown = maxHostsDown;
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
    const ExchangeId exchange{++m_exchanges};
    m_cancels[exchange] = JobId(job);
    m_cancelSent.insert(JobId(job));
    give(nodeName, CancelJob{exchange, JobId(job)});
}

void CellSite::kill(const std::string &name)
{
    node(name).alive = false;
    node(name).controller.reset();
}

void CellSite::restart(const std::string &name)
{
    ModelNode &entry = node(name);
    CellTimes times;
    times.leaseTime = Duration(6'000);
    times.stopGrace = Duration(stopTime);
    entry.controller = std::make_unique<CellController>(cell, entry.host, ++m_incarnations, Endpoint{name, 1}, times,
                                                        entry.capacity, testStoreLimits(), hostService);
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
        beginIncarnation(id);
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

void CellSite::beginIncarnation(const std::string &id)
{
    ModelWorker &old = worker(id);
    WorkerEntry entry = old.entry;
    old = ModelWorker{};
    old.entry = entry;
    old.entry.startedAtMs = m_now + 1;
    old.bornAt = m_now;
}

void CellSite::comeBack(const std::string &id)
{
    beginIncarnation(id);
    // A new worker joins after an order for the host, unlike after a crash, so orders to the former one do not reach
    // it.
    ++worker(id).entry.endpoint.port;
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
        if (entry.alive && entry.controller->isServing(instant().steady)) {
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
    const Job *found = m_nodes.at(name).controller->registry().find(JobId(job));
    return found == nullptr ? std::nullopt : std::optional(found->state);
}

const std::vector<CallAnswer> &CellSite::answers(const std::string &job)
{
    return m_answers[job];
}

Duration CellSite::retryAfter(const std::string &job) const
{
    const auto found = m_retryAfter.find(job);
    return found == m_retryAfter.end() ? Duration{0} : found->second;
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
    if (const auto *answer = std::get_if<LeaseRenewalAnswered>(&event)) {
        noteListedEnds(name, *answer);
    }
    for (const CellEffect &effect : entry.controller->handle(event, instant())) {
        apply(name, effect);
    }
}

void CellSite::give(const Caller &caller, const CellEvent &event)
{
    if (heldUp == 0 && m_openCalls.empty() && m_unansweredCalls.empty()) {
        if (node(caller.node).life == caller.life) {
            give(caller.node, event);
        }
        return;
    }
    later(holdUp(caller.node, Direction::In), [this, caller, event] {
        const std::optional<CallId> call = callOf(event);
        if (call) {
            const OpenCall answered{caller.node, caller.life, *call};
            m_openCalls.erase(answered);
            // A call that was answered as unknown gets no second answer.
            if (m_unansweredCalls.erase(answered) > 0) {
                return;
            }
        }
        if (node(caller.node).life == caller.life) {
            give(caller.node, event);
        }
    });
}

std::int64_t CellSite::holdUp(const std::string &name, Direction direction)
{
    std::int64_t &freeAt = m_linkFreeAt[name][static_cast<std::size_t>(direction)];
    std::int64_t single = 0;
    if (chance(heldUp)) {
        const auto held = static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(maxHoldUp));
        if (chance(0.5)) {
            freeAt = std::max(freeAt, m_now + held);
        } else {
            single = held;
        }
    }
    return std::max<std::int64_t>(freeAt - m_now, 0) + single;
}

void CellSite::sendCall(const Caller &caller, CallId call, std::int64_t timeout, const CellEvent &unknown,
                        std::function<void()> action)
{
    if (heldUp == 0) {
        action();
        return;
    }
    m_openCalls.insert({caller.node, caller.life, call});
    later(timeout, [this, caller, call, unknown] {
        const OpenCall unanswered{caller.node, caller.life, call};
        if (m_openCalls.erase(unanswered) == 0) {
            return;
        }
        m_unansweredCalls.insert(unanswered);
        if (node(caller.node).life == caller.life) {
            give(caller.node, unknown);
        }
    });
    later(holdUp(caller.node, Direction::Out), std::move(action));
}

void CellSite::apply(const std::string &name, const CellEffect &effect)
{
    const Caller caller{name, node(name).life};
    std::visit(
        Overloaded{
            [&](const StartOrder &order) {
                if (m_cancelled.count(order.task.job) > 0) {
                    broken.push_back("a start was ordered after its job was cancelled: " + taskName(order.task));
                }
                checkIsStored(order);
                sendCall(caller, order.call, callTimeout,
                         OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt},
                         [this, caller, order] { start(caller, order); });
            },
            [&](const StopOrder &order) {
                sendCall(caller, order.call, callTimeout,
                         OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt},
                         [this, caller, order, sentAt = m_now] { stopTask(caller, order, sentAt); });
            },
            [&](const QueryAdmission &query) { decideAdmission(caller, query); },
            [&](const LeaseRenewalOrder &order) {
                sendCall(caller, order.call, callTimeout + order.wait.count(),
                         LeaseRenewalAnswered{order.call, OrderOutcome::Unknown, {}},
                         [this, caller, order] { renewLease(caller, order); });
            },
            [&](const WriteCell &call) {
                sendCall(caller, call.call, callTimeout,
                         CellWritten{call.call, CellWriteOutcome::Unknown, 0, std::nullopt},
                         [this, caller, call] { write(caller, call); });
            },
            [&](const ReadCell &call) {
                sendCall(caller, call.call, callTimeout, CellReadDone{call.call, std::nullopt},
                         [this, caller, call] { read(caller, call); });
            },
            [&](const ListHosts &call) {
                if (refusesLists) {
                    later(hostListDelay, [this, caller, call] { give(caller, HostsListed{call.call, std::nullopt}); });
                    return;
                }
                std::vector<SiteHost> hosts;
                for (const auto &[id, model] : m_workers) {
                    if (!model.replaced) {
                        hosts.push_back(listed(model));
                    }
                }
                later(hostListDelay, [this, caller, call, hosts] { give(caller, HostsListed{call.call, hosts}); });
            },
            [&](const MaintainHost &order) {
                checkHostIsStored(order.host);
                sendCall(caller, order.call, callTimeout, HostOrderAnswered{order.call, HostOrderOutcome::Unknown},
                         [this, caller, order] {
                             orderHost(caller, order.call, [this, order] { return carryOut(order); });
                         });
            },
            [&](const MoveHost &order) {
                checkHostIsStored(order.host);
                sendCall(caller, order.call, callTimeout, HostOrderAnswered{order.call, HostOrderOutcome::Unknown},
                         [this, caller, order] {
                             orderHost(caller, order.call, [this, order] { return carryOut(order); });
                         });
            },
            [&](const ReportWave &report) {
                rejectedReports += rejectsReports ? 1 : 0;
                if (report.completed && !rejectsReports) {
                    completedWaves.insert(report.wave);
                }
                later(4, [this, caller, report, isWritten = !rejectsReports] {
                    give(caller, WaveReported{report.call, isWritten});
                });
            },
            [&](const AnswerCall &answer) {
                const auto cancel = m_cancels.find(answer.exchange);
                if (cancel != m_cancels.end() && answer.answer == CallAnswer::Cancelled) {
                    m_cancelled.insert(cancel->second);
                }
                const auto handover = m_handovers.find(answer.exchange);
                if (handover != m_handovers.end()) {
                    const auto [sender, exchange] = handover->second;
                    m_handovers.erase(handover);
                    give(sender, HandoverAnswered{exchange, answer.answer});
                    return;
                }
                const auto asked = m_asked.find(answer.exchange);
                if (asked != m_asked.end()) {
                    m_answers[asked->second].push_back(answer.answer);
                    m_retryAfter[asked->second] = answer.retryAfter;
                }
            },
            [&](const RequestHandover &request) { requestHandover(caller, request); },
            [](const OwnershipChanged &) {},
            [](const CellLeaseRenewed &) {},
            [](const CellRebuilt &) {},
            [&](const DecisionLogEntry &entry) { log.push_back(entry); },
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
    OwnerObserved seen{m_owner, m_ownerVersion};
    std::vector<WorkerEntry> entries;
    for (const auto &[id, model] : m_workers) {
        if (model.listed) {
            entries.push_back(model.entry);
        }
    }
    // One question after the other, so that no answer overtakes an earlier one.
    std::int64_t &toldAt = m_toldAt[name];
    toldAt = std::max(toldAt, m_now + storeDelay + (heldUp > 0 ? holdUp(name, Direction::In) : 0));
    later(toldAt - m_now, [this, name, asked, seen, entries] {
        give(name, seen);
        give(name, StoreContact{asked});
        give(name, ConfigObserved{m_config});
        give(name, WorkersObserved{entries});
        give(name, WavesObserved{m_waves});
    });
}

} // namespace radishvane::tests
