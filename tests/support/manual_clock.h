#pragma once

#include "core/base/clock.h"

namespace radishvane::tests
{

/// A clock that moves only when it is told to.
class ManualClock : public Clock
{
public:
    TimePoint now() const override
    {
        return m_now;
    }

    WallTime wallNow() const override
    {
        return WallTime(std::chrono::duration_cast<Duration>(m_now.time_since_epoch()));
    }

    void advance(Duration time)
    {
        m_now += time;
    }

private:
    TimePoint m_now{std::chrono::hours(1)};
};

} // namespace radishvane::tests
