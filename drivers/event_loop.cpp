#include "drivers/event_loop.h"

#include "drivers/time_value.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <mutex>

namespace radishvane::drivers
{

namespace
{

constexpr int priorities = 2;

event_base *makeBase()
{
    static std::once_flag threadsReady;
    std::call_once(threadsReady, [] { evthread_use_pthreads(); });
    event_config *config = event_config_new();
    const timeval interval = toTimeval(EventLoop::urgentInterval);
    event_config_set_max_dispatch_interval(config, &interval, -1, EventLoop::usualPriority);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    event_base_priority_init(base, priorities);
    return base;
}

} // namespace

void EventLoop::BaseDeleter::operator()(event_base *base) const
{
    event_base_free(base);
}

EventLoop::EventLoop() : m_base(makeBase())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    if (!m_stopped) {
        event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    }
    m_stopped = false;
}

void EventLoop::stop()
{
    m_stopped = true;
    event_base_loopexit(m_base.get(), nullptr);
}

event_base *EventLoop::base() const
{
    return m_base.get();
}

} // namespace radishvane::drivers
