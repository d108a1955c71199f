#include "core/jobs/job_desk.h"

#include <algorithm>

namespace radishvane
{

JobDesk::JobDesk(HostId host) : m_host(std::move(host))
{
}

void JobDesk::submit(const JobSubmitted &event, const DeskContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (!team) {
        return;
    }
    if (context.stopping || !context.self) {
        outbox.refuse(event.exchange, context.stopping ? RefusalReason::Stopping : RefusalReason::ClaimUnavailable);
        return;
    }
    if (!context.board.canEverHold(event.spec.needs)) {
        outbox.refuse(event.exchange, RefusalReason::LargerThanAnyWorker);
        return;
    }
    const JobRow row = newRow(event, *team, context);
    m_payloads.emplace(outbox.call(PutObject{row.payload, event.spec.payload}), Submission{event.exchange, row});
}

void JobDesk::ask(const JobQueried &event, const DeskContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (team) {
        m_asked.emplace(outbox.call(ReadRow{rowKey::job(event.job)}), Question{event.exchange, *team});
    }
}

void JobDesk::cancel(const JobCancelRequested &event, const DeskContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (team) {
        m_cancelReads.emplace(outbox.call(ReadRow{rowKey::job(event.job)}), Question{event.exchange, *team});
    }
}

JobDesk::Outcome JobDesk::answered(const PlatformAnswered &event, const DeskContext &context, JobOutbox &outbox)
{
    Outcome outcome;
    outcome.own = true;
    if (auto payload = m_payloads.extract(event.id)) {
        onPayloadStored(payload.mapped(), event.answer, outbox);
    } else if (auto submission = m_submissions.extract(event.id)) {
        outcome = onSubmissionWritten(submission.mapped(), event.answer, outbox);
    } else if (auto asked = m_asked.extract(event.id)) {
        onRowAsked(asked.mapped(), event.answer, outbox);
    } else if (auto read = m_cancelReads.extract(event.id)) {
        onCancelRead(read.mapped(), event.answer, outbox);
    } else if (auto cancelled = m_cancelWrites.extract(event.id)) {
        onCancelled(cancelled.mapped(), event.answer, context, outbox);
    } else {
        outcome.own = false;
    }
    return outcome;
}

void JobDesk::flush(JobOutbox &outbox)
{
    if (m_cancellations.empty()) {
        return;
    }
    std::vector<Cancellation> batch = std::exchange(m_cancellations, {});
    WriteRows request;
    for (Cancellation &cancellation : batch) {
        JobRow &row = cancellation.row;
        row.cancelRequested = true;
        if (row.state == JobState::Queued) {
            row.state = JobState::Cancelled;
            row.reason = JobReason::CancelledByCaller;
        }
        request.writes.push_back({rowKey::job(row.id), cancellation.version, RowValue(row)});
    }
    m_cancelWrites.emplace(outbox.call(std::move(request)), std::move(batch));
}

bool JobDesk::isSubmitting(const JobId &job) const
{
    return std::any_of(m_submissions.begin(), m_submissions.end(),
                       [&](const auto &entry) { return entry.second.row.id == job; });
}

bool JobDesk::hasSubmissions() const
{
    return !m_payloads.empty() || !m_submissions.empty();
}

std::optional<TeamId> JobDesk::teamOf(ExchangeId exchange, const std::string &key, const DeskContext &context,
                                      JobOutbox &outbox)
{
    if (context.config == nullptr) {
        outbox.refuse(exchange, RefusalReason::NoConfiguration);
        return std::nullopt;
    }
    const auto found = context.config->keys.find(key);
    if (key.empty() || found == context.config->keys.end()) {
        outbox.refuse(exchange, key.empty() ? RefusalReason::KeyMissing : RefusalReason::UnknownKey);
        return std::nullopt;
    }
    return found->second.team;
}

JobRow JobDesk::newRow(const JobSubmitted &event, const TeamId &team, const DeskContext &context)
{
    JobRow row;
    const std::string incarnation = std::to_string(context.self->incarnation.value);
    const std::string unique = m_host.name() + '-' + incarnation + '-' + std::to_string(++m_lastJob);
    row.id = JobId(team.name() + '.' + (event.idempotencyKey.empty() ? unique : event.idempotencyKey));
    row.team = team;
    row.kind = event.spec.kind;
    row.idempotent = event.spec.idempotent;
    row.needs = event.spec.needs;
    row.declaredRun = event.spec.declaredRun;
    row.payload = "job-" + row.id.name() + '-' + unique;
    row.submittedAt = context.now.wall;
    row.endBy = context.now.wall + event.spec.endWithin;
    row.owner = *context.self;
    return row;
}

void JobDesk::onPayloadStored(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox)
{
    if (!std::holds_alternative<ObjectStored>(answer)) {
        // Without a row the payload is no job.
        outbox.refuse(submission.exchange, RefusalReason::ClaimUnavailable);
        return;
    }
    const RowWrite row{rowKey::job(submission.row.id), 0, RowValue(submission.row)};
    m_submissions.emplace(outbox.call(WriteRows{{row}}), submission);
}

JobDesk::Outcome JobDesk::onSubmissionWritten(const Submission &submission, const PlatformAnswer &answer,
                                              JobOutbox &outbox)
{
    Outcome outcome;
    outcome.own = true;
    if (const auto *written = std::get_if<RowsWritten>(&answer)) {
        outbox.push(AnswerJob{submission.exchange, JobAccepted{submission.row.id}});
        outbox.note(JobStep::Accepted, submission.row);
        outcome.accepted = {submission.row, written->versions.front()};
        return outcome;
    }
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    if (failed != nullptr && failed->error == PlatformError::Unavailable) {
        outbox.refuse(submission.exchange, RefusalReason::ClaimUnavailable);
        return outcome;
    }
    outcome.mayBeOrphaned = true;
    if (std::holds_alternative<WriteConflict>(answer)) {
        // The name was used before: the same submission, repeated. An owner has the job already, or will find it.
        outbox.push(AnswerJob{submission.exchange, JobAccepted{submission.row.id}});
        return outcome;
    }
    outbox.push(AnswerJob{submission.exchange, JobInDoubt{submission.row.id}});
    return outcome;
}

void JobDesk::onRowAsked(const Question &question, const PlatformAnswer &answer, JobOutbox &outbox)
{
    if (const auto *found = std::get_if<RowFound>(&answer)) {
        const auto &row = std::get<JobRow>(found->row.value);
        if (row.team == question.team) {
            outbox.push(AnswerJob{question.exchange, JobFound{row}});
            return;
        }
    } else if (!std::holds_alternative<RowAbsent>(answer)) {
        outbox.refuse(question.exchange, RefusalReason::ClaimUnavailable);
        return;
    }
    outbox.push(AnswerJob{question.exchange, JobNotFound{}});
}

void JobDesk::onCancelRead(const Question &question, const PlatformAnswer &answer, JobOutbox &outbox)
{
    const auto *found = std::get_if<RowFound>(&answer);
    const JobRow *row = found == nullptr ? nullptr : &std::get<JobRow>(found->row.value);
    if (row == nullptr || row->team != question.team || isTerminal(row->state)) {
        onRowAsked(question, answer, outbox);
        return;
    }
    m_cancellations.push_back({question.exchange, *row, found->row.version});
    if (m_cancellations.size() >= batchSize) {
        flush(outbox);
    }
}

void JobDesk::onCancelled(const std::vector<Cancellation> &batch, const PlatformAnswer &answer,
                          const DeskContext &context, JobOutbox &outbox)
{
    const bool written = std::holds_alternative<RowsWritten>(answer);
    const bool conflict = std::holds_alternative<WriteConflict>(answer);
    for (const Cancellation &cancellation : batch) {
        if (written) {
            outbox.push(AnswerJob{cancellation.exchange, JobFound{cancellation.row}});
            askWorkerToStop(cancellation.row, context.board, outbox);
        } else if (conflict) {
            // One row of the batch has moved on; each is read and tried again.
            m_cancelReads.emplace(outbox.call(ReadRow{rowKey::job(cancellation.row.id)}),
                                  Question{cancellation.exchange, cancellation.row.team});
        } else {
            outbox.refuse(cancellation.exchange, RefusalReason::ClaimUnavailable);
        }
    }
}

void askWorkerToStop(const JobRow &row, const WorkerBoard &board, JobOutbox &outbox)
{
    const auto endpoint = board.endpoint(row.worker);
    if (endpoint && !row.worker.empty() && row.state != JobState::Queued) {
        outbox.call(*endpoint, StopTaskRun{row.id, row.epoch});
    }
}

} // namespace radishvane
