#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishvane::cells
{

/// One incarnation of a host as a worker. A host that restarts may keep the id, and then has a later time of birth.
using WorkerId = NameId<struct WorkerTag>;
/// A queue of jobs, named by its route.
using QueueId = NameId<struct QueueTag>;
/// Unit of ownership: a set of pools with their workers and jobs.
using CellId = NameId<struct CellTag>;
/// Number of one start of a task. Numbers begin at 1 and increase with each start.
using RunNumber = std::uint64_t;
/// Fencing token of the orders of an owner. It increases with each change of ownership.
using Epoch = std::uint64_t;

/// Amounts of processor, memory and accelerators that a task needs or that a worker has.
struct Resources
{
    /// Thousandths of a core.
    std::uint64_t cpu = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    /// Whether every resource is at most the one in @p room.
    bool fitsIn(const Resources &room) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/// The tasks of one step of a job, which are all alike.
struct StepSpec
{
    std::uint32_t count = 0;
    Resources needs;
    /// Declared run time of one task, which may be far from the real one.
    Duration estimate{0};
    /// Earlier steps of which all tasks must be done before this step starts.
    std::vector<std::uint32_t> after;
    /// The tasks write checkpoints.
    bool checkpoints = false;
    /// The tasks start together, run together and end together.
    bool gang = false;
    bool sameRack = false;
    /// Label that the worker must have; empty for any worker.
    std::string label;
    /// Preferred rack, near the data; empty when there is no preference.
    std::string rack;
    /// Limit on the step's tasks on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Several copies of a task may run at the same time.
    bool speculative = false;
    /// Service task: runs until the job is cancelled.
    bool isService = false;
    std::string image;
    /// Limit on the tail latency of the responses of a service task; zero for no limit.
    Duration tailLatencyTarget{0};
    /// Best-effort task: uses processor time that other tasks leave idle, and reserves no processor of the worker.
    bool bestEffort = false;
    /// Disruption budget: number of service tasks that the owner may make unavailable at the same time.
    std::uint32_t maxUnavailable = 0;

    /// What one task reserves on its worker.
    Resources reserved() const;
};

/// A job as submitted: a graph of steps, and the times at which it runs.
struct GraphSpec
{
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of occurrences of the graph; 0 for a job without due times.
    std::uint32_t repeats = 0;
    /// Due time of the first occurrence.
    WallTime firstDue{};
    Duration period{0};

    /// Bound on progressBytes() of all open occurrences.
    static constexpr std::size_t maxProgressBytes = 56'000;
    /// Bound on the checkpoints of all open occurrences, so that the progress of a job fits into one call to the store.
    static constexpr std::size_t maxCheckpointBytes = 400'000;

    std::uint32_t occurrences() const;
    /// Bytes of the stored progress of one occurrence, without checkpoints and failed runs.
    std::size_t progressBytes() const;
    /// Occurrences that may be open at the same time.
    std::size_t maxOpenOccurrences() const;
    /// Bytes of a checkpoint that each task may keep.
    std::size_t maxCheckpointBytesPerTask() const;
    WallTime dueAt(std::uint32_t occurrence) const;
    /// Processor time of one occurrence, in thousandths of a core times milliseconds.
    /// @param runTimes run time of one task of each step.
    double work(const std::vector<Duration> &runTimes) const;
};

struct TaskId
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

/// Name of a task on the wire and in the log: JOB.OCCURRENCE.STEP.INDEX.
std::string taskName(const TaskId &task);
/// Name of a step of one occurrence: JOB.OCCURRENCE.STEP.
std::string stepName(const JobId &job, std::uint32_t occurrence, std::uint32_t step);
/// Parses the result of taskName(); empty when @p name is not the name of a task.
std::optional<TaskId> parseTaskName(std::string_view name);

/// State of a job as callers see it.
enum class GraphState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 5> graphStateNames{"queued", "running", "completed", "failed",
                                                                 "cancelled"};

/// Whether @p state is a final state.
bool isFinal(GraphState state);

/// How a run ended, as reported by its worker.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> runEndNames{"done",          "failed",      "stopped",
                                                             "lease-expired", "gang-broken", "gang-incomplete"};

} // namespace radishvane::cells

template<>
struct std::hash<radishvane::cells::TaskId>
{
    std::size_t operator()(const radishvane::cells::TaskId &task) const noexcept;
};
