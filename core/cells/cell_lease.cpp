#include "core/cells/cell_lease.h"

#include <functional>

namespace radishvane::cells
{

CellLease::CellLease(HostId host, std::uint64_t incarnation, Endpoint link)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_link(std::move(link))
    , m_delay(std::hash<std::string>{}(m_host.name()) % static_cast<std::size_t>(spread.count()))
{
}

void CellLease::see(const OwnerObserved &seen, TimePoint now)
{
    if (m_known && seen.version < m_version) {
        return;
    }
    if (!m_known || seen.version != m_version) {
        m_unchangedSince = now;
    }
    m_known = true;
    m_version = seen.version;
    m_owner = seen.owner;
}

void CellLease::contact(TimePoint asked, TimePoint now)
{
    if (asked - m_lastContact > contactGap) {
        m_unchangedSince = now;
    }
    m_lastContact = std::max(m_lastContact, asked);
}

void CellLease::wrote(const OwnerRow &row, std::uint64_t version, TimePoint sent)
{
    m_known = true;
    m_owner = row;
    m_version = version;
    m_renewedAt = sent;
    m_unchangedSince = sent;
}

bool CellLease::mayTake(TimePoint now) const
{
    if (!m_known || now - m_lastContact > contactGap) {
        return false;
    }
    const bool isFree = !m_owner || m_owner->host.empty();
    if (isFree) {
        return now - m_unchangedSince >= m_delay;
    }
    return now - m_unchangedSince >= length + clockMargin + m_delay;
}

bool CellLease::owns() const
{
    return m_owner && isOwn(*m_owner);
}

bool CellLease::valid(TimePoint now) const
{
    return owns() && now - m_renewedAt < length;
}

bool CellLease::renewalDue(TimePoint now) const
{
    return owns() && now - m_renewedAt >= renewInterval;
}

OwnerRow CellLease::nextRow() const
{
    const Epoch last = m_owner ? m_owner->epoch : 0;
    return OwnerRow{m_host, m_incarnation, m_link, owns() ? last : last + 1};
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
    return m_known;
}

bool CellLease::isOwn(const OwnerRow &row) const
{
    return row.host == m_host && row.incarnation == m_incarnation;
}

} // namespace radishvane::cells
