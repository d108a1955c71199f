#include "core/cells/start_controller.h"

#include "core/base/enum_names.h"

#include <algorithm>
#include <utility>

namespace radishvane::cells
{

namespace
{

/// Range of run numbers that is reserved for each epoch in an inherited job.
constexpr RunNumber runNumbersPerEpoch = 10'000;
/// Difference of a worker's clock from its estimate that does not show a restart.
constexpr std::int64_t clockToleranceMs = 50;

} // namespace

StartController::StartController(CellOutbox &outbox, RunLedger &runs, CellTimes times, const HostCapacity &capacity)
    : m_outbox(outbox)
    , m_runs(runs)
    , m_times(times)
    , m_registry(runs.registry())
    , m_roster(runs.roster())
    , m_admission(outbox)
    , m_pacer(capacity)
{
}

void StartController::clear()
{
    m_admission.clear();
    m_pacer.clear();
    m_backlog.clear();
    m_work.clear();
    m_unsent.clear();
    m_recorded.clear();
    m_pendingStarts.clear();
}

Duration StartController::lateness(const SiteConfig &config, const SubmitJob &job, bool withinShare)
{
    const auto queue = config.queues.find(job.queue);
    if (queue == config.queues.end() || job.spec.steps.empty()) {
        return Duration{0};
    }
    m_backlog.update(m_registry, config, m_outbox.now);
    const RunTimes runTimes = m_registry.runTimes().expected(job.queue, job.spec);
    const Duration lateness = m_backlog.lateness(queue->second, job.spec, runTimes, withinShare, m_pacer);
    if (lateness == Duration{0}) {
        return lateness;
    }
    const CandidateWorkers candidates(m_roster, m_outbox.now.steady);
    const std::vector<Worker *> &workers = candidates.workers(queue->second.pool);
    const bool hasRoom = std::any_of(workers.begin(), workers.end(), [&job](const Worker *worker) {
        return (worker->used + worker->foreignUsed + job.spec.steps.front().reserved()).fitsIn(worker->room());
    });
    return hasRoom ? lateness : Duration{0};
}

void StartController::jobAccepted(const SiteConfig &config, const SubmitJob &job, bool withinShare)
{
    const auto queue = config.queues.find(job.queue);
    if (queue != config.queues.end()) {
        m_backlog.add(queue->second, job.spec, withinShare);
        m_work.add(queue->second, job.spec, m_registry.runTimes().expected(job.queue, job.spec), withinShare);
    }
}

Duration StartController::workLateness(const SiteConfig &config, const SubmitJob &job, bool withinShare) const
{
    const auto queue = config.queues.find(job.queue);
    if (queue == config.queues.end()) {
        return Duration{0};
    }
    const RunTimes runTimes = m_registry.runTimes().expected(job.queue, job.spec);
    return m_work.lateness(queue->second, job.spec, runTimes, withinShare);
}

bool StartController::isWorkCountDue() const
{
    return m_work.isDue(m_outbox.now.steady);
}

void StartController::countWork(const SiteConfig &config, const IncomingHosts &incoming)
{
    m_work.count(m_registry, m_roster, config, incoming, m_outbox.now);
}

StartPacer &StartController::pacer()
{
    return m_pacer;
}

void StartController::planStarts(const SiteConfig &config)
{
    const TimePoint now = m_outbox.now.steady;
    m_planningRequested = m_runs.takePlanningRequest() || m_planningRequested;
    if (!m_planningRequested || now < m_nextPlan) {
        return;
    }
    m_planningRequested = false;
    m_isPaced = false;
    m_nextPlan = now + Duration(m_registry.live().size() / jobsPerMillisecond);
    const bool isComplete = startReady(config);
    m_admission.sendRequest();
    if (isComplete && m_isPaced) {
        m_planningRequested = true;
        m_nextPlan = std::max(m_nextPlan, now + std::max(pacedPlanningInterval, m_pacer.pause()));
    }
}

bool StartController::startReady(const SiteConfig &config)
{
    const TimePoint now = m_outbox.now.steady;
    CandidateWorkers candidates(m_roster, now);
    m_unknownRuns.emplace(m_roster, now);
    m_runs.reserveInheritedUsage(config);
    requestTickets(config);
    std::size_t starts = 0;
    for (const ReadyStep &ready : rankReadySteps(m_registry, config, m_outbox.now)) {
        const Job &job = *m_registry.find(ready.job);
        const StepSpec &spec = job.row.spec.steps[ready.step];
        if (m_isPaced && !spec.isService) {
            continue;
        }
        if (!mayStartAny(job, ready)) {
            continue;
        }
        if (candidates.isFullFor(ready.pool, spec)) {
            recordCapacity(config, ready, false);
            continue;
        }
        const std::size_t maxStarts = maxStartsPerPass - starts;
        starts += config.queues.at(job.row.queue).admission ? startAdmitted(config, candidates, ready, maxStarts)
                                                            : startStep(config, candidates, ready, maxStarts);
        if (starts >= maxStartsPerPass) {
            m_planningRequested = true;
            m_nextPlan = now;
            return false;
        }
    }
    return true;
}

bool StartController::mayStart(const Job &job, const ReadyStep &ready, std::uint32_t index) const
{
    const Task &task = job.open.at(ready.occurrence).steps[ready.step].tasks[index];
    // Few tasks have abandoned starts, and planning asks for every waiting one.
    const bool mayRunAbandoned = !task.abandonedStarts.empty()
        && m_runs.mayRunAbandoned(TaskId{ready.job, ready.occurrence, ready.step, index}, task);
    return !mayRunAbandoned && !m_unknownRuns->mayExist(job, job.row.spec.steps[ready.step], task);
}

bool StartController::mayStartAny(const Job &job, const ReadyStep &ready) const
{
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    return std::any_of(step.waiting.begin(), step.waiting.end(),
                       [&](std::uint32_t index) { return mayStart(job, ready, index); });
}

void StartController::recordCapacity(const SiteConfig &config, const ReadyStep &ready, bool hasCapacity)
{
    Job &job = *m_registry.find(ready.job);
    // More workers do not help a team that has reached its ceiling.
    job.open.at(ready.occurrence).steps[ready.step].lacksCapacity
        = !hasCapacity && m_runs.teams().mayAllocate(config, job.row.team, job.row.spec.steps[ready.step].needs);
}

std::size_t StartController::startStep(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                                       std::size_t maxStarts)
{
    const Job &job = *m_registry.find(ready.job);
    return job.row.spec.steps[ready.step].gang ? startGang(config, candidates, ready)
                                               : startTasks(config, candidates, ready, maxStarts);
}

std::size_t StartController::startAdmitted(const SiteConfig &config, CandidateWorkers &candidates,
                                           const ReadyStep &ready, std::size_t maxStarts)
{
    const Job &job = *m_registry.find(ready.job);
    const StepSpec &spec = job.row.spec.steps[ready.step];
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    AdmissionController::Request request;
    request.step = ready;
    request.times = *config.queues.at(job.row.queue).admission;
    request.tasks = step.waiting.size();
    request.isGang = spec.gang;
    bool hasTicket = false;
    for (const Worker *worker : candidates.workers(ready.pool)) {
        if (!worker->hasLabel(spec.label)) {
            continue;
        }
        const bool isFull = !hasCapacity(*worker, spec, step);
        const bool isAdmitted = !m_admission.ticket(ready, *worker).empty();
        hasTicket = hasTicket || (isAdmitted && !isFull);
        // The tickets of a gang have to be valid together, so that those that it has are renewed with the others.
        if (spec.gang || !isAdmitted) {
            (isFull ? request.full : request.withCapacity).push_back(worker);
        }
    }
    const std::size_t starts = hasTicket ? startStep(config, candidates, ready, maxStarts) : 0;
    // Tickets that cannot be used when they come would only delay those of other steps.
    const bool isBlocked = !m_runs.teams().mayAllocate(config, job.row.team, spec.needs)
        || (spec.gang && step.waiting.size() < step.tasks.size());
    if (!isBlocked && (!hasTicket || (spec.gang && starts == 0))) {
        m_admission.request(request);
    }
    return starts;
}

std::size_t StartController::startTasks(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                                        std::size_t maxStarts)
{
    const Job &job = *m_registry.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    const std::set<std::uint32_t> waiting = step.waiting;
    std::size_t starts = 0;
    for (const std::uint32_t index : waiting) {
        if (starts >= maxStarts) {
            break;
        }
        const Task &task = step.tasks[index];
        if (task.notBefore > m_outbox.now.steady || !mayStart(job, ready, index)) {
            continue;
        }
        Worker *worker = chooseWorkerFor(config, candidates, ready, index, true);
        recordCapacity(config, ready, worker != nullptr);
        if (worker == nullptr) {
            break;
        }
        // Service tasks are few, and must not wait for a backlog of urgent work.
        const bool isService = job.row.spec.steps[ready.step].isService;
        if (!isService && !m_pacer.mayStart(m_outbox.now.steady)) {
            m_isPaced = true;
            break;
        }
        plan(ready, index, *worker, nextRun(job, task), task.progress.checkpoint);
        ++starts;
    }
    return starts;
}

std::size_t StartController::startGang(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready)
{
    const Job &job = *m_registry.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (step.waiting.size() < step.tasks.size()) {
        // Some members of the previous run have not ended.
        return 0;
    }
    if (!std::all_of(step.waiting.begin(), step.waiting.end(),
                     [&](std::uint32_t index) { return mayStart(job, ready, index); })) {
        return 0;
    }
    RunNumber run = 0;
    std::string checkpoint;
    for (const Task &task : step.tasks) {
        run = std::max(run, nextRun(job, task));
        // The newest checkpoint of any member is valid for all members.
        checkpoint = std::max(checkpoint, task.progress.checkpoint);
    }
    // Resources of each member are reserved before the next one is placed. No member starts unless all have a worker.
    std::vector<Worker *> workers;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        // The reservations of the members before this one do not make the pool full for other tasks.
        Worker *worker = chooseWorkerFor(config, candidates, ready, index, workers.empty());
        if (worker == nullptr) {
            break;
        }
        const TaskId id{ready.job, ready.occurrence, ready.step, index};
        m_runs.allocate(*worker, id);
        workers.push_back(worker);
    }
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        m_runs.releaseFrom(*workers[index], TaskId{ready.job, ready.occurrence, ready.step, index});
    }
    if (workers.size() < step.tasks.size()) {
        return 0;
    }
    if (!m_pacer.mayStart(m_outbox.now.steady)) {
        m_isPaced = true;
        return 0;
    }
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        plan(ready, index, *workers[index], run, checkpoint);
    }
    return workers.size();
}

