#pragma once

#include "core/base/clock.h"

namespace radishvane::drivers
{

/// The clocks of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }

    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

} // namespace radishvane::drivers
