#pragma once

#include "core/base/clock.h"
#include "core/cells/host_service_limits.h"

#include <cstddef>
#include <optional>

namespace radishvane::cells
{

/// Limits moves to the rate of orders that the host service accepts.
///
/// Serves peaks in which one pool after the other needs a large part of the fleet. Maintenance and fencing are never
/// delayed, but count, so that moves get what is left of the rate.
class HostOrderPacer
{
public:
    /// Fraction of the service's rate that is used, so that one burst and the orders of the next second fit into it.
    static constexpr double rateShare = 0.8;
    /// Time for which unused orders accumulate. It covers the interval between two plans.
    static constexpr Duration burst{250};

    explicit HostOrderPacer(const HostServiceLimits &limits);

    void clear();
    /// Number of moves that may be ordered now.
    std::size_t available(TimePoint now);
    /// Rate at which moves can be ordered.
    double ordersPerMillisecond() const;
    /// Counts an order that is sent.
    void take();

private:
    double m_ordersPerMillisecond;
    double m_available = 0;
    std::optional<TimePoint> m_refilledAt;
};

} // namespace radishvane::cells
