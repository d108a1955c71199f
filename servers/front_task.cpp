#include "servers/front_task.h"

#include "drivers/log.h"

namespace radishvane::servers
{

namespace
{

constexpr std::string_view jobsPath = "/v1/jobs";
/// Bodies up to this many times the limit are read, so that the caller gets our answer in place of a closed connection.
constexpr std::size_t readBeyondLimit = 4;

drivers::HttpLimits serverLimits(drivers::HttpLimits limits)
{
    limits.bodyBytes *= readBeyondLimit;
    return limits;
}

} // namespace

FrontTask::FrontTask(drivers::EventLoop &loop, drivers::HttpLimits limits)
    : m_bodyBytes(limits.bodyBytes)
    , m_server(
          loop, serverLimits(limits), [this](drivers::HttpRequest &&http) { receive(std::move(http)); },
          [this](ExchangeId id) { callerLeft.emit(id); })
    , m_mailbox(loop, [this](Message &&message) {
        std::visit([this](const auto &alternative) { on(alternative); }, message);
    })
{
}

void FrontTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void FrontTask::on(const AnswerCaller &message)
{
    m_server.answer(message.exchange, message.answer);
}

void FrontTask::on(const StartAccepting &message)
{
    if (m_accepting || m_stopping) {
        return;
    }
    m_accepting = m_server.listen(message.endpoint);
    if (!m_accepting) {
        const std::string address = message.endpoint.address + ':' + std::to_string(message.endpoint.port);
        drivers::logLine(drivers::LogLevel::Error, "listen-failed", {{"address", address}});
    }
}

void FrontTask::on(const CloseAfterAnswers &)
{
    m_server.closeAfterAnswers();
}

void FrontTask::on(const StopAccepting &)
{
    m_stopping = true;
    m_server.stopAccepting();
}

void FrontTask::on(const AnswerRemaining &)
{
    m_server.answerAll(drivers::unknownAnswer(UnknownReason::Stopping));
    closeWhenIdle();
}

void FrontTask::closeWhenIdle()
{
    m_server.notifyWhenIdle([this] { m_mailbox.post(RequestsEnded{}); });
}

void FrontTask::on(const RequestsEnded &)
{
    if (m_server.open() > 0) {
        // Another request has been read meanwhile.
        closeWhenIdle();
        return;
    }
    m_server.close();
    openCallsAnswered.emit();
}

void FrontTask::receive(drivers::HttpRequest &&http)
{
    const std::string_view path = http.path;
    if (path == jobsPath || path.starts_with("/v1/jobs/")) {
        if (http.body.size() > m_bodyBytes) {
            m_server.answer(http.id,
                            drivers::refusalAnswer(RefusalReason::TooLarge, std::nullopt, "the payload is too large"));
            return;
        }
        jobRequestCame.emit(http);
        return;
    }
    auto request = drivers::readCallerRequest(http, m_bodyBytes);
    if (!request) {
        const drivers::CallerError &error = request.error();
        m_server.answer(http.id, drivers::refusalAnswer(error.reason, std::nullopt, error.detail));
        return;
    }
    requestCame.emit(request.value());
}

} // namespace radishvane::servers
