#include "core/jobs/job_keeper.h"

#include "core/base/overloaded.h"
#include "core/membership/rendezvous.h"
#include "core/routing/admission.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Bytes of a result that the row keeps.
constexpr std::size_t mostResultBytes = 4'096;

} // namespace

JobKeeper::JobKeeper(HostId host, std::uint64_t seed) : m_host(host), m_board(seed), m_desk(std::move(host))
{
}

JobEffects JobKeeper::handle(const JobEvent &event, Instant now)
{
    m_now = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return m_outbox.take();
}

std::vector<JobRow> JobKeeper::owned() const
{
    std::vector<JobRow> rows;
    for (const auto &[id, job] : m_jobs) {
        rows.push_back(job.row);
    }
    return rows;
}

void JobKeeper::on(const JobSubmitted &event)
{
    m_desk.submit(event, deskContext(), m_outbox);
}

void JobKeeper::on(const JobAsked &event)
{
    m_desk.ask(event, deskContext(), m_outbox);
}

void JobKeeper::on(const JobCancelAsked &event)
{
    m_desk.cancel(event, deskContext(), m_outbox);
}

void JobKeeper::on(const PlatformAnswered &event)
{
    const JobDesk::Outcome outcome = m_desk.answered(event, deskContext(), m_outbox);
    if (outcome.own) {
        if (outcome.accepted) {
            manage(outcome.accepted->first, outcome.accepted->second, Stage::Waiting);
        }
        m_nextScan = outcome.mayBeOrphaned ? m_now.steady : m_nextScan;
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
            manage(row, written->versions.front(), stage);
            m_outbox.note(JobStep::Adopted, row);
        }
    } else if (auto handed = m_handBacks.extract(event.id)) {
        for (const JobId &id : handed.mapped()) {
            if (const auto found = m_jobs.find(id); found != m_jobs.end()) {
                // A write that failed leaves the job to be found as an orphan once the session is gone.
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

void JobKeeper::on(const WorkerAnswered &event)
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
                   [&](WorkerFailure failure) { onWorkerSilent(job, failure); },
               },
               event.answer);
    reportDemand();
}

void JobKeeper::on(const JobConfig &event)
{
    m_config = event.config;
    m_board.setConfig(*applyHostMoves(m_config, m_hostRows));
    for (const auto &[team, settings] : m_config->teams) {
        m_rights.setCeiling(team, settings.ceiling);
    }
}

void JobKeeper::on(const HostPlacementsUpdated &event)
{
    m_hostRows = event.rows;
    if (m_config != nullptr) {
        m_board.setConfig(*applyHostMoves(m_config, m_hostRows));
    }
}

void JobKeeper::on(const JobAllowance &event)
{
    m_rights.setAllowance(event.team, event.standing, event.leased, event.generation);
    m_reportedDemand.try_emplace(event.team, JobDemand{event.team, 0, 0, 0});
    reportDemand();
}

void JobKeeper::on(const JobLease &event)
{
    m_leasedUntil = event.until;
    m_rights.setLeasedUntil(event.until);
}

void JobKeeper::on(const JobHolder &event)
{
    m_self = event.holder;
    m_nextScan = m_now.steady;
}

void JobKeeper::on(const JobLeavingHosts &event)
{
    m_leaving = event.hosts;
    m_board.setLeaving(event.hosts);
    for (auto &[id, job] : m_jobs) {
        // Moving away begins at once and not with the next renewal.
        job.next = job.stage == Stage::Running && m_leaving.contains(job.row.worker) ? m_now.steady : job.next;
    }
}

void JobKeeper::on(const JobPeers &event)
{
    m_live = event.live;
}

