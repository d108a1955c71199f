#pragma once

#include "core/base/clock.h"
#include "drivers/event_loop.h"

#include <functional>

struct event;

namespace radishvane::drivers
{

/// Calls a function of its task at a fixed interval.
class Timer
{
public:
    Timer(EventLoop &loop, Duration interval, std::function<void()> handler);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

private:
    std::function<void()> m_handler;
    event *m_event;
};

} // namespace radishvane::drivers
