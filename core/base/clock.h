#pragma once

#include <chrono>

namespace radishvane
{

/// A time on the monotonic clock; never compared between hosts.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::milliseconds;

/// A time on the wall clock, for data that outlives a process. The wall clock may step and differs between hosts.
using WallTime = std::chrono::sys_time<Duration>;

/// Converts a duration to fractional milliseconds, for averages and estimates.
inline double toMilliseconds(TimePoint::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// The same moment on both clocks.
struct Instant
{
    TimePoint steady;
    WallTime wall;
};

/// Interface to the clocks. The core takes times as arguments; tasks read them from a Clock.
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