void JobKeeper::on(const SessionsSeen &event)
{
    std::map<HostId, SessionRow> before = std::exchange(m_sessions, {});
    for (const SessionsSeen::Seen &seen : event.sessions) {
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

void JobKeeper::on(const JobTick &)
{
    m_desk.flush(m_outbox);
    scanForOrphans();
    std::vector<std::pair<double, JobId>> order;
    for (const auto &[id, job] : m_jobs) {
        const auto team
            = m_config == nullptr ? std::map<TeamId, Team>::const_iterator() : m_config->teams.find(job.row.team);
        const bool known = m_config != nullptr && team != m_config->teams.end();
        const double share = known ? team->second.share : 1.0;
        order.emplace_back(m_rights.running(job.row.team) / share, id);
    }
    // Teams that run least for their share go first.
    std::sort(order.begin(), order.end());
    for (const auto &[load, id] : order) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            consider(found->second);
        }
    }
    if (m_stopping) {
        handBack();
    }
    reportDemand();
}

void JobKeeper::on(const JobStop &)
{
    m_stopping = true;
    handBack();
}

void JobKeeper::manage(const JobRow &row, std::uint64_t version, Stage stage)
{
    Job &job = m_jobs[row.id];
    job.row = row;
    job.version = version;
    job.stage = stage;
    job.next = m_now.steady;
    job.lapses = m_now.steady + taskLease + clockMargin;
    if (stage == Stage::Adopted) {
        job.room = row.needs;
        m_board.occupy(row.worker, row.needs);
    }
}

