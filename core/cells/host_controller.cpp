#include "core/cells/host_controller.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"

#include <algorithm>
#include <limits>

namespace radishvane::cells
{

namespace
{

std::string withOneDecimal(double value)
{
    const auto tenths = static_cast<std::int64_t>(value * 10);
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

} // namespace

HostController::HostController(CellOutbox &outbox, CellWriter &writer, HostId holder, const HostServiceLimits &limits)
    : m_outbox(outbox), m_writer(writer), m_holder(std::move(holder)), m_orders(writer), m_pacer(limits)
{
}

void HostController::clear()
{
    m_list = HostList{};
    m_nextList = TimePoint{};
    m_waves.clear();
    m_mover.clear(m_outbox.now.steady);
    m_forecast.clear();
    m_pendingLists.clear();
    m_orders.clear();
    m_pacer.clear();
    m_plannedOrders.clear();
    m_pendingOrders.clear();
    m_pendingReports.clear();
    m_cordonedByWaves.clear();
}

void HostController::restore(const std::vector<WaveRow> &waves, const HostOrdersRow &orders)
{
    m_waves.restore(waves);
    m_orders.restore(orders);
}

void HostController::loseOrders()
{
    m_orders.lose();
}

void HostController::observe(const std::vector<Wave> &waves)
{
    m_waves.observe(waves, m_outbox.now.steady);
}

void HostController::restoreForecast(const JobRegistry &registry, const SiteConfig &config)
{
    // The times are comparable, since the clocks of two owners differ only slightly.
    std::vector<const Job *> recent;
    for (const auto &[id, job] : registry.jobs()) {
        const Duration ago = m_outbox.now.wall - job.row.accepted;
        if (ago >= Duration{0} && ago <= 2 * DemandForecast::window) {
            recent.push_back(&job);
        }
    }
    std::sort(recent.begin(), recent.end(),
              [](const Job *left, const Job *right) { return left->row.accepted < right->row.accepted; });
    for (const Job *job : recent) {
        const auto queue = config.queues.find(job->row.queue);
        if (queue != config.queues.end()) {
            const Duration ago = m_outbox.now.wall - job->row.accepted;
            m_forecast.add(queue->second.pool, job->row.spec, job->runTimes, m_outbox.now.steady - ago);
        }
    }
}

void HostController::recordAcceptedJob(const PoolId &pool, const Job &job)
{
    m_forecast.add(pool, job.row.spec, job.runTimes, m_outbox.now.steady);
}

IncomingHosts HostController::incoming(const SiteConfig &config, const WorkerRoster &roster) const
{
    std::set<HostId> occupied = m_waves.occupiedHosts();
    occupied.merge(m_orders.inDoubt());
    return m_mover.incoming(config, m_list, roster, occupied, m_pacer.ordersPerMillisecond(), m_outbox.now.steady);
}

void HostController::advance(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster,
                             bool mayOrder)
{
    if (!mayOrder) {
        // Without a valid lease the controller plans nothing, since the orders of the plan would be lost.
        return;
    }
    requestHostList();
    m_orders.observe(m_list);
    advanceWaves(roster);
    advanceMoves(registry, config, roster);
    fenceHosts();
    sendStored(mayOrder);
}

void HostController::stored(const HostOrdersRow &row)
{
    m_orders.stored(row);
}

void HostController::sendStored(bool mayOrder)
{
    if (!mayOrder || m_plannedOrders.empty()) {
        return;
    }
    const auto firstUnstored
        = std::stable_partition(m_plannedOrders.begin(), m_plannedOrders.end(),
                                [this](const auto &pair) { return m_orders.isStored(pair.first); });
    for (auto planned = m_plannedOrders.begin(); planned != firstUnstored; ++planned) {
        std::visit([this](const auto &order) { send(order); }, planned->second);
    }
    m_plannedOrders.erase(m_plannedOrders.begin(), firstUnstored);
}

std::set<HostId> HostController::hostsWithOrders(const WorkerRoster &roster) const
{
    std::set<HostId> hosts = m_orders.hosts();
    if (m_orders.isLost()) {
        for (const auto &[id, worker] : roster.all()) {
            hosts.insert(worker.host);
        }
    }
    return hosts;
}

std::set<WorkerId> HostController::cordoned(const WorkerRoster &roster) const
{
    std::set<WorkerId> workers = m_mover.cordoned(roster);
    workers.insert(m_cordonedByWaves.begin(), m_cordonedByWaves.end());
    return workers;
}

void HostController::requestHostList()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextList) {
        return;
    }
    const bool isActive = m_waves.isOpen() || !m_mover.moving().empty() || m_orders.awaitsList(m_list);
    m_nextList = now + (isActive ? listInterval : idleListInterval);
    m_pendingLists[m_outbox.send(ListHosts{})] = now;
}

void HostController::advanceWaves(const WorkerRoster &roster)
{
    const WavePlan plan = m_waves.plan(m_list, roster, m_mover.moving(), m_orders.inDoubt(), m_outbox.now.steady);
    for (const WaveRow &row : plan.changedRows) {
        m_writer.changeWave(row);
        if (row.completed) {
            m_outbox.log(CellDecision::WaveCompleted, std::to_string(row.number), {}, row.ordered.size());
        }
    }
    for (const auto &[host, wave] : plan.hostsToMaintain) {
        planOrder(host, Maintenance{host, wave});
    }
    for (const auto &[wave, completed] : plan.reports) {
        m_pendingReports[m_outbox.send(ReportWave{{}, wave, completed})] = wave;
    }
    m_cordonedByWaves = plan.cordoned;
}

