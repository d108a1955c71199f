#include "core/base/overloaded.h"
#include "platform/cell_store.h"
#include "tests/support/cell_site.h"
#include "tests/support/store_calls.h"

#include <algorithm>

// What a site in virtual time gives its entry hosts: the store, the workers and the host service.

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr std::int64_t workerDelay = 2;
constexpr std::int64_t peerDelay = 2;
constexpr std::int64_t callTimeout = 1'200;
constexpr std::int64_t mostHold = 10'000;
constexpr std::int64_t maintenanceTime = 2'000;
constexpr std::int64_t moveTime = 1'500;
constexpr std::int64_t startUp = 150;
/// An order that was held up for longer does not count as a disruption.
constexpr std::int64_t maxOrderAge = 500;
/// A service task is away when it has not been at work for this time.
constexpr std::int64_t noticeTime = 5'500;
constexpr std::size_t maxListedEnds = 500;
constexpr double atWork = 100;
/// Size of a call without its payload.
constexpr std::size_t callBytes = 600;

/// Size of the rows of a transaction, in which payloads are encoded in base64.
std::size_t bytesOf(const CellTransaction &transaction)
{
    constexpr std::size_t rowBytes = 200;
    std::size_t bytes = (transaction.jobs.size() + transaction.progress.size()) * rowBytes;
    for (const JobRow &row : transaction.jobs) {
        bytes += row.spec.payload.size() * 4 / 3;
    }
    return bytes;
}

} // namespace

std::int64_t CellSite::linkDelay(const Caller &caller, std::size_t payloadBytes, const std::function<void()> &unknown)
{
    ModelNode &entry = node(caller.node);
    if (!entry.queuesInLink) {
        return 0;
    }
    constexpr double bytesPerMegabit = 125;
    const double time = static_cast<double>(callBytes + payloadBytes) / (entry.capacity.linkMbps * bytesPerMegabit);
    entry.linkFreeAt = std::max(entry.linkFreeAt, static_cast<double>(m_now)) + time;
    const auto delay = static_cast<std::int64_t>(entry.linkFreeAt) - m_now;
    if (delay >= callTimeout) {
        later(callTimeout, unknown);
    }
    return delay;
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
    if (loseNextRelease && call.transaction.owner && call.transaction.owner->host.empty()) {
        later(*loseNextRelease, [this, call] { carryOut(call); });
        later(callTimeout, [this, caller, call] {
            give(caller, CellWritten{call.call, CellWriteOutcome::Unknown, 0, std::nullopt});
        });
        loseNextRelease.reset();
        return;
    }
    const std::int64_t sendDelay = linkDelay(caller, bytesOf(call.transaction), [this, caller, call] {
        give(caller, CellWritten{call.call, CellWriteOutcome::Unknown, 0, std::nullopt});
    });
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
    later(sendDelay + storeDelay, [this, caller, call] {
        const CellWritten written = carryOut(call);
        later(1, [this, caller, written] { give(caller, written); });
    });
}

bool CellSite::isAccepted(const CellTransaction &transaction) const
{
    const platform::RowTransaction call = platform::rowsOf(transaction, maxStoreRowBytes);
    const bool holdsRejected = isRejected
        && std::any_of(call.writes.begin(), call.writes.end(),
                       [this](const platform::RowWrite &row) { return isRejected(row.row.key); });
    return !holdsRejected && isWithinLimits(call);
}

