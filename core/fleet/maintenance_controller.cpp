#include "core/fleet/maintenance_controller.h"

#include "core/fleet/host_moves.h"
#include "core/membership/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishvane
{

namespace
{

std::string rebootToken(const HostOutage &out)
{
    // The token identifies the drain, so that a planner that takes over does not reboot the host a second time.
    return std::to_string(out.since.time_since_epoch().count());
}

} // namespace

MaintenanceController::MaintenanceController(HostId host) : m_host(std::move(host))
{
}

FleetEffects MaintenanceController::handle(const FleetEvent &event, Instant now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

void MaintenanceController::on(const PlatformAnswered &event)
{
    if (auto reboot = m_pendingReboots.extract(event.id)) {
        if (const auto *state = std::get_if<RebootState>(&event.answer)) {
            onRebootState(reboot.mapped(), state->done);
        }
        return;
    }
    if (m_pendingReads.erase(event.id) == 0) {
        return;
    }
    if (const auto *found = std::get_if<RowsFound>(&event.answer)) {
        addRows(*found);
    } else {
        m_view.failed = true;
    }
    if (!m_pendingReads.empty() || m_view.failed) {
        return;
    }
    if (!std::exchange(m_hostsScanned, true)) {
        scanHosts();
        return;
    }
    plan();
}

void MaintenanceController::on(const FleetConfigChanged &event)
{
    m_config = event.config;
}

void MaintenanceController::on(const FleetPeersChanged &event)
{
    m_livePeers = event.live;
}

void MaintenanceController::on(const FleetHostListRead &event)
{
    m_listedHosts = event.live;
    m_hostListReadAt = m_now.steady;
}

void MaintenanceController::on(const FleetUsageReported &event)
{
    m_moveController.addUsage(event.service, event.slotMilliseconds, m_now.steady);
}

void MaintenanceController::on(const FleetTick &)
{
    if (m_config == nullptr || m_now.steady < m_nextPlan || !m_pendingReads.empty()) {
        return;
    }
    m_nextPlan = m_now.steady + planInterval;
    const bool ownsAny = std::any_of(m_config->pools.begin(), m_config->pools.end(),
                                     [this](const auto &entry) { return ownsPool(entry.second); });
    if (ownsAny || ownsMoves()) {
        startTableScan();
    }
}

void MaintenanceController::startTableScan()
{
    m_view = View{};
    m_hostsScanned = false;
    for (const std::string_view prefix : {rowKey::pools, rowKey::jobs}) {
        m_pendingReads.insert(call(ScanRows{std::string(prefix)}));
    }
}

void MaintenanceController::scanHosts()
{
    // A finished move removes the host from its pool's row and changes its host row in one transaction. Host rows are
    // read after pool rows, so that a host missing from its old pool's row is already in its new pool and the old pool
    // cannot drain it again.
    m_pendingReads.insert(call(ScanRows{std::string(rowKey::hosts)}));
}

void MaintenanceController::addRows(const RowsFound &found)
{
    for (const StoredRow &stored : found.rows) {
        if (const auto *pool = std::get_if<PoolRow>(&stored.value)) {
            m_view.pools[pool->pool] = stored;
        } else if (const auto *host = std::get_if<HostRow>(&stored.value)) {
            m_view.hosts[host->host] = stored;
        } else if (const auto *job = std::get_if<JobRow>(&stored.value)) {
            if (isTerminal(job->state)) {
                continue;
            }
            m_view.jobCores += job->needs.cores;
            if (!job->worker.empty()) {
                m_view.hostsWithJobs.insert(job->worker);
            }
        }
    }
}

void MaintenanceController::plan()
{
    HostRows rows;
    for (const auto &[id, stored] : m_view.hosts) {
        rows.emplace(id, std::get<HostRow>(stored.value));
    }
    m_view.config = applyHostMoves(m_config, rows);
    trackDrains();
    const auto moves = planMoves();
    for (const auto &[id, pool] : m_config->pools) {
        const auto found = moves.find(id);
        if (found != moves.end()) {
            planPool(pool, found->second);
        } else if (ownsPool(pool)) {
            planPool(pool, {});
        }
    }
}

std::map<PoolId, std::vector<PlannedMove>> MaintenanceController::planMoves()
{
    if (!ownsMoves() || !hasFreshHostList()) {
        return {};
    }
    std::map<PoolId, PoolRow> pools;
    for (const auto &[id, stored] : m_view.pools) {
        pools.emplace(id, std::get<PoolRow>(stored.value));
    }
    return m_moveController.plan({*m_view.config, *m_config, pools, m_listedHosts, m_view.jobCores}, m_now.steady);
}

void MaintenanceController::planPool(const Pool &pool, const std::vector<PlannedMove> &moves)
{
    PoolRow row = poolRow(pool.id);
    bool changed = false;
    for (HostOutage &out : row.out) {
        changed = advancePhase(row, out) || changed;
    }
    const std::size_t outBefore = row.out.size();
    startMoves(pool, row, moves);
    startDrains(pool, row);
    changed = changed || row.out.size() != outBefore;
    if (changed) {
        call(WriteRows{{RowWrite{rowKey::pool(pool.id), poolRowVersion(pool.id), RowValue(row)}}});
    }
}

bool MaintenanceController::advancePhase(PoolRow &row, HostOutage &out)
{
    const Duration since = m_now.wall - out.since;
    switch (out.phase) {
    case HostPhase::InService:
        return false;
    case HostPhase::Draining:
        if (!isDrained(out)) {
            return false;
        }
        out.phase = HostPhase::Rebooting;
        out.since = m_now.wall;
        log(FleetStep::RebootStarted, row, out.host);
        return true;
    case HostPhase::Rebooting:
    case HostPhase::OutOfService:
        // The stored row records that the host is drained, so that the reboot request is safe to repeat.
        m_pendingReboots.emplace(call(RebootHost{out.host, rebootToken(out)}), Reboot{row.pool, out.host});
        if (out.phase == HostPhase::Rebooting && since >= maxRebootDuration) {
            log(FleetStep::NotReturned, row, out.host);
        }
        return false;
    }
    return false;
}

void MaintenanceController::onRebootState(const Reboot &reboot, bool done)
{
    if (!done) {
        return;
    }
    PoolRow row = poolRow(reboot.pool);
    const HostOutage *out = row.find(reboot.host);
    if (out == nullptr) {
        return;
    }
    const HostRow host = rowAfterReturn(*out);
    const auto stored = m_view.hosts.find(reboot.host);
    const std::uint64_t hostVersion = stored == m_view.hosts.end() ? 0 : stored->second.version;
    const bool moved = out->cause == DrainCause::Move;
    std::erase_if(row.out, [&](const HostOutage &entry) { return entry.host == reboot.host; });
    log(moved ? FleetStep::Moved : FleetStep::Returned, row, reboot.host, host.pool);
    // Both rows change in one transaction, so that a host returns exactly when its maintenance or move is recorded.
    call(WriteRows{{RowWrite{rowKey::pool(reboot.pool), poolRowVersion(reboot.pool), RowValue(row)},
                    RowWrite{rowKey::host(reboot.host), hostVersion, RowValue(host)}}});
    // The write consumed the row's version: the next change of this row waits for the next scan.
    m_view.pools.erase(reboot.pool);
}

HostRow MaintenanceController::rowAfterReturn(const HostOutage &out) const
{
    HostRow row{out.host, {}, {}, {}};
    if (const auto found = m_view.hosts.find(out.host); found != m_view.hosts.end()) {
        row = std::get<HostRow>(found->second.value);
    }
    switch (out.cause) {
    case DrainCause::Maintenance:
        row.maintainedAt = m_now.wall;
        break;
    case DrainCause::Move:
        row.pool = out.target;
        if (const auto declared = m_config->hosts.find(out.host); declared != m_config->hosts.end()) {
            row.declared = declared->second.pool;
        }
        break;
    }
    return row;
}

bool MaintenanceController::hasFreshHostList() const
{
    return m_now.steady - m_hostListReadAt <= maxHostListAge && !m_listedHosts.empty();
}

void MaintenanceController::startMoves(const Pool &pool, PoolRow &row, const std::vector<PlannedMove> &moves)
{
    if (moves.empty()) {
        return;
    }
    row.failed = failedHosts(pool, row);
    for (const PlannedMove &move : moves) {
        if (row.out.size() + row.failed.size() >= pool.maxHostsOut) {
            log(FleetStep::BudgetUsedUp, row, move.host, move.to);
            return;
        }
        row.out.push_back({move.host, HostPhase::Draining, DrainCause::Move, move.to, m_now.wall});
        log(FleetStep::MoveStarted, row, move.host, move.to);
    }
}

void MaintenanceController::startDrains(const Pool &pool, PoolRow &row)
{
    if (!hasFreshHostList() || pool.maintenanceInterval.count() == 0) {
        return;
    }
    row.failed = failedHosts(pool, row);
    const std::vector<HostId> candidates = dueHosts(pool, row);
    for (const HostId &host : candidates) {
        if (row.out.size() + row.failed.size() >= pool.maxHostsOut) {
            log(FleetStep::BudgetUsedUp, row, host);
            return;
        }
        row.out.push_back({host, HostPhase::Draining, DrainCause::Maintenance, {}, m_now.wall});
        log(FleetStep::DrainStarted, row, host);
    }
}

std::vector<HostId> MaintenanceController::dueHosts(const Pool &pool, const PoolRow &row) const
{
    std::set<ZoneId> zonesOut;
    std::set<RackId> racksOut;
    for (const HostOutage &out : row.out) {
        if (const auto found = m_view.config->hosts.find(out.host); found != m_view.config->hosts.end()) {
            zonesOut.insert(found->second.zone);
            racksOut.insert(found->second.rack);
        }
    }
    const auto minAge = pool.maintenanceInterval - pool.maintenanceInterval / maintenanceWindowDivisor;
    std::vector<std::tuple<bool, WallTime, RackId, HostId>> order;
    for (const auto &[id, host] : m_view.config->hosts) {
        const bool otherZone = !zonesOut.empty() && !zonesOut.contains(host.zone);
        const WallTime last = maintainedAt(id);
        // A pool drains hosts in one availability zone at a time, so that the loss of that zone does not come on top of
        // drains in other zones.
        const bool isAvailable = m_listedHosts.contains(id) && row.find(id) == nullptr;
        if (host.pool != pool.id || !isAvailable || otherZone || m_now.wall - last < minAge) {
            continue;
        }
        // Hosts in racks that already have a host out come first, then those maintained longest ago.
        order.emplace_back(!racksOut.contains(host.rack), last, host.rack, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<HostId> hosts;
    std::optional<ZoneId> zone = zonesOut.empty() ? std::nullopt : std::optional(*zonesOut.begin());
    for (const auto &[inNewRack, last, rack, id] : order) {
        const ZoneId &own = m_view.config->hosts.at(id).zone;
        zone = zone.value_or(own);
        if (own == *zone) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::vector<HostId> MaintenanceController::failedHosts(const Pool &pool, const PoolRow &row) const
{
    std::vector<HostId> failed;
    for (const auto &[id, host] : m_view.config->hosts) {
        if (host.pool == pool.id && row.find(id) == nullptr && !m_listedHosts.contains(id)) {
            failed.push_back(id);
        }
    }
    return failed;
}

WallTime MaintenanceController::maintainedAt(const HostId &host) const
{
    const auto found = m_view.hosts.find(host);
    return found == m_view.hosts.end() ? WallTime() : std::get<HostRow>(found->second.value).maintainedAt;
}

void MaintenanceController::trackDrains()
{
    std::map<std::pair<HostId, WallTime>, TimePoint> observed;
    for (const auto &[id, stored] : m_view.pools) {
        for (const HostOutage &out : std::get<PoolRow>(stored.value).out) {
            const std::pair key(out.host, out.since);
            const auto known = m_drainsObserved.find(key);
            observed.emplace(key, known == m_drainsObserved.end() ? m_now.steady : known->second);
        }
    }
    m_drainsObserved = std::move(observed);
}

bool MaintenanceController::isDrained(const HostOutage &out) const
{
    const auto observed = m_drainsObserved.find({out.host, out.since});
    if (observed == m_drainsObserved.end()) {
        return false;
    }
    const TimePoint::duration since = m_now.steady - observed->second;
    Duration requests{};
    for (const auto &[id, service] : m_view.config->services) {
        for (const BackendServer &backend : service.backends) {
            requests = std::max(requests, backend.host == out.host ? service.longestRun : Duration(0));
        }
    }
    if (since < drainPropagationTime + requests) {
        return false;
    }
    return !m_view.hostsWithJobs.contains(out.host) || since >= maxDrainDuration;
}

bool MaintenanceController::ownsPool(const Pool &pool) const
{
    const bool hasWork = m_config->movesHosts || pool.maintenanceInterval.count() > 0;
    return hasWork && isRendezvousOwner(m_host, m_livePeers, pool.id.name());
}

bool MaintenanceController::ownsMoves() const
{
    return m_config->movesHosts && isRendezvousOwner(m_host, m_livePeers, "moves");
}

PoolRow MaintenanceController::poolRow(const PoolId &pool) const
{
    const auto found = m_view.pools.find(pool);
    return found == m_view.pools.end() ? PoolRow{pool, {}, {}} : std::get<PoolRow>(found->second.value);
}

std::uint64_t MaintenanceController::poolRowVersion(const PoolId &pool) const
{
    const auto found = m_view.pools.find(pool);
    return found == m_view.pools.end() ? 0 : found->second.version;
}

OperationId MaintenanceController::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    m_effects.push_back(PlatformCall{id, std::move(request)});
    return id;
}

void MaintenanceController::log(FleetStep step, const PoolRow &row, const HostId &host, const PoolId &target)
{
    m_effects.push_back(FleetLogEntry{step, row.pool, host, target, row.out.size(), row.failed.size()});
}

} // namespace radishvane