void HostController::advanceMoves(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster)
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextPlan || !m_mover.isReady(m_list, now)) {
        return;
    }
    m_nextPlan = now + planInterval + Duration(registry.live().size() / jobsPerMillisecond);
    const std::map<PoolId, PoolDemand> demands = computePoolDemands(registry, config, m_forecast, m_outbox.now);
    std::set<HostId> occupied = m_waves.occupiedHosts();
    occupied.merge(m_orders.inDoubt());
    const std::size_t maxOrders = m_pacer.available(now);
    for (const PlannedMove &move : m_mover.plan(demands, config, m_list, roster, occupied, maxOrders, now)) {
        planOrder(move.host, move);
    }
}

void HostController::fenceHosts()
{
    const TimePoint now = m_outbox.now.steady;
    const std::size_t maxOrders = m_orders.wasLost() ? m_pacer.available(now) : std::numeric_limits<std::size_t>::max();
    for (const HostFencing &order : m_orders.planFencing(m_list, m_mover.moving(), maxOrders, now)) {
        planOrder(order.host, order);
    }
}

void HostController::planOrder(const HostId &host, HostOrder order)
{
    m_orders.plan(host);
    m_pacer.take();
    m_plannedOrders.emplace_back(host, std::move(order));
}

void HostController::send(const Maintenance &order)
{
    MaintainHost call;
    call.host = order.host;
    call.wave = order.wave;
    call.holder = m_holder;
    call.fence = m_outbox.nextHostFence();
    m_pendingOrders[m_outbox.send(call)] = order;
    m_outbox.log(CellDecision::HostMaintained, order.host.name(), {}, order.wave, "ordered");
}

void HostController::send(const PlannedMove &order)
{
    sendMove(order.host, order.to, order);
    m_outbox.log(CellDecision::HostMoved, order.host.name(), {}, 0,
                 "ordered " + order.from.name() + " to " + order.to.name() + " needed " + withOneDecimal(order.needed)
                     + " serving " + withOneDecimal(order.serving));
}

void HostController::send(const HostFencing &order)
{
    sendMove(order.host, order.pool, order);
    m_outbox.log(CellDecision::HostFenced, order.host.name(), {}, 0, "ordered " + order.pool.name());
}

void HostController::sendMove(const HostId &host, const PoolId &pool, const HostOrder &order)
{
    MoveHost call;
    call.host = host;
    call.pool = pool;
    call.holder = m_holder;
    call.fence = m_outbox.nextHostFence();
    m_pendingOrders[m_outbox.send(call)] = order;
}

void HostController::answered(const HostsListed &event)
{
    const auto found = m_pendingLists.find(event.call);
    if (found == m_pendingLists.end()) {
        return;
    }
    const TimePoint requestedAt = found->second;
    m_pendingLists.erase(found);
    if (!event.hosts || (m_list.requestedAt && requestedAt < *m_list.requestedAt)) {
        return;
    }
    m_list = HostList{{}, requestedAt};
    for (const SiteHost &host : *event.hosts) {
        m_list.hosts[host.id] = host;
    }
}

const HostList &HostController::list() const
{
    return m_list;
}

std::optional<WorkerId> HostController::answered(const HostOrderAnswered &event)
{
    const auto found = m_pendingOrders.find(event.call);
    if (found == m_pendingOrders.end()) {
        return std::nullopt;
    }
    const HostOrder order = found->second;
    m_pendingOrders.erase(found);
    const TimePoint now = m_outbox.now.steady;
    const std::string outcome(enumName(hostOrderOutcomeNames, event.outcome));
    const WorkerId worker = std::visit(
        Overloaded{
            [&](const Maintenance &maintenance) {
                m_outbox.log(CellDecision::HostMaintained, maintenance.host.name(), {}, maintenance.wave, outcome);
                m_orders.answered(maintenance.host, event.outcome);
                return m_waves.handleOutcome(maintenance.host, maintenance.wave, event.outcome, now);
            },
            [&](const PlannedMove &move) {
                m_outbox.log(CellDecision::HostMoved, move.host.name(), {}, 0, outcome);
                m_orders.answered(move.host, event.outcome);
                return m_mover.handleOutcome(move.host, event.outcome, now);
            },
            [&](const HostFencing &fencing) {
                m_outbox.log(CellDecision::HostFenced, fencing.host.name(), {}, 0, outcome);
                m_orders.answered(fencing, event.outcome, now);
                return WorkerId();
            },
        },
        order);
    return event.outcome == HostOrderOutcome::Accepted && !worker.empty() ? std::optional(worker) : std::nullopt;
}

void HostController::answered(const WaveReported &event)
{
    const auto found = m_pendingReports.find(event.call);
    if (found == m_pendingReports.end()) {
        return;
    }
    m_waves.handleReportOutcome(found->second, event.written, m_outbox.now.steady);
    m_pendingReports.erase(found);
}

} // namespace radishvane::cells