CellWritten CellSite::carryOut(const WriteCell &call)
{
    const CellTransaction &transaction = call.transaction;
    if (transaction.expectedOwnerVersion != m_ownerVersion) {
        return CellWritten{call.call, CellWriteOutcome::Conflict, m_ownerVersion, m_owner};
    }
    if (!isAccepted(transaction)) {
        ++rejectedWrites;
        return CellWritten{call.call, CellWriteOutcome::Rejected, 0, std::nullopt};
    }
    ++storeWrites;
    ++m_version;
    if (transaction.owner) {
        m_owner = transaction.owner;
        m_owner->startsRecordedSince = omitsStarts ? 0 : m_owner->startsRecordedSince;
        m_ownerVersion = m_version;
    }
    for (const JobRow &row : transaction.jobs) {
        m_jobs[row.id] = row;
    }
    for (const ProgressRow &row : transaction.progress) {
        m_progress[row.id] = row;
        if (omitsStarts) {
            m_progress[row.id].starts.clear();
        }
        if (row.state == GraphState::Failed) {
            checkFailed(row.id);
        }
    }
    for (const WaveRow &row : transaction.waves) {
        m_waveRows[row.number] = row;
    }
    for (const RosterRow &row : transaction.roster) {
        m_roster[row.part] = row;
        lostRosterParts.erase(row.part);
    }
    if (transaction.hostOrders) {
        m_hostOrders = *transaction.hostOrders;
        areHostOrdersLost = false;
    }
    for (const ReleaseRow &row : transaction.release) {
        m_release[row.part] = row;
    }
    for (const DeletedJob &job : transaction.deletedJobs) {
        m_jobs.erase(job.id);
        m_progress.erase(job.id);
    }
    return CellWritten{call.call, CellWriteOutcome::Written, m_version, std::nullopt};
}

void CellSite::checkFailed(const JobId &job)
{
    const std::uint32_t maxFailures = m_config->queues.at(m_jobs.at(job).queue).maxFailures;
    const bool hasCause = std::any_of(m_failedRuns.begin(), m_failedRuns.end(), [&](const auto &pair) {
        return pair.first.job == job && pair.second.size() >= maxFailures;
    });
    if (!hasCause) {
        broken.push_back("a job has failed without enough failures of a task: " + job.name() + " at "
                         + std::to_string(m_now));
    }
}

void CellSite::read(const Caller &caller, const ReadCell &call)
{
    if (storeDown || node(caller.node).cutFromStore) {
        later(callTimeout, [this, caller, call] { give(caller, CellReadDone{call.call, std::nullopt}); });
        return;
    }
    later(storeDelay, [this, caller, call, contents = stored()] { give(caller, CellReadDone{call.call, contents}); });
}

CellContents CellSite::stored() const
{
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
    for (const auto &[part, row] : m_roster) {
        if (lostRosterParts.count(part) == 0) {
            contents.roster.push_back(row);
        }
    }
    contents.lostRosterParts = lostRosterParts;
    contents.areHostOrdersLost = areHostOrdersLost;
    if (!areHostOrdersLost) {
        contents.hostOrders = m_hostOrders;
    }
    for (const auto &[part, row] : m_release) {
        contents.release.push_back(row);
    }
    return contents;
}

// ---- other entry hosts ----

void CellSite::requestHandover(const Caller &caller, const RequestHandover &request)
{
    ++handoverRequests;
    const std::string owner = node(caller.node).controller->owner()->host.name();
    if (!node(owner).alive || chance(lostAnswers)) {
        later(callTimeout, [this, caller, request] {
            give(caller, HandoverAnswered{request.exchange, CallAnswer::Unavailable});
        });
        return;
    }
    RequestHandover received = request;
    received.exchange = ExchangeId{++m_exchanges};
    m_handovers[received.exchange] = {caller, request.exchange};
    later(peerDelay, [this, owner, received] { give(owner, received); });
}

// ---- workers ----

ModelWorker *CellSite::reach(const WorkerAddress &address)
{
    const auto found = m_workers.find(address.id.name());
    const bool isReachable = found != m_workers.end() && found->second.alive && !found->second.cut
        && found->second.entry.endpoint == address.endpoint;
    return isReachable ? &found->second : nullptr;
}

std::int64_t CellSite::clockOf(const ModelWorker &worker) const
{
    return static_cast<std::int64_t>(static_cast<double>(m_now - worker.bornAt) * worker.clockRate);
}

