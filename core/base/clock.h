#pragma once

#include <chrono>

namespace radishvane
{

/// A point of the monotonic clock; never compared between hosts.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::milliseconds;

/// A point of the wall clock, for what outlives a process; it may step and differs between hosts.
using WallTime = std::chrono::sys_time<Duration>;

/// A time in milliseconds with its fraction, for averages and estimates.
inline double toMilliseconds(TimePoint::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// One moment on both clocks.
struct Instant
{
    TimePoint steady;
    WallTime wall;
};

/// Source of time. The core takes times as arguments; tasks read them from here.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time, unaffected by steps of the wall clock.
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;

    Instant instant() const
    {
        return Instant{now(), wallNow()};
    }
};

} // namespace radishvane