Worker *StartController::chooseWorkerFor(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                                         std::uint32_t index, bool mayMarkFull)
{
    const Job &job = *m_registry.find(ready.job);
    const StepSpec &spec = job.row.spec.steps[ready.step];
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (!m_runs.teams().mayAllocate(config, job.row.team, spec.needs)) {
        return nullptr;
    }
    const bool needsTicket = config.queues.at(job.row.queue).admission.has_value();
    const auto mayRun = [&](const Worker &worker) {
        return !needsTicket || !m_admission.ticket(ready, worker).empty();
    };
    const WorkerId abandonedOn = m_runs.abandonedOn(step.tasks[index]);
    if (!abandonedOn.empty()) {
        const auto mayRepeat = [&](const Worker &worker) {
            return worker.id == abandonedOn && mayRun(worker);
        };
        if (Worker *same = chooseWorker(candidates, ready, spec, step, step.tasks[index], mayRepeat)) {
            return same;
        }
    }
    Worker *worker = chooseWorker(candidates, ready, spec, step, step.tasks[index], mayRun);
    if (worker == nullptr && !needsTicket && mayMarkFull) {
        candidates.markFull(ready.pool, spec);
    }
    return worker;
}

void StartController::plan(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
                           const std::string &checkpoint)
{
    const TaskId id{ready.job, ready.occurrence, ready.step, index};
    UnsentStart start;
    start.step = ready;
    start.run = number;
    start.checkpoint = checkpoint;
    start.incarnationNumber = worker.incarnationNumber;
    start.plannedAt = m_outbox.now.steady;
    start.needsTicket = !m_admission.ticket(ready, worker).empty();
    start.safety = safetyOf(id);
    Run run;
    run.number = number;
    run.worker = worker.id;
    run.phase = RunPhase::Recording;
    expectRecordedStart(*m_registry.task(id));
    m_runs.allocate(worker, id);
    m_registry.begin(id, std::move(run));
    m_registry.task(id)->hasKnownRuns = true;
    m_pacer.take(m_registry.find(id.job)->row.spec.payload.size());
    m_recorded.erase(id);
    m_unsent.insert_or_assign(id, std::move(start));
    m_runs.storeStarts(id.job);
}

