#include "core/cells/run_ledger.h"

#include "core/base/enum_names.h"
#include "core/cells/cell_lease.h"
#include "core/cells/inherited_usage.h"

#include <algorithm>
#include <utility>

namespace radishvane::cells
{

namespace
{

/// Limit on the failures of a task while the configuration of its queue is unknown.
constexpr std::uint32_t unlimitedFailures = 1'000'000;

} // namespace

RunLedger::RunLedger(CellOutbox &outbox, CellWriter &writer, CellTimes times)
    : m_outbox(outbox), m_writer(writer), m_times(times)
{
}

void RunLedger::clear()
{
    m_registry.clear();
    m_roster = WorkerRoster{};
    m_teams.clear();
    m_pendingStops.clear();
}

JobRegistry &RunLedger::registry()
{
    return m_registry;
}

WorkerRoster &RunLedger::roster()
{
    return m_roster;
}

const TeamLedger &RunLedger::teams() const
{
    return m_teams;
}

void RunLedger::reserveInheritedUsage(const SiteConfig &config)
{
    m_teams.reserve(inheritedUsage(m_registry, m_roster, config, m_outbox.now.steady));
}

std::set<TaskId> &RunLedger::pendingStops()
{
    return m_pendingStops;
}

void RunLedger::requestPlanning()
{
    m_planningRequested = true;
}

bool RunLedger::takePlanningRequest()
{
    return std::exchange(m_planningRequested, false);
}

void RunLedger::allocate(Worker &worker, const TaskId &id)
{
    const StepSpec &spec = *m_registry.spec(id);
    worker.tasks.insert(id);
    worker.used += spec.reserved();
    worker.latencyBoundTasks += spec.isService && spec.tailLatencyTarget > Duration{0} ? 1 : 0;
    worker.bestEffortTasks += spec.bestEffort ? 1 : 0;
    worker.bestEffortCpu += spec.bestEffort ? spec.needs.cpu : 0;
    m_teams.allocate(m_registry.find(id.job)->row.team, spec.needs);
}

void RunLedger::release(const TaskId &id)
{
    Worker *worker = m_roster.find(m_registry.task(id)->run->worker);
    if (worker == nullptr) {
        m_teams.release(m_registry.find(id.job)->row.team, m_registry.spec(id)->needs);
        return;
    }
    releaseFrom(*worker, id);
}

void RunLedger::releaseFrom(Worker &worker, const TaskId &id)
{
    const StepSpec &spec = *m_registry.spec(id);
    m_teams.release(m_registry.find(id.job)->row.team, spec.needs);
    if (worker.tasks.erase(id) == 0) {
        return;
    }
    worker.used -= spec.reserved();
    worker.latencyBoundTasks -= spec.isService && spec.tailLatencyTarget > Duration{0} ? 1 : 0;
    worker.bestEffortTasks -= spec.bestEffort ? 1 : 0;
    worker.bestEffortCpu -= spec.bestEffort ? spec.needs.cpu : 0;
}

void RunLedger::endRun(const TaskId &id, RunEnd how)
{
    Task *task = m_registry.task(id);
    if (task == nullptr || !task->run) {
        return;
    }
    const RunNumber number = task->run->number;
    m_outbox.log(CellDecision::TaskEnded, taskName(id), task->run->worker.name(), number,
                 std::string(enumName(runEndNames, how)));
    if (how == RunEnd::LeaseExpired) {
        recordAbandoned(*task);
    }
    release(id);
    if (how == RunEnd::Done) {
        learnRunTime(id, *task);
    }
    const RunEnd counted = task->isDoneEarlier ? RunEnd::Done : how;
    const EndEffect effect = m_registry.end(id, number, counted, maxFailures(id.job), m_outbox.now.steady);
    m_planningRequested = true;
    if (how == RunEnd::Done) {
        endGang(id, number);
    } else {
        stopGang(id, "gang-broken");
    }
    applyEffect(id, effect);
}

void RunLedger::learnRunTime(const TaskId &id, const Task &task)
{
    const Run &run = *task.run;
    const StepSpec &spec = *m_registry.spec(id);
    // An order's deadline is set only by the owner that sent the order. A run that may have resumed from a checkpoint
    // is shorter than the task.
    const bool isWhole
        = run.startDeadline != 0 && run.phase == RunPhase::Running && (!spec.checkpoints || run.number == 1);
    if (isWhole && !spec.isService && !spec.gang) {
        const Duration runTime = std::chrono::duration_cast<Duration>(m_outbox.now.steady - run.confirmedAt);
        m_registry.runTimes().record(m_registry.find(id.job)->row.queue, spec.estimate, runTime);
    }
}

void RunLedger::countFailure(const TaskId &id, RunNumber run)
{
    const EndEffect effect = m_registry.countFailure(id, run, maxFailures(id.job), m_outbox.now.steady);
    if (effect != EndEffect::Ignored) {
        m_outbox.log(CellDecision::TaskEnded, taskName(id), {}, run, "failed-earlier");
        applyEffect(id, effect);
    }
}

void RunLedger::recordEarlierDone(const TaskId &id, RunNumber run)
{
    // When one member of a gang is done, the run of all its members is done.
    for (const TaskId &member : otherGangMembers(id)) {
        completeEarlier(member, run);
    }
    completeEarlier(id, run);
}

void RunLedger::completeEarlier(const TaskId &id, RunNumber run)
{
    Task *task = m_registry.task(id);
    if (task == nullptr || task->progress.done || task->isDoneEarlier || m_registry.spec(id)->isService
        || isFinal(m_registry.find(id.job)->state)) {
        return;
    }
    m_outbox.log(CellDecision::TaskEnded, taskName(id), {}, run, "done-earlier");
    if (task->run) {
        task->isDoneEarlier = true;
        m_writer.changeJob(id.job);
        requestStop(id, "done-earlier");
        return;
    }
    m_planningRequested = true;
    applyEffect(id, m_registry.complete(id, run, m_outbox.now.steady));
}

void RunLedger::applyEffect(const TaskId &id, EndEffect effect)
{
    Job &job = *m_registry.find(id.job);
    if (effect == EndEffect::JobEnded) {
        m_outbox.log(CellDecision::JobEnded, id.job.name(), {}, 0, std::string(enumName(graphStateNames, job.state)));
        jobEnded(id.job, "job-ended");
    }
    const bool isService = m_registry.spec(id) != nullptr && m_registry.spec(id)->isService;
    if (effect != EndEffect::Ignored && !job.endStored && !(isService && effect == EndEffect::TaskWaits)) {
        m_writer.changeJob(id.job);
    }
    m_registry.retireIfDone(job);
}

void RunLedger::withdrawRun(const TaskId &id)
{
    const Task &task = *m_registry.task(id);
    if (task.isDoneEarlier) {
        endRun(id, RunEnd::Stopped);
        return;
    }
    const RunNumber number = task.run->number;
    recordAbandoned(*m_registry.task(id));
    release(id);
    m_registry.withdraw(id, number);
    m_planningRequested = true;
    stopGang(id, "gang-incomplete");
    Job &job = *m_registry.find(id.job);
    m_registry.retireIfDone(job);
}

void RunLedger::recordAbandoned(Task &task)
{
    const TimePoint now = m_outbox.now.steady;
    std::vector<AbandonedStart> &starts = task.abandonedStarts;
    starts.erase(std::remove_if(starts.begin(), starts.end(),
                                [now](const AbandonedStart &start) { return now >= start.lateUntil; }),
                 starts.end());
    const Run &run = *task.run;
    // A restarted worker has accepted a stop of the run under its new fencing token, which is higher than the order's.
    if (run.phase != RunPhase::InDoubt || run.hasWorkerRestarted || run.orderedAt == TimePoint{}) {
        return;
    }
    const TimePoint lateUntil = run.orderedAt + AbandonedStart::maxDelay;
    starts.push_back(AbandonedStart{run.worker, run.number, lateUntil});
    expectLateOrders(run.worker, lateUntil);
}

void RunLedger::recordCarriedOut(const TaskId &id, RunNumber run, const WorkerId &worker)
{
    if (Task *task = m_registry.task(id)) {
        std::erase_if(task->abandonedStarts,
                      [&](const AbandonedStart &start) { return start.run == run && start.worker == worker; });
    }
}

void RunLedger::expectLateOrders(const WorkerId &worker, TimePoint until)
{
    if (Worker *known = m_roster.find(worker)) {
        known->lateOrdersUntil = std::max(known->lateOrdersUntil, until);
    }
}

void RunLedger::storeStarts(const JobId &job)
{
    const Job *known = m_registry.find(job);
    if (known != nullptr && !isFinal(known->state)) {
        m_writer.changeJob(job);
    }
}

void RunLedger::confirm(const TaskId &id, const Worker &worker)
{
    Run &run = *m_registry.task(id)->run;
    const TimePoint now = m_outbox.now.steady;
    // Orders of earlier owners, which may have reached another incarnation, have lost their effect by then.
    const bool isAdopted = run.orderedAt == TimePoint{};
    const TimePoint knownAt = isAdopted ? run.confirmedAt + m_times.longestLeaseTime() : run.orderedAt;
    if (run.isConfirmed || now < knownAt || now < worker.settledAt) {
        return;
    }
    run.isConfirmed = true;
    // Only service tasks wait less for a confirmed start.
    if (m_registry.spec(id)->isService) {
        storeStarts(id.job);
    }
}

bool RunLedger::mayRunAbandoned(const TaskId &id, const Task &task) const
{
    const TimePoint now = m_outbox.now.steady;
    const std::vector<AbandonedStart> &starts = task.abandonedStarts;
    return std::any_of(starts.begin(), starts.end(), [&](const AbandonedStart &start) {
        // A silent worker may have carried the start out under its last owner or in a new incarnation.
        if (!m_roster.isReconciled(start.worker, now, LeaseBound::Longest)) {
            return true;
        }
        const Worker *worker = m_roster.find(start.worker);
        if (worker == nullptr) {
            return false;
        }
        const bool isNewIncarnation = !worker->fenced && now < worker->settledAt;
        return worker->foreignTasks.count(id) > 0 || (now < start.lateUntil && isNewIncarnation);
    });
}

WorkerId RunLedger::abandonedOn(const Task &task) const
{
    const std::vector<AbandonedStart> &starts = task.abandonedStarts;
    const bool isLate = !starts.empty() && m_outbox.now.steady < starts.back().lateUntil;
    return isLate ? starts.back().worker : WorkerId();
}

void RunLedger::requestStop(const TaskId &id, const std::string &reason)
{
    Task *task = m_registry.task(id);
    if (task == nullptr || !task->run || task->run->stopRequested) {
        return;
    }
    task->run->stopRequested = true;
    m_pendingStops.insert(id);
    m_outbox.log(CellDecision::TaskStopped, taskName(id), task->run->worker.name(), task->run->number, reason);
}

void RunLedger::jobEnded(const JobId &id, const std::string &reason)
{
    const Job *job = m_registry.find(id);
    if (job == nullptr) {
        return;
    }
    std::vector<TaskId> running;
    for (const auto &[number, occurrence] : job->open) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].run) {
                    running.push_back(TaskId{id, number, step, index});
                }
            }
        }
    }
    for (const TaskId &task : running) {
        requestStop(task, reason);
    }
}

