#pragma once

#include "core/cells/site.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// Owner of a cell. Each write of the owner is conditional on the version of this row.
struct OwnerRow
{
    HostId host;
    /// Distinguishes the processes that ran one after the other on this host.
    std::uint64_t incarnation = 0;
    /// Address at which other entry hosts reach the owner.
    Endpoint link;
    Epoch epoch = 0;
    /// Each owner since this epoch has stored its starts before it sent them; 0 if the last one has not.
    Epoch startsRecordedSince = 0;

    bool operator==(const OwnerRow &) const = default;
};

/// An accepted job. The row is written a second time when the job has ended, without a large payload.
struct JobRow
{
    JobId id;
    QueueId queue;
    /// Empty for a job of an open queue.
    TeamId team;
    /// Epoch in which the job was accepted.
    Epoch epoch = 0;
    WallTime accepted{};
    GraphSpec spec;
};

/// Stored state of one task.
struct TaskProgress
{
    bool done = false;
    /// Numbers of the runs that have failed, each once.
    std::vector<RunNumber> failedRuns;
    /// Highest run number whose end is known.
    RunNumber endedRun = 0;
    std::string checkpoint;

    bool operator==(const TaskProgress &) const = default;
};

/// Progress of one occurrence, as a list of tasks for each step.
using OccurrenceProgress = std::vector<std::vector<TaskProgress>>;

/// A start order that had no answer when the row was written, so that it may still be carried out.
struct LateStart
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    RunNumber run = 0;
    WorkerId worker;
    /// Time for which the order may still be carried out, from the writing of the row.
    Duration left{0};
};

/// A start of which no end is stored. It is stored before its order is sent, so that each later owner knows which
/// worker may run the task.
struct RecordedStart
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    RunNumber run = 0;
    WorkerId worker;
    /// The incarnation of the worker that the order was meant for runs the task.
    bool isConfirmed = false;

    bool operator==(const RecordedStart &) const = default;
};

/// Stored progress of a job. A job without this row has not started.
struct ProgressRow
{
    JobId id;
    GraphState state = GraphState::Queued;
    bool begun = false;
    /// Occurrences below this one are done.
    std::uint32_t firstOpen = 0;
    std::map<std::uint32_t, OccurrenceProgress> open;
    std::vector<LateStart> lateStarts;
    std::vector<RecordedStart> starts;
    /// Number of rows that the progress takes in the store; not part of its value.
    std::size_t storedRows = 1;
};

/// A job whose rows are deleted.
struct DeletedJob
{
    JobId id;
    /// Number of rows that its progress may have in the store.
    std::size_t progressRows = 1;
};

/// A worker that may run tasks of the cell, even if discovery no longer lists the worker.
struct KnownWorker
{
    WorkerId id;
    HostId host;
    PoolId pool;
    Endpoint endpoint;
    std::int64_t startedAtMs = 0;
    /// The worker has restarted, so that orders for its former incarnation may have granted the longest lease.
    bool mayHoldLongestLease = false;

    bool operator==(const KnownWorker &) const = default;
};

/// One part of the list of all workers that may have received orders. Each part is a row of its own.
struct RosterRow
{
    /// Part of the row's key, not of its value.
    std::uint32_t part = 0;
    std::vector<KnownWorker> workers;
};

/// A service task of a job at the release of the cell.
struct ReleasedTask
{
    /// The task has no active run.
    static constexpr std::uint32_t nowhere = UINT32_MAX;

    std::uint32_t index = 0;
    /// Position in ReleaseRow::workers of the only worker that may run the task, or @c nowhere.
    std::uint32_t worker = nowhere;
};

/// The service tasks of one step of which the owner knew all runs.
struct ReleasedStep
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<ReleasedTask> tasks;
};

/// A worker at the release of the cell.
struct ReleasedWorker
{
    WorkerId id;
    /// Time after which all leases of its runs have expired.
    Duration leaseLeft{0};
};

/// What an owner knew about runs when it released the cell, or a part of that. It is stored in the same transaction as
/// the release, after which the owner grants no leases, and holds for the next epoch only.
struct ReleaseRow
{
    /// Part of the row's key, not of its value.
    std::uint32_t part = 0;
    /// Epoch that ended with the release.
    Epoch epoch = 0;
    std::vector<ReleasedWorker> workers;
    std::vector<ReleasedStep> steps;
};

/// Hosts with orders that may still be carried out. A host is stored here before an order for it is sent.
struct HostOrdersRow
{
    std::vector<HostId> hosts;
};

/// Progress of a maintenance wave: the hosts whose maintenance orders were accepted.
struct WaveRow
{
    std::uint64_t number = 0;
    std::vector<HostId> ordered;
    bool completed = false;
};

/// One atomic write of a cell's rows, conditional on version @c expectedOwnerVersion of the owner's row.
struct CellTransaction
{
    CellId cell;
    /// 0 if the owner's row does not exist yet.
    std::uint64_t expectedOwnerVersion = 0;
    std::optional<OwnerRow> owner;
    std::vector<JobRow> jobs;
    std::vector<ProgressRow> progress;
    std::vector<RosterRow> roster;
    std::vector<WaveRow> waves;
    std::optional<HostOrdersRow> hostOrders;
    std::vector<ReleaseRow> release;
    std::vector<DeletedJob> deletedJobs;
};

/// All rows of a cell except the owner's row.
struct CellContents
{
    std::vector<JobRow> jobs;
    std::vector<ProgressRow> progress;
    std::vector<RosterRow> roster;
    /// Parts of the list of workers that cannot be read.
    std::set<std::uint32_t> lostRosterParts;
    std::vector<WaveRow> waves;
    /// Empty if the row does not exist.
    HostOrdersRow hostOrders;
    /// The row exists and cannot be read.
    bool areHostOrdersLost = false;
    /// Parts of the last releases of the cell.
    std::vector<ReleaseRow> release;
};

} // namespace radishvane::cells
