#include "servers/cell_task.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "platform/worker_wire.h"

namespace radishvane::servers
{

CellTask::CellTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, const cells::CellId &cell,
                   const HostId &host, std::uint64_t incarnation, const Endpoint &link, const Endpoint &admission,
                   cells::CellTimes times, cells::HostCapacity capacity, cells::StoreLimits storeLimits,
                   cells::HostServiceLimits hostService)
    : m_clock(clock)
    , m_log(log)
    , m_incarnation(incarnation)
    , m_host(host)
    , m_admission(admission)
    , m_controller(cell, host, incarnation, link, times, capacity, std::move(storeLimits), hostService)
    , m_statistics(clock, tickInterval)
    , m_http(loop, &m_statistics, mostCallsPerWorker)
    , m_mailbox(loop,
                [this](Message &&message) {
                    m_statistics.measure(
                        [&] { std::visit([this](const auto &alternative) { on(alternative); }, message); });
                })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void CellTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void CellTask::on(const cells::CellEvent &event)
{
    handle(event);
}

void CellTask::handle(const cells::CellEvent &event)
{
    m_stopping = m_stopping || std::holds_alternative<cells::CellStop>(event);
    if (const auto *written = std::get_if<cells::CellWritten>(&event)) {
        writeMeasured.emit(WriteMeasured{written->outcome, toMilliseconds(m_clock.now() - m_writeSent)});
    }
    for (const cells::CellEffect &effect : m_controller.handle(event, m_clock.instant())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
    tellOwner();
    if (m_stopping && m_controller.hasReleased() && !m_toldReleased) {
        m_toldReleased = true;
        released.emit();
    }
}

void CellTask::onTick()
{
    if (m_statistics.tick()) {
        loadMeasured.emit(std::make_shared<const TaskLoad>(TaskLoad{SiteTask::Cell, m_statistics.take()}));
    }
    m_statistics.measure([this] { handle(cells::CellTick{}); });
}

void CellTask::tellOwner()
{
    const auto &owner = m_controller.owner();
    if (owner == m_toldOwner) {
        return;
    }
    m_toldOwner = owner;
    const bool isSelf = owner && owner->host == m_host && owner->incarnation == m_incarnation;
    ownerChanged.emit(OwnerKnown{owner, isSelf});
}

template<typename Order>
void CellTask::order(const Order &order)
{
    m_http.send(platform::workerCall(order), [this, id = order.call](drivers::HttpOutcome &&outcome) {
        handle(platform::readOrderAnswer(id, outcome));
    });
}

void CellTask::apply(const cells::StartOrder &start)
{
    order(start);
}

void CellTask::apply(const cells::StopOrder &stop)
{
    order(stop);
}

void CellTask::apply(const cells::LeaseRenewalOrder &hold)
{
    m_http.send(platform::workerCall(hold), [this, id = hold.call](drivers::HttpOutcome &&outcome) {
        handle(platform::readLeaseRenewalAnswer(id, outcome));
    });
}

void CellTask::apply(const cells::QueryAdmission &ask)
{
    m_http.send(platform::admissionCall(m_admission, ask), [this, id = ask.call](drivers::HttpOutcome &&outcome) {
        handle(platform::readAdmission(id, outcome));
    });
}

void CellTask::apply(const cells::WriteCell &call)
{
    m_writeSent = m_clock.now();
    siteCalled.emit(call);
}

void CellTask::apply(const cells::ReadCell &call)
{
    siteCalled.emit(call);
}

void CellTask::apply(const cells::ListHosts &call)
{
    siteCalled.emit(call);
}

void CellTask::apply(const cells::MaintainHost &call)
{
    siteCalled.emit(call);
}

void CellTask::apply(const cells::MoveHost &call)
{
    siteCalled.emit(call);
}

void CellTask::apply(const cells::ReportWave &call)
{
    siteCalled.emit(call);
}

void CellTask::apply(const cells::AnswerCall &answer)
{
    answered.emit(answer);
}

void CellTask::apply(const cells::RequestHandover &request)
{
    handoverRequested.emit(request);
}

void CellTask::apply(const cells::OwnershipChanged &change)
{
    siteCalled.emit(change);
}

void CellTask::apply(const cells::CellLeaseRenewed &renewal)
{
    leaseRenewed.emit(renewal);
}

void CellTask::apply(const cells::CellRebuilt &rebuild)
{
    rebuilt.emit(rebuild);
}

void CellTask::apply(const cells::DecisionLogEntry &entry)
{
    decided.emit(entry);
    const std::string_view event = enumName(cells::cellDecisionNames, entry.decision);
    std::vector<drivers::LogField> fields{{"subject", entry.subject},
                                          {"worker", entry.worker},
                                          {"epoch", std::to_string(entry.epoch)},
                                          {"number", std::to_string(entry.number)},
                                          {"reason", entry.reason}};
    drivers::LogLevel level = drivers::LogLevel::Info;
    std::visit(Overloaded{
                   [](const std::monostate &) {},
                   [&](const cells::StoreCallRecord &call) {
                       level = drivers::LogLevel::Warning;
                       fields.push_back({"status", std::to_string(call.status)});
                       fields.push_back({"bytes", std::to_string(call.bytes)});
                       fields.push_back({"entries", std::to_string(call.entries)});
                       fields.push_back({"problem", call.problem});
                   },
                   [&](const cells::OrderClockRecord &order) {
                       fields.push_back({"deadline", std::to_string(order.deadline)});
                       fields.push_back({"clock", std::to_string(order.clock)});
                       fields.push_back({"clock_age_ms", std::to_string(order.clockAge.count())});
                   },
                   [&](const cells::InheritedWaitRecord &inherited) {
                       fields.push_back({"wait_ms", std::to_string(inherited.wait.count())});
                   },
                   [&](const cells::SilentWorkerRecord &silent) {
                       fields.push_back({"wait_ms", std::to_string(silent.wait.count())});
                       fields.push_back({"usual_wait_ms", std::to_string(silent.usualWait.count())});
                   },
               },
               entry.detail);
    m_log.line(level, event, fields);
}

} // namespace radishvane::servers
