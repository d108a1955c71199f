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

/// One life of a host as a worker; a host that starts again may keep the id, and then has a later birth.
using WorkerId = NameId<struct WorkerTag>;
/// A queue of jobs, named by its route.
using QueueId = NameId<struct QueueTag>;
/// A unit of ownership: some pools with their workers and jobs.
using CellId = NameId<struct CellTag>;
/// Number of one start of a task; it begins at 1 and rises.
using RunNumber = std::uint64_t;
/// Fencing token of an owner's orders; it rises with each change of the owner.
using Epoch = std::uint64_t;

/// What a task takes of a worker while it runs.
struct Resources
{
    /// Thousandths of a core.
    std::uint64_t cpu = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    /// Whether these needs are at most @p room in each resource.
    bool fitsIn(const Resources &room) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/// Tasks of one step of a job; all are alike.
struct StepSpec
{
    std::uint32_t count = 0;
    Resources needs;
    /// Declared run time of one task; may be far off.
    Duration estimate{0};
    /// Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    /// The tasks write checkpoints.
    bool checkpoints = false;
    /// The tasks work only together and end together.
    bool gang = false;
    bool sameRack = false;
    /// Label that the worker must have; empty when any will do.
    std::string label;
    /// Rack near the data; empty when any is as good.
    std::string rack;
    /// Most tasks of the step on one worker; 0 when there is no bound.
    std::uint32_t maxPerWorker = 0;
    /// Copies of a task may run at the same time.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool isService = false;
    std::string image;
    /// Bound on the tail of the response times of a lasting task; zero when there is none.
    Duration tailLatencyTarget{0};
    /// The tasks use processor time that others leave, and take none of a worker's room for it.
    bool bestEffort = false;
    /// Disruption allowance: lasting tasks that may be away at the same time by our orders.
    std::uint32_t maxUnavailable = 0;

    /// What one task takes of a worker's room.
    Resources reserved() const;
};

/// A job as its submitter gave it.
struct GraphSpec
{
    std::string payload;
    std::vector<StepSpec> steps;
    /// Times that the steps run; 0 for a job without due times.
    std::uint32_t repeats = 0;
    /// Due time of the first occurrence.
    WallTime firstDue{};
    Duration period{0};

    std::uint32_t occurrences() const;
    WallTime dueAt(std::uint32_t occurrence) const;
    /// Declared processor time of one occurrence, in thousandths of a core times milliseconds.
    double work() const;
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
/// The task of a name, or nothing when the text is no such name.
std::optional<TaskId> parseTaskName(std::string_view name);

/// What a caller may see of a job.
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

/// Whether a job in @p state can change no more.
bool isFinal(GraphState state);

/// How a worker says that a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come in time.
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