void StartController::expectRecordedStart(Task &task)
{
    if (!task.recordedStart) {
        return;
    }
    // The next incarnation of a worker that has been called may hold the longest lease from a late order.
    for (AbandonedStart &start : task.abandonedStarts) {
        if (start.run == task.recordedStart->run) {
            start.lateUntil += AbandonedStart::maxDelay - m_times.longestLeaseTime();
            m_runs.expectLateOrders(start.worker, start.lateUntil);
        }
    }
}

void StartController::recorded(const std::vector<ProgressRow> &rows)
{
    for (const ProgressRow &row : rows) {
        for (const RecordedStart &start : row.starts) {
            const TaskId id{row.id, start.occurrence, start.step, start.index};
            const auto found = m_unsent.find(id);
            if (found != m_unsent.end() && found->second.run == start.run) {
                m_recorded.insert(id);
            }
        }
    }
}

void StartController::sendRecorded()
{
    const std::set<TaskId> recorded = m_recorded;
    // A member of a gang that cannot start takes the others with it, so that all are checked before any is sent.
    std::vector<TaskId> ready;
    for (const TaskId &id : recorded) {
        switch (readinessOf(id, m_unsent.at(id))) {
        case Readiness::Ready:
            ready.push_back(id);
            break;
        case Readiness::LacksTicket:
            m_planningRequested = true;
            break;
        case Readiness::Needless:
            withdraw(id);
            break;
        }
    }
    for (const TaskId &id : ready) {
        const UnsentStart &start = m_unsent.at(id);
        Run *run = runOf(id, start);
        if (run == nullptr || run->stopRequested) {
            withdraw(id);
            continue;
        }
        send(id, start, *run, *m_roster.find(run->worker));
        m_recorded.erase(id);
        m_unsent.erase(id);
    }
}