void CellSite::decideAdmission(const Caller &caller, const QueryAdmission &query)
{
    ++admissionCalls;
    const AdmissionTimes &times = *m_config->queues.at(m_jobs.at(query.job).queue).admission;
    std::int64_t &freeAt = m_admissionFreeAt[caller.node];
    const std::int64_t begin = std::max(freeAt, m_now + workerDelay);
    freeAt = begin + times.decision.count() + times.perWorker.count() * static_cast<std::int64_t>(query.workers.size());
    AdmissionAnswered answer{query.call, true, {}};
    for (const WorkerId &id : query.workers) {
        if (admitted.count(id.name()) == 0) {
            continue;
        }
        const std::string ticket = "t-" + id.name() + "-" + std::to_string(admissionCalls);
        answer.tickets[id] = ticket;
        m_tickets[ticket] = IssuedTicket{query.job, query.step, id.name(), worker(id.name()).bornAt,
                                         (areTicketsValidFromCall ? begin : freeAt) + times.validity.count()};
    }
    later(freeAt - m_now + workerDelay, [this, caller, answer] { give(caller, answer); });
}

bool CellSite::acceptsTicket(const ModelWorker &worker, const StartOrder &order) const
{
    if (!m_config->queues.at(m_jobs.at(order.task.job).queue).admission) {
        return true;
    }
    const auto found = m_tickets.find(order.ticket);
    return found != m_tickets.end() && found->second.job == order.task.job && found->second.step == order.task.step
        && found->second.worker == worker.entry.id.name() && found->second.bornAt == worker.bornAt
        && m_now <= found->second.validUntil;
}

void CellSite::checkIsStored(const StartOrder &order)
{
    const auto row = m_progress.find(order.task.job);
    const bool isStored = row != m_progress.end()
        && std::any_of(row->second.starts.begin(), row->second.starts.end(), [&order](const RecordedStart &start) {
                              return TaskId{order.task.job, start.occurrence, start.step, start.index} == order.task
                                  && start.run == order.run && start.worker == order.worker.id;
                          });
    if (!isStored && !omitsStarts) {
        broken.push_back("a start that the store does not hold: " + taskName(order.task) + " run "
                         + std::to_string(order.run) + " at " + std::to_string(m_now));
    }
}

void CellSite::start(const Caller &caller, const StartOrder &order)
{
    const auto unknown = [this, caller, order] {
        give(caller, OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt});
    };
    if (loseNextStart || chance(lostAnswers)) {
        const std::int64_t delay = loseNextStart ? *loseNextStart : chance(0.5) ? workerDelay : 3'000;
        loseNextStart.reset();
        later(delay, [this, order] {
            if (ModelWorker *worker = reach(order.worker)) {
                carryOut(*worker, order);
            }
        });
        later(callTimeout, unknown);
        return;
    }
    const std::int64_t sendDelay = linkDelay(caller, order.payload.size(), unknown);
    later(sendDelay + workerDelay, [this, caller, order, unknown] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, unknown);
            return;
        }
        const OrderOutcome outcome = carryOut(*worker, order);
        later(workerDelay, [this, caller, order, outcome, clock = clockOf(*worker)] {
            give(caller, OrderAnswered{order.call, outcome, clock});
        });
    });
}

