#include "core/jobs/job_controller.h"

#include "core/base/overloaded.h"
#include "core/membership/rendezvous.h"
#include "core/routing/admission.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Maximum number of bytes of a result that the row stores; longer results are cut.
constexpr std::size_t maxResultBytes = 4'096;

} // namespace

JobController::JobController(HostId host, std::uint64_t seed)
    : m_host(host), m_workers(seed), m_requestHandler(std::move(host))
{
}

JobEffects JobController::handle(const JobEvent &event, Instant now)
{
    m_now = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return m_outbox.take();
}

std::vector<JobRow> JobController::owned() const
{
    std::vector<JobRow> rows;
    for (const auto &[id, job] : m_jobs) {
        rows.push_back(job.row);
    }
    return rows;
}

void JobController::on(const JobSubmitted &event)
{
    m_requestHandler.submit(event, requestContext(), m_outbox);
}

void JobController::on(const JobQueried &event)
{
    m_requestHandler.query(event, requestContext(), m_outbox);
}

void JobController::on(const JobCancelRequested &event)
{
    m_requestHandler.cancel(event, requestContext(), m_outbox);
}

void JobController::on(const PlatformAnswered &event)
{
    const JobRequestHandler::Outcome outcome = m_requestHandler.onPlatformAnswer(event, requestContext(), m_outbox);
    if (outcome.handled) {
        if (outcome.accepted) {
            addJob(outcome.accepted->first, outcome.accepted->second, Stage::Waiting);
        }
        m_nextScan = outcome.mayLeaveOrphan ? m_now.steady : m_nextScan;
        reportDemand();
        return;
    }
    if (event.id == m_scan) {
        m_scan = {};
        if (const auto *found = std::get_if<RowsFound>(&event.answer)) {
            onScanned(*found);
        }
    } else if (auto adoption = m_adoptions.extract(event.id)) {
        if (const auto *written = std::get_if<RowsWritten>(&event.answer)) {
            const auto &[row, stage] = adoption.mapped();
            addJob(row, written->versions.front(), stage);
            m_outbox.log(JobStep::Adopted, row);
        }
    } else if (auto handedBack = m_handBacks.extract(event.id)) {
        for (const JobId &id : handedBack.mapped()) {
            if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
                // If the write failed, another entry host adopts the job as an orphan once this session has ended.
                drop(found->second, JobStep::HandedBack);
            }
        }
    } else if (auto operation = m_jobOperations.extract(event.id)) {
        const auto found = m_jobs.find(operation.mapped());
        if (found == m_jobs.end()) {
            return;
        }
        found->second.operation = {};
        if (found->second.stage == Stage::Rereading) {
            onReread(found->second, event.answer);
        } else {
            onWritten(found->second, event.answer);
        }
    }
    reportDemand();
}

void JobController::on(const WorkerAnswered &event)
{
    const auto entry = m_jobCalls.find(event.id);
    if (entry == m_jobCalls.end()) {
        return;
    }
    const JobId id = entry->second;
    m_jobCalls.erase(entry);
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.call != event.id) {
        return;
    }
    Job &job = found->second;
    job.call = {};
    std::visit(Overloaded{
                   [&](const TaskReport &report) { onReport(job, report); },
                   [&](WorkerFailure failure) { onWorkerUnreachable(job, failure); },
               },
               event.answer);
    reportDemand();
}

void JobController::on(const JobConfig &event)
{
    m_config = event.config;
    m_workers.setConfig(*applyHostMoves(m_config, m_hostRows));
    for (const auto &[team, settings] : m_config->teams) {
        m_rights.setCeiling(team, settings.ceiling);
    }
}

void JobController::on(const HostPlacementsUpdated &event)
{
    m_hostRows = event.rows;
    if (m_config != nullptr) {
        m_workers.setConfig(*applyHostMoves(m_config, m_hostRows));
    }
}

void JobController::on(const JobAllowance &event)
{
    m_rights.setAllowance(event.team, event.standing, event.leased, event.generation);
    m_reportedDemand.try_emplace(event.team, JobDemand{event.team, 0, 0, 0});
    reportDemand();
}

