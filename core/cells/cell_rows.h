#pragma once

#include "core/cells/site.h"

#include <map>
#include <optional>
#include <vector>

namespace radishvane::cells
{

/// Who owns a cell. The row's version guards each write of the owner.
struct OwnerRow
{
    HostId host;
    /// Tells lives of one process apart.
    std::uint64_t incarnation = 0;
    /// Where other entry hosts reach the owner.
    Endpoint link;
    Epoch epoch = 0;

    bool operator==(const OwnerRow &) const = default;
};

/// A job as it was accepted; never changes.
struct JobRow
{
    JobId id;
    QueueId queue;
    /// Empty for a job of an open queue.
    TeamId team;
    /// Epoch in which it was accepted.
    Epoch epoch = 0;
    WallTime accepted{};
    GraphSpec spec;
};

/// What lasts of one task.
struct TaskProgress
{
    bool done = false;
    std::uint32_t failures = 0;
    /// Highest run whose end is known.
    RunNumber endedRun = 0;
    std::string checkpoint;

    bool operator==(const TaskProgress &) const = default;
};

/// Progress of one occurrence: tasks by step.
using OccurrenceProgress = std::vector<std::vector<TaskProgress>>;

/// What lasts of a job's progress. A job without this row has not begun.
struct ProgressRow
{
    JobId id;
    GraphState state = GraphState::Queued;
    bool begun = false;
    /// Occurrences below this one are done.
    std::uint32_t firstOpen = 0;
    std::map<std::uint32_t, OccurrenceProgress> open;
};

/// A worker that may run tasks of the cell, also after its entry in discovery has gone.
struct KnownWorker
{
    WorkerId id;
    HostId host;
    PoolId pool;
    Endpoint endpoint;
    std::int64_t born = 0;

    bool operator==(const KnownWorker &) const = default;
};

/// All workers to which orders may have gone.
struct RosterRow
{
    std::vector<KnownWorker> workers;
};

/// Hosts of a wave whose maintenance has been ordered with success.
struct WaveRow
{
    std::uint64_t number = 0;
    std::vector<HostId> ordered;
    bool completed = false;
};

/// One atomic write of a cell's rows, valid only while the owner's row has version @c guard.
struct CellTransaction
{
    CellId cell;
    /// 0 when no owner's row exists yet.
    std::uint64_t guard = 0;
    std::optional<OwnerRow> owner;
    std::vector<JobRow> jobs;
    std::vector<ProgressRow> progress;
    std::optional<RosterRow> roster;
    std::vector<WaveRow> waves;
    /// Jobs whose rows go.
    std::vector<JobId> dropped;
};

/// All rows of a cell.
struct CellContents
{
    std::vector<JobRow> jobs;
    std::vector<ProgressRow> progress;
    RosterRow roster;
    std::vector<WaveRow> waves;
};

} // namespace radishvane::cells
