#include "core/cells/admission_controller.h"

namespace radishvane::cells
{

AdmissionController::AdmissionController(CellOutbox &outbox) : m_outbox(outbox)
{
}

void AdmissionController::clear()
{
    m_known.clear();
    m_calls.clear();
}

std::string AdmissionController::ticket(const ReadyStep &step, const Worker &worker) const
{
    const auto known = m_known.find(StepKey{step.job, step.occurrence, step.step});
    if (known == m_known.end() || m_outbox.now.steady >= known->second.goodUntil) {
        return {};
    }
    const auto ticket = known->second.tickets.find(worker.id);
    const bool isGood = ticket != known->second.tickets.end() && ticket->second.born == worker.born;
    return isGood ? ticket->second.text : std::string();
}

void AdmissionController::want(const ReadyStep &step, const AdmissionTimes &times, const std::vector<Worker *> &workers)
{
    const TimePoint now = m_outbox.now.steady;
    const StepKey key{step.job, step.occurrence, step.step};
    Knowledge &known = m_known[key];
    if (known.asked || workers.empty() || now < known.askNotBefore || m_calls.size() >= mostCalls) {
        return;
    }
    AskAdmission ask;
    ask.job = step.job;
    ask.occurrence = step.occurrence;
    ask.step = step.step;
    Call call{key, now, times.validity, {}};
    for (const Worker *worker : workers) {
        if (ask.workers.size() >= mostWorkers) {
            break;
        }
        ask.workers.push_back(worker->id);
        call.lives[worker->id] = worker->born;
    }
    known.asked = true;
    m_calls[m_outbox.send(std::move(ask))] = std::move(call);
}

void AdmissionController::refused(const TaskId &task, const WorkerId &worker)
{
    const auto known = m_known.find(StepKey{task.job, task.occurrence, task.step});
    if (known != m_known.end()) {
        known->second.tickets.erase(worker);
        known->second.askNotBefore = TimePoint{};
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
    Knowledge &known = m_known[call.step];
    known.asked = false;
    known.askNotBefore = m_outbox.now.steady + retryPause;
    if (!event.decided) {
        return true;
    }
    known.tickets.clear();
    for (const auto &[worker, text] : event.tickets) {
        const auto life = call.lives.find(worker);
        if (life != call.lives.end()) {
            known.tickets[worker] = Ticket{text, life->second};
        }
    }
    // The time runs from the decision, which came at some time after the call was sent.
    known.goodUntil = call.sent + call.validity - margin;
    return true;
}

} // namespace radishvane::cells