void JobController::on(const JobLease &event)
{
    m_leasedUntil = event.until;
    m_rights.setLeasedUntil(event.until);
}

void JobController::on(const JobHolder &event)
{
    m_self = event.holder;
    m_nextScan = m_now.steady;
}

void JobController::on(const JobLeavingHosts &event)
{
    m_leavingHosts = event.hosts;
    m_workers.setLeaving(event.hosts);
    for (auto &[id, job] : m_jobs) {
        // Relocation begins at once instead of at the next renewal.
        job.nextReconcile
            = job.stage == Stage::Running && m_leavingHosts.contains(job.row.worker) ? m_now.steady : job.nextReconcile;
    }
}

void JobController::on(const JobPeers &event)
{
    m_liveHosts = event.live;
}

void JobController::on(const SessionsObserved &event)
{
    std::map<HostId, SessionRow> before = std::exchange(m_sessions, {});
    for (const SessionsObserved::ObservedSession &seen : event.sessions) {
        m_sessions[seen.row.holder.host] = seen.row;
    }
    for (const auto &[host, session] : before) {
        const auto now = m_sessions.find(host);
        const bool changed
            = now == m_sessions.end() || now->second.holder != session.holder || now->second.ended != session.ended;
        if (changed) {
            m_nextScan = m_now.steady;
        }
    }
}

void JobController::on(const JobTick &)
{
    m_requestHandler.flushCancellations(m_outbox);
    scanForOrphans();
    std::vector<std::pair<double, JobId>> order;
    for (const auto &[id, job] : m_jobs) {
        const auto team
            = m_config == nullptr ? std::map<TeamId, Team>::const_iterator() : m_config->teams.find(job.row.team);
        const bool known = m_config != nullptr && team != m_config->teams.end();
        const double share = known ? team->second.share : 1.0;
        order.emplace_back(m_rights.running(job.row.team) / share, id);
    }
    // Teams with the fewest running tasks relative to their share are served first.
    std::sort(order.begin(), order.end());
    for (const auto &[load, id] : order) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            reconcile(found->second);
        }
    }
    if (m_stopping) {
        handBack();
    }
    reportDemand();
}

void JobController::on(const JobStop &)
{
    m_stopping = true;
    handBack();
}

void JobController::addJob(const JobRow &row, std::uint64_t version, Stage stage)
{
    Job &job = m_jobs[row.id];
    job.row = row;
    job.version = version;
    job.stage = stage;
    job.nextReconcile = m_now.steady;
    job.taskLeaseExpiry = m_now.steady + taskLease + clockDriftMargin;
    if (stage == Stage::Adopted) {
        job.reserved = row.needs;
        m_workers.addUsage(row.worker, row.needs);
    }
}

