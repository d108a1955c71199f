#include "core/cells/worker_lease_controller.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Part of the latency target of a service task above which best-effort tasks on its worker are stopped.
constexpr double tailLatencyThreshold = 0.7;
/// Limit on the ended runs in one report (published by the platform).
constexpr std::size_t maxListedEnds = 500;

/// Records that a worker has answered its renewal, and schedules the next one if it acknowledges further ends.
void recordAcknowledgement(Worker &worker, TimePoint now)
{
    worker.acknowledged = std::max(worker.acknowledged, worker.renewalAcknowledges);
    if (worker.renewalAcknowledges > 0 && worker.renewalFenceNumber == worker.fenceNumber) {
        worker.openAcknowledgements -= std::min<std::size_t>(worker.openAcknowledgements, 1);
    }
    if (worker.stored <= worker.acknowledged || !worker.hasStoredEnds()) {
        return;
    }
    if (worker.mayAcknowledge(now)) {
        // Starts that are sent before the next renewal would delay the acknowledgement.
        worker.nextRenewal = now;
        return;
    }
    // A list that does not show an earlier start is not followed by another at once.
    const TimePoint latest = worker.renewalSentAt + AbandonedStart::maxDelay;
    const bool hasMissing
        = std::any_of(worker.unlistedStarts.begin(), worker.unlistedStarts.end(), [&](const auto &start) {
              return now < start.second.lateUntil && start.second.lateUntil <= latest;
          });
    worker.nextRenewal = now + (hasMissing ? WorkerLeaseController::renewalRetry : WorkerLeaseController::renewalPause);
}

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
    m_renewals.clear();
}

void WorkerLeaseController::renewLeases()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.incarnationEnded || worker.renewal.value != 0 || now < worker.nextRenewal) {
            continue;
        }
        const bool needsContact = (!worker.fenced || worker.unreachable) && (worker.entry || !worker.isReconciled(now));
        const bool hasEnds = worker.processed > worker.acknowledged;
        const bool mayAcknowledge = worker.hasStoredEnds();
        const bool mayGetLateOrders = now < worker.lateOrdersUntil && worker.entry;
        if (needsContact || mayGetLateOrders || (hasEnds && mayAcknowledge)
            || (!hasEnds && !(worker.tasks.empty() && worker.foreignTasks.empty() && !worker.hasUnknownTasks))) {
            sendRenewal(worker);
            continue;
        }
        // A renewal waits until the reported ends are stored, unless the lease would run out meanwhile.
        const bool isRunningOut = worker.estimatedClock(now) + m_times.leaseTime.count() / 2 > worker.leaseDeadline;
        if (!worker.tasks.empty() && isRunningOut) {
            sendRenewal(worker);
        }
    }
}

void WorkerLeaseController::sendRenewal(Worker &worker)
{
    const TimePoint now = m_outbox.now.steady;
    LeaseRenewalOrder order;
    order.worker = worker.address();
    order.fence = m_outbox.workerFence(worker.fenceNumber);
    worker.renewalFenceNumber = worker.fenceNumber;
    // The worker may have restarted, and would forget the first ends of its new incarnation.
    const bool hasEnds = worker.stored > worker.acknowledged;
    order.acknowledged = hasEnds && worker.mayAcknowledge(now) ? worker.stored : 0;
    worker.renewalAcknowledges = order.acknowledged;
    worker.openAcknowledgements += order.acknowledged > 0 ? 1 : 0;
    worker.previousDeadline = worker.leaseDeadline;
    // An unreachable worker is only queried. A renewal without an answer may or may not extend the lease, so that the
    // owner could never know when it has expired.
    if (worker.fenced && !worker.unreachable && !worker.tasks.empty()) {
        order.deadline = worker.leaseDeadlineAfter(m_times.leaseTime, now);
        worker.leaseDeadline = std::max(worker.leaseDeadline, *order.deadline);
    }
    // A list that is to show starts before the acknowledgement does not wait.
    const bool isListOnly = hasEnds && order.acknowledged == 0;
    if (worker.fenced && !worker.unreachable && !isListOnly && (order.deadline || now < worker.lateOrdersUntil)) {
        order.wait = renewalWait;
    }
    worker.renewal = m_outbox.send(order);
    worker.renewalSentAt = now;
    m_renewals[worker.renewal] = worker.id;
}

