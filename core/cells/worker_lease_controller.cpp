#include "core/cells/worker_lease_controller.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Filling tasks are stopped when a lasting task beside them comes that near to the bound on its tail.
constexpr double tailReserve = 0.7;
/// Most ends that a worker lists in one answer (published by the platform).
constexpr std::size_t mostListedEnds = 500;

} // namespace

WorkerLeaseController::WorkerLeaseController(CellOutbox &outbox, CellWriter &writer, RunLedger &runs, CellTimes times)
    : m_outbox(outbox)
    , m_writer(writer)
    , m_runs(runs)
    , m_registry(runs.registry())
    , m_roster(runs.roster())
    , m_times(times)
{
}

void WorkerLeaseController::clear()
{
    m_holds.clear();
}

void WorkerLeaseController::advanceHolds()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.gone || worker.hold.value != 0 || now < worker.nextHold) {
            continue;
        }
        const bool isUnknown = (!worker.fenced || worker.silent) && (worker.entry || !worker.isSettled(now));
        const bool hasEnds = worker.processed > worker.noted;
        const bool mayNote = worker.stored == worker.processed;
        if (isUnknown || (hasEnds && mayNote)
            || (!hasEnds && !(worker.tasks.empty() && worker.foreign.empty() && !worker.runsUnknown))) {
            sendHold(worker);
            continue;
        }
        // Ends that are not stored yet hold the next call up, but never so long that the lease runs out.
        const bool isRunningOut = worker.clockNow(now) + m_times.leaseTime.count() / 2 > worker.leaseDeadline;
        if (!worker.tasks.empty() && isRunningOut) {
            sendHold(worker);
        }
    }
}

void WorkerLeaseController::sendHold(Worker &worker)
{
    const TimePoint now = m_outbox.now.steady;
    HoldOrder order;
    order.worker = worker.address();
    order.fence = m_outbox.epoch;
    order.noted = worker.stored;
    worker.holdNotes = order.noted;
    worker.earlierDeadline = worker.leaseDeadline;
    // A silent worker is only asked: a lease that it may or may not get would never be known to have expired.
    if (worker.fenced && !worker.silent && !worker.tasks.empty()) {
        order.deadline = worker.clockNow(now) + m_times.leaseTime.count();
        order.wait = holdWait;
        worker.leaseDeadline = std::max(worker.leaseDeadline, *order.deadline);
    }
    worker.hold = m_outbox.send(order);
    worker.holdSent = now;
    m_holds[worker.hold] = worker.id;
}