void JobController::reconcile(Job &job)
{
    const bool busy = job.operation != OperationId{} || job.call != WorkerCallId{};
    if (busy || m_now.steady < job.nextReconcile || m_config == nullptr || !m_self) {
        return;
    }
    switch (job.stage) {
    case Stage::Waiting:
        place(job);
        return;
    case Stage::Writing:
    case Stage::Starting:
        return;
    case Stage::InDoubt:
        if (m_now.steady >= job.taskLeaseExpiry) {
            onTaskLeaseExpired(job);
            return;
        }
        send(job, FenceTask{job.row.id, job.row.epoch});
        return;
    case Stage::Adopted:
        if (m_now.steady >= job.taskLeaseExpiry) {
            onTaskLeaseExpired(job);
            return;
        }
        // Without a right the lease is not renewed: the call only queries the state of the task.
        send(job, RenewTask{job.row.id, job.row.epoch, acquireRight(job) ? taskLease : Duration(0)});
        return;
    case Stage::Running:
        if (m_now.steady >= job.taskLeaseExpiry) {
            onTaskLeaseExpired(job);
            return;
        }
        if (m_now.wall >= job.row.endBy) {
            requestTaskStop(job.row, m_workers, m_outbox);
            end(job, JobState::Failed, JobReason::DeadlinePassed);
            return;
        }
        if (m_leavingHosts.contains(job.row.worker) && job.canCheckpoint) {
            // Any job, idempotent or not, can resume from a checkpoint on another host. The request is repeated until
            // the worker reports that the checkpoint is written.
            send(job, CheckpointTask{job.row.id, job.row.epoch});
            return;
        }
        if (m_leavingHosts.contains(job.row.worker) && job.row.idempotent && !job.relocating) {
            // Only an idempotent job is stopped and run again elsewhere; the others may finish before the host leaves.
            job.relocating = true;
            requestTaskStop(job.row, m_workers, m_outbox);
        }
        // Once the session has expired, another entry host may own the job, so the task lease is no longer renewed.
        send(job, RenewTask{job.row.id, job.row.epoch, m_now.steady < m_leasedUntil ? taskLease : Duration(0)});
        return;
    case Stage::Ending:
        write(job, job.row);
        return;
    case Stage::Rereading:
        job.operation = m_outbox.call(ReadRow{rowKey::job(job.row.id)});
        m_jobOperations.emplace(job.operation, job.row.id);
        return;
    }
}

std::optional<JobReason> JobController::permanentFailure(const JobRow &row) const
{
    const auto team = m_config->teams.find(row.team);
    if (team == m_config->teams.end()) {
        return JobReason::UnknownTeam;
    }
    if (team->second.ceiling == 0) {
        return JobReason::TeamCeilingZero;
    }
    if (!m_workers.canEverFit(row.needs)) {
        return JobReason::LargerThanAnyWorker;
    }
    if (row.attempts >= maxJobAttempts) {
        return JobReason::AttemptsUsedUp;
    }
    if (m_now.wall >= row.endBy) {
        return JobReason::DeadlinePassed;
    }
    return std::nullopt;
}

void JobController::place(Job &job)
{
    if (const auto reason = permanentFailure(job.row)) {
        end(job, JobState::Failed, *reason);
        return;
    }
    if (m_stopping || !acquireRight(job)) {
        job.row.reason = JobReason::NoFreeRight;
        return;
    }
    const JobResources needs = m_usageEstimator.needs(job.row.kind, job.row.needs);
    const auto worker = m_workers.reserve(needs, m_now.steady);
    if (!worker) {
        job.row.reason = JobReason::NoFreeWorker;
        releaseResources(job);
        return;
    }
    job.reserved = needs;
    JobRow row = job.row;
    row.state = JobState::Starting;
    row.reason = JobReason::None;
    row.worker = *worker;
    ++row.epoch;
    ++row.attempts;
    write(job, std::move(row));
}

void JobController::write(Job &job, JobRow row)
{
    job.stage = isTerminal(row.state) ? Stage::Ending : Stage::Writing;
    job.pendingRow = std::move(row);
    job.operation
        = m_outbox.call(WriteRows{{RowWrite{rowKey::job(job.row.id), job.version, RowValue(job.pendingRow)}}});
    m_jobOperations.emplace(job.operation, job.row.id);
}

void JobController::startTask(Job &job)
{
    const JobRow &row = job.row;
    job.stage = Stage::Starting;
    job.taskLeaseExpiry = m_now.steady + taskLease + clockDriftMargin;
    send(job,
         StartTask{row.id, row.epoch, taskLease, job.reserved.value_or(row.needs), row.kind, row.payload,
                   row.checkpoint});
}

void JobController::onWritten(Job &job, const PlatformAnswer &answer)
{
    if (const auto *written = std::get_if<RowsWritten>(&answer)) {
        job.row = job.pendingRow;
        job.version = written->versions.front();
        if (isTerminal(job.row.state)) {
            drop(job, JobStep::Ended);
            return;
        }
        m_outbox.log(JobStep::Placed, job.row);
        startTask(job);
        return;
    }
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    if (failed != nullptr && failed->error == PlatformError::Unavailable) {
        job.nextReconcile = m_now.steady + retryInterval;
        if (job.stage == Stage::Writing) {
            // The write did not take effect, so no task was started.
            job.stage = Stage::Waiting;
            releaseResources(job);
        }
        return;
    }
    job.stage = Stage::Rereading;
    job.nextReconcile = m_now.steady;
}

