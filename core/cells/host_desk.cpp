#include "core/cells/host_desk.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

std::string inTenths(double value)
{
    const auto tenths = static_cast<std::int64_t>(value * 10);
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

} // namespace

HostDesk::HostDesk(CellOutbox &outbox, CellWriter &writer, HostId holder)
    : m_outbox(outbox), m_writer(writer), m_holder(std::move(holder))
{
}

void HostDesk::clear()
{
    m_list = HostList{};
    m_nextList = TimePoint{};
    m_waves.clear();
    m_mover.clear(m_outbox.now.steady);
    m_forecast.clear();
    m_lists.clear();
    m_orders.clear();
    m_reports.clear();
    m_cordoned.clear();
}

void HostDesk::restore(const std::vector<WaveRow> &rows)
{
    m_waves.restore(rows);
}

void HostDesk::see(const std::vector<Wave> &waves)
{
    m_waves.see(waves);
}

void HostDesk::foresee(const JobRegistry &registry, const SiteConfig &config)
{
    // The clocks of two owners differ by little.
    std::vector<const Job *> recent;
    for (const auto &[id, job] : registry.jobs()) {
        const Duration ago = m_outbox.now.wall - job.row.accepted;
        if (ago >= Duration{0} && ago <= 2 * DemandForecast::span) {
            recent.push_back(&job);
        }
    }
    std::sort(recent.begin(), recent.end(),
              [](const Job *left, const Job *right) { return left->row.accepted < right->row.accepted; });
    for (const Job *job : recent) {
        const auto queue = config.queues.find(job->row.queue);
        if (queue != config.queues.end()) {
            const Duration ago = m_outbox.now.wall - job->row.accepted;
            m_forecast.add(queue->second.pool, job->row.spec, m_outbox.now.steady - ago);
        }
    }
}

void HostDesk::accepted(const PoolId &pool, const GraphSpec &spec)
{
    m_forecast.add(pool, spec, m_outbox.now.steady);
}

void HostDesk::advance(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster, bool mayOrder)
{
    if (!mayOrder) {
        // Without certain ownership nothing is planned, since a plan's orders would be lost.
        return;
    }
    askForList();
    advanceWaves(roster);
    advanceMoves(registry, config, roster);
}

std::set<WorkerId> HostDesk::cordoned(const WorkerRoster &roster) const
{
    std::set<WorkerId> workers = m_mover.cordoned(roster);
    workers.insert(m_cordoned.begin(), m_cordoned.end());
    return workers;
}

void HostDesk::askForList()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextList) {
        return;
    }
    const bool isBusy = m_waves.isOpen() || !m_mover.moving().empty();
    m_nextList = now + (isBusy ? listInterval : calmListInterval);
    m_lists[m_outbox.send(ListHosts{})] = now;
}

void HostDesk::advanceWaves(const WorkerRoster &roster)
{
    const WavePlan plan = m_waves.plan(m_list, roster, m_mover.moving(), m_outbox.now.steady);
    for (const WaveRow &row : plan.changed) {
        m_writer.changeWave(row);
        if (row.completed) {
            m_outbox.note(CellDecision::WaveCompleted, std::to_string(row.number), {}, row.ordered.size());
        }
    }
    for (const auto &[host, wave] : plan.maintain) {
        send(Maintenance{host, wave});
    }
    for (const auto &[wave, completed] : plan.reports) {
        m_reports[m_outbox.send(ReportWave{{}, wave, completed})] = wave;
    }
    m_cordoned = plan.cordoned;
}

void HostDesk::advanceMoves(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster)
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextPlan || !m_mover.isReady(m_list, now)) {
        return;
    }
    m_nextPlan = now + planInterval + Duration(registry.live().size() / jobsEachMillisecond);
    const std::map<PoolId, PoolDemand> demands = demandOfPools(registry, config, m_forecast, m_outbox.now);
    for (const PlannedMove &move : m_mover.plan(demands, config, m_list, roster, m_waves.busy(), now)) {
        send(move);
    }
}

void HostDesk::send(const Maintenance &order)
{
    MaintainHost call;
    call.host = order.host;
    call.wave = order.wave;
    call.holder = m_holder;
    call.fence = m_outbox.nextHostFence();
    m_orders[m_outbox.send(call)] = order;
    m_outbox.note(CellDecision::HostMaintained, order.host.name(), {}, order.wave, "ordered");
}

void HostDesk::send(const PlannedMove &order)
{
    MoveHost call;
    call.host = order.host;
    call.pool = order.to;
    call.holder = m_holder;
    call.fence = m_outbox.nextHostFence();
    m_orders[m_outbox.send(call)] = order;
    m_outbox.note(CellDecision::HostMoved, order.host.name(), {}, 0,
                  "ordered " + order.from.name() + " to " + order.to.name() + " needed " + inTenths(order.needed)
                      + " serving " + inTenths(order.serving));
}

void HostDesk::answered(const HostsListed &event)
{
    const auto found = m_lists.find(event.call);
    if (found == m_lists.end()) {
        return;
    }
    const TimePoint asked = found->second;
    m_lists.erase(found);
    if (!event.hosts || (m_list.askedAt && asked < *m_list.askedAt)) {
        return;
    }
    m_list = HostList{{}, asked};
    for (const SiteHost &host : *event.hosts) {
        m_list.hosts[host.id] = host;
    }
}

const HostList &HostDesk::list() const
{
    return m_list;
}

std::optional<WorkerId> HostDesk::answered(const HostOrderAnswered &event)
{
    const auto found = m_orders.find(event.call);
    if (found == m_orders.end()) {
        return std::nullopt;
    }
    const HostOrder order = found->second;
    m_orders.erase(found);
    const TimePoint now = m_outbox.now.steady;
    const std::string outcome(enumName(hostOrderOutcomeNames, event.outcome));
    const WorkerId worker = std::visit(
        Overloaded{
            [&](const Maintenance &maintenance) {
                m_outbox.note(CellDecision::HostMaintained, maintenance.host.name(), {}, maintenance.wave, outcome);
                return m_waves.ordered(maintenance.host, maintenance.wave, event.outcome, now);
            },
            [&](const PlannedMove &move) {
                m_outbox.note(CellDecision::HostMoved, move.host.name(), {}, 0, outcome);
                return m_mover.ordered(move.host, event.outcome, now);
            },
        },
        order);
    return event.outcome == HostOrderOutcome::Accepted && !worker.empty() ? std::optional(worker) : std::nullopt;
}

void HostDesk::answered(const WaveReported &event)
{
    const auto found = m_reports.find(event.call);
    if (found == m_reports.end()) {
        return;
    }
    m_waves.reported(found->second, event.written);
    m_reports.erase(found);
}

} // namespace radishvane::cells
