#pragma once

#include "core/base/clock.h"

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
};

} // namespace radishvane::cells