void WorkerLeaseController::answered(const HoldAnswered &event)
{
    const auto found = m_holds.find(event.call);
    if (found == m_holds.end()) {
        return;
    }
    Worker *worker = m_roster.find(found->second);
    m_holds.erase(found);
    if (worker == nullptr || worker->hold != event.call) {
        return;
    }
    worker->hold = CallId{};
    if (worker->gone) {
        // The answer was on its way when the worker's life ended.
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    if (event.outcome != OrderOutcome::Accepted) {
        worker->nextHold = now + holdRetry;
        worker->silent = true;
        if (event.outcome == OrderOutcome::NotSent) {
            worker->leaseDeadline = worker->earlierDeadline;
        }
        if (event.outcome == OrderOutcome::WrongInstance) {
            // Another worker has the address, so the one that was meant is gone.
            m_runs.loseTasks(*worker, CellDecision::WorkerLost);
        }
        return;
    }
    worker->silent = false;
    if (!worker->recorded) {
        m_writer.changeRoster();
    }
    worker->nextHold = now + holdPause;
    if (event.report.born > worker->born && worker->born != 0) {
        m_runs.endLife(*worker, event.report.born);
    }
    worker->born = std::max(worker->born, event.report.born);
    worker->clock = event.report.clock;
    worker->clockAt = now;
    if (!worker->fenced) {
        m_outbox.note(CellDecision::WorkerAdmitted, worker->id.name(), worker->pool.name(), worker->born);
    }
    worker->fenced = true;
    takeEnds(*worker, event.report);
    takeRunning(*worker, event.report, worker->holdSent);
    takeMissing(*worker, event.report, worker->holdSent);
    worker->noted = std::max(worker->noted, worker->holdNotes);
    m_runs.requestPlanning();
}

void WorkerLeaseController::takeEnds(Worker &worker, const HoldReport &report)
{
    for (const EndedRow &row : report.ended) {
        if (row.number <= worker.processed) {
            continue;
        }
        worker.processed = row.number;
        Task *task = m_registry.task(row.task);
        const bool isInherited = task != nullptr && !task->run && !task->progress.done
            && row.run > task->progress.endedRun && m_registry.find(row.task.job)->inherited;
        if (isInherited) {
            // Started by the owner before, and ended before this one could see it run.
            m_runs.occupy(worker, row.task);
            Run run;
            run.number = row.run;
            run.worker = worker.id;
            run.phase = RunPhase::Running;
            m_registry.begin(row.task, std::move(run));
            task = m_registry.task(row.task);
        }
        if (task == nullptr || !task->run || task->run->number != row.run || task->run->worker != worker.id) {
            if (task != nullptr && row.how == RunEnd::Failed) {
                m_runs.countFailure(row.task, row.run);
            }
            continue;
        }
        if (!row.checkpoint.empty()) {
            task->progress.checkpoint = row.checkpoint;
        }
        m_runs.judge(worker, row.how);
        m_runs.endRun(row.task, row.how);
    }
}

void WorkerLeaseController::takeRunning(Worker &worker, const HoldReport &report, TimePoint sent)
{
    const TimePoint now = m_outbox.now.steady;
    m_runs.clearForeign(worker);
    for (const RunningRow &row : report.running) {
        Task *task = m_registry.task(row.task);
        const bool isKnown
            = task != nullptr && task->run && task->run->number == row.run && task->run->worker == worker.id;
        if (!isKnown) {
            if (!adopt(worker, row)) {
                m_runs.addForeign(worker, row.task);
                StopOrder order;
                order.worker = worker.address();
                order.task = row.task;
                order.run = row.run;
                order.fence = m_outbox.epoch;
                m_outbox.send(order);
                m_outbox.note(CellDecision::TaskStopped, taskName(row.task), worker.id.name(), row.run, "unknown-run");
            }
            continue;
        }
        Run &run = *task->run;
        if (run.phase != RunPhase::Running) {
            run.phase = RunPhase::Running;
            run.confirmedAt = sent;
            run.progressAt = now;
        }
        if (now - run.listedAt > stallTime) {
            // Nothing is known of the time between two looks that lie far apart.
            run.progressAt = now;
        }
        stopIfStalled(worker, row);
        run.listedAt = now;
        run.percent = row.percent;
        run.load = row.load;
        guardTail(worker, row);
        if (!row.checkpoint.empty()) {
            task->progress.checkpoint = row.checkpoint;
        }
    }
}

bool WorkerLeaseController::adopt(Worker &worker, const RunningRow &row)
{
    Task *task = m_registry.task(row.task);
    const Job *job = m_registry.find(row.task.job);
    if (task == nullptr || task->run || task->progress.done || !job->inherited || isFinal(job->state)
        || row.run <= task->progress.endedRun) {
        return false;
    }
    m_runs.occupy(worker, row.task);
    Run run;
    run.number = row.run;
    run.worker = worker.id;
    run.phase = RunPhase::Running;
    run.confirmedAt = m_outbox.now.steady;
    run.progressAt = m_outbox.now.steady;
    run.percent = row.percent;
    m_registry.begin(row.task, std::move(run));
    // No owner has ordered a longer lease than this.
    worker.leaseDeadline = std::max(worker.leaseDeadline, worker.clock + m_times.leaseTime.count());
    return true;
}

void WorkerLeaseController::takeMissing(Worker &worker, const HoldReport &report, TimePoint sent)
{
    if (report.ended.size() >= mostListedEnds) {
        return;
    }
    std::set<TaskId> listed;
    for (const RunningRow &row : report.running) {
        listed.insert(row.task);
    }
    std::vector<TaskId> neverRan;
    std::vector<TaskId> lost;
    for (const TaskId &id : worker.tasks) {
        const Task *task = m_registry.task(id);
        if (listed.count(id) > 0 || task == nullptr || !task->run) {
            continue;
        }
        const Run &run = *task->run;
        if (run.phase == RunPhase::InDoubt && report.clock > run.startDeadline) {
            neverRan.push_back(id);
        } else if (run.phase == RunPhase::Running && run.confirmedAt < sent) {
            lost.push_back(id);
        }
    }
    for (const TaskId &id : neverRan) {
        m_runs.withdrawRun(id);
    }
    for (const TaskId &id : lost) {
        m_outbox.note(CellDecision::TaskEnded, taskName(id), worker.id.name(), 0, "not-listed");
        m_runs.endRun(id, RunEnd::LeaseExpired);
    }
}

void WorkerLeaseController::stopIfStalled(Worker &worker, const RunningRow &row)
{
    const TimePoint now = m_outbox.now.steady;
    const StepSpec &spec = *m_registry.spec(row.task);
    Run &run = *m_registry.task(row.task)->run;
    if (row.percent > run.percent || row.percent >= serviceReadyPercent || spec.bestEffort) {
        run.progressAt = now;
    }
    // A share of the work that takes long rises slowly, so long tasks are watched for longer.
    const Duration patience = std::max(stallTime, std::chrono::duration_cast<Duration>(spec.estimate / 2));
    if (run.stopWanted || now - run.progressAt <= patience) {
        return;
    }
    m_runs.wantStop(row.task, "no-progress");
    worker.avoidedUntil = std::max(worker.avoidedUntil, now + RunLedger::avoidTime);
}

void WorkerLeaseController::guardTail(Worker &worker, const RunningRow &row)
{
    const StepSpec &spec = *m_registry.spec(row.task);
    const double bound = toMilliseconds(spec.tailLatencyTarget) * tailReserve;
    if (!spec.isService || spec.tailLatencyTarget == Duration{0} || worker.filling == 0 || row.load < bound) {
        return;
    }
    worker.fillNotBefore = m_outbox.now.steady + fillPause;
    for (const TaskId &id : worker.tasks) {
        if (m_registry.spec(id) != nullptr && m_registry.spec(id)->bestEffort) {
            m_runs.wantStop(id, "disturbs-lasting-task");
        }
    }
}

void WorkerLeaseController::expireLeases()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.fenced && !worker.tasks.empty() && worker.hasLapsed(now)) {
            m_runs.loseTasks(worker, CellDecision::WorkerLost);
        }
        if (worker.recorded && worker.isLeaseless(now)) {
            worker.recorded = false;
            m_writer.changeRoster();
        }
    }
}

} // namespace radishvane::cells