void JobController::onReread(Job &job, const PlatformAnswer &answer)
{
    const auto *found = std::get_if<RowFound>(&answer);
    if (found == nullptr) {
        if (std::holds_alternative<RowAbsent>(answer)) {
            drop(job, JobStep::Dropped);
            return;
        }
        job.nextReconcile = m_now.steady + retryInterval;
        return;
    }
    const auto &row = std::get<JobRow>(found->row.value);
    if (isTerminal(row.state) || row.owner != *m_self) {
        drop(job, JobStep::Dropped);
        return;
    }
    const bool ending = isTerminal(job.pendingRow.state);
    const bool starting = !ending && row.epoch == job.pendingRow.epoch;
    job.version = found->row.version;
    job.nextReconcile = m_now.steady;
    if (ending) {
        // Only a cancellation can have changed the row in between; the known final state takes precedence over it.
        JobRow ended = job.pendingRow;
        ended.cancelRequested = row.cancelRequested;
        if (row.cancelRequested && ended.reason == JobReason::MayHaveRun) {
            ended.state = JobState::Cancelled;
            ended.reason = JobReason::CancelledByCaller;
        }
        write(job, std::move(ended));
        return;
    }
    job.row = row;
    if (row.cancelRequested) {
        end(job, JobState::Cancelled, JobReason::CancelledByCaller);
        return;
    }
    if (starting) {
        // The write took effect, but the start has not been sent to the worker.
        startTask(job);
        return;
    }
    job.stage = Stage::Waiting;
    releaseResources(job);
}

void JobController::send(Job &job, WorkerRequest request)
{
    const auto endpoint = m_workers.endpoint(job.row.worker);
    if (!endpoint) {
        // The worker's host was removed from the configuration; its task stops when the lease expires.
        job.nextReconcile = m_now.steady + retryInterval;
        if (job.stage == Stage::Starting) {
            requeue(job, false);
        }
        return;
    }
    job.call = m_outbox.call(*endpoint, std::move(request));
    job.callSentAt = m_now.steady;
    m_jobCalls.emplace(job.call, job.row.id);
}

void JobController::onReport(Job &job, const TaskReport &report)
{
    job.canCheckpoint = report.canCheckpoint;
    switch (report.state) {
    case TaskState::Running:
        if (job.stage == Stage::Adopted && !job.holdsRight) {
            job.nextReconcile = m_now.steady + retryInterval;
            return;
        }
        job.stage = Stage::Running;
        if (m_now.steady < m_leasedUntil) {
            job.taskLeaseExpiry = m_now.steady + taskLease + clockDriftMargin;
        }
        job.nextReconcile = job.callSentAt + renewInterval;
        return;
    case TaskState::Done:
        m_workers.recordSuccess(job.row.worker);
        m_usageEstimator.record(job.row.kind, report.ran, report.usedMemoryGb);
        end(job, JobState::Done, JobReason::None, report.result);
        return;
    case TaskState::Failed:
        if (m_workers.recordFailure(job.row.worker, m_now.steady)) {
            m_outbox.log(JobStep::WorkerEjected, job.row);
        }
        if (!job.row.idempotent) {
            end(job, JobState::Failed, JobReason::WorkFailed, report.result);
            return;
        }
        requeue(job, true);
        return;
    case TaskState::Stopped:
        if (job.row.cancelRequested) {
            end(job, JobState::Cancelled, JobReason::CancelledByCaller);
            return;
        }
        // The stop came from a cancellation that only the stored row records, from relocation, or from an expired
        // lease.
        if (job.row.idempotent) {
            requeue(job, !job.relocating);
            return;
        }
        end(job, JobState::Failed, JobReason::MayHaveRun);
        return;
    case TaskState::Checkpointed:
        if (job.row.cancelRequested) {
            end(job, JobState::Cancelled, JobReason::CancelledByCaller);
            return;
        }
        // The checkpoint is stored in the row with the next start. Until then the row names this worker, and an owner
        // that adopts the job learns of the checkpoint from it.
        job.row.checkpoint = report.checkpoint;
        requeue(job, false);
        return;
    case TaskState::NeverStarted:
        requeue(job, false);
        return;
    case TaskState::Refused:
        m_workers.recordRefusal(job.row.worker, m_now.steady);
        requeue(job, false);
        return;
    case TaskState::Unknown:
        if (m_workers.recordFailure(job.row.worker, m_now.steady)) {
            m_outbox.log(JobStep::WorkerEjected, job.row);
        }
        if (job.stage == Stage::Adopted || job.stage == Stage::InDoubt) {
            // A fence settles whether an earlier start can still reach the worker.
            job.stage = Stage::InDoubt;
            job.nextReconcile = m_now.steady;
            return;
        }
        onTaskLeaseExpired(job);
        return;
    }
}

