#include "core/cells/host_order_pacer.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

constexpr double millisecondsPerSecond = 1'000;

} // namespace

HostOrderPacer::HostOrderPacer(const HostServiceLimits &limits)
    : m_ordersPerMillisecond(limits.ordersPerSecond * rateShare / millisecondsPerSecond)
{
    clear();
}

void HostOrderPacer::clear()
{
    m_available = m_ordersPerMillisecond * toMilliseconds(burst);
    m_refilledAt.reset();
}

std::size_t HostOrderPacer::available(TimePoint now)
{
    if (m_refilledAt) {
        const double elapsed = std::max(0.0, toMilliseconds(now - *m_refilledAt));
        // At least one order accumulates, so that moves go on at a rate below one in a burst.
        const double most = std::max(1.0, m_ordersPerMillisecond * toMilliseconds(burst));
        m_available = std::min(most, m_available + m_ordersPerMillisecond * elapsed);
    }
    m_refilledAt = now;
    return static_cast<std::size_t>(std::max(0.0, m_available));
}

double HostOrderPacer::ordersPerMillisecond() const
{
    return m_ordersPerMillisecond;
}

void HostOrderPacer::take()
{
    m_available -= 1;
}

} // namespace radishvane::cells
