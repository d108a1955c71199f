#pragma once

#include "core/cells/run_ledger.h"

#include <map>

namespace radishvane::cells
{

/// Lengths of time that the site's bounds decide.
struct CellTimes
{
    /// Lease of what runs on a worker, from each hold call.
    Duration leaseTime{5'000};
    /// Time for a worker to stop a task.
    Duration stopGrace{1'000};
    /// An ended job can be asked about for this long.
    Duration endedJobRetention{150'000};
};

/// The leases of workers, and what their lists tell: runs, ends, tasks that never came and tasks that stand still.
class WorkerLeaseController
{
public:
    /// A hold call waits so long for an end.
    static constexpr Duration holdWait{1'000};
    /// Pause between two hold calls to a worker, so that ends come together.
    static constexpr Duration holdPause{60};
    /// Pause after a hold call that had no answer.
    static constexpr Duration holdRetry{250};
    /// A task whose percentage has not risen for that long stands still.
    static constexpr Duration stallTime{2'200};
    /// Time without filling tasks on a worker where they came too near to a lasting one.
    static constexpr Duration fillPause{10'000};

    WorkerLeaseController(CellOutbox &outbox, CellWriter &writer, RunLedger &runs, CellTimes times);

    void clear();
    void answered(const HoldAnswered &event);
    /// Renews leases and asks for lists where it is time.
    void advanceHolds();
    /// Ends the tasks of workers whose leases have expired for certain.
    void expireLeases();

private:
    void sendHold(Worker &worker);
    void takeEnds(Worker &worker, const HoldReport &report);
    void takeRunning(Worker &worker, const HoldReport &report, TimePoint sent);
    void takeMissing(Worker &worker, const HoldReport &report, TimePoint sent);
    bool adopt(Worker &worker, const RunningRow &row);
    void stopIfStalled(Worker &worker, const RunningRow &row);
    /// Stops what disturbs a lasting task that comes near to the bound on its tail.
    void guardTail(Worker &worker, const RunningRow &row);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    RunLedger &m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    CellTimes m_times;
    std::map<CallId, WorkerId> m_holds;
};

} // namespace radishvane::cells