void JobKeeper::consider(Job &job)
{
    const bool busy = job.operation != OperationId{} || job.call != WorkerCallId{};
    if (busy || m_now.steady < job.next || m_config == nullptr || !m_self) {
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
        if (m_now.steady >= job.lapses) {
            onLapsed(job);
            return;
        }
        send(job, FenceTask{job.row.id, job.row.epoch});
        return;
    case Stage::Adopted:
        if (m_now.steady >= job.lapses) {
            onLapsed(job);
            return;
        }
        // Without a right the worker is only asked how the task stands.
        send(job, RenewTask{job.row.id, job.row.epoch, takeRight(job) ? taskLease : Duration(0)});
        return;
    case Stage::Running:
        if (m_now.steady >= job.lapses) {
            onLapsed(job);
            return;
        }
        if (m_now.wall >= job.row.endBy) {
            askWorkerToStop(job.row, m_board, m_outbox);
            end(job, JobState::Failed, JobReason::DeadlinePassed);
            return;
        }
        if (m_leaving.contains(job.row.worker) && job.canCheckpoint) {
            // Any job goes on elsewhere from its checkpoint. Asked again until the worker says that it has written one.
            send(job, CheckpointTask{job.row.id, job.row.epoch});
            return;
        }
        if (m_leaving.contains(job.row.worker) && job.row.idempotent && !job.moving) {
            // A job that may run again is moved; others are left to end before the host does.
            job.moving = true;
            askWorkerToStop(job.row, m_board, m_outbox);
        }
        // After the session's end another owner may have the job, so its lease is not renewed any more.
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

std::optional<JobReason> JobKeeper::impossible(const JobRow &row) const
{
    const auto team = m_config->teams.find(row.team);
    if (team == m_config->teams.end()) {
        return JobReason::UnknownTeam;
    }
    if (team->second.ceiling == 0) {
        return JobReason::TeamCeilingZero;
    }
    if (!m_board.canEverHold(row.needs)) {
        return JobReason::LargerThanAnyWorker;
    }
    if (row.attempts >= mostAttempts) {
        return JobReason::AttemptsUsedUp;
    }
    if (m_now.wall >= row.endBy) {
        return JobReason::DeadlinePassed;
    }
    return std::nullopt;
}

void JobKeeper::place(Job &job)
{
    if (const auto reason = impossible(job.row)) {
        end(job, JobState::Failed, *reason);
        return;
    }
    if (m_stopping || !takeRight(job)) {
        job.row.reason = JobReason::NoFreeRight;
        return;
    }
    const JobNeeds needs = m_estimates.needs(job.row.kind, job.row.needs);
    const auto worker = m_board.take(needs, m_now.steady);
    if (!worker) {
        job.row.reason = JobReason::NoFreeWorker;
        giveBack(job);
        return;
    }
    job.room = needs;
    JobRow row = job.row;
    row.state = JobState::Starting;
    row.reason = JobReason::None;
    row.worker = *worker;
    ++row.epoch;
    ++row.attempts;
    write(job, std::move(row));
}

void JobKeeper::write(Job &job, JobRow row)
{
    job.stage = isTerminal(row.state) ? Stage::Ending : Stage::Writing;
    job.writing = std::move(row);
    job.operation = m_outbox.call(WriteRows{{RowWrite{rowKey::job(job.row.id), job.version, RowValue(job.writing)}}});
    m_jobOperations.emplace(job.operation, job.row.id);
}

void JobKeeper::startTask(Job &job)
{
    const JobRow &row = job.row;
    job.stage = Stage::Starting;
    job.lapses = m_now.steady + taskLease + clockMargin;
    send(job,
         StartTask{row.id, row.epoch, taskLease, job.room.value_or(row.needs), row.kind, row.payload, row.checkpoint});
}

void JobKeeper::onWritten(Job &job, const PlatformAnswer &answer)
{
    if (const auto *written = std::get_if<RowsWritten>(&answer)) {
        job.row = job.writing;
        job.version = written->versions.front();
        if (isTerminal(job.row.state)) {
            drop(job, JobStep::Ended);
            return;
        }
        m_outbox.note(JobStep::Placed, job.row);
        startTask(job);
        return;
    }
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    if (failed != nullptr && failed->error == PlatformError::Unavailable) {
        job.next = m_now.steady + retryInterval;
        if (job.stage == Stage::Writing) {
            // Nothing was written and nothing was started.
            job.stage = Stage::Waiting;
            giveBack(job);
        }
        return;
    }
    job.stage = Stage::Rereading;
    job.next = m_now.steady;
}

void JobKeeper::onReread(Job &job, const PlatformAnswer &answer)
{
    const auto *found = std::get_if<RowFound>(&answer);
    if (found == nullptr) {
        if (std::holds_alternative<RowAbsent>(answer)) {
            drop(job, JobStep::Dropped);
            return;
        }
        job.next = m_now.steady + retryInterval;
        return;
    }
    const auto &row = std::get<JobRow>(found->row.value);
    if (isTerminal(row.state) || row.owner != *m_self) {
        drop(job, JobStep::Dropped);
        return;
    }
    const bool ending = isTerminal(job.writing.state);
    const bool starting = !ending && row.epoch == job.writing.epoch;
    job.version = found->row.version;
    job.next = m_now.steady;
    if (ending) {
        // Only a cancellation can have come between, and the end that is known goes before it.
        JobRow ended = job.writing;
        ended.cancelAsked = row.cancelAsked;
        if (row.cancelAsked && ended.reason == JobReason::MayHaveRun) {
            ended.state = JobState::Cancelled;
            ended.reason = JobReason::CancelledByCaller;
        }
        write(job, std::move(ended));
        return;
    }
    job.row = row;
    if (row.cancelAsked) {
        end(job, JobState::Cancelled, JobReason::CancelledByCaller);
        return;
    }
    if (starting) {
        // The write took effect, but the worker was not asked yet.
        startTask(job);
        return;
    }
    job.stage = Stage::Waiting;
    giveBack(job);
}

void JobKeeper::send(Job &job, WorkerRequest request)
{
    const auto endpoint = m_board.endpoint(job.row.worker);
    if (!endpoint) {
        // The worker's host left the configuration; its task ends with its lease.
        job.next = m_now.steady + retryInterval;
        if (job.stage == Stage::Starting) {
            requeue(job, false);
        }
        return;
    }
    job.call = m_outbox.call(*endpoint, std::move(request));
    job.renewalSent = m_now.steady;
    m_jobCalls.emplace(job.call, job.row.id);
}

void JobKeeper::onReport(Job &job, const TaskReport &report)
{
    job.canCheckpoint = report.canCheckpoint;
    switch (report.state) {
    case TaskState::Running:
        if (job.stage == Stage::Adopted && !job.holdsRight) {
            job.next = m_now.steady + retryInterval;
            return;
        }
        job.stage = Stage::Running;
        if (m_now.steady < m_leasedUntil) {
            job.lapses = m_now.steady + taskLease + clockMargin;
        }
        job.next = job.renewalSent + renewInterval;
        return;
    case TaskState::Done:
        m_board.noteSuccess(job.row.worker);
        m_estimates.note(job.row.kind, report.ran, report.usedMemoryGb);
        end(job, JobState::Done, JobReason::None, report.result);
        return;
    case TaskState::Failed:
        if (m_board.noteFailure(job.row.worker, m_now.steady)) {
            m_outbox.note(JobStep::WorkerEjected, job.row);
        }
        if (!job.row.idempotent) {
            end(job, JobState::Failed, JobReason::WorkFailed, report.result);
            return;
        }
        requeue(job, true);
        return;
    case TaskState::Stopped:
        if (job.row.cancelAsked) {
            end(job, JobState::Cancelled, JobReason::CancelledByCaller);
            return;
        }
        // Either the row says that a caller cancelled the job, or the lease lapsed.
        if (job.row.idempotent) {
            requeue(job, !job.moving);
            return;
        }
        end(job, JobState::Failed, JobReason::MayHaveRun);
        return;
    case TaskState::Checkpointed:
        if (job.row.cancelAsked) {
            end(job, JobState::Cancelled, JobReason::CancelledByCaller);
            return;
        }
        // The row learns of it with the next start. Until then it names this worker, which any other owner would ask.
        job.row.checkpoint = report.checkpoint;
        requeue(job, false);
        return;
    case TaskState::NeverStarted:
        requeue(job, false);
        return;
    case TaskState::Refused:
        m_board.noteRefusal(job.row.worker, m_now.steady);
        requeue(job, false);
        return;
    case TaskState::Unknown:
        if (m_board.noteFailure(job.row.worker, m_now.steady)) {
            m_outbox.note(JobStep::WorkerEjected, job.row);
        }
        if (job.stage == Stage::Adopted || job.stage == Stage::InDoubt) {
            // Ask to fence: only that tells whether the start can still come.
            job.stage = Stage::InDoubt;
            job.next = m_now.steady;
            return;
        }
        onLapsed(job);
        return;
    }
}

void JobKeeper::onWorkerSilent(Job &job, WorkerFailure failure)
{
    if (m_board.noteFailure(job.row.worker, m_now.steady)) {
        m_outbox.note(JobStep::WorkerEjected, job.row);
    }
    if (job.stage == Stage::Starting) {
        if (failure == WorkerFailure::NotSent) {
            requeue(job, false);
            return;
        }
        job.stage = Stage::InDoubt;
    }
    job.next = m_now.steady + retryInterval;
}

void JobKeeper::onLapsed(Job &job)
{
    // The worker ended the task with its lease, but it may have run until then.
    if (job.row.idempotent) {
        requeue(job, true);
        return;
    }
    end(job, JobState::Failed, JobReason::MayHaveRun);
}

void JobKeeper::requeue(Job &job, bool countsAsAttempt)
{
    giveBack(job);
    job.row.attempts -= countsAsAttempt || job.row.attempts == 0 ? 0 : 1;
    job.moving = false;
    job.stage = Stage::Waiting;
    job.next = m_now.steady + (countsAsAttempt ? retryInterval : Duration(0));
    m_outbox.note(JobStep::Requeued, job.row);
}

void JobKeeper::end(Job &job, JobState state, JobReason reason, const std::string &result)
{
    JobRow row = job.row;
    row.state = state;
    row.reason = reason;
    row.result = result.substr(0, mostResultBytes);
    job.row = row;
    write(job, std::move(row));
}

void JobKeeper::drop(Job &job, JobStep step)
{
    giveBack(job);
    m_outbox.note(step, job.row);
    m_jobOperations.erase(job.operation);
    m_jobCalls.erase(job.call);
    const JobId id = job.row.id;
    m_jobs.erase(id);
}

void JobKeeper::giveBack(Job &job)
{
    if (job.holdsRight) {
        m_rights.release(job.row.team);
        job.holdsRight = false;
    }
    if (job.room) {
        const HostId &worker = job.stage == Stage::Writing ? job.writing.worker : job.row.worker;
        m_board.release(worker, *job.room);
        job.room.reset();
    }
}

bool JobKeeper::takeRight(Job &job)
{
    if (!job.holdsRight) {
        job.holdsRight = m_rights.take(job.row.team, m_now.steady);
    }
    return job.holdsRight && m_now.steady < m_leasedUntil;
}

void JobKeeper::scanForOrphans()
{
    if (m_stopping || !m_self || m_scan != OperationId{} || m_now.steady < m_nextScan) {
        return;
    }
    m_nextScan = m_now.steady + orphanInterval;
    m_scan = m_outbox.call(ScanRows{std::string(rowKey::jobs)});
}

void JobKeeper::onScanned(const RowsFound &found)
{
    clearEnded(found);
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<JobRow>(stored.value);
        const bool mine = m_jobs.contains(row.id) || isBeingWritten(row.id);
        // A row that names this very process is its own to take: others count its owner as live.
        const bool named = row.owner == *m_self;
        if (mine || isTerminal(row.state) || ownerIsLive(row.owner) || !(named || isOwnToAdopt(row.id))) {
            continue;
        }
        JobRow adopted = row;
        adopted.owner = *m_self;
        const Stage stage = row.state == JobState::Queued ? Stage::Waiting : Stage::Adopted;
        const RowWrite write{stored.key, stored.version, RowValue(adopted)};
        m_adoptions.emplace(m_outbox.call(WriteRows{{write}}), std::pair(adopted, stage));
    }
}

void JobKeeper::clearEnded(const RowsFound &found)
{
    WriteRows removal;
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<JobRow>(stored.value);
        const bool isOver = isTerminal(row.state) && m_now.wall >= row.endBy + keepEnded;
        if (isOver && isOwnToAdopt(row.id) && removal.writes.size() < batchSize) {
            removal.writes.push_back({stored.key, stored.version, std::nullopt});
        }
    }
    if (!removal.writes.empty()) {
        m_outbox.call(std::move(removal));
    }
}