std::vector<TaskId> RunLedger::otherGangMembers(const TaskId &id) const
{
    std::vector<TaskId> members;
    const StepSpec *spec = m_registry.spec(id);
    if (spec == nullptr || !spec->gang) {
        return members;
    }
    for (std::uint32_t index = 0; index < spec->count; ++index) {
        if (index != id.index) {
            members.push_back(TaskId{id.job, id.occurrence, id.step, index});
        }
    }
    return members;
}

void RunLedger::endGang(const TaskId &id, RunNumber number)
{
    // When one member of a gang is done, the run of all its members is done.
    for (const TaskId &member : otherGangMembers(id)) {
        const Task *task = m_registry.task(member);
        if (task != nullptr && task->run && task->run->number == number) {
            release(member);
            m_registry.end(member, number, RunEnd::Done, maxFailures(id.job), m_outbox.now.steady);
        } else {
            // Its run was given up, or its worker has not listed it.
            completeEarlier(member, number);
        }
    }
}

void RunLedger::stopGang(const TaskId &id, const std::string &reason)
{
    for (const TaskId &member : otherGangMembers(id)) {
        requestStop(member, reason);
    }
}

bool RunLedger::hasSentRuns(const Worker &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [this](const TaskId &id) {
        const Task *task = m_registry.task(id);
        return task != nullptr && task->run && task->run->phase != RunPhase::Recording;
    });
}

