#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/wave_keeper.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace radishvane::cells
{

/// The calls of a cell's maintenance waves: to the host service, to the store, and to the operator.
class WaveDesk
{
public:
    WaveDesk(CellOutbox &outbox, CellWriter &writer, HostId holder);

    void clear();
    void restore(const std::vector<WaveRow> &rows);
    void see(const std::vector<Wave> &waves);
    /// Sends what is due.
    /// @param mayOrder whether the cell is owned for certain.
    /// @return the workers that are to be kept free and emptied.
    std::set<WorkerId> advance(const WorkerRoster &roster, bool mayOrder);

    void answered(const HostsListed &event);
    /// @return the worker whose life the order has ended, if it has.
    std::optional<WorkerId> answered(const HostOrderAnswered &event);
    void answered(const WaveReported &event);

private:
    void order(const HostId &host, std::uint64_t wave);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    HostId m_holder;
    WaveKeeper m_waves;
    std::set<WorkerId> m_cordoned;
    /// When each list was asked for.
    std::map<CallId, TimePoint> m_lists;
    std::map<CallId, std::pair<HostId, std::uint64_t>> m_orders;
    std::map<CallId, std::uint64_t> m_reports;
};

} // namespace radishvane::cells
