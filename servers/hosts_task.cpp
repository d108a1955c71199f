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
        onPools(*found);
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
    m_drained.clear();
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<PoolRow>(stored.value);
        for (const HostOut &out : row.out) {
            m_drained.insert(out.host);
        }
    }
    reportLeaving();
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
    platformCalled.emit(PlatformCall{OperationId{++m_lastOperation}, ListHosts{}});
    platformCalled.emit(PlatformCall{OperationId{++m_lastOperation}, ScanRows{std::string(rowKey::pools)}});
}

} // namespace radishvane::servers