OrderOutcome CellSite::carryOut(ModelWorker &worker, const StartOrder &order)
{
    if (order.fence < worker.fence) {
        return OrderOutcome::Fenced;
    }
    worker.fence = order.fence;
    if (worker.rejectsStarts) {
        ++worker.rejectedStarts;
        return OrderOutcome::Invalid;
    }
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
    if (!acceptsTicket(worker, order)) {
        ++rejectedTickets;
        return OrderOutcome::NoTicket;
    }
    checkStart(worker, order);
    ++m_runs[order.task.job];
    ModelRun run;
    run.number = order.run;
    run.startedAt = m_now;
    run.isService = m_specs[order.task.job].steps[order.task.step].isService;
    run.stalled = worker.stalls;
    const auto duration = durations.find(order.task.job);
    run.duration = duration == durations.end() ? 300 : duration->second;
    if (worker.fails || (!run.isService && chance(failingRuns))) {
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
    const std::uint32_t maxFailures = m_config->queues.at(m_jobs.at(order.task.job).queue).maxFailures;
    if (!m_specs[order.task.job].steps[order.task.step].isService
        && m_notedFailures[order.task].size() >= maxFailures) {
        broken.push_back("a start after the last failure that the queue allows: " + what);
    }
    if (m_doneNoted.count(order.task) > 0) {
        broken.push_back("a start after its end was noted: " + what);
    }
    const auto listed = m_listedDone.find(order.task);
    if (listed != m_listedDone.end()) {
        const ModelWorker &former = m_workers.at(listed->second.worker);
        if (former.alive && former.bornAt == listed->second.bornAt && former.lapsedAt < listed->second.endedAt) {
            broken.push_back("a start after its end was listed: " + what);
        }
    }
    const GraphSpec &spec = m_specs[order.task.job];
    if (order.payload != spec.payload) {
        broken.push_back("a start without the payload of its job: " + what);
    }
    for (const std::uint32_t earlier : spec.steps[order.task.step].after) {
        for (std::uint32_t index = 0; index < spec.steps[earlier].count; ++index) {
            if (m_done.count(TaskId{order.task.job, order.task.occurrence, earlier, index}) == 0) {
                broken.push_back("a start before its turn: " + what);
            }
        }
    }
    Resources used = spec.steps[order.task.step].reserved();
    for (const auto &[task, run] : worker.running) {
        used += m_specs[task.job].steps[task.step].reserved();
    }
    if (!used.fitsIn(worker.entry.room)) {
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

void CellSite::stopTask(const Caller &caller, const StopOrder &order, std::int64_t sentAt)
{
    const auto unknown = [this, caller, order] {
        give(caller, OrderAnswered{order.call, OrderOutcome::Unknown, std::nullopt});
    };
    const std::int64_t sendDelay = linkDelay(caller, 0, unknown);
    later(sendDelay + workerDelay, [this, caller, order, unknown, sentAt] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, unknown);
            return;
        }
        if (m_now - sentAt <= maxOrderAge && order.fence >= worker->fence) {
            checkDisruption(*worker, order.task);
        }
        const OrderOutcome outcome = carryOut(*worker, order);
        later(workerDelay, [this, caller, order, outcome] {
            give(caller, OrderAnswered{order.call, outcome, std::nullopt});
        });
    });
}

void CellSite::checkDisruption(const ModelWorker &worker, const TaskId &task)
{
    const StepSpec &spec = m_specs[task.job].steps[task.step];
    const auto running = worker.running.find(task);
    const bool isAtWork
        = running != worker.running.end() && !running->second.stopsAt && m_now - running->second.startedAt >= startUp;
    if (!spec.isService || !isAtWork || worker.cut || m_cancelSent.count(task.job) > 0) {
        return;
    }
    if (worker.entry.state != WorkerState::Ready) {
        m_services[task].endedByOrder = true;
        return;
    }
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        const ServiceState &other = m_services[TaskId{task.job, task.occurrence, task.step, index}];
        const bool isAway = other.endedByOrder || m_now - other.lastAtWork > noticeTime;
        away += index != task.index && isAway ? 1 : 0;
    }
    if (away >= std::max<std::uint32_t>(spec.maxUnavailable, 1)) {
        broken.push_back("a service task is stopped beyond the allowance: " + taskName(task) + " at "
                         + std::to_string(m_now));
    }
    m_services[task].endedByOrder = true;
}

