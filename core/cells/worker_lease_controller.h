#pragma once

#include "core/cells/run_ledger.h"

#include <map>

namespace radishvane::cells
{

/// Renews the leases of workers and applies their reports: active and ended runs, runs that never started, and stalled
/// tasks.
class WorkerLeaseController
{
public:
    /// Time for which the worker delays its answer to a renewal while no run ends.
    static constexpr Duration renewalWait{1'000};
    /// Pause between two renewals of a worker, so that one report covers several ends.
    static constexpr Duration renewalPause{60};
    /// Pause after a renewal without an answer.
    static constexpr Duration renewalRetry{250};
    /// A task is stalled when its percentage has not risen for this time.
    static constexpr Duration stallTimeout{2'200};
    /// Time for which a worker gets no best-effort tasks after they brought a service task near its latency target.
    static constexpr Duration bestEffortPause{10'000};

    WorkerLeaseController(CellOutbox &outbox, CellWriter &writer, RunLedger &runs, CellTimes times);

    void clear();
    void answered(const LeaseRenewalAnswered &event);
    /// Sends the renewals that are due.
    void renewLeases();
    /// Ends the runs of workers whose leases have certainly expired.
    void expireLeases();

private:
    void sendRenewal(Worker &worker);
    /// Logs once how long tasks wait for a worker of the owner before that does not answer.
    void logWait(Worker &worker);
    void applyEnded(Worker &worker, const LeaseRenewalReport &report);
    void applyEnd(Worker &worker, const EndedRow &row);
    /// Records the end of a run that is not the current run of its task.
    void applyEarlierEnd(const EndedRow &row);
    void applyRunning(Worker &worker, const LeaseRenewalReport &report, TimePoint sent);
    void endUnlistedRuns(Worker &worker, const LeaseRenewalReport &report, TimePoint sent);
    bool adopt(Worker &worker, const RunningRow &row);
    void stopIfStalled(Worker &worker, const RunningRow &row);
    /// Stops best-effort tasks on the worker of a service task whose tail latency nears its target.
    void protectTailLatency(Worker &worker, const RunningRow &row);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    RunLedger &m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    CellTimes m_times;
    std::map<CallId, WorkerId> m_renewals;
};

} // namespace radishvane::cells
