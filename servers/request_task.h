#pragma once

#include "core/routing/request_router.h"
#include "drivers/caller_http.h"
#include "drivers/http_client.h"
#include "drivers/mailbox.h"
#include "drivers/run_time_statistics.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <unordered_map>
#include <variant>

namespace radishvane::servers
{

/// Owns the connections to backend servers and the request router, which decides about every request.
class RequestTask
{
public:
    using Message = std::variant<drivers::CallerRequest, RequestEvent>;

    /// Interval at which deadlines are looked at.
    static constexpr Duration tickInterval{20};
    static constexpr Duration statusInterval{200};

    /// @param processName starts the name of every request; unique to this process.
    RequestTask(drivers::EventLoop &loop, const Clock &clock, ZoneId zone, std::string processName, std::uint64_t seed);

    void post(Message message);

    sigc::signal<void(const AnswerCaller &)> answered;
    sigc::signal<void(const ClaimKey &)> claimAsked;
    sigc::signal<void(const ReleaseClaim &)> claimReleased;
    sigc::signal<void(const TeamDemand &)> demandChanged;
    sigc::signal<void(const UsageReport &)> usageReported;
    sigc::signal<void(const RequestStatus &)> statusChanged;
    /// Every request that was open at AnswerOpenRequests has been answered.
    sigc::signal<void()> openRequestsAnswered;

private:
    void on(drivers::CallerRequest &message);
    void on(RequestEvent &message);
    void handle(const RequestEvent &event);
    void apply(const StartAttempt &effect);
    void apply(const ForwardAnswer &effect);
    void apply(const Refuse &effect);
    void apply(const ReportUnknown &effect);
    void apply(const ClaimKey &effect);
    void apply(const ReleaseClaim &effect);
    void apply(const TeamDemand &effect);
    void apply(const UsageReport &effect);
    void apply(const Decision &effect);
    void onOutcome(AttemptId attempt, drivers::HttpOutcome &&outcome);
    void onTick();
    void reportStatus();
    void answer(ExchangeId exchange, drivers::HttpAnswer answer);
    std::string requestName(ExchangeId exchange) const;

    const Clock &m_clock;
    ZoneId m_zone;
    std::string m_processName;
    RequestRouter m_router;
    drivers::HttpClient m_http;
    std::unordered_map<ExchangeId, drivers::CallerRequest> m_requests;
    /// The answer that ended the attempt being handled.
    drivers::HttpAnswer m_lastAnswer;
    drivers::RunTimeStatistics m_times;
    RequestStatus m_status;
    TimePoint m_nextStatus;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