bool JobKeeper::ownerIsLive(const HolderId &owner) const
{
    if (owner == *m_self) {
        // A row that names this process but that it does not manage is one whose write was in doubt.
        return false;
    }
    const auto found = m_sessions.find(owner.host);
    return found != m_sessions.end() && found->second.holder == owner && !found->second.ended;
}

bool JobKeeper::isOwnToAdopt(const JobId &job) const
{
    return isRendezvousOwner(m_host, m_live, job.name());
}

bool JobKeeper::isBeingWritten(const JobId &job) const
{
    return m_desk.isSubmitting(job) || std::any_of(m_adoptions.begin(), m_adoptions.end(), [&](const auto &entry) {
               return entry.second.first.id == job;
           });
}

void JobKeeper::reportDemand()
{
    std::map<TeamId, std::uint32_t> waiting;
    for (const auto &[id, job] : m_jobs) {
        const bool wants = job.stage == Stage::Waiting || job.stage == Stage::Adopted;
        waiting[job.row.team] += wants && !job.holdsRight ? 1 : 0;
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

void JobKeeper::handBack()
{
    WriteRows request;
    std::vector<JobId> handed;
    for (auto &[id, job] : m_jobs) {
        const bool busy = job.operation != OperationId{} || job.call != WorkerCallId{} || job.stage == Stage::Ending;
        if (busy || handed.size() >= batchSize) {
            continue;
        }
        JobRow row = job.row;
        row.owner = HolderId{};
        request.writes.push_back({rowKey::job(id), job.version, RowValue(row)});
        handed.push_back(id);
    }
    if (!handed.empty()) {
        const OperationId id = m_outbox.call(std::move(request));
        for (const JobId &job : handed) {
            m_jobs.at(job).operation = id;
        }
        m_handBacks.emplace(id, std::move(handed));
    }
    const bool open = !m_jobs.empty() || m_desk.hasSubmissions() || !m_adoptions.empty();
    if (!open && !m_returned) {
        m_returned = true;
        m_outbox.push(JobsReturned{});
    }
}

DeskContext JobKeeper::deskContext() const
{
    return {m_config.get(), m_self, m_board, m_now, m_stopping};
}

} // namespace radishvane
