#include "core/cells/cell_lease.h"

#include <functional>

namespace radishvane::cells
{

namespace
{

Duration takeoverDelayOf(const HostId &host, const HostCapacity &capacity)
{
    const auto stagger
        = std::hash<std::string>{}(host.name()) % static_cast<std::size_t>(CellLease::takeoverSpread.count());
    const double missing = 1 - capacity.ownerFitness();
    return Duration(stagger) + std::chrono::duration_cast<Duration>(CellLease::maxUnfitDelay * missing);
}

} // namespace

CellLease::CellLease(HostId host, std::uint64_t incarnation, Endpoint link, HostCapacity capacity)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_link(std::move(link))
    , m_takeoverDelay(takeoverDelayOf(m_host, capacity))
{
}

void CellLease::observe(const OwnerObserved &observed, TimePoint now)
{
    if (m_isKnown && observed.version < m_version) {
        return;
    }
    if (!m_isKnown || observed.version != m_version) {
        m_unchangedSince = now;
    }
    m_isKnown = true;
    m_version = observed.version;
    m_owner = observed.owner;
}

void CellLease::recordContact(TimePoint requestedAt, TimePoint now)
{
    if (requestedAt - m_lastContact > maxContactGap) {
        m_unchangedSince = now;
    }
    m_lastContact = std::max(m_lastContact, requestedAt);
}

void CellLease::recordWrite(const OwnerRow &row, std::uint64_t version, TimePoint sentAt)
{
    m_isKnown = true;
    m_owner = row;
    m_version = version;
    m_renewedAt = sentAt;
    m_unchangedSince = sentAt;
}

bool CellLease::hasContact(TimePoint now) const
{
    return now - m_lastContact <= maxContactGap;
}

bool CellLease::mayTakeOver(TimePoint now) const
{
    if (!m_isKnown || !hasContact(now)) {
        return false;
    }
    const bool isFree = !m_owner || m_owner->host.empty();
    if (isFree) {
        return now - m_unchangedSince >= m_takeoverDelay;
    }
    if (isPredecessors(*m_owner)) {
        return true;
    }
    return now - m_unchangedSince >= duration + clockMargin + m_takeoverDelay;
}

bool CellLease::owns() const
{
    return m_owner && isOwn(*m_owner);
}

bool CellLease::isValid(TimePoint now) const
{
    return owns() && now - m_renewedAt < duration;
}

bool CellLease::isRenewalDue(TimePoint now) const
{
    return owns() && now - m_renewedAt >= renewInterval;
}

TimePoint::duration CellLease::age(TimePoint now) const
{
    return now - m_renewedAt;
}

OwnerRow CellLease::nextRow() const
{
    const Epoch last = m_owner ? m_owner->epoch : 0;
    const Epoch epoch = owns() ? last : last + 1;
    // An owner of a version that records no starts leaves the field out.
    const bool isRecorded = m_owner && m_owner->startsRecordedSince != 0;
    return OwnerRow{m_host, m_incarnation, m_link, epoch, isRecorded ? m_owner->startsRecordedSince : epoch};
}

OwnerRow CellLease::releasedRow() const
{
    OwnerRow row = nextRow();
    row.host = HostId();
    return row;
}

std::uint64_t CellLease::version() const
{
    return m_version;
}

Epoch CellLease::epoch() const
{
    return m_owner ? m_owner->epoch : 0;
}

const std::optional<OwnerRow> &CellLease::owner() const
{
    return m_owner;
}

bool CellLease::isKnown() const
{
    return m_isKnown;
}

bool CellLease::isOwn(const OwnerRow &row) const
{
    return row.host == m_host && row.incarnation == m_incarnation;
}

bool CellLease::isPredecessors(const OwnerRow &row) const
{
    return row.host == m_host && row.link == m_link && row.incarnation != m_incarnation;
}

} // namespace radishvane::cells
