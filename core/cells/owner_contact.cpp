#include "core/cells/owner_contact.h"

#include "core/cells/cell_lease.h"

#include <algorithm>

namespace radishvane::cells
{

void OwnerContact::changeOwner()
{
    ++m_owner;
    m_isProbing = false;
    m_unansweredSince.reset();
    m_probedSince.reset();
}

OwnerContact::OwnerNumber OwnerContact::questionSent(TimePoint now)
{
    if (!m_unansweredSince) {
        m_unansweredSince = now;
    }
    return m_owner;
}

OwnerContact::OwnerNumber OwnerContact::probeSent(TimePoint now)
{
    m_isProbing = true;
    m_nextProbe = now + probeDelay;
    if (!m_probedSince) {
        m_probedSince = now;
    }
    return m_owner;
}

void OwnerContact::answered(OwnerNumber owner)
{
    if (owner != m_owner) {
        return;
    }
    // The questions that are still open, if any, wait for the store.
    m_isProbing = false;
    m_unansweredSince.reset();
    m_probedSince.reset();
}

void OwnerContact::probeFailed(OwnerNumber owner)
{
    if (owner == m_owner) {
        m_isProbing = false;
    }
}

void OwnerContact::tick(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > maxTickGap) {
        m_unansweredSince = m_unansweredSince ? std::optional(now) : std::nullopt;
        m_probedSince = m_probedSince ? std::optional(now) : std::nullopt;
    }
    m_lastTick = now;
}

bool OwnerContact::isProbeDue(TimePoint now) const
{
    return m_unansweredSince && now - *m_unansweredSince >= probeDelay && !m_isProbing && now >= m_nextProbe;
}

bool OwnerContact::isSilent(TimePoint now) const
{
    return m_probedSince && now - *m_probedSince >= probePatience;
}

Duration OwnerContact::retryAfter(TimePoint now) const
{
    const auto silence
        = m_unansweredSince ? std::chrono::duration_cast<Duration>(now - *m_unansweredSince) : Duration{0};
    return std::max(minRetryAfter, CellLease::duration + CellLease::takeoverSpread - silence);
}

} // namespace radishvane::cells
