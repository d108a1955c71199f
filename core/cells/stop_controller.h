#pragma once

#include "core/cells/run_ledger.h"

#include <map>

namespace radishvane::cells
{

/// Stops of runs: those that are wanted until they are accepted, and those that empty a worker.
class StopController
{
public:
    /// A worker that is being emptied has that long to finish its tasks before they are stopped.
    static constexpr Duration emptyPatience{1'500};

    StopController(CellOutbox &outbox, RunLedger &runs);

    void clear();
    /// Ends no lasting task to empty a worker before then.
    void disruptNotBefore(TimePoint time);
    /// Wants stops on workers that are kept free or leave.
    void emptyWorkers();
    /// Sends the stops that are wanted.
    void advanceStops();
    void answered(const OrderAnswered &event);

private:
    void stopAnswered(const TaskId &id, const OrderAnswered &event);
    bool mayDisrupt(const TaskId &id) const;

    CellOutbox &m_outbox;
    RunLedger &m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    std::map<CallId, TaskId> m_stops;
    TimePoint m_disruptNotBefore;
};

} // namespace radishvane::cells