StartController::Readiness StartController::readinessOf(const TaskId &id, const UnsentStart &start)
{
    const Run *run = runOf(id, start);
    const Worker *worker = run == nullptr ? nullptr : m_roster.find(run->worker);
    const TimePoint now = m_outbox.now.steady;
    if (worker == nullptr || run->stopRequested || worker->incarnationNumber != start.incarnationNumber
        || worker->pool != start.step.pool || !worker->acceptsTasks(now)
        || !(worker->used + worker->foreignUsed).fitsIn(worker->room())) {
        return Readiness::Needless;
    }
    if (!start.needsTicket || !m_admission.ticket(start.step, *worker).empty()) {
        return Readiness::Ready;
    }
    // The tickets of a gang are valid together only if they are asked for together.
    const bool mayWait = !m_registry.spec(id)->gang && now - start.plannedAt < maxTicketWait;
    return mayWait ? Readiness::LacksTicket : Readiness::Needless;
}

void StartController::requestTickets(const SiteConfig &config)
{
    for (const TaskId &id : m_recorded) {
        const UnsentStart &start = m_unsent.at(id);
        const Run *run = runOf(id, start);
        const Job *job = m_registry.find(id.job);
        const auto queue = job == nullptr ? config.queues.end() : config.queues.find(job->row.queue);
        if (run == nullptr || queue == config.queues.end() || !queue->second.admission) {
            continue;
        }
        AdmissionController::Request request;
        request.step = start.step;
        request.times = *queue->second.admission;
        request.tasks = 1;
        request.withCapacity = {m_roster.find(run->worker)};
        m_admission.request(request);
    }
}