void WorkerLeaseController::logWait(Worker &worker)
{
    const TimePoint now = m_outbox.now.steady;
    if (worker.isWaitLogged || worker.isReconciled(now)) {
        return;
    }
    worker.isWaitLogged = true;
    const auto left = [now](TimePoint until) {
        return std::max(Duration{0}, std::chrono::ceil<Duration>(until - now));
    };
    m_outbox.add(DecisionLogEntry{CellDecision::WorkerAwaited, worker.id.name(), worker.pool.name(), m_outbox.epoch,
                                  static_cast<std::uint64_t>(worker.startedAtMs),
                                  worker.mayHoldLongestLease ? "may-hold-longest-lease" : "silent",
                                  SilentWorkerRecord{left(worker.inheritedUntil), left(worker.inheritedUsuallyUntil)}});
}

void WorkerLeaseController::answered(const LeaseRenewalAnswered &event)
{
    const auto found = m_renewals.find(event.call);
    if (found == m_renewals.end()) {
        return;
    }
    Worker *worker = m_roster.find(found->second);
    m_renewals.erase(found);
    if (worker == nullptr || worker->renewal != event.call) {
        return;
    }
    worker->renewal = CallId{};
    if (worker->incarnationEnded) {
        // The worker's incarnation ended before its answer arrived.
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    if (event.outcome == OrderOutcome::Fenced && worker->renewalFenceNumber < worker->fenceNumber) {
        // A start with a higher fencing token has overtaken the renewal.
        worker->nextRenewal = now;
        return;
    }
    if (event.outcome != OrderOutcome::Accepted) {
        worker->nextRenewal = now + renewalRetry;
        worker->unreachable = true;
        logWait(*worker);
        if (event.outcome == OrderOutcome::NotSent) {
            worker->leaseDeadline = worker->previousDeadline;
        }
        if (event.outcome == OrderOutcome::WrongInstance) {
            // Another worker answers at this address, so the intended one is gone.
            m_runs.endAllRuns(*worker, CellDecision::WorkerLost);
        }
        return;
    }
    if (event.report.startedAtMs < worker->startedAtMs) {
        // A former incarnation answered before it ended.
        worker->nextRenewal = now;
        return;
    }
    worker->unreachable = false;
    if (!worker->recorded) {
        m_writer.changeRoster();
    }
    worker->nextRenewal = now + renewalPause;
    if (event.report.startedAtMs > worker->startedAtMs && worker->startedAtMs != 0) {
        m_runs.endIncarnation(*worker, event.report.startedAtMs);
    }
    if (worker->renewalSentAt >= worker->unansweredAt) {
        // The incarnation that the start was sent to is still there.
        worker->unverifiedUntil = TimePoint{};
    }
    worker->startedAtMs = std::max(worker->startedAtMs, event.report.startedAtMs);
    worker->clock = event.report.clock;
    worker->clockAt = now;
    worker->aliveSince = worker->renewalSentAt;
    if (!worker->fenced) {
        if (now < worker->settledAt || (worker->mayHoldLongestLease && now < worker->inheritedUntil)) {
            m_runs.settleIncarnation(*worker);
        }
        m_outbox.log(CellDecision::WorkerAdmitted, worker->id.name(), worker->pool.name(), worker->startedAtMs);
    }
    worker->fenced = true;
    worker->hasUnlistedEnds = event.report.ended.size() >= maxListedEnds;
    applyEnded(*worker, event.report);
    applyRunning(*worker, event.report, worker->renewalSentAt);
    endUnlistedRuns(*worker, event.report, worker->renewalSentAt);
    recordAcknowledgement(*worker, now);
    m_runs.requestPlanning();
}

void WorkerLeaseController::applyEnded(Worker &worker, const LeaseRenewalReport &report)
{
    for (const EndedRow &row : report.ended) {
        worker.unlistedStarts.erase({row.task, row.run});
        if (row.number > worker.processed) {
            worker.processed = row.number;
            applyEnd(worker, row);
        }
    }
}

void WorkerLeaseController::applyEnd(Worker &worker, const EndedRow &row)
{
    m_registry.openInheritedOccurrence(row.task);
    m_runs.recordCarriedOut(row.task, row.run, worker.id);
    Task *task = m_registry.task(row.task);
    if (task == nullptr) {
        return;
    }
    const bool isInherited = !task->run && !task->progress.done && row.run > task->progress.endedRun
        && !task->isSuperseded(row.run) && m_registry.find(row.task.job)->inherited;
    if (isInherited) {
        // An earlier owner started the run, and it ended before this owner saw it active.
        m_runs.allocate(worker, row.task);
        Run run;
        run.number = row.run;
        run.worker = worker.id;
        run.phase = RunPhase::Running;
        m_registry.begin(row.task, std::move(run));
    }
    if (!task->run || task->run->number != row.run || task->run->worker != worker.id) {
        applyEarlierEnd(row);
        return;
    }
    if (!m_registry.recordCheckpoint(row.task, row.checkpoint)) {
        m_outbox.log(CellDecision::CheckpointIgnored, taskName(row.task), worker.id.name(), row.checkpoint.size(),
                     "too-large");
    }
    m_runs.recordOutcome(worker, row.how);
    m_runs.endRun(row.task, row.how);
}

void WorkerLeaseController::applyEarlierEnd(const EndedRow &row)
{
    switch (row.how) {
    case RunEnd::Done:
        m_runs.recordEarlierDone(row.task, row.run);
        return;
    case RunEnd::Failed:
        m_runs.countFailure(row.task, row.run);
        return;
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::GangBroken:
    case RunEnd::GangIncomplete:
        return;
    }
}

void WorkerLeaseController::applyRunning(Worker &worker, const LeaseRenewalReport &report, TimePoint sent)
{
    const TimePoint now = m_outbox.now.steady;
    m_runs.clearForeign(worker);
    for (const RunningRow &row : report.running) {
        worker.unlistedStarts.erase({row.task, row.run});
        m_registry.openInheritedOccurrence(row.task);
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
                order.fence = m_outbox.workerFence(worker.fenceNumber);
                m_outbox.send(order);
                m_outbox.log(CellDecision::TaskStopped, taskName(row.task), worker.id.name(), row.run, "unknown-run");
            }
            continue;
        }
        Run &run = *task->run;
        run.hasWorkerRestarted = false;
        if (run.phase != RunPhase::Running) {
            run.phase = RunPhase::Running;
            run.confirmedAt = sent;
            run.progressAt = now;
        }
        m_runs.confirm(row.task, worker);
        if (now - run.listedAt > stallTimeout) {
            // After a long gap between two reports, progress during the gap is unknown.
            run.progressAt = now;
        }
        stopIfStalled(worker, row);
        run.listedAt = now;
        run.percent = row.percent;
        run.load = row.load;
        protectTailLatency(worker, row);
        // One that is too large is logged at the end of the run.
        (void)m_registry.recordCheckpoint(row.task, row.checkpoint);
    }
}

