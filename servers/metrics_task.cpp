#include "servers/metrics_task.h"

#include "core/base/enum_names.h"

namespace radishvane::servers
{

namespace
{

std::string label(const std::string &name, std::string_view value)
{
    return name + "=\"" + std::string(value) + '"';
}

} // namespace

MetricsTask::MetricsTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, Endpoint listen)
    : m_listen(std::move(listen))
    , m_loadLog(clock, log)
    , m_server(
          loop, drivers::HttpLimits{},
          [this](drivers::HttpRequest &&request) {
              m_server.answer(request.id,
                              drivers::HttpAnswer{drivers::httpStatus::ok,
                                                  {{"Content-Type", "text/plain; version=0.0.4"}},
                                                  m_page.text()});
          },
          [](ExchangeId) {})
    , m_mailbox(loop, [this](Message &&message) {
        std::visit([this](const auto &alternative) { on(alternative); }, message);
    })
{
}

bool MetricsTask::listen()
{
    return m_server.listen(m_listen);
}

void MetricsTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void MetricsTask::on(const cells::DecisionLogEntry &message)
{
    std::string labels = label("decision", enumName(cells::cellDecisionNames, message.decision));
    if (!message.reason.empty() && message.decision != cells::CellDecision::OwnershipLost) {
        // The figures after the first word would make a series of each decision.
        labels += ',' + label("reason", std::string_view(message.reason).substr(0, message.reason.find(' ')));
    }
    m_page.count("radishvane_decisions_total", labels);
}

void MetricsTask::on(const CallMeasured &message)
{
    m_page.count("radishvane_calls_total", label("outcome", enumName(cells::callAnswerNames, message.outcome)));
    m_page.observe("radishvane_call_milliseconds", message.milliseconds);
}

void MetricsTask::on(const WriteMeasured &message)
{
    m_page.count("radishvane_store_writes_total",
                 label("outcome", enumName(cells::cellWriteOutcomeNames, message.outcome)));
    m_page.observe("radishvane_store_write_milliseconds", message.milliseconds);
}

void MetricsTask::on(const BeliefAges &message)
{
    m_page.gauge("radishvane_config_version", static_cast<double>(message.configVersion));
    m_page.gauge("radishvane_operator_contact_age_milliseconds", message.operatorContact);
    m_page.gauge("radishvane_owns_cell", message.ownsCell ? 1 : 0);
    m_page.gauge("radishvane_log_lines_dropped", static_cast<double>(message.logLinesDropped));
    m_loadLog.setOwner(message.ownsCell);
}

void MetricsTask::on(const cells::CellLeaseRenewed &message)
{
    m_page.observe("radishvane_cell_lease_age_milliseconds", toMilliseconds(message.age));
    m_loadLog.add(message);
}

void MetricsTask::on(const cells::CellRebuilt &message)
{
    m_page.observe("radishvane_cell_rebuild_milliseconds", toMilliseconds(message.time));
    m_page.gauge("radishvane_cell_rebuild_jobs", static_cast<double>(message.jobs));
    m_page.gauge("radishvane_cell_rebuild_bytes", static_cast<double>(message.bytes));
    m_loadLog.add(message);
}

void MetricsTask::on(const RowUnreadable &message)
{
    m_page.count("radishvane_rows_unreadable_total", label("table", message.table));
}

void MetricsTask::on(const TaskLoadPtr &message)
{
    const std::string task = label("task", enumName(siteTaskNames, message->task));
    m_page.observe("radishvane_tick_delay_milliseconds", task, message->totals.tickDelay);
    m_page.observe("radishvane_handling_milliseconds", task, message->totals.handling);
    for (std::size_t index = 0; index < message->totals.calls.size(); ++index) {
        show(static_cast<drivers::PeerKind>(index), message->totals.calls[index]);
    }
    m_loadLog.add(*message);
}

void MetricsTask::show(drivers::PeerKind kind, const drivers::PeerCalls &calls)
{
    // Each kind of peer is called by one task; the reports of the others must not overwrite its values.
    if (calls.isIdle()) {
        return;
    }
    const std::string peer = label("peer", enumName(drivers::peerKindNames, kind));
    m_page.count("radishvane_peer_calls_total", peer, calls.calls);
    m_page.count("radishvane_peer_bytes_written_total", peer, calls.bytesWritten);
    m_page.count("radishvane_peer_bytes_read_total", peer, calls.bytesRead);
    m_page.gauge("radishvane_peer_calls_waiting", peer, static_cast<double>(calls.waiting));
    m_page.observe("radishvane_peer_wait_milliseconds", peer, calls.wait);
    m_page.observe("radishvane_peer_answer_milliseconds", peer, calls.answer);
    for (std::size_t index = 0; index < calls.ends.size(); ++index) {
        m_page.count("radishvane_peer_call_ends_total", peer + ',' + label("outcome", drivers::callEndNames[index]),
                     calls.ends[index]);
    }
}

} // namespace radishvane::servers