void StartController::withdraw(TaskId id)
{
    // The caller may pass the key of the entry that is erased.
    const TaskId task = std::move(id);
    const auto found = m_unsent.find(task);
    const UnsentStart start = std::move(found->second);
    m_unsent.erase(found);
    m_recorded.erase(task);
    if (runOf(task, start) != nullptr) {
        m_runs.withdrawRun(task);
    }
}

void StartController::withdrawStopped()
{
    std::vector<TaskId> needless;
    for (const auto &[id, start] : m_unsent) {
        const Run *run = runOf(id, start);
        if (run == nullptr || run->stopRequested) {
            needless.push_back(id);
        }
    }
    for (const TaskId &id : needless) {
        withdraw(id);
    }
}

void StartController::withdrawUnsent()
{
    while (!m_unsent.empty()) {
        withdraw(m_unsent.begin()->first);
    }
}

Run *StartController::runOf(const TaskId &id, const UnsentStart &start)
{
    Task *task = m_registry.task(id);
    const bool isCurrent
        = task != nullptr && task->run && task->run->number == start.run && task->run->phase == RunPhase::Recording;
    return isCurrent ? &*task->run : nullptr;
}

void StartController::send(const TaskId &id, const UnsentStart &start, Run &run, Worker &worker)
{
    const TimePoint now = m_outbox.now.steady;
    StartOrder order;
    order.worker = worker.address();
    order.task = id;
    order.run = start.run;
    order.payload = m_registry.find(id.job)->row.spec.payload;
    // The estimated clock may be ahead of the worker's, and a later owner relies on the length of the lease.
    order.deadline
        = std::min(worker.estimatedClock(now) + startWindow.count(), worker.leaseDeadlineAfter(m_times.leaseTime, now));
    if (worker.openAcknowledgements > 0) {
        // An acknowledgement that the next incarnation carries out after the start would make it forget the run's end.
        m_roster.raiseFence(worker);
    }
    order.fence = m_outbox.workerFence(worker.fenceNumber);
    order.checkpoint = start.checkpoint;
    order.ticket = m_admission.ticket(start.step, worker);
    worker.leaseDeadline = std::max(worker.leaseDeadline, order.deadline);
    worker.previousDeadline = std::max(worker.previousDeadline, order.deadline);
    run.startDeadline = order.deadline;
    m_registry.markSent(id, now);
    m_outbox.add(DecisionLogEntry{CellDecision::TaskStarted, taskName(id), worker.id.name(), m_outbox.epoch, order.run,
                                  start.safety,
                                  OrderClockRecord{order.deadline, worker.estimatedClock(now),
                                                   std::chrono::duration_cast<Duration>(now - worker.clockAt)}});
    m_pendingStarts[m_outbox.send(std::move(order))] = {id, start.run, now, worker.id, worker.incarnationNumber};
    ++worker.pendingStarts;
    std::erase_if(worker.unlistedStarts, [now](const auto &known) { return now >= known.second.lateUntil; });
    worker.unlistedStarts[{id, start.run}] = UnlistedStart{now + AbandonedStart::maxDelay};
    if (worker.renewal.value == 0) {
        // The lease must cover the start deadline even when the next periodic renewal is late.
        worker.nextRenewal = std::min(worker.nextRenewal, now);
    }
}

std::string StartController::safetyOf(const TaskId &id) const
{
    const Job &job = *m_registry.find(id.job);
    if (!job.inherited) {
        return {};
    }
    const StartSafety safety = m_unknownRuns->safety(job, *m_registry.spec(id), *m_registry.task(id));
    return std::string(enumName(startSafetyNames, safety));
}

RunNumber StartController::nextRun(const Job &job, const Task &task) const
{
    // The store may not hold the latest runs of earlier owners, so the numbers of an inherited job skip a range for
    // each epoch.
    const RunNumber floor = job.inherited ? (m_outbox.epoch - job.row.epoch) * runNumbersPerEpoch : 0;
    return std::max({task.startedRun, task.progress.endedRun, floor}) + 1;
}

