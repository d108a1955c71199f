#include "drivers/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <memory>
#include <mutex>

namespace radishvane::drivers
{

namespace
{

event_base *makeBase()
{
    static std::once_flag threadsReady;
    std::call_once(threadsReady, [] { evthread_use_pthreads(); });
    const std::unique_ptr<event_config, void (*)(event_config *)> config(event_config_new(), event_config_free);
    // Each call changes what its connection waits for several times; the kernel gets the last state only. No socket is
    // duplicated, as this requires.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    return event_base_new_with_config(config.get());
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
