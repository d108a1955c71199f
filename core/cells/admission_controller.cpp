#include "core/cells/admission_controller.h"

#include <algorithm>
#include <utility>

namespace radishvane::cells
{

namespace
{

bool holds(const std::map<WorkerId, std::int64_t> &incarnations, const Worker &worker)
{
    const auto found = incarnations.find(worker.id);
    return found != incarnations.end() && found->second == worker.startedAtMs;
}

} // namespace

AdmissionController::AdmissionController(CellOutbox &outbox) : m_outbox(outbox)
{
}

void AdmissionController::clear()
{
    m_steps.clear();
    m_call.reset();
    m_next.reset();
}

AdmissionController::StepKey AdmissionController::keyOf(const ReadyStep &step)
{
    return StepKey{step.job, step.occurrence, step.step};
}

Duration AdmissionController::marginOf(Duration validity)
{
    return std::min(expiryMargin, validity / 2);
}

Duration AdmissionController::answerTime(const AdmissionTimes &times, std::size_t workers)
{
    return times.decision + times.perWorker * static_cast<Duration::rep>(workers);
}

std::size_t AdmissionController::maxWorkers(const Request &request)
{
    const AdmissionTimes &times = request.times;
    const std::size_t limit = request.isGang ? maxWorkersPerGangCall : maxWorkersPerCall;
    if (times.perWorker <= Duration{0}) {
        return limit;
    }
    const Duration usable = times.validity - marginOf(times.validity);
    // The tickets of other tasks are used until they expire, so that half of their time is left for that.
    const Duration answered = request.isGang ? usable - gangStartTime : usable / 2;
    const auto workers = std::max<Duration::rep>((answered - times.decision) / times.perWorker, 1);
    return std::min(limit, static_cast<std::size_t>(workers));
}

std::string AdmissionController::ticket(const ReadyStep &step, const Worker &worker) const
{
    const auto entry = m_steps.find(keyOf(step));
    if (entry == m_steps.end()) {
        return {};
    }
    const auto ticket = entry->second.tickets.find(worker.id);
    const bool isValid = ticket != entry->second.tickets.end() && ticket->second.startedAtMs == worker.startedAtMs
        && m_outbox.now.steady < ticket->second.validUntil;
    return isValid ? ticket->second.text : std::string();
}

std::vector<const Worker *> AdmissionController::selectWorkers(const Request &request, const StepTickets &entry)
{
    std::vector<const Worker *> selected;
    for (const Worker *worker : request.withCapacity) {
        if (selected.size() < std::min(request.tasks, maxWorkersPerGangCall) && holds(entry.admitted, *worker)) {
            selected.push_back(worker);
        }
    }
    const bool isEnough = request.isGang ? selected.size() >= request.tasks : !selected.empty();
    if (isEnough) {
        return selected;
    }
    const std::size_t limit = maxWorkers(request);
    const auto addUnknown = [&](const std::vector<const Worker *> &workers) {
        for (const Worker *worker : workers) {
            if (selected.size() < limit && !holds(entry.admitted, *worker) && !holds(entry.rejected, *worker)) {
                selected.push_back(worker);
            }
        }
    };
    addUnknown(request.withCapacity);
    addUnknown(request.full);
    return selected;
}

void AdmissionController::request(const Request &request)
{
    const StepKey key = keyOf(request.step);
    const StepTickets &entry = m_steps[key];
    const bool isBehind = m_next && m_next->calls <= entry.calls;
    if (m_call || isBehind || m_outbox.now.steady < entry.queryNotBefore) {
        return;
    }
    std::vector<const Worker *> workers = selectWorkers(request, entry);
    if (!workers.empty()) {
        m_next = Candidate{key, request.times, std::move(workers), entry.calls};
    }
}

void AdmissionController::sendRequest()
{
    if (!m_next) {
        return;
    }
    const Candidate next = *std::exchange(m_next, std::nullopt);
    const auto &[job, occurrence, step] = next.step;
    QueryAdmission query;
    query.job = job;
    query.occurrence = occurrence;
    query.step = step;
    query.answerTime = answerTime(next.times, next.workers.size());
    Call call{{}, next.step, m_outbox.now.steady, next.times.validity, {}};
    for (const Worker *worker : next.workers) {
        query.workers.push_back(worker->id);
        call.incarnations[worker->id] = worker->startedAtMs;
    }
    if (query.answerTime >= next.times.validity - marginOf(next.times.validity)) {
        m_outbox.log(CellDecision::TicketMayExpire, taskName(TaskId{job, occurrence, step, 0}), {}, next.workers.size(),
                     "answered-after " + std::to_string(query.answerTime.count()) + " valid-for "
                         + std::to_string(next.times.validity.count()));
    }
    ++m_steps[next.step].calls;
    call.id = m_outbox.send(std::move(query));
    m_call = std::move(call);
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
    if (!m_call || m_call->id != event.call) {
        return false;
    }
    const TimePoint now = m_outbox.now.steady;
    const Call call = *std::exchange(m_call, std::nullopt);
    StepTickets &entry = m_steps[call.step];
    entry.queryNotBefore = now + retryPause;
    if (!event.decided) {
        return true;
    }
    // The validity begins with the decision, for which the time of the call is a lower bound. A ticket that comes late
    // is tried at least once.
    const Duration used = call.validity - marginOf(call.validity);
    const TimePoint validUntil = std::max(call.sent + used, now + std::min(used, minUse));
    for (const auto &[worker, startedAtMs] : call.incarnations) {
        const auto admitted = event.tickets.find(worker);
        if (admitted != event.tickets.end()) {
            entry.tickets[worker] = Ticket{admitted->second, startedAtMs, validUntil};
            entry.admitted[worker] = startedAtMs;
        } else {
            entry.rejected[worker] = startedAtMs;
        }
    }
    return true;
}

} // namespace radishvane::cells
