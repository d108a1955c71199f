#include "core/cells/wave_desk.h"

#include "core/base/enum_names.h"

namespace radishvane::cells
{

WaveDesk::WaveDesk(CellOutbox &outbox, CellWriter &writer, HostId holder)
    : m_outbox(outbox), m_writer(writer), m_holder(std::move(holder))
{
}

void WaveDesk::clear()
{
    m_waves.clear();
    m_lists.clear();
    m_orders.clear();
    m_reports.clear();
    m_cordoned.clear();
}

void WaveDesk::restore(const std::vector<WaveRow> &rows)
{
    m_waves.restore(rows);
}

void WaveDesk::see(const std::vector<Wave> &waves)
{
    m_waves.see(waves);
}

std::set<WorkerId> WaveDesk::advance(const WorkerRoster &roster, bool mayOrder)
{
    if (!m_waves.isActive() || !mayOrder) {
        // Without certain ownership nothing is planned, since a plan's orders would be lost.
        m_cordoned = m_waves.isActive() ? m_cordoned : std::set<WorkerId>{};
        return m_cordoned;
    }
    const TimePoint now = m_outbox.now.steady;
    const WavePlan plan = m_waves.plan(roster, now);
    for (const WaveRow &row : plan.changed) {
        m_writer.changeWave(row);
        if (row.completed) {
            m_outbox.note(CellDecision::WaveCompleted, std::to_string(row.number), {}, row.ordered.size());
        }
    }
    if (plan.listHosts) {
        m_lists[m_outbox.send(ListHosts{})] = now;
    }
    for (const auto &[host, wave] : plan.maintain) {
        order(host, wave);
    }
    for (const auto &[wave, completed] : plan.reports) {
        m_reports[m_outbox.send(ReportWave{{}, wave, completed})] = wave;
    }
    m_cordoned = plan.cordoned;
    return m_cordoned;
}

void WaveDesk::order(const HostId &host, std::uint64_t wave)
{
    MaintainHost order;
    order.host = host;
    order.wave = wave;
    order.holder = m_holder;
    order.fence = m_outbox.epoch;
    m_orders[m_outbox.send(order)] = {host, wave};
    m_outbox.note(CellDecision::HostMaintained, host.name(), {}, wave, "ordered");
}

void WaveDesk::answered(const HostsListed &event)
{
    const auto found = m_lists.find(event.call);
    if (found == m_lists.end()) {
        return;
    }
    const TimePoint asked = found->second;
    m_lists.erase(found);
    if (event.hosts) {
        m_waves.see(*event.hosts, asked);
    }
}

std::optional<WorkerId> WaveDesk::answered(const HostOrderAnswered &event)
{
    const auto found = m_orders.find(event.call);
    if (found == m_orders.end()) {
        return std::nullopt;
    }
    const auto [host, wave] = found->second;
    m_orders.erase(found);
    m_outbox.note(CellDecision::HostMaintained, host.name(), {}, wave,
                  std::string(enumName(hostOrderOutcomeNames, event.outcome)));
    const WorkerId worker = m_waves.ordered(host, wave, event.outcome, m_outbox.now.steady);
    return event.outcome == HostOrderOutcome::Accepted ? std::optional(worker) : std::nullopt;
}

void WaveDesk::answered(const WaveReported &event)
{
    const auto found = m_reports.find(event.call);
    if (found == m_reports.end()) {
        return;
    }
    m_waves.reported(found->second, event.written);
    m_reports.erase(found);
}

} // namespace radishvane::cells
