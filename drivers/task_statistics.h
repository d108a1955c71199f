#pragma once

#include "core/base/clock.h"
#include "drivers/call_statistics.h"

#include <algorithm>
#include <utility>

namespace radishvane::drivers
{

/// What one task did in an interval.
struct TaskTotals
{
    /// How much later than its interval each tick of the task came.
    TimeHistogram tickDelay;
    /// Time that the task took for each event.
    TimeHistogram handling;
    CallTotals calls;

    void add(const TaskTotals &later)
    {
        tickDelay.add(later.tickDelay);
        handling.add(later.handling);
        for (std::size_t index = 0; index < calls.size(); ++index) {
            calls[index].add(later.calls[index]);
        }
    }
};

/// Counts the calls of one task, the delay of its ticks and the time that it takes for events.
class TaskStatistics
{
public:
    /// Interval at which a task reports its totals.
    static constexpr Duration reportInterval{1'000};

    TaskStatistics(const Clock &clock, Duration tickInterval)
        : m_clock(clock), m_tickInterval(tickInterval), m_calls(clock)
    {
    }

    CallStatistics &calls()
    {
        return m_calls;
    }

    /// Records a tick that comes now.
    /// @return whether a report is due; its interval starts again.
    bool tick()
    {
        const TimePoint now = m_clock.now();
        if (m_lastTick != TimePoint{}) {
            m_tickDelay.add(std::max(0.0, toMilliseconds(now - m_lastTick - m_tickInterval)));
        }
        m_lastTick = now;
        if (now < m_nextReport) {
            return false;
        }
        m_nextReport = now + reportInterval;
        return true;
    }

    /// Runs the handler of an event and measures it. A handler within another one counts for both.
    template<typename Handler>
    void measure(Handler &&handler)
    {
        const TimePoint start = m_clock.now();
        std::forward<Handler>(handler)();
        m_handling.add(toMilliseconds(m_clock.now() - start));
    }

    /// Returns the totals since the last call of this function.
    TaskTotals take()
    {
        return TaskTotals{std::exchange(m_tickDelay, {}), std::exchange(m_handling, {}), m_calls.take()};
    }

private:
    const Clock &m_clock;
    Duration m_tickInterval;
    TimePoint m_lastTick;
    TimePoint m_nextReport;
    TimeHistogram m_tickDelay;
    TimeHistogram m_handling;
    CallStatistics m_calls;
};

} // namespace radishvane::drivers
