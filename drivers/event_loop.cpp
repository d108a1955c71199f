#include "drivers/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <mutex>

namespace radishvane::drivers
{

namespace
{

event_base *makeBase()
{
    static std::once_flag threadsReady;
    std::call_once(threadsReady, [] { evthread_use_pthreads(); });
    return event_base_new();
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
