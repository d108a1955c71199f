#pragma once

#include "core/base/clock.h"

#include <ctime>

namespace radishvane::drivers
{

/// The clocks of the operating system. The monotonic one also counts the time in which the machine is suspended, so
/// that leases and rights run out meanwhile.
class SystemClock : public Clock
{
public:
    TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

} // namespace radishvane::drivers
