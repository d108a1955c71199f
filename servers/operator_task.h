#pragma once

#include "drivers/http_server.h"
#include "drivers/mailbox.h"
#include "servers/status_json.h"

#include <variant>

namespace radishvane::servers
{

/// Owns the operator port: health, readiness, metrics and status.
class OperatorTask
{
public:
    using Message = std::variant<RequestStatus, ConfigStatus, MembershipStatus, RightsStatus, PlatformStatus, JobStatus,
                                 LeavingStatus, StopStage>;

    OperatorTask(drivers::EventLoop &loop, HostId host, ZoneId zone);

    bool listen(const Endpoint &endpoint);
    void post(Message message);

private:
    void on(RequestStatus &message);
    void on(ConfigStatus &message);
    void on(MembershipStatus &message);
    void on(RightsStatus &message);
    void on(PlatformStatus &message);
    void on(JobStatus &message);
    void on(LeavingStatus &message);
    void on(StopStage &message);
    void receive(const drivers::HttpRequest &request);
    drivers::HttpAnswer answerTo(const drivers::HttpRequest &request) const;
    bool ready() const;

    HostStatus m_status;
    drivers::HttpServer m_server;
    drivers::Mailbox<Message> m_mailbox;
};

} // namespace radishvane::servers
