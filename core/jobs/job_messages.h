#pragma once

#include "core/config/config.h"
#include "core/fleet/host_moves.h"
#include "core/messages/platform_messages.h"
#include "core/quota/session_controller.h"
#include "core/routing/request_types.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace radishvane
{

/// One call to a worker.
using WorkerCallId = NumberId<struct WorkerCallTag>;

/// Description of a job in its submission.
struct JobSpec
{
    std::string kind;
    bool idempotent = false;
    JobResources needs;
    Duration declaredRun{60'000};
    /// Time after submission by which the job has ended, successfully or not.
    Duration endWithin{3'600'000};
    std::string payload;
};

// Events, which JobController::handle() takes.

struct JobSubmitted
{
    ExchangeId exchange;
    std::string key;
    /// Identifies the job when the submission is repeated; empty if the caller sent no key.
    std::string idempotencyKey;
    JobSpec spec;
};

struct JobQueried
{
    ExchangeId exchange;
    std::string key;
    JobId job;
};

struct JobCancelRequested
{
    ExchangeId exchange;
    std::string key;
    JobId job;
};

/// State of a task as reported by its worker.
enum class TaskState {
    Running,
    Done,
    Failed,
    /// The worker stopped the task because its lease expired or on request.
    Stopped,
    /// The worker has never started this epoch and will refuse to start it from now on.
    NeverStarted,
    /// The worker has no record of the task.
    Unknown,
    /// The worker refused to start the task, which did not run.
    Refused,
    /// The worker wrote a checkpoint to the object store and stopped the task, which can resume on another worker.
    Checkpointed,
};

/// Wire names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 8> taskStateNames{
    "running", "done", "failed", "stopped", "never-started", "unknown", "refused", "checkpointed",
};

/// A worker's answer to any WorkerRequest.
struct TaskReport
{
    TaskState state = TaskState::Unknown;
    std::string result;
    Duration ran{};
    std::uint32_t usedMemoryGb = 0;
    /// The worker can write a checkpoint of the task.
    bool canCheckpoint = false;
    /// Name of the object that holds the checkpoint; empty until one is written.
    std::string checkpoint{};
};

/// Why a worker gave no answer.
enum class WorkerFailure {
    NotSent,
    AnswerLost,
};

struct WorkerAnswered
{
    WorkerCallId id;
    std::variant<TaskReport, WorkerFailure> answer;
};

/// A new configuration is in force.
struct JobConfig
{
    std::shared_ptr<const Config> config;
};

/// Rights of one team for jobs that the rights ledger has granted to this entry host.
struct JobAllowance
{
    TeamId team;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;
    std::uint64_t generation = 0;
};

/// The session's lease was extended: this entry host may start tasks and renew task leases until then.
struct JobLease
{
    TimePoint until;
};

/// The identity under which this entry host owns jobs is known.
struct JobHolder
{
    HolderId holder;
};

/// Hosts that are about to leave service and get no new tasks.
struct JobLeavingHosts
{
    std::set<HostId> hosts;
};

/// Live entry hosts, this one included.
struct JobPeers
{
    std::vector<HostId> live;
};

struct JobTick
{
};

/// The process shuts down: jobs are handed back, and no new ones are accepted.
struct JobStop
{
};

using JobEvent = std::variant<JobSubmitted, JobQueried, JobCancelRequested, PlatformAnswered, WorkerAnswered, JobConfig,
                              HostPlacementsUpdated, JobAllowance, JobLease, JobHolder, JobLeavingHosts, JobPeers,
                              SessionsObserved, JobTick, JobStop>;

// Effects, which JobController::handle() returns.

struct StartTask
{
    JobId job;
    std::uint64_t epoch = 0;
    Duration lease{};
    JobResources needs;
    std::string kind;
    std::string payload;
    /// Name of the checkpoint object to resume from; empty for a start from the beginning.
    std::string checkpoint{};
};

/// Renews the task's lease, or only queries the state of the task if @p lease is zero.
struct RenewTask
{
    JobId job;
    std::uint64_t epoch = 0;
    Duration lease{};
};

/// Prevents a start of this epoch that has not reached the worker yet.
struct FenceTask
{
    JobId job;
    std::uint64_t epoch = 0;
};

/// Writes a checkpoint of the task to the object store and stops the task.
struct CheckpointTask
{
    JobId job;
    std::uint64_t epoch = 0;
};

struct StopTaskRun
{
    JobId job;
    std::uint64_t epoch = 0;
};

using WorkerRequest = std::variant<StartTask, RenewTask, FenceTask, CheckpointTask, StopTaskRun>;

struct WorkerCall
{
    WorkerCallId id;
    Endpoint worker;
    WorkerRequest request;
};

/// The job's row is stored, so the job will reach a terminal state.
struct JobAccepted
{
    JobId job;
};

struct JobFound
{
    JobRow row;
};

struct JobNotFound
{
};

/// The job was not accepted, or the request about it could not be answered; nothing was changed.
struct JobRefused
{
    RefusalReason reason{};
};

/// The table's answer to the write was lost, so the submission may or may not have taken effect.
struct JobInDoubt
{
    JobId job;
};

struct AnswerJob
{
    ExchangeId exchange;
    std::variant<JobAccepted, JobFound, JobNotFound, JobRefused, JobInDoubt> answer;
};

/// Rights of one team for jobs that this entry host uses and still needs.
struct JobDemand
{
    TeamId team;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t generation = 0;

    auto operator<=>(const JobDemand &) const = default;
};

/// Step in the life cycle of a job that is logged and counted.
enum class JobStep {
    Accepted,
    Placed,
    Requeued,
    Adopted,
    Ended,
    HandedBack,
    Dropped,
    WorkerEjected,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 8> jobStepNames{
    "job-accepted", "place", "requeue", "adopt", "job-ended", "hand-back", "drop", "eject-worker",
};

/// Log entry of one job step.
struct JobLogEntry
{
    JobStep step{};
    JobId job;
    TeamId team;
    HostId worker;
    JobState state{};
    JobReason reason{};
    std::uint32_t attempts = 0;
};

/// After JobStop: this entry host owns no job any more, and no submission or adoption is in flight.
struct AllJobsHandedBack
{
};

using JobEffect = std::variant<PlatformCall, WorkerCall, AnswerJob, JobDemand, JobLogEntry, AllJobsHandedBack>;
using JobEffects = std::vector<JobEffect>;

} // namespace radishvane
