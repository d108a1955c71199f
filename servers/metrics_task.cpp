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

MetricsTask::MetricsTask(drivers::EventLoop &loop, Endpoint listen)
    : m_listen(std::move(listen))
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
        labels += ',' + label("reason", message.reason);
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
}

} // namespace radishvane::servers
