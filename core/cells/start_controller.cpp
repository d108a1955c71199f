#include "core/cells/start_controller.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Run numbers of an inherited job begin that far above those of the owner before.
constexpr RunNumber runsEachEpoch = 10'000;

} // namespace

StartController::StartController(CellOutbox &outbox, RunLedger &runs)
    : m_outbox(outbox), m_runs(runs), m_registry(runs.registry()), m_roster(runs.roster()), m_admission(outbox)
{
}

void StartController::clear()
{
    m_admission.clear();
    m_starts.clear();
}

void StartController::planStarts(const SiteConfig &config)
{
    const TimePoint now = m_outbox.now.steady;
    m_planDue = m_runs.takePlanDue() || m_planDue;
    if (!m_planDue || now < m_nextPlan) {
        return;
    }
    m_planDue = false;
    m_nextPlan = now + Duration(m_registry.live().size() / jobsEachMillisecond);
    PoolRooms rooms(m_roster, now);
    std::size_t starts = 0;
    for (const ReadyStep &ready : startOrder(m_registry, config, m_outbox.now)) {
        const Job &job = *m_registry.find(ready.job);
        if (rooms.isFullFor(ready.pool, job.row.spec.steps[ready.step])
            || (job.inherited && m_roster.isUnsettled(ready.pool, now))) {
            continue;
        }
        if (!isAdmitted(config, rooms, ready)) {
            continue;
        }
        starts += job.row.spec.steps[ready.step].gang ? startGang(config, rooms, ready)
                                                      : startTasks(config, rooms, ready, mostStarts - starts);
        if (starts >= mostStarts) {
            m_planDue = true;
            m_nextPlan = now;
            return;
        }
    }
}

bool StartController::isAdmitted(const SiteConfig &config, const PoolRooms &rooms, const ReadyStep &ready)
{
    const Queue &queue = config.queues.at(m_registry.find(ready.job)->row.queue);
    if (!queue.admission) {
        return true;
    }
    const std::vector<Worker *> &workers = rooms.workers(ready.pool);
    const bool hasTicket = std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
        return !m_admission.ticket(ready, *worker).empty();
    });
    if (!hasTicket) {
        m_admission.want(ready, *queue.admission, workers);
    }
    return hasTicket;
}

std::size_t StartController::startTasks(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready,
                                        std::size_t most)
{
    const Job &job = *m_registry.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    const std::set<std::uint32_t> waiting = step.waiting;
    std::size_t starts = 0;
    for (const std::uint32_t index : waiting) {
        if (starts >= most) {
            break;
        }
        const Task &task = step.tasks[index];
        if (task.notBefore > m_outbox.now.steady) {
            continue;
        }
        Worker *worker = chooseFor(config, rooms, ready, index);
        if (worker == nullptr) {
            break;
        }
        start(ready, index, *worker, nextRun(job, task), task.progress.checkpoint);
        ++starts;
    }
    return starts;
}

std::size_t StartController::startGang(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready)
{
    const Job &job = *m_registry.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (step.waiting.size() < step.tasks.size()) {
        // Members of the run before have not all ended.
        return 0;
    }
    RunNumber run = 0;
    std::string checkpoint;
    for (const Task &task : step.tasks) {
        run = std::max(run, nextRun(job, task));
        // The newest of the members' checkpoints is good for all of them.
        checkpoint = std::max(checkpoint, task.progress.checkpoint);
    }
    // Each member is given its place before the next one looks for room; without room for all, none starts.
    std::vector<Worker *> places;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        Worker *worker = chooseFor(config, rooms, ready, index);
        if (worker == nullptr) {
            break;
        }
        const TaskId id{ready.job, ready.occurrence, ready.step, index};
        m_runs.occupy(*worker, id);
        places.push_back(worker);
    }
    for (std::uint32_t index = 0; index < places.size(); ++index) {
        m_runs.leave(*places[index], TaskId{ready.job, ready.occurrence, ready.step, index});
    }
    if (places.size() < step.tasks.size()) {
        return 0;
    }
    for (std::uint32_t index = 0; index < places.size(); ++index) {
        start(ready, index, *places[index], run, checkpoint);
    }
    return places.size();
}

