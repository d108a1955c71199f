#pragma once

#include "core/messages/platform_messages.h"
#include "drivers/http_client.h"

#include <functional>
#include <string>

namespace radishvane::drivers
{

/// The platform's table service, object store and host list, over HTTP with JSON.
class PlatformClient
{
public:
    using AnswerHandler = std::function<void(PlatformAnswered &&)>;

    /// @param timeout after which an answer counts as lost.
    PlatformClient(EventLoop &loop, Endpoint platform, Duration timeout, AnswerHandler onAnswer);

    /// Starts a call; its answer comes later, once.
    void send(const PlatformCall &call);

private:
    HttpCall encode(const PlatformCall &call);
    void settle(const PlatformCall &call, const HttpOutcome &outcome);

    Endpoint m_platform;
    Duration m_timeout;
    AnswerHandler m_onAnswer;
    HttpClient m_http;
};

} // namespace radishvane::drivers
