#include "core/fleet/maintenance_keeper.h"

#include "core/membership/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishvane
{

namespace
{

std::string rebootToken(const HostOut &out)
{
    // One token for each drain, so that a planner that takes over does not reboot the host again.
    return std::to_string(out.since.time_since_epoch().count());
}

} // namespace

MaintenanceKeeper::MaintenanceKeeper(HostId host) : m_host(std::move(host))
{
}

FleetEffects MaintenanceKeeper::handle(const FleetEvent &event, Instant now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

void MaintenanceKeeper::on(const PlatformAnswered &event)
{
    if (auto reboot = m_reboots.extract(event.id)) {
        if (const auto *state = std::get_if<RebootState>(&event.answer)) {
            onRebootState(reboot.mapped(), state->done);
        }
        return;
    }
    if (m_reads.erase(event.id) == 0) {
        return;
    }
    if (const auto *found = std::get_if<RowsFound>(&event.answer)) {
        read(*found);
    } else {
        m_view.failed = true;
    }
    if (m_reads.empty() && !m_view.failed) {
        plan();
    }
}

void MaintenanceKeeper::on(const FleetConfig &event)
{
    m_config = event.config;
}

void MaintenanceKeeper::on(const FleetPeers &event)
{
    m_live = event.live;
}

void MaintenanceKeeper::on(const FleetHostList &event)
{
    m_listed = event.live;
    m_listedAt = m_now.steady;
}

void MaintenanceKeeper::on(const FleetTick &)
{
    if (m_config == nullptr || m_now.steady < m_nextPlan || !m_reads.empty()) {
        return;
    }
    m_nextPlan = m_now.steady + planInterval;
    const bool ownsAny = std::any_of(m_config->pools.begin(), m_config->pools.end(), [this](const auto &entry) {
        return entry.second.maintenanceInterval.count() > 0 && isOwn(entry.first);
    });
    if (ownsAny) {
        beginReading();
    }
}

void MaintenanceKeeper::beginReading()
{
    m_view = View{};
    for (const std::string_view prefix : {rowKey::pools, rowKey::hosts, rowKey::jobs}) {
        m_reads.insert(call(ScanRows{std::string(prefix)}));
    }
}

void MaintenanceKeeper::read(const RowsFound &found)
{
    for (const StoredRow &stored : found.rows) {
        if (const auto *pool = std::get_if<PoolRow>(&stored.value)) {
            m_view.pools[pool->pool] = stored;
        } else if (const auto *host = std::get_if<HostRow>(&stored.value)) {
            m_view.hosts[host->host] = stored;
        } else if (const auto *job = std::get_if<JobRow>(&stored.value)) {
            if (!isTerminal(job->state) && !job->worker.empty()) {
                m_view.withJobs.insert(job->worker);
            }
        }
    }
}

void MaintenanceKeeper::plan()
{
    for (const auto &[id, pool] : m_config->pools) {
        if (pool.maintenanceInterval.count() > 0 && isOwn(id)) {
            planPool(pool);
        }
    }
}

void MaintenanceKeeper::planPool(const Pool &pool)
{
    PoolRow row = rowOf(pool.id);
    bool changed = false;
    for (HostOut &out : row.out) {
        changed = advance(row, out) || changed;
    }
    const std::size_t before = row.out.size();
    startDrains(pool, row);
    changed = changed || row.out.size() != before;
    if (changed) {
        call(WriteRows{{RowWrite{rowKey::pool(pool.id), versionOf(pool.id), RowValue(row)}}});
    }
}

bool MaintenanceKeeper::advance(PoolRow &row, HostOut &out)
{
    const Duration since = m_now.wall - out.since;
    switch (out.phase) {
    case HostPhase::InService:
        return false;
    case HostPhase::Draining:
        if (!drained(out)) {
            return false;
        }
        out.phase = HostPhase::Rebooting;
        out.since = m_now.wall;
        note(FleetStep::RebootStarted, row, out.host);
        return true;
    case HostPhase::Rebooting:
    case HostPhase::OutOfService:
        // The row says that the host is drained, so that asking for the reboot is safe, however often it is asked.
        m_reboots.emplace(call(RebootHost{out.host, rebootToken(out)}), Reboot{row.pool, out.host});
        if (out.phase == HostPhase::Rebooting && since >= longestReboot) {
            note(FleetStep::NotReturned, row, out.host);
        }
        return false;
    }
    return false;
}

void MaintenanceKeeper::onRebootState(const Reboot &reboot, bool done)
{
    if (!done) {
        return;
    }
    PoolRow row = rowOf(reboot.pool);
    const auto removed = std::erase_if(row.out, [&](const HostOut &out) { return out.host == reboot.host; });
    if (removed == 0) {
        return;
    }
    HostRow host{reboot.host, {}, {}};
    std::uint64_t hostVersion = 0;
    if (const auto found = m_view.hosts.find(reboot.host); found != m_view.hosts.end()) {
        host = std::get<HostRow>(found->second.value);
        hostVersion = found->second.version;
    }
    host.maintainedAt = m_now.wall;
    note(FleetStep::Returned, row, reboot.host);
    // Both rows in one transaction: the host is back and its maintenance is done, or neither.
    call(WriteRows{{RowWrite{rowKey::pool(reboot.pool), versionOf(reboot.pool), RowValue(row)},
                    RowWrite{rowKey::host(reboot.host), hostVersion, RowValue(host)}}});
    // Another change of this row waits for the next reading, since its version is used up.
    m_view.pools.erase(reboot.pool);
}

void MaintenanceKeeper::startDrains(const Pool &pool, PoolRow &row)
{
    if (m_now.steady - m_listedAt > listFreshFor || m_listed.empty()) {
        return;
    }
    row.failed = failedHosts(pool, row);
    const std::vector<HostId> candidates = due(pool, row);
    for (const HostId &host : candidates) {
        if (row.out.size() + row.failed.size() >= pool.maxHostsOut) {
            note(FleetStep::BudgetUsedUp, row, host);
            return;
        }
        row.out.push_back({host, HostPhase::Draining, DrainCause::Maintenance, {}, m_now.wall});
        note(FleetStep::DrainStarted, row, host);
    }
}

std::vector<HostId> MaintenanceKeeper::due(const Pool &pool, const PoolRow &row) const
{
    const auto isOut = [&](const HostId &host) {
        return std::any_of(row.out.begin(), row.out.end(), [&](const HostOut &out) { return out.host == host; });
    };
    std::set<ZoneId> zonesOut;
    std::set<RackId> racksOut;
    for (const HostOut &out : row.out) {
        if (const auto found = m_config->hosts.find(out.host); found != m_config->hosts.end()) {
            zonesOut.insert(found->second.zone);
            racksOut.insert(found->second.rack);
        }
    }
    const auto begins = pool.maintenanceInterval - pool.maintenanceInterval / leadDivisor;
    std::vector<std::tuple<bool, WallTime, RackId, HostId>> order;
    for (const auto &[id, host] : m_config->hosts) {
        const bool otherZone = !zonesOut.empty() && !zonesOut.contains(host.zone);
        const WallTime last = maintainedAt(id);
        // A pool loses hosts in one availability zone at a time, so that a zone's loss never adds to a wave elsewhere.
        if (host.pool != pool.id || isOut(id) || !m_listed.contains(id) || otherZone || m_now.wall - last < begins) {
            continue;
        }
        // Racks that are open already go first, and then the hosts whose turn is longest due.
        order.emplace_back(!racksOut.contains(host.rack), last, host.rack, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<HostId> hosts;
    std::optional<ZoneId> zone = zonesOut.empty() ? std::nullopt : std::optional(*zonesOut.begin());
    for (const auto &[closed, last, rack, id] : order) {
        const ZoneId &own = m_config->hosts.at(id).zone;
        zone = zone.value_or(own);
        if (own == *zone) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::vector<HostId> MaintenanceKeeper::failedHosts(const Pool &pool, const PoolRow &row) const
{
    std::vector<HostId> failed;
    for (const auto &[id, host] : m_config->hosts) {
        const bool out = std::any_of(row.out.begin(), row.out.end(),
                                     [&id = id](const HostOut &entry) { return entry.host == id; });
        if (host.pool == pool.id && !out && !m_listed.contains(id)) {
            failed.push_back(id);
        }
    }
    return failed;
}

WallTime MaintenanceKeeper::maintainedAt(const HostId &host) const
{
    const auto found = m_view.hosts.find(host);
    return found == m_view.hosts.end() ? WallTime() : std::get<HostRow>(found->second.value).maintainedAt;
}

bool MaintenanceKeeper::drained(const HostOut &out) const
{
    const Duration since = m_now.wall - out.since;
    Duration requests{};
    for (const auto &[id, service] : m_config->services) {
        for (const BackendServer &backend : service.backends) {
            requests = std::max(requests, backend.host == out.host ? service.longestRun : Duration(0));
        }
    }
    if (since < leaveTime + requests) {
        return false;
    }
    return !m_view.withJobs.contains(out.host) || since >= longestDrain;
}

bool MaintenanceKeeper::isOwn(const PoolId &pool) const
{
    return isRendezvousOwner(m_host, m_live, pool.name());
}

PoolRow MaintenanceKeeper::rowOf(const PoolId &pool) const
{
    const auto found = m_view.pools.find(pool);
    return found == m_view.pools.end() ? PoolRow{pool, {}, {}} : std::get<PoolRow>(found->second.value);
}

std::uint64_t MaintenanceKeeper::versionOf(const PoolId &pool) const
{
    const auto found = m_view.pools.find(pool);
    return found == m_view.pools.end() ? 0 : found->second.version;
}

OperationId MaintenanceKeeper::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    m_effects.push_back(PlatformCall{id, std::move(request)});
    return id;
}

void MaintenanceKeeper::note(FleetStep step, const PoolRow &row, const HostId &host)
{
    m_effects.push_back(FleetNoted{step, row.pool, host, row.out.size(), row.failed.size()});
}

} // namespace radishvane
