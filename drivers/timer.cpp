#include "drivers/timer.h"

#include "drivers/time_value.h"

#include <event2/event.h>

namespace radishvane::drivers
{

Timer::Timer(EventLoop &loop, Duration interval, std::function<void()> handler)
    : m_handler(std::move(handler))
    , m_event(event_new(
          loop.base(), -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<Timer *>(self)->m_handler(); }, this))
{
    const timeval time = toTimeval(interval);
    event_add(m_event, &time);
}

Timer::~Timer()
{
    event_free(m_event);
}

} // namespace radishvane::drivers
