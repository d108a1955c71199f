#pragma once

#include "core/jobs/job_messages.h"
#include "core/jobs/job_request_handler.h"
#include "core/jobs/job_usage_estimator.h"
#include "core/jobs/worker_registry.h"
#include "core/quota/team_rights.h"

#include <deque>
#include <map>
#include <optional>

namespace radishvane
{

/// State machine of the single-task jobs that one entry host owns: placement on workers, lease renewal, adoption of
/// orphaned jobs, retries, and completion.
///
/// Each job is one row of the table, and every state change is a conditional write of that row. A job that is not
/// idempotent is started again only after its worker has confirmed that the earlier start never took place.
///
/// The class does no input or output: handle() takes an event and returns the effects for the caller to carry out.
class JobController
{
public:
    /// Time after the last renewal at which a worker stops a task.
    static constexpr Duration taskLease{15'000};
    static constexpr Duration renewInterval{5'000};
    /// Delay before a worker or the table that did not answer is called again.
    static constexpr Duration retryInterval{1'000};
    /// Allowance for the drift between the clocks of two hosts over one task lease.
    static constexpr Duration clockDriftMargin{2'000};
    /// Number of failed starts after which the job itself fails.
    static constexpr std::uint32_t maxJobAttempts = 3;
    /// Interval between scans of the table for jobs without a live owner.
    static constexpr Duration orphanScanInterval{60'000};
    /// Maximum number of rows in one transaction.
    static constexpr std::size_t maxBatchSize = 64;
    /// Time for which an ended job can still be queried, counted from its deadline.
    static constexpr Duration endedJobRetention{24 * 3'600'000};

    JobController(HostId host, std::uint64_t seed);

    JobEffects handle(const JobEvent &event, Instant now);

    /// Rows of the jobs that this entry host owns.
    std::vector<JobRow> owned() const;

private:
    enum class Stage {
        /// Waits for a free right and a worker with enough room.
        Waiting,
        /// A write of the row is in flight.
        Writing,
        /// The start was sent to the worker and has not been answered.
        Starting,
        /// No answer came to the start, so the worker may or may not have started the task.
        InDoubt,
        /// Adopted from another owner; the worker has not reported the state of the task yet.
        Adopted,
        Running,
        /// The job has ended, and its final row is still to be written.
        Ending,
        /// A write found another version of the row than expected, so the row is read again.
        Rereading,
    };

    struct Job
    {
        JobRow row;
        std::uint64_t version = 0;
        Stage stage = Stage::Waiting;
        /// Row of the write in flight.
        JobRow pendingRow;
        OperationId operation;
        WorkerCallId call;
        TimePoint nextReconcile;
        /// Time by which the worker has certainly stopped the task, if its lease was not renewed.
        TimePoint taskLeaseExpiry;
        /// Time at which the last call to the worker was sent.
        TimePoint callSentAt;
        bool holdsRight = false;
        /// The worker was asked to stop the task because its host leaves, so that the job runs again on another host.
        bool relocating = false;
        /// The worker reported that it can write a checkpoint of the task.
        bool canCheckpoint = false;
        /// Resources reserved on the worker in the local registry.
        std::optional<JobResources> reserved;
    };

    void on(const JobSubmitted &event);
    void on(const JobQueried &event);
    void on(const JobCancelRequested &event);
    void on(const PlatformAnswered &event);
    void on(const WorkerAnswered &event);
    void on(const JobConfig &event);
    void on(const JobAllowance &event);
    void on(const JobLease &event);
    void on(const JobHolder &event);
    void on(const HostPlacementsUpdated &event);
    void on(const JobLeavingHosts &event);
    void on(const JobPeers &event);
    void on(const SessionsObserved &event);
    void on(const JobTick &event);
    void on(const JobStop &event);

    void addJob(const JobRow &row, std::uint64_t version, Stage stage);
    void reconcile(Job &job);
    std::optional<JobReason> permanentFailure(const JobRow &row) const;
    void place(Job &job);
    void write(Job &job, JobRow row);
    void startTask(Job &job);
    void onWritten(Job &job, const PlatformAnswer &answer);
    void onReread(Job &job, const PlatformAnswer &answer);
    void send(Job &job, WorkerRequest request);
    void onReport(Job &job, const TaskReport &report);
    void onWorkerUnreachable(Job &job, WorkerFailure failure);
    void onTaskLeaseExpired(Job &job);
    void requeue(Job &job, bool countsAsAttempt);
    void end(Job &job, JobState state, JobReason reason, const std::string &result = {});
    void drop(Job &job, JobStep step);
    void releaseResources(Job &job);
    bool acquireRight(Job &job);

    void scanForOrphans();
    void onScanned(const RowsFound &found);
    void removeExpiredJobs(const RowsFound &found);
    bool ownerIsLive(const HolderId &owner) const;
    bool isResponsibleFor(const JobId &job) const;
    bool isWriteInFlight(const JobId &job) const;
    void reportDemand();
    void handBack();
    JobRequestContext requestContext() const;

    HostId m_host;
    Instant m_now;
    JobOutbox m_outbox;
    std::shared_ptr<const Config> m_config;
    HostRows m_hostRows;
    std::optional<HolderId> m_self;
    TeamRights m_rights;
    TimePoint m_leasedUntil;
    WorkerRegistry m_workers;
    JobRequestHandler m_requestHandler;
    std::set<HostId> m_leavingHosts;
    JobUsageEstimator m_usageEstimator;
    std::map<JobId, Job> m_jobs;
    std::map<OperationId, JobId> m_jobOperations;
    std::map<WorkerCallId, JobId> m_jobCalls;
    std::map<OperationId, std::vector<JobId>> m_handBacks;
    /// Jobs whose adoption is being written, with the stage that they begin in.
    std::map<OperationId, std::pair<JobRow, Stage>> m_adoptions;
    std::map<TeamId, JobDemand> m_reportedDemand;
    std::vector<HostId> m_liveHosts;
    std::map<HostId, SessionRow> m_sessions;
    OperationId m_scan;
    TimePoint m_nextScan;
    bool m_stopping = false;
    bool m_handBackReported = false;
};

} // namespace radishvane