void JobController::onWorkerUnreachable(Job &job, WorkerFailure failure)
{
    if (m_workers.recordFailure(job.row.worker, m_now.steady)) {
        m_outbox.log(JobStep::WorkerEjected, job.row);
    }
    if (job.stage == Stage::Starting) {
        if (failure == WorkerFailure::NotSent) {
            requeue(job, false);
            return;
        }
        job.stage = Stage::InDoubt;
    }
    job.nextReconcile = m_now.steady + retryInterval;
}

void JobController::onTaskLeaseExpired(Job &job)
{
    // The worker stopped the task when its lease expired, but the task may have run until then.
    if (job.row.idempotent) {
        requeue(job, true);
        return;
    }
    end(job, JobState::Failed, JobReason::MayHaveRun);
}

void JobController::requeue(Job &job, bool countsAsAttempt)
{
    releaseResources(job);
    job.row.attempts -= countsAsAttempt || job.row.attempts == 0 ? 0 : 1;
    job.relocating = false;
    job.stage = Stage::Waiting;
    job.nextReconcile = m_now.steady + (countsAsAttempt ? retryInterval : Duration(0));
    m_outbox.log(JobStep::Requeued, job.row);
}

void JobController::end(Job &job, JobState state, JobReason reason, const std::string &result)
{
    JobRow row = job.row;
    row.state = state;
    row.reason = reason;
    row.result = result.substr(0, maxResultBytes);
    job.row = row;
    write(job, std::move(row));
}

void JobController::drop(Job &job, JobStep step)
{
    releaseResources(job);
    m_outbox.log(step, job.row);
    m_jobOperations.erase(job.operation);
    m_jobCalls.erase(job.call);
    const JobId id = job.row.id;
    m_jobs.erase(id);
}

void JobController::releaseResources(Job &job)
{
    if (job.holdsRight) {
        m_rights.release(job.row.team);
        job.holdsRight = false;
    }
    if (job.reserved) {
        const HostId &worker = job.stage == Stage::Writing ? job.pendingRow.worker : job.row.worker;
        m_workers.release(worker, *job.reserved);
        job.reserved.reset();
    }
}

bool JobController::acquireRight(Job &job)
{
    if (!job.holdsRight) {
        job.holdsRight = m_rights.take(job.row.team, m_now.steady);
    }
    return job.holdsRight && m_now.steady < m_leasedUntil;
}

void JobController::scanForOrphans()
{
    if (m_stopping || !m_self || m_scan != OperationId{} || m_now.steady < m_nextScan) {
        return;
    }
    m_nextScan = m_now.steady + orphanScanInterval;
    m_scan = m_outbox.call(ScanRows{std::string(rowKey::jobs)});
}