void CellSite::noteListedEnds(const std::string &name, const LeaseRenewalAnswered &answer)
{
    if (!node(name).controller->isServing(instant().steady)) {
        return;
    }
    for (const EndedRow &row : answer.report.ended) {
        if (row.how != RunEnd::Done) {
            continue;
        }
        for (const auto &[id, worker] : m_workers) {
            const auto closed = worker.endedAt.find(row.number);
            if (worker.alive && worker.entry.startedAtMs == answer.report.startedAtMs && closed != worker.endedAt.end()
                && worker.closed.count(row.task) > 0) {
                m_listedDone[row.task] = ListedEnd{id, worker.bornAt, closed->second};
            }
        }
    }
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

void CellSite::renewLease(const Caller &caller, const LeaseRenewalOrder &order)
{
    ++holds;
    const auto unknown = [this, caller, order] {
        const bool refuses
            = m_workers.count(order.worker.id.name()) > 0 && worker(order.worker.id.name()).refusesConnections;
        give(caller, LeaseRenewalAnswered{order.call, refuses ? OrderOutcome::NotSent : OrderOutcome::Unknown, {}});
    };
    if (chance(lostAnswers)) {
        later(callTimeout + order.wait.count(), unknown);
        extendLease(order);
        return;
    }
    if (loseNextRenewal && order.deadline) {
        later(*loseNextRenewal, [this, order] { extendLease(order); });
        later(callTimeout + order.wait.count(), unknown);
        loseNextRenewal.reset();
        return;
    }
    if (loseNextAcknowledgement && order.acknowledged > 0) {
        later(*loseNextAcknowledgement, [this, order] {
            if (ModelWorker *worker = reach(order.worker)) {
                carryOut(*worker, order);
            }
        });
        later(callTimeout + order.wait.count(), unknown);
        loseNextAcknowledgement.reset();
        return;
    }
    const std::int64_t sendDelay = linkDelay(caller, 0, unknown);
    later(sendDelay + workerDelay, [this, caller, order, unknown] {
        ModelWorker *worker = reach(order.worker);
        if (worker == nullptr) {
            later(callTimeout, unknown);
            return;
        }
        if (carryOut(*worker, order) != OrderOutcome::Accepted) {
            give(caller, LeaseRenewalAnswered{order.call, OrderOutcome::Fenced, {}});
            return;
        }
        answerLeaseRenewal(caller, order, m_now + order.wait.count());
    });
}

void CellSite::extendLease(const LeaseRenewalOrder &order)
{
    ModelWorker *worker = reach(order.worker);
    if (worker == nullptr || order.fence < worker->fence || !order.deadline) {
        return;
    }
    worker->fence = order.fence;
    worker->deadline = std::max(worker->deadline, std::min(*order.deadline, clockOf(*worker) + mostHold));
}

OrderOutcome CellSite::carryOut(ModelWorker &worker, const LeaseRenewalOrder &order)
{
    if (order.fence < worker.fence) {
        return OrderOutcome::Fenced;
    }
    worker.fence = order.fence;
    if (order.deadline) {
        worker.deadline = std::max(worker.deadline, std::min(*order.deadline, clockOf(worker) + mostHold));
    }
    for (const EndedRow &row : worker.ended) {
        if (row.number <= order.acknowledged && row.how == RunEnd::Done) {
            m_doneNoted[row.task] = row.run;
        }
        if (row.number <= order.acknowledged && row.how == RunEnd::Failed) {
            m_notedFailures[row.task].insert(row.run);
        }
    }
    std::erase_if(worker.ended, [&order](const EndedRow &row) { return row.number <= order.acknowledged; });
    return OrderOutcome::Accepted;
}

void CellSite::answerLeaseRenewal(const Caller &caller, const LeaseRenewalOrder &order, std::int64_t until)
{
    ModelWorker *worker = reach(order.worker);
    if (worker == nullptr) {
        later(callTimeout, [this, caller, order] {
            give(caller, LeaseRenewalAnswered{order.call, OrderOutcome::Unknown, {}});
        });
        return;
    }
    if (worker->ended.empty() && m_now < until) {
        later(10, [this, caller, order, until, bornAt = worker->bornAt] {
            const ModelWorker *called = reach(order.worker);
            // The call ends with the incarnation that has received it.
            if (called != nullptr && called->bornAt != bornAt) {
                give(caller, LeaseRenewalAnswered{order.call, OrderOutcome::Unknown, {}});
                return;
            }
            answerLeaseRenewal(caller, order, until);
        });
        return;
    }
    LeaseRenewalAnswered answer{order.call, OrderOutcome::Accepted, {}};
    answer.report.clock = clockOf(*worker);
    answer.report.startedAtMs = worker->entry.startedAtMs;
    for (const auto &[task, run] : worker->running) {
        RunningRow row;
        row.task = task;
        row.run = run.number;
        const double age = static_cast<double>(m_now - run.startedAt);
        row.percent = run.stalled ? 0
            : run.isService       ? (age >= startUp ? atWork : 0)
                            : std::min(99.0, age * 100 / static_cast<double>(std::max<std::int64_t>(run.duration, 1)));
        row.load = worker->load;
        answer.report.running.push_back(row);
    }
    const auto listedEnds = static_cast<std::ptrdiff_t>(std::min(worker->ended.size(), maxListedEnds));
    answer.report.ended.assign(worker->ended.begin(), worker->ended.begin() + listedEnds);
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
    if (how == RunEnd::Failed) {
        const bool isGang = m_specs[task.job].steps[task.step].gang;
        m_failedRuns[TaskId{task.job, task.occurrence, task.step, isGang ? 0 : task.index}].insert(run);
    }
    worker.ended.push_back(EndedRow{++worker.lastEnd, task, run, how, {}});
    worker.endedAt[worker.lastEnd] = m_now;
}

void CellSite::endByOrder(const std::string &id)
{
    // No later owner can read the list of a worker that an order for its host has ended. An end does not count when the
    // lease of the worker has expired since.
    const ModelWorker &ended = worker(id);
    for (const EndedRow &row : ended.ended) {
        if (row.how == RunEnd::Done && ended.lapsedAt < ended.endedAt.at(row.number)) {
            m_doneNoted[row.task] = row.run;
        }
    }
    crash(id);
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
        worker.lapsedAt = lapsed ? m_now : worker.lapsedAt;
        for (const auto &[task, run] : running) {
            const std::int64_t age = m_now - run.startedAt;
            if (run.isService && !run.stopsAt && age >= startUp) {
                m_services[task] = ServiceState{m_now, false};
            }
            if (lapsed) {
                end(worker, task, RunEnd::LeaseExpired);
            } else if (run.stopsAt && m_now >= *run.stopsAt) {
                end(worker, task, RunEnd::Stopped);
            } else if (run.duration < 0 && age >= -run.duration) {
                end(worker, task, RunEnd::Failed);
            } else if (!run.isService && !run.stalled && run.duration >= 0 && age >= run.duration) {
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

std::string CellSite::workerOn(const HostId &host) const
{
    const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&host](const auto &pair) {
        return pair.second.entry.host == host && !pair.second.replaced;
    });
    return found->first;
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

void CellSite::checkHostIsStored(const HostId &host)
{
    const std::vector<HostId> &hosts = m_hostOrders.hosts;
    if (!areHostOrdersLost && std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        broken.push_back("an order for a host that the store does not name: " + host.name());
    }
}

bool CellSite::takeHostOrder()
{
    constexpr std::int64_t second = 1'000;
    while (!m_hostOrderTimes.empty() && m_hostOrderTimes.front() <= m_now - second) {
        m_hostOrderTimes.pop_front();
    }
    if (static_cast<double>(m_hostOrderTimes.size()) >= hostService.ordersPerSecond) {
        ++excessHostOrders;
        return false;
    }
    m_hostOrderTimes.push_back(m_now);
    return true;
}

void CellSite::orderHost(const Caller &caller, CallId call, std::function<HostOrderOutcome()> carryOut)
{
    if (refusesHostOrders || !takeHostOrder()) {
        later(4, [this, caller, call] { give(caller, HostOrderAnswered{call, HostOrderOutcome::Refused}); });
        return;
    }
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
    const std::string id = workerOn(order.host);
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
    if (!moved.running.empty()) {
        broken.push_back("a host is moved with tasks on it: " + id);
    }
    ++moves;
    endByOrder(id);
    moved.entry.pool = order.pool;
    m_movingUntil[id] = m_now + moveTime;
    return HostOrderOutcome::Accepted;
}

HostOrderOutcome CellSite::carryOut(const MaintainHost &order)
{
    const std::string id = workerOn(order.host);
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
        if (m_maintainedUntil.size() >= wave.maxHostsDown) {
            broken.push_back("more hosts down than the wave allows: " + id);
        }
        if (!worker(id).running.empty()) {
            broken.push_back("a host is maintained with tasks on it: " + id);
        }
        endByOrder(id);
        m_maintainedUntil[id] = m_now + maintenanceTime;
    }
    return HostOrderOutcome::Accepted;
}

} // namespace radishvane::tests
