#pragma once

#include "core/base/clock.h"
#include "core/cells/cell_lease.h"

#include <algorithm>

namespace radishvane::cells
{

/// Durations that follow from the limits in the site's settings.
struct CellTimes
{
    /// Lease of the runs on a worker, from each renewal.
    Duration leaseTime{5'000};
    /// Longest lease that a worker grants, whatever deadline an order has.
    Duration longestLease{10'000};
    /// Time that a worker takes to stop a task.
    Duration stopGrace{1'000};
    /// Time for which an ended job can be queried.
    Duration endedJobRetention{150'000};

    /// Time after which each lease that a worker grants now has expired, whatever its clock.
    Duration longestLeaseTime() const
    {
        return onSlowestClock(longestLease);
    }

    /// Time after which each lease that an owner grants now has expired, unless the worker has restarted without the
    /// owner's knowledge.
    Duration usualLeaseTime() const
    {
        return std::min(onSlowestClock(leaseTime), longestLeaseTime());
    }

    static Duration onSlowestClock(Duration lease)
    {
        constexpr double slowestClockFactor = 1.03;
        return std::chrono::duration_cast<Duration>(lease * slowestClockFactor) + CellLease::clockMargin;
    }
};

} // namespace radishvane::cells
