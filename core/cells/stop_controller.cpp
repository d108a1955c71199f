#include "core/cells/stop_controller.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Interval between two attempts to stop a run.
constexpr Duration stopRetryInterval{400};

bool isLeaving(const Worker &worker)
{
    return worker.entry && worker.entry->state == WorkerState::Draining;
}

} // namespace

StopController::StopController(CellOutbox &outbox, RunLedger &runs)
    : m_outbox(outbox), m_runs(runs), m_registry(runs.registry()), m_roster(runs.roster())
{
}

void StopController::clear()
{
    m_pendingStops.clear();
}

void StopController::forbidDisruptionUntil(TimePoint time)
{
    m_noDisruptionUntil = time;
}

void StopController::sendStops()
{
    const TimePoint now = m_outbox.now.steady;
    std::vector<TaskId> finished;
    for (const TaskId &id : m_runs.pendingStops()) {
        Task *task = m_registry.task(id);
        if (task == nullptr || !task->run || !task->run->stopRequested || task->run->stopAccepted) {
            finished.push_back(id);
            continue;
        }
        Run &run = *task->run;
        if (run.phase == RunPhase::Recording) {
            // Withdrawn before its order is sent.
            continue;
        }
        const Worker *worker = m_roster.find(run.worker);
        if (run.stop.value != 0 || now < run.stopNotBefore || worker == nullptr || !worker->fenced) {
            continue;
        }
        StopOrder order;
        order.worker = worker->address();
        order.task = id;
        order.run = run.number;
        order.fence = m_outbox.workerFence(worker->fenceNumber);
        run.stop = m_outbox.send(order);
        m_pendingStops[run.stop] = id;
    }
    for (const TaskId &id : finished) {
        m_runs.pendingStops().erase(id);
    }
}

void StopController::answered(const OrderAnswered &event)
{
    const auto found = m_pendingStops.find(event.call);
    if (found == m_pendingStops.end()) {
        return;
    }
    const TaskId task = found->second;
    m_pendingStops.erase(found);
    stopAnswered(task, event);
}

void StopController::stopAnswered(const TaskId &id, const OrderAnswered &event)
{
    Task *task = m_registry.task(id);
    if (task == nullptr || !task->run || task->run->stop != event.call) {
        return;
    }
    Run &run = *task->run;
    run.stop = CallId{};
    run.stopNotBefore = m_outbox.now.steady + stopRetryInterval;
    if (event.outcome != OrderOutcome::Accepted) {
        return;
    }
    run.stopAccepted = true;
    run.stopAcceptedAt = m_outbox.now.steady;
}

void StopController::drainWorkers()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        const bool leaves = isLeaving(worker);
        if (!worker.cordoned && !leaves) {
            worker.cordonedAt = now;
            continue;
        }
        for (const TaskId &taskId : worker.tasks) {
            const StepSpec *spec = m_registry.spec(taskId);
            const Task *task = m_registry.task(taskId);
            if (spec == nullptr || task == nullptr || !task->run || task->run->stopRequested) {
                continue;
            }
            const bool isOverdue = !spec->isService && now - worker.cordonedAt > drainGracePeriod;
            if ((spec->isService && (leaves || mayDisrupt(taskId))) || (isOverdue && !leaves)) {
                m_runs.requestStop(taskId, leaves ? "worker-leaves" : "worker-emptied");
            }
        }
    }
}

bool StopController::mayDisrupt(const TaskId &id) const
{
    const Job *job = m_registry.find(id.job);
    const StepSpec *spec = m_registry.spec(id);
    if (job == nullptr || spec == nullptr || isFinal(job->state)) {
        return true;
    }
    if (m_outbox.now.steady < m_noDisruptionUntil) {
        return false;
    }
    const Step &step = job->open.at(id.occurrence).steps[id.step];
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const Task &task = step.tasks[index];
        const Worker *worker = task.run ? m_roster.find(task.run->worker) : nullptr;
        // Tasks on a worker that leaves are stopped in any case.
        const bool isReady = worker != nullptr && !worker->unreachable && !isLeaving(*worker)
            && !task.run->stopRequested && task.run->percent >= serviceReadyPercent;
        unavailable += index != id.index && !isReady ? 1 : 0;
    }
    return unavailable < std::max<std::uint32_t>(spec->maxUnavailable, 1);
}

} // namespace radishvane::cells
