#pragma once

#include "core/base/clock.h"
#include "drivers/event_loop.h"

#include <functional>

namespace radishvane::drivers
{

/// Runs an action once on the event loop after a delay.
void runOnce(EventLoop &loop, Duration delay, std::function<void()> action);

} // namespace radishvane::drivers
