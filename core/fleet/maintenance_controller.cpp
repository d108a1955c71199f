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

std::string rebootToken(const HostOut &out)
{
    // One token for each drain, so that a planner that takes over does not reboot the host again.
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
    if (!m_reads.empty() || m_view.failed) {
        return;
    }
    if (!std::exchange(m_hostsRead, true)) {
        readHosts();
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
    m_live = event.live;
}

void MaintenanceController::on(const FleetHostListRead &event)
{
    m_listed = event.live;
    m_listedAt = m_now.steady;
}

void MaintenanceController::on(const FleetUsageReported &event)
{
    m_moves.spent(event.service, event.slotMilliseconds, m_now.steady);
}

void MaintenanceController::on(const FleetTick &)
{
    if (m_config == nullptr || m_now.steady < m_nextPlan || !m_reads.empty()) {
        return;
    }
    m_nextPlan = m_now.steady + planInterval;
    const bool ownsAny = std::any_of(m_config->pools.begin(), m_config->pools.end(),
                                     [this](const auto &entry) { return isOwnToPlan(entry.second); });
    if (ownsAny || ownsMoves()) {
        beginReading();
    }
}

void MaintenanceController::beginReading()
{
    m_view = View{};
    m_hostsRead = false;
    for (const std::string_view prefix : {rowKey::pools, rowKey::jobs}) {
        m_reads.insert(call(ScanRows{std::string(prefix)}));
    }
}

void MaintenanceController::readHosts()
{
    // A host leaves its pool's row and changes its own in one transaction. Read in this order, a host that its pool's
    // row does not show any more is seen in its new pool, so that its old one cannot drain it again.
    m_reads.insert(call(ScanRows{std::string(rowKey::hosts)}));
}

void MaintenanceController::read(const RowsFound &found)
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
                m_view.withJobs.insert(job->worker);
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
    watchDrains();
    const auto moves = planMoves();
    for (const auto &[id, pool] : m_config->pools) {
        const auto found = moves.find(id);
        if (found != moves.end()) {
            planPool(pool, found->second);
        } else if (isOwnToPlan(pool)) {
            planPool(pool, {});
        }
    }
}

std::map<PoolId, std::vector<PlannedMove>> MaintenanceController::planMoves()
{
    if (!ownsMoves() || !knowsHosts()) {
        return {};
    }
    std::map<PoolId, PoolRow> pools;
    for (const auto &[id, stored] : m_view.pools) {
        pools.emplace(id, std::get<PoolRow>(stored.value));
    }
    return m_moves.plan({*m_view.config, *m_config, pools, m_listed, m_view.jobCores}, m_now.steady);
}

void MaintenanceController::planPool(const Pool &pool, const std::vector<PlannedMove> &moves)
{
    PoolRow row = rowOf(pool.id);
    bool changed = false;
    for (HostOut &out : row.out) {
        changed = advance(row, out) || changed;
    }
    const std::size_t before = row.out.size();
    startMoves(pool, row, moves);
    startDrains(pool, row);
    changed = changed || row.out.size() != before;
    if (changed) {
        call(WriteRows{{RowWrite{rowKey::pool(pool.id), versionOf(pool.id), RowValue(row)}}});
    }
}

bool MaintenanceController::advance(PoolRow &row, HostOut &out)
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

void MaintenanceController::onRebootState(const Reboot &reboot, bool done)
{
    if (!done) {
        return;
    }
    PoolRow row = rowOf(reboot.pool);
    const HostOut *out = row.find(reboot.host);
    if (out == nullptr) {
        return;
    }
    const HostRow host = returned(*out);
    const auto stored = m_view.hosts.find(reboot.host);
    const std::uint64_t hostVersion = stored == m_view.hosts.end() ? 0 : stored->second.version;
    const bool moved = out->cause == DrainCause::Move;
    std::erase_if(row.out, [&](const HostOut &entry) { return entry.host == reboot.host; });
    note(moved ? FleetStep::Moved : FleetStep::Returned, row, reboot.host, host.pool);
    // Both rows in one transaction: the host is back and its maintenance is done, or neither.
    call(WriteRows{{RowWrite{rowKey::pool(reboot.pool), versionOf(reboot.pool), RowValue(row)},
                    RowWrite{rowKey::host(reboot.host), hostVersion, RowValue(host)}}});
    // Another change of this row waits for the next reading, since its version is used up.
    m_view.pools.erase(reboot.pool);
}

HostRow MaintenanceController::returned(const HostOut &out) const
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

bool MaintenanceController::knowsHosts() const
{
    return m_now.steady - m_listedAt <= listFreshFor && !m_listed.empty();
}

