#pragma once

#include "core/messages/platform_messages.h"
#include "drivers/http_client.h"

#include <functional>
#include <map>
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
    /// The latest answer to a read, which a platform that knows entity tags need not send again.
    struct Cached
    {
        std::string tag;
        HttpAnswer answer;
    };

    HttpCall encode(const PlatformCall &call);
    HttpAnswer fromCache(const std::string &target, const HttpAnswer &answer);
    void settle(const PlatformCall &call, const std::string &target, const HttpOutcome &outcome);

    Endpoint m_platform;
    Duration m_timeout;
    AnswerHandler m_onAnswer;
    std::map<std::string, Cached> m_cache;
    HttpClient m_http;
};

} // namespace radishvane::drivers