void RunLedger::endAllRuns(Worker &worker, CellDecision why)
{
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &id : tasks) {
        const Task *task = m_registry.task(id);
        if (task != nullptr && task->run && task->run->phase == RunPhase::Recording) {
            withdrawRun(id);
        } else {
            endRun(id, RunEnd::LeaseExpired);
        }
    }
    clearForeign(worker);
    worker.fenced = false;
    if (!tasks.empty()) {
        m_outbox.log(CellDecision::WorkerLost, worker.id.name(), worker.pool.name(), tasks.size(),
                     std::string(enumName(cellDecisionNames, why)));
    }
}

void RunLedger::endIncarnation(Worker &worker, std::int64_t startedAtMs)
{
    m_outbox.log(CellDecision::WorkerRestarted, worker.id.name(), worker.pool.name(),
                 static_cast<std::uint64_t>(startedAtMs));
    const std::set<TaskId> unlisted = unlistedTasks(worker);
    for (const TaskId &id : unlisted) {
        worker.tasks.erase(id);
    }
    endAllRuns(worker, CellDecision::WorkerRestarted);
    m_roster.beginIncarnation(worker, startedAtMs);
    worker.settledAt = m_outbox.now.steady + AbandonedStart::maxDelay;
    if (m_outbox.now.steady < worker.inheritedUntil) {
        // The deadline of an earlier owner's order refers to the former clock.
        worker.inheritedUntil = longestLeaseEnd();
        worker.inheritedUsuallyUntil = worker.inheritedUntil;
        worker.mayHoldLongestLease = true;
    }
    worker.tasks = unlisted;
    for (const TaskId &id : unlisted) {
        Run &run = *m_registry.task(id)->run;
        run.phase = RunPhase::InDoubt;
        run.hasWorkerRestarted = true;
        run.stopAccepted = false;
        run.stop = CallId{};
        if (run.stopRequested) {
            m_pendingStops.insert(id);
        }
        m_outbox.log(CellDecision::OrderInDoubt, taskName(id), worker.id.name(), run.number, "worker-restarted");
    }
    worker.recorded = false;
    m_writer.changeRoster();
}

