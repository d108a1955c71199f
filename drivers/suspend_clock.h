#pragma once

#include "drivers/system_clock.h"

#include <ctime>

namespace radishvane::drivers
{

/// The clocks of the operating system, with a monotonic one that also counts the time in which the machine is
/// suspended, so that leases run out meanwhile.
class SuspendClock : public SystemClock
{
public:
    TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace radishvane::drivers