void MaintenanceController::startMoves(const Pool &pool, PoolRow &row, const std::vector<PlannedMove> &moves)
{
    if (moves.empty()) {
        return;
    }
    row.failed = failedHosts(pool, row);
    for (const PlannedMove &move : moves) {
        if (row.out.size() + row.failed.size() >= pool.maxHostsOut) {
            note(FleetStep::BudgetUsedUp, row, move.host, move.to);
            return;
        }
        row.out.push_back({move.host, HostPhase::Draining, DrainCause::Move, move.to, m_now.wall});
        note(FleetStep::MoveStarted, row, move.host, move.to);
    }
}

void MaintenanceController::startDrains(const Pool &pool, PoolRow &row)
{
    if (!knowsHosts() || pool.maintenanceInterval.count() == 0) {
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

std::vector<HostId> MaintenanceController::due(const Pool &pool, const PoolRow &row) const
{
    std::set<ZoneId> zonesOut;
    std::set<RackId> racksOut;
    for (const HostOut &out : row.out) {
        if (const auto found = m_view.config->hosts.find(out.host); found != m_view.config->hosts.end()) {
            zonesOut.insert(found->second.zone);
            racksOut.insert(found->second.rack);
        }
    }
    const auto begins = pool.maintenanceInterval - pool.maintenanceInterval / leadDivisor;
    std::vector<std::tuple<bool, WallTime, RackId, HostId>> order;
    for (const auto &[id, host] : m_view.config->hosts) {
        const bool otherZone = !zonesOut.empty() && !zonesOut.contains(host.zone);
        const WallTime last = maintainedAt(id);
        // A pool loses hosts in one availability zone at a time, so that a zone's loss never adds to a wave elsewhere.
        const bool isAvailable = m_listed.contains(id) && row.find(id) == nullptr;
        if (host.pool != pool.id || !isAvailable || otherZone || m_now.wall - last < begins) {
            continue;
        }
        // Racks that are open already go first, and then the hosts whose turn is longest due.
        order.emplace_back(!racksOut.contains(host.rack), last, host.rack, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<HostId> hosts;
    std::optional<ZoneId> zone = zonesOut.empty() ? std::nullopt : std::optional(*zonesOut.begin());
    for (const auto &[closed, last, rack, id] : order) {
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
        if (host.pool == pool.id && row.find(id) == nullptr && !m_listed.contains(id)) {
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

void MaintenanceController::watchDrains()
{
    std::map<std::pair<HostId, WallTime>, TimePoint> seen;
    for (const auto &[id, stored] : m_view.pools) {
        for (const HostOut &out : std::get<PoolRow>(stored.value).out) {
            const std::pair key(out.host, out.since);
            const auto before = m_drainsSeen.find(key);
            seen.emplace(key, before == m_drainsSeen.end() ? m_now.steady : before->second);
        }
    }
    m_drainsSeen = std::move(seen);
}

bool MaintenanceController::drained(const HostOut &out) const
{
    const auto seen = m_drainsSeen.find({out.host, out.since});
    if (seen == m_drainsSeen.end()) {
        return false;
    }
    const TimePoint::duration since = m_now.steady - seen->second;
    Duration requests{};
    for (const auto &[id, service] : m_view.config->services) {
        for (const BackendServer &backend : service.backends) {
            requests = std::max(requests, backend.host == out.host ? service.longestRun : Duration(0));
        }
    }
    if (since < drainPropagationTime + requests) {
        return false;
    }
    return !m_view.withJobs.contains(out.host) || since >= longestDrain;
}

bool MaintenanceController::isOwnToPlan(const Pool &pool) const
{
    const bool hasWork = m_config->movesHosts || pool.maintenanceInterval.count() > 0;
    return hasWork && isRendezvousOwner(m_host, m_live, pool.id.name());
}

bool MaintenanceController::ownsMoves() const
{
    return m_config->movesHosts && isRendezvousOwner(m_host, m_live, "moves");
}

PoolRow MaintenanceController::rowOf(const PoolId &pool) const
{
    const auto found = m_view.pools.find(pool);
    return found == m_view.pools.end() ? PoolRow{pool, {}, {}} : std::get<PoolRow>(found->second.value);
}

std::uint64_t MaintenanceController::versionOf(const PoolId &pool) const
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

void MaintenanceController::note(FleetStep step, const PoolRow &row, const HostId &host, const PoolId &target)
{
    m_effects.push_back(FleetLogEntry{step, row.pool, host, target, row.out.size(), row.failed.size()});
}

} // namespace radishvane