bool WorkerLeaseController::adopt(Worker &worker, const RunningRow &row)
{
    Task *task = m_registry.task(row.task);
    const Job *job = m_registry.find(row.task.job);
    if (task == nullptr || task->run || task->progress.done || !job->inherited || isFinal(job->state)
        || row.run <= task->progress.endedRun || task->isSuperseded(row.run)) {
        return false;
    }
    m_runs.allocate(worker, row.task);
    Run run;
    run.number = row.run;
    run.worker = worker.id;
    run.phase = RunPhase::Running;
    run.confirmedAt = m_outbox.now.steady;
    run.progressAt = m_outbox.now.steady;
    run.listedAt = m_outbox.now.steady;
    run.percent = row.percent;
    run.isConfirmed = task->recordedStart && task->recordedStart->run == row.run && task->recordedStart->isConfirmed;
    m_registry.begin(row.task, std::move(run));
    m_runs.recordCarriedOut(row.task, row.run, worker.id);
    // An owner starts a task again only after its run has ended, so this is the only active run.
    task->hasKnownRuns = true;
    // An earlier owner may have sent orders that referred to the clock of a former incarnation.
    worker.leaseDeadline = std::max(worker.leaseDeadline, worker.clock + m_times.longestLease.count());
    return true;
}

void WorkerLeaseController::endUnlistedRuns(Worker &worker, const LeaseRenewalReport &report, TimePoint sent)
{
    if (worker.hasUnlistedEnds) {
        return;
    }
    std::set<TaskId> listed;
    for (const RunningRow &row : report.running) {
        listed.insert(row.task);
    }
    std::vector<TaskId> neverStarted;
    std::vector<TaskId> lost;
    std::vector<TaskId> unstopped;
    for (const TaskId &id : worker.tasks) {
        const Task *task = m_registry.task(id);
        if (listed.count(id) > 0 || task == nullptr || !task->run) {
            continue;
        }
        const Run &run = *task->run;
        if (run.hasWorkerRestarted) {
            if (run.stopAccepted && run.stopAcceptedAt < sent) {
                neverStarted.push_back(id);
            } else {
                unstopped.push_back(id);
            }
        } else if (run.phase == RunPhase::InDoubt && report.clock > run.startDeadline) {
            neverStarted.push_back(id);
        } else if (run.phase == RunPhase::Running && run.confirmedAt < sent) {
            lost.push_back(id);
        }
    }
    for (const TaskId &id : neverStarted) {
        m_runs.withdrawRun(id);
    }
    for (const TaskId &id : unstopped) {
        m_runs.requestStop(id, "worker-restarted");
    }
    for (const TaskId &id : lost) {
        m_outbox.log(CellDecision::TaskEnded, taskName(id), worker.id.name(), 0, "not-listed");
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
    // The percentage of a long task rises slowly, so its timeout scales with the declared run time.
    const Duration patience = std::max(stallTimeout, std::chrono::duration_cast<Duration>(spec.estimate / 2));
    if (run.stopRequested || now - run.progressAt <= patience) {
        return;
    }
    m_runs.requestStop(row.task, "no-progress");
    worker.avoidedUntil = std::max(worker.avoidedUntil, now + RunLedger::avoidanceTime);
}

void WorkerLeaseController::protectTailLatency(Worker &worker, const RunningRow &row)
{
    const StepSpec &spec = *m_registry.spec(row.task);
    const double bound = toMilliseconds(spec.tailLatencyTarget) * tailLatencyThreshold;
    if (!spec.isService || spec.tailLatencyTarget == Duration{0} || worker.bestEffortTasks == 0 || row.load < bound) {
        return;
    }
    worker.bestEffortNotBefore = m_outbox.now.steady + bestEffortPause;
    for (const TaskId &id : worker.tasks) {
        if (m_registry.spec(id) != nullptr && m_registry.spec(id)->bestEffort) {
            m_runs.requestStop(id, "disturbs-lasting-task");
        }
    }
}

void WorkerLeaseController::expireLeases()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.hasLeaseExpired(now) && m_runs.hasSentRuns(worker)) {
            m_runs.endAllRuns(worker, CellDecision::WorkerLost);
        }
        if (worker.recorded && worker.holdsNoLease(now)) {
            worker.recorded = false;
            m_writer.changeRoster();
        }
    }
}

} // namespace radishvane::cells
