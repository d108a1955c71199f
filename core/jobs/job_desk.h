#pragma once

#include "core/jobs/job_outbox.h"
#include "core/jobs/worker_board.h"

#include <map>
#include <optional>
#include <vector>

namespace radishvane
{

/// What the desk needs to know to answer submitters.
struct DeskContext
{
    const Config *config = nullptr;
    const std::optional<HolderId> &self;
    const WorkerBoard &board;
    Instant now;
    bool stopping = false;
};

/// Answers submitters: takes jobs in, tells how they stand, and cancels them. It owns no job.
class JobDesk
{
public:
    /// Most rows of one transaction of cancellations.
    static constexpr std::size_t batchSize = 64;

    /// What one answer of the platform brought besides answers to submitters.
    struct Outcome
    {
        /// The operation was one of the desk.
        bool own = false;
        /// A job that is durable now and wants an owner.
        std::optional<std::pair<JobRow, std::uint64_t>> accepted;
        /// A row may have been written that nobody owns, so that the table should be looked through.
        bool mayBeOrphaned = false;
    };

    explicit JobDesk(HostId host);

    void submit(const JobSubmitted &event, const DeskContext &context, JobOutbox &outbox);
    void ask(const JobQueried &event, const DeskContext &context, JobOutbox &outbox);
    void cancel(const JobCancelRequested &event, const DeskContext &context, JobOutbox &outbox);
    Outcome answered(const PlatformAnswered &event, const DeskContext &context, JobOutbox &outbox);
    /// Writes the cancellations that came since the last time.
    void flush(JobOutbox &outbox);

    /// True while the row of this job is being written for the first time.
    bool isSubmitting(const JobId &job) const;
    bool hasSubmissions() const;

private:
    struct Submission
    {
        ExchangeId exchange;
        JobRow row;
    };

    struct Question
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

    static std::optional<TeamId> teamOf(ExchangeId exchange, const std::string &key, const DeskContext &context,
                                        JobOutbox &outbox);
    JobRow newRow(const JobSubmitted &event, const TeamId &team, const DeskContext &context);
    void onPayloadStored(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox);
    static Outcome onSubmissionWritten(const Submission &submission, const PlatformAnswer &answer, JobOutbox &outbox);
    static void onRowAsked(const Question &question, const PlatformAnswer &answer, JobOutbox &outbox);
    void onCancelRead(const Question &question, const PlatformAnswer &answer, JobOutbox &outbox);
    void onCancelled(const std::vector<Cancellation> &batch, const PlatformAnswer &answer, const DeskContext &context,
                     JobOutbox &outbox);

    HostId m_host;
    std::uint64_t m_lastJob = 0;
    std::map<OperationId, Submission> m_payloads;
    std::map<OperationId, Submission> m_submissions;
    std::map<OperationId, Question> m_asked;
    std::map<OperationId, Question> m_cancelReads;
    std::map<OperationId, std::vector<Cancellation>> m_cancelWrites;
    std::vector<Cancellation> m_cancellations;
};

/// Asks a job's worker to stop its task, when it may have one.
void askWorkerToStop(const JobRow &row, const WorkerBoard &board, JobOutbox &outbox);

} // namespace radishvane
