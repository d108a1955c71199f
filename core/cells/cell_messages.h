#pragma once

#include "core/cells/cell_rows.h"

#include <variant>

namespace radishvane::cells
{

/// One call to a worker, to the store or to the host service.
using CallId = NumberId<struct CallTag>;

// ---- orders to workers ----

/// The worker that an order is meant for.
struct WorkerAddress
{
    WorkerId id;
    Endpoint endpoint;
};

struct StartOrder
{
    CallId call;
    WorkerAddress worker;
    TaskId task;
    RunNumber run = 0;
    std::string payload;
    /// On the worker's clock, in milliseconds; carried out later than that, the order is refused.
    std::int64_t deadline = 0;
    Epoch fence = 0;
    std::string checkpoint;
    /// Ticket of the admission service; empty where none is asked for.
    std::string ticket;
};

struct StopOrder
{
    CallId call;
    WorkerAddress worker;
    TaskId task;
    RunNumber run = 0;
    Epoch fence = 0;
};

/// Renews the lease of all that runs on a worker, and asks for its lists.
struct LeaseRenewalOrder
{
    CallId call;
    WorkerAddress worker;
    Epoch fence = 0;
    /// Ends up to this number are noted and need not be listed again.
    std::uint64_t acknowledged = 0;
    /// On the worker's clock, in milliseconds; nothing when the lease stays as it is.
    std::optional<std::int64_t> deadline;
    /// The answer waits this long for an end.
    Duration wait{0};
};

// ---- answers of workers ----

/// What became of an order.
enum class OrderOutcome {
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// That run, or a higher one, has been stopped or has ended there.
    Outdated,
    /// The order's deadline had passed.
    Late,
    NoRoom,
    /// The ticket is not good any more.
    NoTicket,
    /// The worker is not well; nothing was done.
    Unhealthy,
    /// Another life of the worker answered.
    WrongInstance,
    Invalid,
    /// The call could not be sent.
    NotSent,
    /// No answer; the order may have been carried out, and may yet be.
    Unknown,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 11> orderOutcomeNames{
    "accepted",  "fenced",         "outdated", "late",     "no-room", "no-ticket",
    "unhealthy", "wrong-instance", "invalid",  "not-sent", "unknown",
};

struct OrderAnswered
{
    CallId call;
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The worker's clock, in milliseconds, when it said so.
    std::optional<std::int64_t> clock;
};

struct RunningRow
{
    TaskId task;
    RunNumber run = 0;
    std::string checkpoint;
    /// Share of the work that is done; 100 for a lasting task that is at work.
    double percent = 0;
    /// Tail of the response times in milliseconds for a lasting task, processor use for others.
    double load = 0;
};

struct EndedRow
{
    std::uint64_t number = 0;
    TaskId task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Stopped;
    std::string checkpoint;
};

struct LeaseRenewalReport
{
    std::int64_t clock = 0;
    std::int64_t born = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

struct LeaseRenewalAnswered
{
    CallId call;
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// Only when accepted.
    LeaseRenewalReport report;
};

// ---- the admission service ----

/// Asks which workers may run a step.
struct QueryAdmission
{
    CallId call;
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<WorkerId> workers;
};

struct AdmissionAnswered
{
    CallId call;
    /// Whether the service has decided.
    bool decided = false;
    /// Tickets of the workers that may run the step.
    std::map<WorkerId, std::string> tickets;
};

// ---- the store ----

struct WriteCell
{
    CallId call;
    CellTransaction transaction;
};

enum class CellWriteOutcome {
    Written,
    /// The owner's row has another version.
    Conflict,
    /// Nothing was done.
    Refused,
    /// No answer; it may have been done, and may yet be while its condition holds.
    Unknown,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> cellWriteOutcomeNames{"written", "conflict", "refused", "unknown"};

struct CellWritten
{
    CallId call;
    CellWriteOutcome outcome = CellWriteOutcome::Unknown;
    /// New version of the rows when written; version of the owner's row at a conflict.
    std::uint64_t version = 0;
    /// The owner's row at a conflict.
    std::optional<OwnerRow> owner;
};

/// Reads all rows of a cell but the owner's.
struct ReadCell
{
    CallId call;
    CellId cell;
};

struct CellReadDone
{
    CallId call;
    /// Nothing when the store did not answer.
    std::optional<CellContents> contents;
};

/// The owner's row as the store shows it; no owner when there is no row.
struct OwnerObserved
{
    std::optional<OwnerRow> owner;
    std::uint64_t version = 0;
};

/// The store has answered a question that was sent at @c asked.
struct StoreContact
{
    TimePoint asked;
};

// ---- what the platform tells ----

struct ConfigObserved
{
    SiteConfigPtr config;
};

/// All workers in discovery.
struct WorkersObserved
{
    std::vector<WorkerEntry> workers;
};

struct WavesObserved
{
    std::vector<Wave> waves;
};

struct ListHosts
{
    CallId call;
};

struct HostsListed
{
    CallId call;
    /// Nothing when the host service did not answer.
    std::optional<std::vector<SiteHost>> hosts;
};

struct MaintainHost
{
    CallId call;
    HostId host;
    std::uint64_t wave = 0;
    HostId holder;
    Epoch fence = 0;
};

/// Sends a host to another pool, which ends all that runs on it.
struct MoveHost
{
    CallId call;
    HostId host;
    PoolId pool;
    HostId holder;
    Epoch fence = 0;
};

/// What the host service said to an order for a host.
enum class HostOrderOutcome {
    Accepted,
    Fenced,
    Busy,
    /// The host is not of that wave.
    NotInWave,
    Invalid,
    /// Nothing was done.
    Refused,
    /// No answer; it may have been done, and may yet be.
    Unknown,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> hostOrderOutcomeNames{
    "accepted", "fenced", "busy", "not-in-wave", "invalid", "refused", "unknown",
};

struct HostOrderAnswered
{
    CallId call;
    HostOrderOutcome outcome = HostOrderOutcome::Unknown;
};

/// Tells the operator how far a wave is.
struct ReportWave
{
    CallId call;
    std::uint64_t wave = 0;
    bool completed = false;
};

struct WaveReported
{
    CallId call;
    bool written = false;
};

// ---- callers ----

struct SubmitJob
{
    ExchangeId exchange;
    JobId id;
    QueueId queue;
    TeamId team;
    GraphSpec spec;
};

struct QueryJob
{
    ExchangeId exchange;
    JobId id;
};

struct CancelJob
{
    ExchangeId exchange;
    JobId id;
};

struct QueryPending
{
    ExchangeId exchange;
    QueueId queue;
};

/// What a caller is told.
enum class CallAnswer {
    /// The job is stored.
    Accepted,
    /// @c state tells the job's state.
    State,
    /// @c pending counts jobs that have not begun.
    Pending,
    Cancelled,
    NoSuchJob,
    /// Not accepted, and never will be by this call.
    Overloaded,
    Unavailable,
    /// It may have been accepted.
    InDoubt,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 8> callAnswerNames{
    "accepted", "state", "pending", "cancelled", "no-such-job", "overloaded", "unavailable", "in-doubt",
};

struct AnswerCall
{
    ExchangeId exchange;
    CallAnswer answer = CallAnswer::Unavailable;
    GraphState state = GraphState::Queued;
    std::uint64_t pending = 0;
    /// When a refused caller had best come back.
    Duration retryAfter{0};
};

// ---- the rest ----

struct CellTick
{
};

/// The process is to end: hand the cell over.
struct CellStop
{
};

/// Says whether this process owns the cell, so that its task follows discovery.
struct OwnershipChanged
{
    bool owns = false;
    Epoch epoch = 0;
};

/// Decisions that the log tells.
enum class CellDecision {
    OwnershipTaken,
    OwnershipLost,
    OwnershipReleased,
    CellRebuilt,
    JobAccepted,
    JobRefused,
    JobEnded,
    TaskStarted,
    TaskEnded,
    TaskStopped,
    OrderInDoubt,
    WorkerAdmitted,
    WorkerReborn,
    WorkerLost,
    WorkerAvoided,
    HostMaintained,
    HostMoved,
    WaveCompleted,
    StoreWriteFailed,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 19> cellDecisionNames{
    "ownership-taken", "ownership-lost",  "ownership-released", "cell-rebuilt",       "job-accepted",
    "job-refused",     "job-ended",       "task-started",       "task-ended",         "task-stopped",
    "order-in-doubt",  "worker-admitted", "worker-reborn",      "worker-lost",        "worker-avoided",
    "host-maintained", "host-moved",      "wave-completed",     "store-write-failed",
};

/// One line of the log: a decision, what it is about, and what decided it.
struct DecisionLogEntry
{
    CellDecision decision = CellDecision::JobAccepted;
    /// Name of the job, task, worker or host.
    std::string subject;
    std::string worker;
    Epoch epoch = 0;
    std::uint64_t number = 0;
    std::string reason;
};

using CellEvent
    = std::variant<OrderAnswered, LeaseRenewalAnswered, AdmissionAnswered, CellWritten, CellReadDone, OwnerObserved,
                   StoreContact, ConfigObserved, WorkersObserved, WavesObserved, HostsListed, HostOrderAnswered,
                   WaveReported, SubmitJob, QueryJob, CancelJob, QueryPending, CellTick, CellStop>;

using CellEffect
    = std::variant<StartOrder, StopOrder, LeaseRenewalOrder, QueryAdmission, WriteCell, ReadCell, ListHosts,
                   MaintainHost, MoveHost, ReportWave, AnswerCall, OwnershipChanged, DecisionLogEntry>;

using CellEffects = std::vector<CellEffect>;

} // namespace radishvane::cells
