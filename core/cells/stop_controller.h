#pragma once

#include "core/cells/run_ledger.h"

#include <map>

namespace radishvane::cells
{

/// Stops runs: sends requested stops until the worker accepts them, and drains workers that are cordoned or leave.
class StopController
{
public:
    /// Time for which a cordoned worker may finish its tasks before they are stopped.
    static constexpr Duration drainGracePeriod{1'500};

    StopController(CellOutbox &outbox, RunLedger &runs);

    void clear();
    /// Stops no service task in order to drain a cordoned worker before @p time.
    void forbidDisruptionUntil(TimePoint time);
    /// Requests stops on workers that are cordoned or leave.
    void drainWorkers();
    /// Sends the requested stops.
    void sendStops();
    void answered(const OrderAnswered &event);

private:
    void stopAnswered(const TaskId &id, const OrderAnswered &event);
    bool mayDisrupt(const TaskId &id) const;

    CellOutbox &m_outbox;
    RunLedger &m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    std::map<CallId, TaskId> m_pendingStops;
    TimePoint m_noDisruptionUntil;
};

} // namespace radishvane::cells
