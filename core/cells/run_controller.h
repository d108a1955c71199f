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

/// The runs of a cell's tasks on its workers: starts, leases, ends and stops.
///
/// A task starts only when no earlier run of it can be alive: each earlier run has ended, was never carried out, or has
/// lost its lease on its worker's clock.
class RunController
{
public:
    /// Beyond the time to stop a task: time for the workers to be asked by a new owner.
    static constexpr Duration disruptionMargin{1'000};

    RunController(CellOutbox &outbox, CellWriter &writer, CellTimes times);

    /// Begins under a new epoch with what the store holds.
    void rebuild(const CellContents &contents, const std::vector<WorkerEntry> &entries);
    void clear();

    void observe(const std::vector<WorkerEntry> &entries);
    /// Ends the lives of workers that the list of hosts shows to be over.
    void observe(const HostList &list);
    void answered(const OrderAnswered &event);
    void answered(const HoldAnswered &event);
    void answered(const AdmissionAnswered &event);
    /// A transaction has stored what it held of ends.
    void stored(const CellWriter::Pending &done);
    /// The life of a worker has ended for certain, with all that it ran.
    void endWorker(const WorkerId &id);
    /// A job that may need stops has ended.
    void jobEnded(const JobId &id, const std::string &reason);
    /// Tasks may have come due with time, so the next advance() looks for starts.
    void requestPlanning();
    /// Sends what is due at intervals: holds, stops and expired leases; then starts.
    /// @param mayOrder whether the cell is owned for certain.
    void advance(const SiteConfig &config, bool mayOrder);
    /// Sends the starts that an event has made possible.
    void advanceStarts(const SiteConfig &config, bool mayOrder);
    /// Keeps these workers free of new tasks, and empties them.
    void cordon(const std::set<WorkerId> &workers);

    JobRegistry &registry();
    const JobRegistry &registry() const;
    const WorkerRoster &roster() const;

private:
    CellOutbox &m_outbox;
    CellWriter &m_writer;
    CellTimes m_times;
    RunLedger m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    WorkerLeaseController m_holds;
    StartController m_starts;
    StopController m_stops;
};

} // namespace radishvane::cells
