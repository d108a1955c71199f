#pragma once

#include "core/base/clock.h"

#include <atomic>
#include <memory>

struct event_base;

namespace radishvane::drivers
{

/// One libevent loop; tasks on it sleep until a message, a socket or a timer wakes them.
///
/// Urgent events are timers, messages between tasks and the connections to the store. They do not wait until all
/// sockets that are ready have been handled, since leases, commits and ticks depend on them when the loop is late.
class EventLoop
{
public:
    static constexpr int urgentPriority = 0;
    /// That of events whose priority is not set.
    static constexpr int usualPriority = 1;
    /// Time after which urgent events go before usual ones that are waiting.
    static constexpr Duration urgentInterval{10};

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop(); to be called by one thread.
    void run();
    /// Ends run() after the events that are active now. May be called from any thread.
    void stop();

    event_base *base() const;

private:
    struct BaseDeleter
    {
        void operator()(event_base *base) const;
    };

    std::unique_ptr<event_base, BaseDeleter> m_base;
    std::atomic<bool> m_stopped = false;
};

} // namespace radishvane::drivers
