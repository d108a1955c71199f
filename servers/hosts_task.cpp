#include "servers/hosts_task.h"

namespace radishvane::servers
{

HostsTask::HostsTask(drivers::EventLoop &loop)
    : m_mailbox(loop, [this](PlatformAnswered &&message) { on(message); })
    , m_timer(loop, pollInterval, [this] { poll(); })
{
}

void HostsTask::post(PlatformAnswered message)
{
    m_mailbox.post(std::move(message));
}

void HostsTask::on(const PlatformAnswered &message)
{
    if (const auto *list = std::get_if<HostsListed>(&message.answer)) {
        onHosts(*list);
    } else if (const auto *found = std::get_if<RowsFound>(&message.answer)) {
        if (message.id == m_hostsScan) {
            onHostRows(*found);
        } else {
            onPools(*found);
        }
    }
    m_unanswered -= m_unanswered > 0 ? 1 : 0;
}

void HostsTask::onHosts(const HostsListed &list)
{
    std::set<HostId> hosts;
    m_listedLeaving.clear();
    for (const ListedHost &host : list.hosts) {
        hosts.insert(host.host);
        if (host.listing == HostListing::Leaving) {
            m_listedLeaving.insert(host.host);
        }
    }
    listed.emit(hosts);
    for (const HostId &leaving : m_listedLeaving) {
        hosts.erase(leaving);
    }
    listedLive.emit(hosts);
    reportLeaving();
}

void HostsTask::onPools(const RowsFound &found)
{
    m_nextDrained.clear();
    for (const StoredRow &stored : found.rows) {
        for (const HostOutage &out : std::get<PoolRow>(stored.value).out) {
            m_nextDrained.insert(out.host);
        }
    }
    ++m_unanswered;
    m_hostsScan = call(ScanRows{std::string(rowKey::hosts)});
}

void HostsTask::onHostRows(const RowsFound &found)
{
    HostRows rows;
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<HostRow>(stored.value);
        rows.emplace(row.host, row);
    }
    onPlaced(std::move(rows));
    // Only now is it known where the hosts belong that are drained no more.
    m_drained = std::move(m_nextDrained);
    reportLeaving();
}

void HostsTask::onPlaced(HostRows rows)
{
    const auto pools = [](const HostRows &from) {
        std::map<HostId, std::pair<PoolId, PoolId>> result;
        for (const auto &[id, row] : from) {
            result.emplace(id, std::pair(row.pool, row.declared));
        }
        return result;
    };
    const bool moved = pools(rows) != pools(m_rows);
    m_rows = std::move(rows);
    if (moved) {
        placed.emit(HostPlacementsUpdated{m_rows});
    }
}

void HostsTask::reportLeaving()
{
    std::set<HostId> leaving = m_listedLeaving;
    leaving.insert(m_drained.begin(), m_drained.end());
    if (m_everReported && leaving == m_reported) {
        return;
    }
    m_everReported = true;
    m_reported = leaving;
    leavingChanged.emit(leaving);
}

void HostsTask::poll()
{
    if (m_unanswered > 0) {
        return;
    }
    m_unanswered = 2;
    call(ListHosts{});
    call(ScanRows{std::string(rowKey::pools)});
}

OperationId HostsTask::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    platformCalled.emit(PlatformCall{id, std::move(request)});
    return id;
}

} // namespace radishvane::servers
