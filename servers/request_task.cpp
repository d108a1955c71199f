#include "servers/request_task.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/log.h"

namespace radishvane::servers
{

namespace
{

AttemptOutcome outcomeOfFailure(drivers::HttpFailure failure)
{
    switch (failure) {
    case drivers::HttpFailure::NotSent:
        return AttemptOutcome::NotSent;
    case drivers::HttpFailure::ConnectionLost:
        return AttemptOutcome::ConnectionLost;
    case drivers::HttpFailure::TimedOut:
        return AttemptOutcome::TimedOut;
    case drivers::HttpFailure::AnswerIncomplete:
        return AttemptOutcome::AnswerIncomplete;
    }
    return AttemptOutcome::ConnectionLost;
}

} // namespace

RequestTask::RequestTask(drivers::EventLoop &loop, const Clock &clock, ZoneId zone, std::string processName,
                         std::uint64_t seed)
    : m_clock(clock)
    , m_zone(std::move(zone))
    , m_processName(std::move(processName))
    , m_router(seed)
    , m_http(loop)
    , m_mailbox(loop,
                [this](Message &&message) { std::visit([this](auto &alternative) { on(alternative); }, message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void RequestTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void RequestTask::on(drivers::CallerRequest &message)
{
    const RequestArrived arrived{message.exchange, message.head};
    m_requests.emplace(message.exchange, std::move(message));
    handle(arrived);
}

void RequestTask::on(RequestEvent &message)
{
    handle(message);
    if (const auto *left = std::get_if<CallerDisconnected>(&message)) {
        m_requests.erase(left->exchange);
    }
    if (std::holds_alternative<AnswerOpenRequests>(message)) {
        openRequestsAnswered.emit();
    }
}

void RequestTask::handle(const RequestEvent &event)
{
    for (const RequestEffect &effect : m_router.handle(event, m_clock.now())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
}

void RequestTask::apply(const StartAttempt &effect)
{
    const drivers::CallerRequest &request = m_requests.at(effect.exchange);
    drivers::HttpCall call;
    call.endpoint = effect.endpoint;
    call.method = request.method;
    call.target = request.target;
    call.headers = drivers::travellingHeaders(request, requestName(effect.exchange), effect.remaining);
    call.body = request.body;
    call.timeout = effect.timeout;
    call.freshConnection = effect.freshConnection;
    call.requestId = m_processName + "-a" + std::to_string(effect.attempt.value);
    m_http.send(call, [this, attempt = effect.attempt](drivers::HttpOutcome &&outcome) {
        onOutcome(attempt, std::move(outcome));
    });
}

void RequestTask::apply(const ForwardAnswer &effect)
{
    answer(effect.exchange, drivers::forwardedAnswer(m_lastAnswer));
}

void RequestTask::apply(const Refuse &effect)
{
    ++m_status.refusals[std::string(enumName(refusalReasonNames, effect.reason))];
    answer(effect.exchange, drivers::refusalAnswer(effect.reason, effect.retryAfter));
}

void RequestTask::apply(const ReportUnknown &effect)
{
    answer(effect.exchange, drivers::unknownAnswer(effect.reason));
}

void RequestTask::apply(const ClaimKey &effect)
{
    claimAsked.emit(effect);
}

void RequestTask::apply(const ReleaseClaim &effect)
{
    claimReleased.emit(effect);
}

void RequestTask::apply(const TeamDemand &effect)
{
    m_status.runningByTeam[effect.team] = effect.running;
    demandChanged.emit(effect);
}

void RequestTask::apply(const UsageReport &effect)
{
    usageReported.emit(effect);
}

void RequestTask::apply(const Decision &effect)
{
    ++m_status.decisions[std::string(enumName(decisionKindNames, effect.kind))];
    if (effect.kind == DecisionKind::Finish) {
        m_times.add(static_cast<double>(effect.waited.count()));
    }
    drivers::logLine(drivers::LogLevel::Info, enumName(decisionKindNames, effect.kind),
                     {{"request", requestName(effect.exchange)},
                      {"team", effect.team.name()},
                      {"service", effect.service.name()},
                      {"zone", m_zone.name()},
                      {"backend", effect.backend.name()},
                      {"reason", std::string(effect.reason)},
                      {"after_ms", std::to_string(effect.waited.count())}});
}

void RequestTask::onOutcome(AttemptId attempt, drivers::HttpOutcome &&outcome)
{
    const AttemptOutcome ended = std::visit(Overloaded{
                                                [this](drivers::HttpAnswer &answer) {
                                                    m_lastAnswer = std::move(answer);
                                                    return drivers::outcomeOfAnswer(m_lastAnswer);
                                                },
                                                [](drivers::HttpFailure failure) { return outcomeOfFailure(failure); },
                                            },
                                            outcome);
    handle(AttemptEnded{attempt, ended});
    m_lastAnswer = {};
}

void RequestTask::onTick()
{
    handle(RequestTick{});
    reportStatus();
}

void RequestTask::reportStatus()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextStatus) {
        return;
    }
    m_nextStatus = now + statusInterval;
    m_status.waiting = m_router.waiting();
    m_status.running = m_router.running();
    m_status.medianMilliseconds = m_times.median();
    m_status.p99Milliseconds = m_times.p99();
    statusChanged.emit(m_status);
}

void RequestTask::answer(ExchangeId exchange, drivers::HttpAnswer answer)
{
    m_requests.erase(exchange);
    answered.emit(AnswerCaller{exchange, std::move(answer)});
}

std::string RequestTask::requestName(ExchangeId exchange) const
{
    return m_processName + "-e" + std::to_string(exchange.value);
}

} // namespace radishvane::servers
