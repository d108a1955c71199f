#pragma once

#include "core/config/config.h"
#include "core/fleet/host_moves.h"
#include "core/messages/platform_messages.h"
#include "core/quota/session_keeper.h"
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

/// A job as its submitter describes it.
struct JobSpec
{
    std::string kind;
    bool idempotent = false;
    JobNeeds needs;
    Duration declaredRun{60'000};
    /// Time from submission by which the job has ended, one way or the other.
    Duration endWithin{3'600'000};
    std::string payload;
};

// Events.

struct JobSubmitted
{
    ExchangeId exchange;
    std::string key;
    /// Names the job across repeats of its submission; empty when none came.
    std::string idempotencyKey;
    JobSpec spec;
};

struct JobAsked
{
    ExchangeId exchange;
    std::string key;
    JobId job;
};

struct JobCancelAsked
{
    ExchangeId exchange;
    std::string key;
    JobId job;
};

/// How a worker says that a task stands.
enum class TaskState {
    Running,
    Done,
    Failed,
    /// The worker ended the task when its lease lapsed or when it was told to.
    Stopped,
    /// The worker has never started this epoch and will not start it any more.
    NeverStarted,
    /// The worker knows nothing of the task.
    Unknown,
    /// The worker refused to start the task; it did not run.
    Refused,
    /// The worker wrote the task's state to the object store and ended it; it can go on elsewhere from there.
    Checkpointed,
};

/// Wire names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 8> taskStateNames{
    "running", "done", "failed", "stopped", "never-started", "unknown", "refused", "checkpointed",
};

/// A worker's answer.
struct TaskReport
{
    TaskState state = TaskState::Unknown;
    std::string result;
    Duration ran{};
    std::uint32_t usedMemoryGb = 0;
    /// The worker can write a checkpoint of the task.
    bool canCheckpoint = false;
    /// Object that holds the checkpoint, once there is one.
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

struct JobConfig
{
    std::shared_ptr<const Config> config;
};

struct JobAllowance
{
    TeamId team;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;
    std::uint64_t generation = 0;
};

struct JobLease
{
    TimePoint until;
};

struct JobHolder
{
    HolderId holder;
};

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

struct JobStop
{
};

using JobEvent = std::variant<JobSubmitted, JobAsked, JobCancelAsked, PlatformAnswered, WorkerAnswered, JobConfig,
                              HostPlacementsUpdated, JobAllowance, JobLease, JobHolder, JobLeavingHosts, JobPeers,
                              SessionsSeen, JobTick, JobStop>;

// Effects.

struct StartTask
{
    JobId job;
    std::uint64_t epoch = 0;
    Duration lease{};
    JobNeeds needs;
    std::string kind;
    std::string payload;
    /// Object to go on from; empty for a start from the beginning.
    std::string checkpoint{};
};

/// Renews the task's lease, or only asks when @p lease is zero.
struct RenewTask
{
    JobId job;
    std::uint64_t epoch = 0;
    Duration lease{};
};

/// Makes sure that this epoch is not started any more, when it was not yet.
struct FenceTask
{
    JobId job;
    std::uint64_t epoch = 0;
};

/// Writes the task's state to the object store and ends the task.
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

/// The job is durable and will end.
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

/// The job was not taken, or the request about it could not be answered; nothing was changed.
struct JobRefused
{
    RefusalReason reason{};
};

/// The table's answer was lost; the submission may have taken effect.
struct JobInDoubt
{
    JobId job;
};

struct AnswerJob
{
    ExchangeId exchange;
    std::variant<JobAccepted, JobFound, JobNotFound, JobRefused, JobInDoubt> answer;
};

/// Rights for jobs that this entry host uses and wants.
struct JobDemand
{
    TeamId team;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t generation = 0;

    auto operator<=>(const JobDemand &) const = default;
};

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

/// For the log.
struct JobNoted
{
    JobStep step{};
    JobId job;
    TeamId team;
    HostId worker;
    JobState state{};
    JobReason reason{};
    std::uint32_t attempts = 0;
};

/// All jobs were handed back.
struct JobsReturned
{
};

using JobEffect = std::variant<PlatformCall, WorkerCall, AnswerJob, JobDemand, JobNoted, JobsReturned>;
using JobEffects = std::vector<JobEffect>;

} // namespace radishvane
