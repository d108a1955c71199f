#include "core/cells/host_order_ledger.h"

#include <algorithm>

namespace radishvane::cells
{

HostOrderLedger::HostOrderLedger(CellWriter &writer) : m_writer(writer)
{
}

void HostOrderLedger::clear()
{
    m_hosts.clear();
    m_isLost = false;
    m_wasLost = false;
    m_isTooLarge = false;
}

void HostOrderLedger::restore(const HostOrdersRow &row)
{
    for (const HostId &host : row.hosts) {
        HostOrders &orders = m_hosts[host];
        orders.isStored = true;
        orders.isInDoubt = true;
    }
}

void HostOrderLedger::lose()
{
    m_isLost = true;
    m_wasLost = true;
}

bool HostOrderLedger::isLost() const
{
    return m_isLost;
}

bool HostOrderLedger::wasLost() const
{
    return m_wasLost;
}

void HostOrderLedger::observe(const HostList &list)
{
    if (!list.requestedAt) {
        return;
    }
    if (m_isLost) {
        m_isLost = false;
        for (const auto &[host, listed] : list.hosts) {
            // The next owner, too, takes any host for one with orders until the row is written.
            m_hosts[host].isStored = true;
            m_hosts[host].isInDoubt = true;
        }
        store(CellWriter::Urgency::Now);
    }
    const TimePoint requestedAt = *list.requestedAt;
    std::vector<HostId> settled;
    for (auto &[host, orders] : m_hosts) {
        if (list.hosts.count(host) > 0) {
            orders.missingSince.reset();
        } else if (!orders.missingSince) {
            orders.missingSince = requestedAt;
        }
        const bool isKnown = orders.fencedAt && requestedAt > *orders.fencedAt;
        const bool isGone = orders.missingSince && requestedAt - *orders.missingSince >= goneTime;
        if (!orders.isPending && (isKnown || isGone)) {
            settled.push_back(host);
        }
    }
    for (const HostId &host : settled) {
        settle(host);
    }
}

void HostOrderLedger::plan(const HostId &host)
{
    const auto [place, isNew] = m_hosts.try_emplace(host);
    place->second.isPending = true;
    if (isNew) {
        store(CellWriter::Urgency::Now);
    }
}

bool HostOrderLedger::isStored(const HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.isStored;
}

void HostOrderLedger::stored(const HostOrdersRow &row)
{
    for (const HostId &host : row.hosts) {
        const auto found = m_hosts.find(host);
        if (found != m_hosts.end()) {
            found->second.isStored = true;
        }
    }
}

void HostOrderLedger::answered(const HostId &host, HostOrderOutcome outcome)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    HostOrders &orders = found->second;
    orders.isPending = false;
    if (outcome == HostOrderOutcome::Unknown) {
        orders.isInDoubt = true;
    } else if (outcome == HostOrderOutcome::Accepted || !orders.isInDoubt) {
        settle(host);
    }
}

void HostOrderLedger::answered(const HostFencing &fencing, HostOrderOutcome outcome, TimePoint now)
{
    const auto found = m_hosts.find(fencing.host);
    if (found == m_hosts.end()) {
        return;
    }
    HostOrders &orders = found->second;
    orders.isPending = false;
    orders.notBefore = now + retryInterval;
    if (outcome == HostOrderOutcome::Accepted) {
        orders.fencedAt = now;
    }
}

std::vector<HostFencing> HostOrderLedger::planFencing(const HostList &list, const std::set<HostId> &excluded,
                                                      std::size_t maxOrders, TimePoint now)
{
    std::vector<HostFencing> due;
    for (auto &[host, orders] : m_hosts) {
        const auto listed = list.hosts.find(host);
        const bool isUp = listed != list.hosts.end() && listed->second.state == SiteHostState::Up;
        const bool needsFencing = orders.isInDoubt && !orders.isPending && !orders.fencedAt;
        if (due.size() >= maxOrders || !needsFencing || !isUp || excluded.count(host) > 0 || now < orders.notBefore) {
            continue;
        }
        orders.isPending = true;
        due.push_back(HostFencing{host, listed->second.pool});
    }
    return due;
}

bool HostOrderLedger::awaitsList(const HostList &list) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&list](const auto &entry) {
        const auto listed = list.hosts.find(entry.first);
        return !list.requestedAt || (listed != list.hosts.end() && listed->second.state != SiteHostState::Down);
    });
}

std::set<HostId> HostOrderLedger::hosts() const
{
    std::set<HostId> hosts;
    for (const auto &[host, orders] : m_hosts) {
        hosts.insert(host);
    }
    return hosts;
}

std::set<HostId> HostOrderLedger::inDoubt() const
{
    std::set<HostId> hosts;
    for (const auto &[host, orders] : m_hosts) {
        if (orders.isInDoubt) {
            hosts.insert(host);
        }
    }
    return hosts;
}

void HostOrderLedger::settle(const HostId &host)
{
    m_hosts.erase(host);
    store(CellWriter::Urgency::WithNextWrite);
}

void HostOrderLedger::store(CellWriter::Urgency urgency)
{
    constexpr std::size_t emptyRowBytes = 5;
    std::size_t bytes = emptyRowBytes;
    for (const auto &[host, orders] : m_hosts) {
        bytes += 1 + host.name().size();
    }
    if (bytes > maxRowBytes) {
        m_isTooLarge = true;
        return;
    }
    m_writer.changeHostOrders(row(), m_isTooLarge ? CellWriter::Urgency::Now : urgency);
    m_isTooLarge = false;
}

HostOrdersRow HostOrderLedger::row() const
{
    HostOrdersRow row;
    for (const auto &[host, orders] : m_hosts) {
        row.hosts.push_back(host);
    }
    return row;
}

} // namespace radishvane::cells
