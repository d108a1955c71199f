#include "drivers/blocking_http.h"

namespace radishvane::drivers
{

BlockingHttp::BlockingHttp() : m_client(m_loop)
{
}

HttpOutcome BlockingHttp::call(const HttpCall &call)
{
    HttpOutcome result = HttpFailure::NotSent;
    m_client.send(call, [this, &result](HttpOutcome &&outcome) {
        result = std::move(outcome);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

} // namespace radishvane::drivers
