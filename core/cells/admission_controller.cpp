#include "core/cells/admission_controller.h"

namespace radishvane::cells
{

AdmissionController::AdmissionController(CellOutbox &outbox) : m_outbox(outbox)
{
}

void AdmissionController::clear()
{
    m_steps.clear();
    m_calls.clear();
}

std::string AdmissionController::ticket(const ReadyStep &step, const Worker &worker) const
{
    const auto entry = m_steps.find(StepKey{step.job, step.occurrence, step.step});
    if (entry == m_steps.end()) {
        return {};
    }
    const auto ticket = entry->second.tickets.find(worker.id);
    const bool isValid = ticket != entry->second.tickets.end() && ticket->second.startedAtMs == worker.startedAtMs
        && m_outbox.now.steady < ticket->second.validUntil;
    return isValid ? ticket->second.text : std::string();
}

void AdmissionController::requestTickets(const ReadyStep &step, const AdmissionTimes &times,
                                         const std::vector<Worker *> &workers)
{
    const TimePoint now = m_outbox.now.steady;
    const StepKey key{step.job, step.occurrence, step.step};
    StepTickets &entry = m_steps[key];
    if (entry.isQueried || workers.empty() || now < entry.queryNotBefore || m_calls.size() >= maxCalls) {
        return;
    }
    QueryAdmission query;
    query.job = step.job;
    query.occurrence = step.occurrence;
    query.step = step.step;
    Call call{key, now, times.validity, {}};
    for (const Worker *worker : workers) {
        if (query.workers.size() >= maxWorkersPerCall) {
            break;
        }
        const auto rejected = entry.rejected.find(worker->id);
        if (rejected != entry.rejected.end() && rejected->second == worker->startedAtMs) {
            continue;
        }
        query.workers.push_back(worker->id);
        call.incarnations[worker->id] = worker->startedAtMs;
    }
    if (query.workers.empty()) {
        return;
    }
    entry.isQueried = true;
    m_calls[m_outbox.send(std::move(query))] = std::move(call);
}

void AdmissionController::refused(const TaskId &task, const WorkerId &worker)
{
    const auto entry = m_steps.find(StepKey{task.job, task.occurrence, task.step});
    if (entry != m_steps.end()) {
        entry->second.tickets.erase(worker);
        entry->second.queryNotBefore = TimePoint{};
    }
}

bool AdmissionController::answered(const AdmissionAnswered &event)
{
    const auto found = m_calls.find(event.call);
    if (found == m_calls.end()) {
        return false;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    StepTickets &entry = m_steps[call.step];
    entry.isQueried = false;
    entry.queryNotBefore = m_outbox.now.steady + retryPause;
    if (!event.decided) {
        return true;
    }
    // The validity begins with the decision. The time of the call is a lower bound for it.
    const TimePoint validUntil = call.sent + call.validity - expiryMargin;
    for (const auto &[worker, startedAtMs] : call.incarnations) {
        const auto admitted = event.tickets.find(worker);
        if (admitted != event.tickets.end()) {
            entry.tickets[worker] = Ticket{admitted->second, startedAtMs, validUntil};
        } else {
            entry.rejected[worker] = startedAtMs;
        }
    }
    return true;
}

} // namespace radishvane::cells
