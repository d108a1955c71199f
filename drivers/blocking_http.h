#pragma once

#include "drivers/event_loop.h"
#include "drivers/http_client.h"

namespace radishvane::drivers
{

/// HTTP calls for the command line, one after the other.
class BlockingHttp
{
public:
    BlockingHttp();

    /// Makes a call and waits for its outcome.
    HttpOutcome call(const HttpCall &call);

private:
    EventLoop m_loop;
    HttpClient m_client;
};

} // namespace radishvane::drivers