Worker *StartController::chooseFor(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready,
                                   std::uint32_t index)
{
    const Job &job = *m_registry.find(ready.job);
    const StepSpec &spec = job.row.spec.steps[ready.step];
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (!m_runs.teams().mayTake(config, job.row.team, spec.needs)) {
        return nullptr;
    }
    const bool needsTicket = config.queues.at(job.row.queue).admission.has_value();
    const auto mayRun = [&](const Worker &worker) {
        return !needsTicket || !m_admission.ticket(ready, worker).empty();
    };
    Worker *worker = chooseWorker(rooms, ready, spec, step, step.tasks[index], mayRun);
    if (worker == nullptr && !needsTicket) {
        rooms.noteFull(ready.pool, spec);
    }
    return worker;
}

void StartController::start(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
                            const std::string &checkpoint)
{
    const TimePoint now = m_outbox.now.steady;
    const TaskId id{ready.job, ready.occurrence, ready.step, index};
    StartOrder order;
    order.worker = worker.address();
    order.task = id;
    order.run = number;
    order.payload = m_registry.find(ready.job)->row.spec.payload;
    order.deadline = worker.clockNow(now) + startWindow.count();
    order.fence = m_outbox.epoch;
    order.checkpoint = checkpoint;
    order.ticket = m_admission.ticket(ready, worker);
    worker.leaseDeadline = std::max(worker.leaseDeadline, order.deadline);
    worker.earlierDeadline = std::max(worker.earlierDeadline, order.deadline);

    Run run;
    run.number = order.run;
    run.worker = worker.id;
    run.startDeadline = order.deadline;
    m_runs.occupy(worker, id);
    m_registry.begin(id, std::move(run));
    m_outbox.note(CellDecision::TaskStarted, taskName(id), worker.id.name(), order.run);
    m_starts[m_outbox.send(std::move(order))] = {id, number};
    if (worker.hold.value == 0) {
        // The lease must outlast the start's own deadline, also when the next look is late.
        worker.nextHold = std::min(worker.nextHold, now);
    }
}

RunNumber StartController::nextRun(const Job &job, const Task &task) const
{
    // Runs that an earlier owner started may not be stored, so an inherited job's numbers leave room for them.
    const RunNumber floor = job.inherited ? (m_outbox.epoch - job.row.epoch) * runsEachEpoch : 0;
    return std::max({task.startedRun, task.progress.endedRun, floor}) + 1;
}

bool StartController::answered(const OrderAnswered &event)
{
    const auto found = m_starts.find(event.call);
    if (found == m_starts.end()) {
        return false;
    }
    const auto [task, run] = found->second;
    m_starts.erase(found);
    startAnswered(task, run, event);
    return true;
}

void StartController::startAnswered(const TaskId &id, RunNumber number, const OrderAnswered &event)
{
    Task *task = m_registry.task(id);
    // The run may have been given up since, and another of the task be under way.
    if (task == nullptr || !task->run || task->run->number != number || task->run->phase != RunPhase::Ordered) {
        return;
    }
    Run &run = *task->run;
    const TimePoint now = m_outbox.now.steady;
    m_runs.requestPlanning();
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        run.progressAt = now;
        return;
    case OrderOutcome::Unknown:
        run.phase = RunPhase::InDoubt;
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->silent = true;
        }
        m_outbox.note(CellDecision::OrderInDoubt, taskName(id), run.worker.name(), run.number, "start");
        return;
    case OrderOutcome::Unhealthy:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->avoidedUntil = std::max(worker->avoidedUntil, now + unhealthyPause);
        }
        m_runs.withdrawRun(id);
        return;
    case OrderOutcome::NotSent:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->silent = true;
        }
        m_runs.withdrawRun(id);
        return;
    case OrderOutcome::NoTicket:
        m_admission.refused(id, run.worker);
        m_runs.withdrawRun(id);
        return;
    case OrderOutcome::Fenced:
    case OrderOutcome::Outdated:
    case OrderOutcome::Late:
    case OrderOutcome::NoRoom:
    case OrderOutcome::WrongInstance:
    case OrderOutcome::Invalid:
        m_outbox.note(CellDecision::TaskEnded, taskName(id), run.worker.name(), run.number,
                      std::string(enumName(orderOutcomeNames, event.outcome)));
        m_runs.withdrawRun(id);
        return;
    }
}

void StartController::answered(const AdmissionAnswered &event)
{
    m_planDue = m_admission.answered(event) || m_planDue;
}

} // namespace radishvane::cells
