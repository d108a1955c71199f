#pragma once

#include <atomic>
#include <memory>

struct event_base;

namespace radishvane::drivers
{

/// One libevent loop; tasks on it sleep until a message, a socket or a timer wakes them.
class EventLoop
{
public:
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
