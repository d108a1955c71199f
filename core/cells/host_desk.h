#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/host_mover.h"
#include "core/cells/wave_keeper.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace radishvane::cells
{

/// The calls of a cell about its hosts: the list, orders of maintenance waves and of moves, and reports of waves.
class HostDesk
{
public:
    /// Interval between two lists while a host is on its way or a wave is open.
    static constexpr Duration listInterval{400};
    /// The same at other times.
    static constexpr Duration calmListInterval{1'000};
    /// Interval between two plans of moves.
    static constexpr Duration planInterval{200};
    /// Jobs for each millisecond that two plans of moves are apart, so that plans take a bounded part of the time.
    static constexpr std::size_t jobsEachMillisecond = 8;

    HostDesk(CellOutbox &outbox, CellWriter &writer, HostId holder);

    void clear();
    void restore(const std::vector<WaveRow> &rows);
    void see(const std::vector<Wave> &waves);
    /// Foresees demand by the jobs that came in the last seconds, also to the owner before.
    void foresee(const JobRegistry &registry, const SiteConfig &config);
    /// A job was accepted for @p pool now.
    void accepted(const PoolId &pool, const GraphSpec &spec);
    /// Sends what is due.
    /// @param mayOrder whether the cell is owned for certain.
    void advance(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster, bool mayOrder);
    /// Workers that are to be kept free and emptied.
    std::set<WorkerId> cordoned(const WorkerRoster &roster) const;

    void answered(const HostsListed &event);
    /// The newest list of this ownership.
    const HostList &list() const;
    /// @return the worker whose life the order has ended, if it has.
    std::optional<WorkerId> answered(const HostOrderAnswered &event);
    void answered(const WaveReported &event);

private:
    struct Maintenance
    {
        HostId host;
        std::uint64_t wave = 0;
    };
    using HostOrder = std::variant<Maintenance, PlannedMove>;

    void askForList();
    void advanceWaves(const WorkerRoster &roster);
    void advanceMoves(const JobRegistry &registry, const SiteConfig &config, const WorkerRoster &roster);
    void send(const Maintenance &order);
    void send(const PlannedMove &order);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    HostId m_holder;
    HostList m_list;
    WaveKeeper m_waves;
    HostMover m_mover;
    DemandForecast m_forecast;
    /// Workers that the waves keep free.
    std::set<WorkerId> m_cordoned;
    /// When each list was asked for.
    std::map<CallId, TimePoint> m_lists;
    std::map<CallId, HostOrder> m_orders;
    std::map<CallId, std::uint64_t> m_reports;
    TimePoint m_nextList;
    TimePoint m_nextPlan;
};

} // namespace radishvane::cells
