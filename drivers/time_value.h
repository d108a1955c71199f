#pragma once

#include "core/base/clock.h"

#include <sys/time.h>

namespace radishvane::drivers
{

/// The time as libevent takes it.
inline timeval toTimeval(Duration time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(time - seconds);
    return timeval{static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(rest.count())};
}

} // namespace radishvane::drivers
