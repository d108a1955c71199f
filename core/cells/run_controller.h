#pragma once

#include "core/cells/run_ledger.h"
#include "core/cells/start_controller.h"
#include "core/cells/stop_controller.h"
#include "core/cells/worker_lease_controller.h"

#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Controls the runs of a cell's tasks on its workers: starts, lease renewals, ends and stops.
///
/// A task starts only when no earlier run of it can still be active: each earlier run has ended, was never started, or
/// has lost its lease by its worker's clock.
class RunController
{
public:
    /// Added to the stop time of a task before a new owner may disrupt service tasks, so that it has time to query the
    /// workers.
    static constexpr Duration disruptionMargin{1'000};

    RunController(CellOutbox &outbox, CellWriter &writer, CellTimes times, const HostCapacity &capacity);

    /// Restores the state from the store under a new epoch.
    /// @param startsRecordedSince first epoch since which all owners have recorded their starts.
    void rebuild(const CellContents &contents, const std::vector<WorkerEntry> &entries, Epoch startsRecordedSince);
    void clear();
    /// Withdraws the starts that are not sent and stores those without an answer, before this owner releases the cell.
    void settleStarts();
    /// What the next owner may rely on if this owner releases the cell now.
    std::vector<ReleaseRow> released() const;

    void observe(const std::vector<WorkerEntry> &entries);
    /// Ends the incarnations of workers that the list of hosts shows to be over.
    void observe(const HostList &list);
    void answered(const OrderAnswered &event);
    void answered(const LeaseRenewalAnswered &event);
    void answered(const AdmissionAnswered &event);
    /// Updates the workers and the planned starts after a transaction stored ends and starts of runs.
    void stored(const CellWriter::Pending &done);
    /// Ends all runs of a worker whose incarnation is known to have ended.
    void endWorker(const WorkerId &id);
    /// Requests stops of the runs of a job that has ended.
    void jobEnded(const JobId &id, const std::string &reason);
    /// Makes the next advance() plan starts, because tasks may have become due.
    void requestPlanning();
    /// Periodic work: opens due occurrences, ends runs with expired leases, renews leases, sends stops and plans
    /// starts.
    /// @param mayOrder whether this process certainly owns the cell.
    void advance(const SiteConfig &config, bool mayOrder);
    /// Plans starts after an event.
    void advanceStarts(const SiteConfig &config, bool mayOrder);
    /// Assigns no new tasks to @p workers and drains them.
    void cordon(const std::set<WorkerId> &workers);

    /// Assigns no new tasks to workers on @p hosts.
    void withholdTasks(const std::set<HostId> &hosts);

    /// Time after a change of ownership by which all leases that earlier owners granted have expired.
    Duration inheritedLease() const;
    JobRegistry &registry();
    const JobRegistry &registry() const;
    const WorkerRoster &roster() const;
    StartController &starts();

private:
    /// Prepares for the starts of earlier owners that may still be carried out.
    void expectLateOrders(const ProgressRow &row);

    CellOutbox &m_outbox;
    CellWriter &m_writer;
    CellTimes m_times;
    RunLedger m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    WorkerLeaseController m_leases;
    StartController m_starts;
    StopController m_stops;
};

} // namespace radishvane::cells