void JobController::onScanned(const RowsFound &found)
{
    removeExpiredJobs(found);
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<JobRow>(stored.value);
        const bool tracked = m_jobs.contains(row.id) || isWriteInFlight(row.id);
        // Only this process can adopt a row that names it as the owner, since all others see that owner as live.
        const bool namesThisProcess = row.owner == *m_self;
        if (tracked || isTerminal(row.state) || ownerIsLive(row.owner)
            || !(namesThisProcess || isResponsibleFor(row.id))) {
            continue;
        }
        JobRow adopted = row;
        adopted.owner = *m_self;
        const Stage stage = row.state == JobState::Queued ? Stage::Waiting : Stage::Adopted;
        const RowWrite write{stored.key, stored.version, RowValue(adopted)};
        m_adoptions.emplace(m_outbox.call(WriteRows{{write}}), std::pair(adopted, stage));
    }
}

void JobController::removeExpiredJobs(const RowsFound &found)
{
    WriteRows removal;
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<JobRow>(stored.value);
        const bool isExpired = isTerminal(row.state) && m_now.wall >= row.endBy + endedJobRetention;
        if (isExpired && isResponsibleFor(row.id) && removal.writes.size() < maxBatchSize) {
            removal.writes.push_back({stored.key, stored.version, std::nullopt});
        }
    }
    if (!removal.writes.empty()) {
        m_outbox.call(std::move(removal));
    }
}

bool JobController::ownerIsLive(const HolderId &owner) const
{
    if (owner == *m_self) {
        // The row names this process, but the controller does not track the job: the write that created or adopted
        // the row had an unknown outcome.
        return false;
    }
    const auto found = m_sessions.find(owner.host);
    return found != m_sessions.end() && found->second.holder == owner && !found->second.ended;
}

bool JobController::isResponsibleFor(const JobId &job) const
{
    return isRendezvousOwner(m_host, m_liveHosts, job.name());
}

bool JobController::isWriteInFlight(const JobId &job) const
{
    return m_requestHandler.isSubmitting(job)
        || std::any_of(m_adoptions.begin(), m_adoptions.end(),
                       [&](const auto &entry) { return entry.second.first.id == job; });
}

void JobController::reportDemand()
{
    std::map<TeamId, std::uint32_t> waiting;
    for (const auto &[id, job] : m_jobs) {
        const bool needsRight = job.stage == Stage::Waiting || job.stage == Stage::Adopted;
        waiting[job.row.team] += needsRight && !job.holdsRight ? 1 : 0;
        m_reportedDemand.try_emplace(job.row.team, JobDemand{job.row.team, 0, 0, 0});
    }
    for (auto &[team, reported] : m_reportedDemand) {
        const JobDemand demand{team, m_rights.running(team), m_stopping ? 0 : waiting[team], m_rights.generation(team)};
        if (demand != reported) {
            reported = demand;
            m_outbox.push(demand);
        }
    }
}

void JobController::handBack()
{
    WriteRows request;
    std::vector<JobId> handedBack;
    for (auto &[id, job] : m_jobs) {
        const bool busy = job.operation != OperationId{} || job.call != WorkerCallId{} || job.stage == Stage::Ending;
        if (busy || handedBack.size() >= maxBatchSize) {
            continue;
        }
        JobRow row = job.row;
        row.owner = HolderId{};
        request.writes.push_back({rowKey::job(id), job.version, RowValue(row)});
        handedBack.push_back(id);
    }
    if (!handedBack.empty()) {
        const OperationId id = m_outbox.call(std::move(request));
        for (const JobId &job : handedBack) {
            m_jobs.at(job).operation = id;
        }
        m_handBacks.emplace(id, std::move(handedBack));
    }
    const bool open = !m_jobs.empty() || m_requestHandler.hasSubmissions() || !m_adoptions.empty();
    if (!open && !m_handBackReported) {
        m_handBackReported = true;
        m_outbox.push(AllJobsHandedBack{});
    }
}

JobRequestContext JobController::requestContext() const
{
    return {m_config.get(), m_self, m_workers, m_now, m_stopping};
}

} // namespace radishvane
