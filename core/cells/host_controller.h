#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/host_mover.h"
#include "core/cells/host_order_ledger.h"
#include "core/cells/host_order_pacer.h"
#include "core/cells/wave_controller.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace radishvane::cells
{

/// Coordinates the hosts of a cell: polls the list of hosts, sends maintenance and move orders, and reports the
/// progress of waves.
class HostController
{
public:
    /// Interval between two requests for the list while a host is moving or a wave is open.
    static constexpr Duration listInterval{400};
    /// Interval between two requests for the list at other times.
    static constexpr Duration idleListInterval{1'000};
    /// Minimum interval between two plans of moves.
    static constexpr Duration planInterval{200};
    /// The interval between plans grows by one millisecond for this many jobs, which bounds the share of time that
    /// planning takes.
    static constexpr std::size_t jobsPerMillisecond = 8;

    HostController(CellOutbox &outbox, CellWriter &writer, HostId holder, const HostServiceLimits &limits);

    void clear();
    void restore(const std::vector<WaveRow> &waves, const HostOrdersRow &orders);
    /// Records that the row of hosts with orders cannot be read.
    void loseOrders();
    void observe(const std::vector<Wave> &waves);
    /// Fills the demand forecast with the jobs of the last seconds, including those that a former owner accepted.
    void restoreForecast(const JobRegistry &registry, const SiteConfig &config);
    /// Adds a job that was accepted for @p pool now to the demand forecast.
    void recordAcceptedJob(const PoolId &pool, const Job &job);
    /// Hosts that are on their way to a pool or may be moved to any pool.
    IncomingHosts incoming(const SiteConfig &config, const WorkerRoster &roster) const;
    /// Sends the orders and reports that are due.
    /// @param mayOrder whether the lease of the cell is valid.
    void advance(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster, bool mayOrder);
    /// Records that the store names the hosts of @p row.
    void stored(const HostOrdersRow &row);
    /// Sends the planned orders for hosts that the store names.
    void sendStored(bool mayOrder);
    /// Hosts with orders that may still be carried out; their workers get no new tasks.
    std::set<HostId> hostsWithOrders(const WorkerRoster &roster) const;
    /// Workers that get no new tasks and are drained.
    std::set<WorkerId> cordoned(const WorkerRoster &roster) const;

    void answered(const HostsListed &event);
    /// The newest list of hosts under this ownership.
    const HostList &list() const;
    /// @return the worker whose incarnation the order has ended, if any.
    std::optional<WorkerId> answered(const HostOrderAnswered &event);
    void answered(const WaveReported &event);

private:
    struct Maintenance
    {
        HostId host;
        std::uint64_t wave = 0;
    };
    using HostOrder = std::variant<Maintenance, PlannedMove, HostFencing>;

    void requestHostList();
    void advanceWaves(const WorkerRoster &roster);
    void advanceMoves(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster);
    void fenceHosts();
    void planOrder(const HostId &host, HostOrder order);
    void send(const Maintenance &order);
    void send(const PlannedMove &order);
    void send(const HostFencing &order);
    void sendMove(const HostId &host, const PoolId &pool, const HostOrder &order);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    HostId m_holder;
    HostList m_list;
    WaveController m_waves;
    HostMover m_mover;
    HostOrderLedger m_orders;
    HostOrderPacer m_pacer;
    DemandForecast m_forecast;
    /// Workers that are cordoned for waves.
    std::set<WorkerId> m_cordonedByWaves;
    /// Time of each pending request for the list.
    std::map<CallId, TimePoint> m_pendingLists;
    /// Orders that wait until the store names their hosts.
    std::vector<std::pair<HostId, HostOrder>> m_plannedOrders;
    std::map<CallId, HostOrder> m_pendingOrders;
    std::map<CallId, std::uint64_t> m_pendingReports;
    TimePoint m_nextList;
    TimePoint m_nextPlan;
};

} // namespace radishvane::cells
