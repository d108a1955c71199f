#pragma once

#include "core/jobs/job_desk.h"
#include "core/jobs/job_messages.h"
#include "core/jobs/run_estimates.h"
#include "core/jobs/worker_board.h"
#include "core/quota/team_rights.h"

#include <deque>
#include <map>
#include <optional>

namespace radishvane
{

/// The jobs that one entry host owns: placement, leases on workers, takeover of orphans, and the end.
///
/// Each job is one row of the table, and every step is a conditional write of that row. A job that is not idempotent
/// starts again only when its worker has said that the earlier start never took place.
class JobKeeper
{
public:
    /// A worker ends a task that long after the last renewal.
    static constexpr Duration taskLease{15'000};
    static constexpr Duration renewInterval{5'000};
    /// Interval between tries of a worker or the table that does not answer.
    static constexpr Duration retryInterval{1'000};
    /// Difference between the rates of two hosts' clocks over a task's lease.
    static constexpr Duration clockMargin{2'000};
    /// Starts of a job that may fail before the job does.
    static constexpr std::uint32_t mostAttempts = 3;
    /// Interval between looks for jobs without an owner.
    static constexpr Duration orphanInterval{60'000};
    /// Most rows of one transaction.
    static constexpr std::size_t batchSize = 64;
    /// An ended job can be asked about for this long after the time by which it had to end.
    static constexpr Duration keepEnded{24 * 3'600'000};

    JobKeeper(HostId host, std::uint64_t seed);

    JobEffects handle(const JobEvent &event, Instant now);

    /// Rows of the jobs that this entry host owns.
    std::vector<JobRow> owned() const;

private:
    enum class Stage {
        /// Waits for a right and a worker.
        Waiting,
        /// A row write is under way.
        Writing,
        /// The worker was asked to start the task.
        Starting,
        /// The worker may or may not have started the task.
        InDoubt,
        /// Taken over from another owner; the worker has not been heard of yet.
        Adopted,
        Running,
        /// The end is known and is to be written.
        Ending,
        /// The row has another version than expected and is to be read.
        Rereading,
    };

    struct Job
    {
        JobRow row;
        std::uint64_t version = 0;
        Stage stage = Stage::Waiting;
        /// Row of the write under way.
        JobRow writing;
        OperationId operation;
        WorkerCallId call;
        TimePoint next;
        /// The worker has ended the task for certain by then.
        TimePoint lapses;
        /// When the renewal under way was sent.
        TimePoint renewalSent;
        bool holdsRight = false;
        /// The worker was asked to stop the task, so that it moves away from a host that leaves.
        bool moving = false;
        /// The worker has said that it can write a checkpoint of the task.
        bool canCheckpoint = false;
        /// Room taken at the worker.
        std::optional<JobNeeds> room;
    };

    void on(const JobSubmitted &event);
    void on(const JobAsked &event);
    void on(const JobCancelAsked &event);
    void on(const PlatformAnswered &event);
    void on(const WorkerAnswered &event);
    void on(const JobConfig &event);
    void on(const JobAllowance &event);
    void on(const JobLease &event);
    void on(const JobHolder &event);
    void on(const HostPlacementsUpdated &event);
    void on(const JobLeavingHosts &event);
    void on(const JobPeers &event);
    void on(const SessionsSeen &event);
    void on(const JobTick &event);
    void on(const JobStop &event);

    void manage(const JobRow &row, std::uint64_t version, Stage stage);
    void consider(Job &job);
    std::optional<JobReason> impossible(const JobRow &row) const;
    void place(Job &job);
    void write(Job &job, JobRow row);
    void startTask(Job &job);
    void onWritten(Job &job, const PlatformAnswer &answer);
    void onReread(Job &job, const PlatformAnswer &answer);
    void send(Job &job, WorkerRequest request);
    void onReport(Job &job, const TaskReport &report);
    void onWorkerSilent(Job &job, WorkerFailure failure);
    void onLapsed(Job &job);
    void requeue(Job &job, bool countsAsAttempt);
    void end(Job &job, JobState state, JobReason reason, const std::string &result = {});
    void drop(Job &job, JobStep step);
    void giveBack(Job &job);
    bool takeRight(Job &job);

    void scanForOrphans();
    void onScanned(const RowsFound &found);
    void clearEnded(const RowsFound &found);
    bool ownerIsLive(const HolderId &owner) const;
    bool isOwnToAdopt(const JobId &job) const;
    bool isBeingWritten(const JobId &job) const;
    void reportDemand();
    void handBack();
    DeskContext deskContext() const;

    HostId m_host;
    Instant m_now;
    JobOutbox m_outbox;
    std::shared_ptr<const Config> m_config;
    HostRows m_hostRows;
    std::optional<HolderId> m_self;
    TeamRights m_rights;
    TimePoint m_leasedUntil;
    WorkerBoard m_board;
    JobDesk m_desk;
    std::set<HostId> m_leaving;
    RunEstimates m_estimates;
    std::map<JobId, Job> m_jobs;
    std::map<OperationId, JobId> m_jobOperations;
    std::map<WorkerCallId, JobId> m_jobCalls;
    std::map<OperationId, std::vector<JobId>> m_handBacks;
    /// Jobs without a live owner that this host is taking over, with the stage that they begin in.
    std::map<OperationId, std::pair<JobRow, Stage>> m_adoptions;
    std::map<TeamId, JobDemand> m_reportedDemand;
    std::vector<HostId> m_live;
    std::map<HostId, SessionRow> m_sessions;
    OperationId m_scan;
    TimePoint m_nextScan;
    bool m_stopping = false;
    bool m_returned = false;
};

} // namespace radishvane