bool StartController::answered(const OrderAnswered &event)
{
    const auto found = m_pendingStarts.find(event.call);
    if (found == m_pendingStarts.end()) {
        return false;
    }
    const PendingStart pending = std::move(found->second);
    m_pendingStarts.erase(found);
    m_pacer.recordAnswer(pending.sentAt, event.outcome, m_outbox.now.steady);
    updateWorker(pending, event);
    startAnswered(pending.task, pending.run, event);
    return true;
}

void StartController::storeUnanswered(Duration minAge)
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[call, start] : m_pendingStarts) {
        if (now - start.sentAt < minAge) {
            // The calls are in the order of their sending.
            return;
        }
        if (!start.isStored) {
            start.isStored = true;
            m_runs.storeStarts(start.task.job);
        }
    }
}

void StartController::updateWorker(const PendingStart &start, const OrderAnswered &event)
{
    if (Worker *worker = m_roster.find(start.worker)) {
        worker->pendingStarts -= std::min<std::size_t>(worker->pendingStarts, 1);
        if (event.outcome == OrderOutcome::Unknown) {
            m_runs.recordUnansweredStart(*worker);
        } else if (event.outcome != OrderOutcome::Accepted || worker->incarnationNumber != start.incarnationNumber
                   || (event.clock && worker->isOwnClock(*event.clock, m_outbox.now.steady))) {
            worker->unlistedStarts.erase({start.task, start.run});
        } else if (const auto known = worker->unlistedStarts.find({start.task, start.run});
                   known != worker->unlistedStarts.end()) {
            known->second.isAccepted = true;
        }
    }
    applyClock(start, event);
}

void StartController::applyClock(const PendingStart &start, const OrderAnswered &event)
{
    const Task *task = m_registry.task(start.task);
    if (!event.clock || task == nullptr || !task->run || task->run->number != start.run) {
        return;
    }
    Worker *worker = m_roster.find(task->run->worker);
    if (worker == nullptr || !worker->fenced) {
        return;
    }
    if (*event.clock + clockToleranceMs < worker->minClock(start.sentAt)) {
        m_runs.expectUnknownIncarnation(*worker);
    } else if (worker->incarnationNumber == start.incarnationNumber) {
        worker->recordClock(*event.clock, m_outbox.now.steady);
    }
}

void StartController::startAnswered(const TaskId &id, RunNumber number, const OrderAnswered &event)
{
    Task *task = m_registry.task(id);
    // The run may have been given up meanwhile, and another run of the task may be active.
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
        if (const Worker *worker = m_roster.find(run.worker); worker != nullptr && event.clock) {
            m_runs.confirm(id, *worker);
        }
        return;
    case OrderOutcome::Unknown:
        run.phase = RunPhase::InDoubt;
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->unreachable = true;
        }
        m_runs.expectLateOrders(run.worker, run.orderedAt + AbandonedStart::maxDelay);
        m_runs.storeStarts(id.job);
        m_outbox.log(CellDecision::OrderInDoubt, taskName(id), run.worker.name(), run.number, "start");
        return;
    case OrderOutcome::Unhealthy:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->avoidedUntil = std::max(worker->avoidedUntil, now + unhealthyPause);
        }
        m_runs.withdrawRun(id);
        return;
    case OrderOutcome::NotSent:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->unreachable = true;
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
        m_outbox.log(CellDecision::TaskEnded, taskName(id), run.worker.name(), run.number,
                     std::string(enumName(orderOutcomeNames, event.outcome)));
        m_runs.withdrawRun(id);
        return;
    case OrderOutcome::Invalid:
        m_outbox.log(CellDecision::TaskEnded, taskName(id), run.worker.name(), run.number,
                     std::string(enumName(orderOutcomeNames, event.outcome)));
        // The worker would reject the same order again, and each one takes a start from other tasks.
        task->failedOn = run.worker;
        task->notBefore = now + invalidStartPause;
        m_runs.withdrawRun(id);
        return;
    }
}

void StartController::answered(const AdmissionAnswered &event)
{
    m_planningRequested = m_admission.answered(event) || m_planningRequested;
}

} // namespace radishvane::cells
