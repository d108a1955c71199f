#pragma once

#include "core/jobs/job_outbox.h"
#include "core/jobs/worker_registry.h"

#include <map>
#include <optional>
#include <vector>

namespace radishvane
{

/// State of the job controller that the handler reads to answer requests about jobs.
struct JobRequestContext
{
    const Config *config = nullptr;
    const std::optional<HolderId> &self;
    const WorkerRegistry &workers;
    Instant now;
    bool stopping = false;
};

/// Handles the requests of callers about jobs: submission, status queries and cancellation.
///
/// The handler owns no job: an accepted job is returned to the controller in the Outcome.
class JobRequestHandler
{
public:
    /// Maximum number of cancellations in one transaction.
    static constexpr std::size_t maxBatchSize = 64;

    /// Result of one answer of the platform, besides the answers to callers.
    struct Outcome
    {
        /// The answer belongs to an operation that this handler started.
        bool handled = false;
        /// A job whose row is now stored, with the version of the row; the controller has to take ownership of it.
        std::optional<std::pair<JobRow, std::uint64_t>> accepted;
        /// The write may have left a row that no process tracks, so the table has to be scanned for orphans.
        bool mayLeaveOrphan = false;
    };

    explicit JobRequestHandler(HostId host);

    void submit(const JobSubmitted &event, const JobRequestContext &context, JobOutbox &outbox);
    void query(const JobQueried &event, const JobRequestContext &context, JobOutbox &outbox);
    void cancel(const JobCancelRequested &event, const JobRequestContext &context, JobOutbox &outbox);
    Outcome onPlatformAnswer(const PlatformAnswered &event, const JobRequestContext &context, JobOutbox &outbox);
    /// Writes the cancellations queued since the last call in one transaction.
    void flushCancellations(JobOutbox &outbox);

    /// True while the write that creates the row of @p job is in flight.
    bool isSubmitting(const JobId &job) const;
    bool hasSubmissions() const;

private:
    struct Submission
    {
        ExchangeId exchange;
        JobRow row;
    };

    struct Query
    {
        ExchangeId exchange;
        TeamId team;
    };

    struct Cancellation
    {
        ExchangeId exchange;
        JobRow row;
        std::uint64_t version = 0;
    };

    static std::optional<TeamId> teamOf(ExchangeId exchange, const std::string &key, const JobRequestContext &context,
                                        JobOutbox &outbox);
    JobRow newRow(const JobSubmitted &event, const TeamId &team, const JobRequestContext &context);
    void onPayloadStored(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox);
    static Outcome onSubmissionWritten(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox);
    static void onRowRead(const Query &query, const PlatformAnswer &answer, JobOutbox &outbox);
    void onCancelRead(const Query &query, const PlatformAnswer &answer, JobOutbox &outbox);
    void onCancellationsWritten(const std::vector<Cancellation> &batch, const PlatformAnswer &answer,
                                const JobRequestContext &context, JobOutbox &outbox);

    HostId m_host;
    std::uint64_t m_lastJob = 0;
    std::map<OperationId, Submission> m_payloadWrites;
    std::map<OperationId, Submission> m_submissionWrites;
    std::map<OperationId, Query> m_queries;
    std::map<OperationId, Query> m_cancelReads;
    std::map<OperationId, std::vector<Cancellation>> m_cancelWrites;
    std::vector<Cancellation> m_cancellations;
};

/// Asks the job's worker to stop the task, unless the job is still queued or its worker is unknown.
void requestTaskStop(const JobRow &row, const WorkerRegistry &workers, JobOutbox &outbox);

} // namespace radishvane
