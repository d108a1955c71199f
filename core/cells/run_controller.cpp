#include "core/cells/run_controller.h"

#include "core/cells/released_runs.h"

#include <algorithm>

namespace radishvane::cells
{

RunController::RunController(CellOutbox &outbox, CellWriter &writer, CellTimes times, const HostCapacity &capacity)
    : m_outbox(outbox)
    , m_writer(writer)
    , m_times(times)
    , m_runs(outbox, writer, times)
    , m_registry(m_runs.registry())
    , m_roster(m_runs.roster())
    , m_leases(outbox, writer, m_runs, times)
    , m_starts(outbox, m_runs, times, capacity)
    , m_stops(outbox, m_runs)
{
}

void RunController::clear()
{
    m_runs.clear();
    m_leases.clear();
    m_starts.clear();
    m_stops.clear();
}

void RunController::rebuild(const CellContents &contents, const std::vector<WorkerEntry> &entries,
                            Epoch startsRecordedSince)
{
    clear();
    const Instant now = m_outbox.now;
    m_roster.reset(contents.roster, now.steady + inheritedLease(), now.steady + m_times.usualLeaseTime());
    m_roster.loseParts(contents.lostRosterParts, now.steady + inheritedLease());
    for (const JobRow &row : contents.jobs) {
        Job &job = m_registry.add(row, now.steady);
        job.stored = true;
        job.inherited = true;
        job.areStartsRecorded = row.epoch >= startsRecordedSince;
    }
    for (const ProgressRow &row : contents.progress) {
        m_registry.restore(row, now);
    }
    for (const JobId &id : m_registry.live()) {
        Job &job = *m_registry.find(id);
        m_registry.openDueOccurrences(job, now);
        // An earlier owner stores a task as done while a run of it is being stopped.
        if (m_registry.closeOccurrences(job, now.steady) == EndEffect::JobEnded) {
            m_writer.changeJob(id);
        }
    }
    // An owner that did not store a release may have granted leases after the release of the one before.
    for (const ReleaseRow &row : contents.release) {
        if (row.epoch + 1 == m_outbox.epoch) {
            restoreRelease(row, m_registry, m_roster, now.steady);
        }
    }
    observe(entries);
    for (const ProgressRow &row : contents.progress) {
        expectLateOrders(row);
    }
    m_stops.forbidDisruptionUntil(now.steady + m_times.stopGrace + disruptionMargin);
    m_runs.requestPlanning();
}

void RunController::expectLateOrders(const ProgressRow &row)
{
    const TimePoint now = m_outbox.now.steady;
    const auto expectLongestLease = [this](const WorkerId &id) {
        if (Worker *worker = m_roster.find(id)) {
            worker->mayHoldLongestLease = true;
            worker->inheritedUsuallyUntil = worker->inheritedUntil;
        }
    };
    const auto expectStart = [this](const WorkerId &id, const TaskId &task, RunNumber run, TimePoint until) {
        m_runs.expectLateOrders(id, until);
        if (Worker *worker = m_roster.find(id)) {
            worker->unlistedStarts[{task, run}] = UnlistedStart{until};
        }
    };
    for (const LateStart &late : row.lateStarts) {
        expectStart(late.worker, TaskId{row.id, late.occurrence, late.step, late.index}, late.run, now + late.left);
        expectLongestLease(late.worker);
    }
    for (const RecordedStart &start : row.starts) {
        if (start.isConfirmed) {
            continue;
        }
        const TaskId id{row.id, start.occurrence, start.step, start.index};
        const TimePoint lateUntil = now + inheritedLease();
        expectStart(start.worker, id, start.run, lateUntil);
        if (Task *task = m_registry.task(id); task != nullptr && task->recordedStart == start) {
            // The order may be carried out after this owner has called the worker.
            task->abandonedStarts.push_back(AbandonedStart{start.worker, start.run, lateUntil, true});
        }
        const StepSpec *spec = m_registry.spec(id);
        // Starts of other tasks are confirmed in the store only by chance, and those tasks wait for the longest lease.
        if (spec != nullptr && spec->isService) {
            expectLongestLease(start.worker);
        }
    }
}

void RunController::settleStarts()
{
    m_starts.withdrawUnsent();
    m_starts.storeUnanswered(Duration{0});
}

std::vector<ReleaseRow> RunController::released() const
{
    return releaseRows(m_outbox.epoch, m_registry, m_roster, m_times.longestLease, m_outbox.now.steady);
}

Duration RunController::inheritedLease() const
{
    // A worker may have restarted without the last owner's knowledge. Its orders refer to the former clock then, so
    // that the worker grants the longest lease.
    return m_times.longestLeaseTime();
}

JobRegistry &RunController::registry()
{
    return m_registry;
}

const JobRegistry &RunController::registry() const
{
    return m_registry;
}

const WorkerRoster &RunController::roster() const
{
    return m_roster;
}

StartController &RunController::starts()
{
    return m_starts;
}

void RunController::observe(const std::vector<WorkerEntry> &entries)
{
    for (const WorkerId &id : m_roster.observe(entries)) {
        Worker &worker = *m_roster.find(id);
        m_runs.endIncarnation(worker, worker.entry->startedAtMs);
    }
    for (const WorkerId &id : m_roster.removable(m_outbox.now.steady)) {
        // Runs that the worker was still stopping are removed with it.
        m_runs.clearForeign(*m_roster.find(id));
        m_roster.remove(id);
        m_writer.changeRoster();
    }
    m_runs.requestPlanning();
}

void RunController::observe(const HostList &list)
{
    for (const WorkerId &id : m_roster.replaced(list)) {
        m_outbox.log(CellDecision::WorkerLost, id.name(), m_roster.find(id)->pool.name(), 0, "host-runs-another");
        endWorker(id);
        m_runs.requestPlanning();
    }
    for (const WorkerId &id : m_roster.wronglyEnded(list)) {
        // The worker is queried before it gets tasks, as after a change of ownership.
        Worker &worker = *m_roster.find(id);
        worker.incarnationEnded = false;
        worker.fenced = false;
        worker.nextRenewal = m_outbox.now.steady;
    }
}

void RunController::stored(const CellWriter::Pending &done)
{
    for (const auto &[id, end] : done.ends) {
        Worker *worker = m_roster.find(id);
        if (worker != nullptr && worker->startedAtMs == end.first) {
            worker->stored = std::max(worker->stored, end.second);
        }
    }
    for (const RosterRow &row : done.transaction.roster) {
        for (const KnownWorker &known : row.workers) {
            Worker *worker = m_roster.find(known.id);
            // The worker may have restarted after the transaction was sent.
            if (worker != nullptr && !worker->incarnationEnded && worker->startedAtMs == known.startedAtMs
                && worker->pool == known.pool && worker->endpoint == known.endpoint) {
                worker->recorded = true;
            }
        }
    }
    m_starts.recorded(done.transaction.progress);
    m_runs.requestPlanning();
}

void RunController::jobEnded(const JobId &id, const std::string &reason)
{
    m_runs.jobEnded(id, reason);
}

void RunController::requestPlanning()
{
    m_runs.requestPlanning();
}

void RunController::endWorker(const WorkerId &id)
{
    Worker *worker = m_roster.find(id);
    if (worker == nullptr) {
        return;
    }
    m_runs.endAllRuns(*worker, CellDecision::HostMaintained);
    worker->incarnationEnded = true;
    worker->incarnationEndedAt = m_outbox.now.steady;
    worker->recorded = false;
    m_writer.changeRoster();
}

void RunController::cordon(const std::set<WorkerId> &workers)
{
    for (auto &[id, worker] : m_roster.all()) {
        worker.cordoned = workers.count(id) > 0;
    }
}

void RunController::withholdTasks(const std::set<HostId> &hosts)
{
    for (auto &[id, worker] : m_roster.all()) {
        worker.isHostInDoubt = hosts.count(worker.host) > 0;
    }
}

void RunController::answered(const OrderAnswered &event)
{
    if (!m_starts.answered(event)) {
        m_stops.answered(event);
    }
}

void RunController::answered(const LeaseRenewalAnswered &event)
{
    m_leases.answered(event);
}

void RunController::answered(const AdmissionAnswered &event)
{
    m_starts.answered(event);
}

void RunController::advance(const SiteConfig &config, bool mayOrder)
{
    for (const JobId &id : m_registry.live()) {
        Job &job = *m_registry.find(id);
        if (job.row.spec.repeats > 0) {
            m_registry.openDueOccurrences(job, m_outbox.now);
        }
    }
    if (m_roster.regainLostParts(m_outbox.now.steady)) {
        m_writer.changeRoster();
        m_runs.requestPlanning();
    }
    m_leases.expireLeases();
    m_starts.storeUnanswered(StartController::unansweredAge);
    m_starts.withdrawStopped();
    if (mayOrder) {
        m_starts.sendRecorded();
        m_leases.renewLeases();
        m_stops.drainWorkers();
        m_stops.sendStops();
        m_starts.planStarts(config);
    }
}

void RunController::advanceStarts(const SiteConfig &config, bool mayOrder)
{
    if (mayOrder) {
        m_starts.sendRecorded();
        m_starts.planStarts(config);
    }
}

} // namespace radishvane::cells
