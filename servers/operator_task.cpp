#include "servers/operator_task.h"

namespace radishvane::servers
{

namespace
{

drivers::HttpAnswer textAnswer(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

} // namespace

OperatorTask::OperatorTask(drivers::EventLoop &loop, HostId host, ZoneId zone)
    : m_server(
        loop, drivers::HttpLimits{}, [this](drivers::HttpRequest &&request) { receive(request); }, [](ExchangeId) {})
    , m_mailbox(loop,
                [this](Message &&message) { std::visit([this](auto &alternative) { on(alternative); }, message); })
{
    m_status.host = std::move(host);
    m_status.zone = std::move(zone);
}

bool OperatorTask::listen(const Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void OperatorTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void OperatorTask::on(RequestStatus &message)
{
    m_status.requests = std::move(message);
}

void OperatorTask::on(ConfigStatus &message)
{
    m_status.config = std::move(message);
}

void OperatorTask::on(MembershipStatus &message)
{
    m_status.membership = std::move(message);
}

void OperatorTask::on(RightsStatus &message)
{
    m_status.rights = std::move(message);
}

void OperatorTask::on(PlatformStatus &message)
{
    m_status.platform = message;
}

void OperatorTask::on(JobStatus &message)
{
    m_status.jobs = std::move(message);
}

void OperatorTask::on(LeavingStatus &message)
{
    m_status.leaving = std::move(message);
}

void OperatorTask::on(StopStage &message)
{
    m_status.stage = message;
}

void OperatorTask::receive(const drivers::HttpRequest &request)
{
    m_server.answer(request.id, answerTo(request));
}

drivers::HttpAnswer OperatorTask::answerTo(const drivers::HttpRequest &request) const
{
    if (request.path == "/healthz") {
        return textAnswer(drivers::httpStatus::ok, "ok\n");
    }
    if (request.path == "/readyz") {
        return ready() ? textAnswer(drivers::httpStatus::ok, "ready\n")
                       : textAnswer(drivers::httpStatus::unavailable, "not ready\n");
    }
    if (request.path == "/metrics") {
        return textAnswer(drivers::httpStatus::ok, metricsText(m_status));
    }
    if (request.path == "/status") {
        return {drivers::httpStatus::ok, {{"Content-Type", "application/json"}}, statusJson(m_status)};
    }
    return textAnswer(drivers::httpStatus::notFound, "no such path: " + request.path + '\n');
}

bool OperatorTask::ready() const
{
    return m_status.stage == StopStage::Serving && m_status.config.servable;
}

} // namespace radishvane::servers
