#include "core/jobs/job_request_handler.h"

#include <algorithm>

namespace radishvane
{

JobRequestHandler::JobRequestHandler(HostId host) : m_host(std::move(host))
{
}

void JobRequestHandler::submit(const JobSubmitted &event, const JobRequestContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (!team) {
        return;
    }
    if (context.stopping || !context.self) {
        outbox.refuse(event.exchange, context.stopping ? RefusalReason::Stopping : RefusalReason::ClaimUnavailable);
        return;
    }
    if (!context.workers.canEverFit(event.spec.needs)) {
        outbox.refuse(event.exchange, RefusalReason::LargerThanAnyWorker);
        return;
    }
    const JobRow row = newRow(event, *team, context);
    m_payloadWrites.emplace(outbox.call(PutObject{row.payload, event.spec.payload}), Submission{event.exchange, row});
}

void JobRequestHandler::query(const JobQueried &event, const JobRequestContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (team) {
        m_queries.emplace(outbox.call(ReadRow{rowKey::job(event.job)}), Query{event.exchange, *team});
    }
}

void JobRequestHandler::cancel(const JobCancelRequested &event, const JobRequestContext &context, JobOutbox &outbox)
{
    const auto team = teamOf(event.exchange, event.key, context, outbox);
    if (team) {
        m_cancelReads.emplace(outbox.call(ReadRow{rowKey::job(event.job)}), Query{event.exchange, *team});
    }
}

JobRequestHandler::Outcome JobRequestHandler::onPlatformAnswer(const PlatformAnswered &event,
                                                               const JobRequestContext &context, JobOutbox &outbox)
{
    Outcome outcome;
    outcome.handled = true;
    if (auto payload = m_payloadWrites.extract(event.id)) {
        onPayloadStored(payload.mapped(), event.answer, outbox);
    } else if (auto submission = m_submissionWrites.extract(event.id)) {
        outcome = onSubmissionWritten(submission.mapped(), event.answer, outbox);
    } else if (auto queried = m_queries.extract(event.id)) {
        onRowRead(queried.mapped(), event.answer, outbox);
    } else if (auto read = m_cancelReads.extract(event.id)) {
        onCancelRead(read.mapped(), event.answer, outbox);
    } else if (auto cancelled = m_cancelWrites.extract(event.id)) {
        onCancellationsWritten(cancelled.mapped(), event.answer, context, outbox);
    } else {
        outcome.handled = false;
    }
    return outcome;
}

void JobRequestHandler::flushCancellations(JobOutbox &outbox)
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

bool JobRequestHandler::isSubmitting(const JobId &job) const
{
    return std::any_of(m_submissionWrites.begin(), m_submissionWrites.end(),
                       [&](const auto &entry) { return entry.second.row.id == job; });
}

bool JobRequestHandler::hasSubmissions() const
{
    return !m_payloadWrites.empty() || !m_submissionWrites.empty();
}

std::optional<TeamId> JobRequestHandler::teamOf(ExchangeId exchange, const std::string &key,
                                                const JobRequestContext &context, JobOutbox &outbox)
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

JobRow JobRequestHandler::newRow(const JobSubmitted &event, const TeamId &team, const JobRequestContext &context)
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

void JobRequestHandler::onPayloadStored(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox)
{
    if (!std::holds_alternative<ObjectStored>(answer)) {
        // Without a row no job exists, so the refusal is safe even if the payload was stored.
        outbox.refuse(submission.exchange, RefusalReason::ClaimUnavailable);
        return;
    }
    const RowWrite row{rowKey::job(submission.row.id), 0, RowValue(submission.row)};
    m_submissionWrites.emplace(outbox.call(WriteRows{{row}}), submission);
}

JobRequestHandler::Outcome JobRequestHandler::onSubmissionWritten(const Submission &submission,
                                                                  const PlatformAnswer &answer, JobOutbox &outbox)
{
    Outcome outcome;
    outcome.handled = true;
    if (const auto *written = std::get_if<RowsWritten>(&answer)) {
        outbox.push(AnswerJob{submission.exchange, JobAccepted{submission.row.id}});
        outbox.log(JobStep::Accepted, submission.row);
        outcome.accepted = {submission.row, written->versions.front()};
        return outcome;
    }
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    if (failed != nullptr && failed->error == PlatformError::Unavailable) {
        outbox.refuse(submission.exchange, RefusalReason::ClaimUnavailable);
        return outcome;
    }
    outcome.mayLeaveOrphan = true;
    if (std::holds_alternative<WriteConflict>(answer)) {
        // The job name is taken, so this is a repeated submission. The job has an owner already or is found as an
        // orphan.
        outbox.push(AnswerJob{submission.exchange, JobAccepted{submission.row.id}});
        return outcome;
    }
    outbox.push(AnswerJob{submission.exchange, JobInDoubt{submission.row.id}});
    return outcome;
}

void JobRequestHandler::onRowRead(const Query &query, const PlatformAnswer &answer, JobOutbox &outbox)
{
    if (const auto *found = std::get_if<RowFound>(&answer)) {
        const auto &row = std::get<JobRow>(found->row.value);
        if (row.team == query.team) {
            outbox.push(AnswerJob{query.exchange, JobFound{row}});
            return;
        }
    } else if (!std::holds_alternative<RowAbsent>(answer)) {
        outbox.refuse(query.exchange, RefusalReason::ClaimUnavailable);
        return;
    }
    outbox.push(AnswerJob{query.exchange, JobNotFound{}});
}

void JobRequestHandler::onCancelRead(const Query &query, const PlatformAnswer &answer, JobOutbox &outbox)
{
    const auto *found = std::get_if<RowFound>(&answer);
    const JobRow *row = found == nullptr ? nullptr : &std::get<JobRow>(found->row.value);
    if (row == nullptr || row->team != query.team || isTerminal(row->state)) {
        onRowRead(query, answer, outbox);
        return;
    }
    m_cancellations.push_back({query.exchange, *row, found->row.version});
    if (m_cancellations.size() >= maxBatchSize) {
        flushCancellations(outbox);
    }
}

void JobRequestHandler::onCancellationsWritten(const std::vector<Cancellation> &batch, const PlatformAnswer &answer,
                                               const JobRequestContext &context, JobOutbox &outbox)
{
    const bool written = std::holds_alternative<RowsWritten>(answer);
    const bool conflict = std::holds_alternative<WriteConflict>(answer);
    for (const Cancellation &cancellation : batch) {
        if (written) {
            outbox.push(AnswerJob{cancellation.exchange, JobFound{cancellation.row}});
            requestTaskStop(cancellation.row, context.workers, outbox);
        } else if (conflict) {
            // At least one row of the batch has changed, so each row is read again and its cancellation retried.
            m_cancelReads.emplace(outbox.call(ReadRow{rowKey::job(cancellation.row.id)}),
                                  Query{cancellation.exchange, cancellation.row.team});
        } else {
            outbox.refuse(cancellation.exchange, RefusalReason::ClaimUnavailable);
        }
    }
}

void requestTaskStop(const JobRow &row, const WorkerRegistry &workers, JobOutbox &outbox)
{
    const auto endpoint = workers.endpoint(row.worker);
    if (endpoint && !row.worker.empty() && row.state != JobState::Queued) {
        outbox.call(*endpoint, StopTaskRun{row.id, row.epoch});
    }
}

} // namespace radishvane