void RunLedger::settleIncarnation(Worker &worker)
{
    worker.settledAt = longestLeaseEnd();
}

void RunLedger::recordUnansweredStart(Worker &worker)
{
    worker.unansweredAt = m_outbox.now.steady;
    worker.unverifiedUntil = longestLeaseEnd();
}

void RunLedger::expectUnknownIncarnation(Worker &worker)
{
    worker.settledAt = std::max(worker.settledAt, longestLeaseEnd());
    m_writer.changeRoster();
}

TimePoint RunLedger::longestLeaseEnd() const
{
    return m_outbox.now.steady + m_times.longestLeaseTime();
}

std::set<TaskId> RunLedger::unlistedTasks(const Worker &worker)
{
    std::set<TaskId> tasks;
    for (const TaskId &id : worker.tasks) {
        const Task *task = m_registry.task(id);
        const bool isSent = task != nullptr && task->run && task->run->phase != RunPhase::Recording;
        if (isSent && task->run->listedAt == TimePoint{}) {
            tasks.insert(id);
        }
    }
    return tasks;
}

void RunLedger::clearForeign(Worker &worker)
{
    for (const auto &[task, usage] : worker.foreignTasks) {
        m_teams.release(usage.first, usage.second);
    }
    worker.foreignTasks.clear();
    worker.foreignUsed = Resources{};
    worker.hasUnknownTasks = false;
}

void RunLedger::addForeign(Worker &worker, const TaskId &task)
{
    const Job *job = m_registry.find(task.job);
    const StepSpec *spec = m_registry.spec(task);
    if (job == nullptr || spec == nullptr) {
        worker.hasUnknownTasks = true;
        return;
    }
    if (worker.foreignTasks.emplace(task, std::pair{job->row.team, spec->needs}).second) {
        worker.foreignUsed += spec->reserved();
        m_teams.allocate(job->row.team, spec->needs);
    }
}

void RunLedger::recordOutcome(Worker &worker, RunEnd how)
{
    if (how == RunEnd::Done) {
        worker.failuresInARow = 0;
    }
    if (how != RunEnd::Failed || ++worker.failuresInARow < avoidAfterFailures) {
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    std::size_t workers = 0;
    std::size_t avoided = 0;
    for (const auto &[id, other] : m_roster.all()) {
        workers += other.pool == worker.pool ? 1 : 0;
        avoided += other.pool == worker.pool && other.avoidedUntil > now ? 1 : 0;
    }
    if ((avoided + 1) * workersPerAvoided > workers) {
        return;
    }
    worker.avoidedUntil = now + avoidanceTime;
    m_outbox.log(CellDecision::WorkerAvoided, worker.id.name(), worker.pool.name(), worker.failuresInARow,
                 "failures-in-a-row");
}

std::uint32_t RunLedger::maxFailures(const JobId &id) const
{
    const Job *job = m_registry.find(id);
    return job == nullptr || job->maxFailures == 0 ? unlimitedFailures : job->maxFailures;
}

} // namespace radishvane::cells
