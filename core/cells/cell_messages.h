#pragma once

#include "core/cells/cell_rows.h"

#include <variant>

namespace radishvane::cells
{

/// Identifies one request to a worker, the store or the host service, and matches it with the answer.
using CallId = NumberId<struct CallTag>;

// ---- orders to workers ----

/// Destination of an order.
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
    /// Milliseconds on the worker's clock; the worker refuses an order that it would carry out later.
    std::int64_t deadline = 0;
    Epoch fence = 0;
    std::string checkpoint;
    /// Ticket of the admission service; empty if the queue requires none.
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

/// Renews the lease of all runs on a worker and requests its lists of running and ended runs.
struct LeaseRenewalOrder
{
    CallId call;
    WorkerAddress worker;
    Epoch fence = 0;
    /// Acknowledges the ended runs up to this number, which the worker need not list again.
    std::uint64_t acknowledged = 0;
    /// New end of the lease in milliseconds on the worker's clock; empty if the lease stays unchanged.
    std::optional<std::int64_t> deadline;
    /// Long poll: the worker delays its answer by at most this time until a run ends.
    Duration wait{0};
};

// ---- answers of workers ----

/// Result of an order to a worker.
enum class OrderOutcome {
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or one with a higher number has been stopped or has ended on the worker.
    Outdated,
    /// The order arrived after its deadline.
    Late,
    NoRoom,
    /// The ticket has expired.
    NoTicket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another incarnation of the worker answered.
    WrongInstance,
    Invalid,
    /// The call could not be sent.
    NotSent,
    /// No answer; the worker may have carried out the order or may still do so.
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
    /// The worker's clock in milliseconds at the time of the answer.
    std::optional<std::int64_t> clock;
};

struct RunningRow
{
    TaskId task;
    RunNumber run = 0;
    std::string checkpoint;
    /// Progress of the work; 100 for a service task that is ready.
    double percent = 0;
    /// Tail latency in milliseconds for a service task, processor use for other tasks.
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
    std::int64_t startedAtMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

struct LeaseRenewalAnswered
{
    CallId call;
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// Valid only if the renewal was accepted.
    LeaseRenewalReport report;
};

// ---- the admission service ----

/// Asks the admission service which workers may run a step.
struct QueryAdmission
{
    CallId call;
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<WorkerId> workers;
    /// Time that the service takes for its answer, if it serves no other call before.
    Duration answerTime{0};
};

struct AdmissionAnswered
{
    CallId call;
    /// False if the service did not answer with a decision.
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
    /// The store has written nothing, and may accept the same call later.
    Refused,
    /// No answer; the store may have written the rows, or may still do so while the version matches.
    Unknown,
    /// The store has written nothing, and will never accept the call as it is.
    Rejected,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 5> cellWriteOutcomeNames{"written", "conflict", "refused", "unknown",
                                                                       "rejected"};

/// A call to the store and its answer, for the log.
struct StoreCallRecord
{
    /// Status of the answer; 0 if there was none.
    int status = 0;
    std::size_t bytes = 0;
    std::size_t entries = 0;
    /// Reason that the store gave.
    std::string problem;
};

struct CellWritten
{
    CallId call;
    CellWriteOutcome outcome = CellWriteOutcome::Unknown;
    /// New version of the rows after a write; version of the owner's row after a conflict.
    std::uint64_t version = 0;
    /// The owner's row after a conflict.
    std::optional<OwnerRow> owner;
    StoreCallRecord record = {};
};

/// Reads all rows of a cell except the owner's row.
struct ReadCell
{
    CallId call;
    CellId cell;
};

struct CellReadDone
{
    CallId call;
    /// Empty if the store did not answer.
    std::optional<CellContents> contents;
    /// Size of the rows that were read.
    std::uint64_t bytes = 0;
};

/// The owner's row as read from the store; no owner if the row does not exist.
struct OwnerObserved
{
    std::optional<OwnerRow> owner;
    std::uint64_t version = 0;
};

/// The store has answered a request that was sent at @c requestedAt.
struct StoreContact
{
    TimePoint requestedAt;
};

// ---- state of the platform ----

struct ConfigObserved
{
    SiteConfigPtr config;
};

/// The complete list of workers in discovery.
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
    /// Empty if the host service did not answer.
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

/// Moves a host to another pool, which ends all tasks on the host.
struct MoveHost
{
    CallId call;
    HostId host;
    PoolId pool;
    HostId holder;
    Epoch fence = 0;
};

/// Result of an order to the host service.
enum class HostOrderOutcome {
    Accepted,
    Fenced,
    Busy,
    /// The host does not belong to the wave.
    NotInWave,
    Invalid,
    /// The host service has done nothing.
    Refused,
    /// No answer; the host service may have carried out the order or may still do so.
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

/// Reports the progress of a wave to the operator.
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

/// Request of a fitter entry host that the owner releases the cell.
struct RequestHandover
{
    ExchangeId exchange;
    HostId host;
    /// @c HostCapacity::ownerFitness of @c host.
    double fitness = 0;
    /// The ownership that is to end.
    Epoch epoch = 0;
};

/// Result that is returned to a caller or to another entry host.
enum class CallAnswer {
    /// The job is stored, or the owner is about to release the cell.
    Accepted,
    /// @c state holds the state of the job.
    State,
    /// @c pending holds the number of jobs that have not started.
    Pending,
    Cancelled,
    NoSuchJob,
    /// The job was refused, and this call cannot be accepted later.
    Overloaded,
    Unavailable,
    /// The job may or may not have been accepted.
    InDoubt,
    /// The owner keeps the cell.
    Declined,
    /// The store does not accept a row of the job, now or later. The job was not accepted.
    TooLarge,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 10> callAnswerNames{
    "accepted",   "state",       "pending",  "cancelled", "no-such-job",
    "overloaded", "unavailable", "in-doubt", "declined",  "too-large",
};

struct AnswerCall
{
    ExchangeId exchange;
    CallAnswer answer = CallAnswer::Unavailable;
    GraphState state = GraphState::Queued;
    std::uint64_t pending = 0;
    /// Recommended delay before a refused caller retries.
    Duration retryAfter{0};
};

/// The owner's answer to a request for a handover, or @c CallAnswer::Unavailable without one.
struct HandoverAnswered
{
    ExchangeId exchange;
    CallAnswer answer = CallAnswer::Unavailable;
};

// ---- process and log ----

struct CellTick
{
};

/// Requests a handover of the cell, since the process is about to exit.
struct CellStop
{
};

/// Reports whether this process owns the cell; the task subscribes to discovery while it does.
struct OwnershipChanged
{
    bool owns = false;
    Epoch epoch = 0;
};

/// The store has written a renewal of the cell's lease.
struct CellLeaseRenewed
{
    /// Time since the sending of the renewal before; the lease has expired meanwhile if it exceeds CellLease::duration.
    TimePoint::duration age{0};
};

/// The owner has rebuilt the state of its cell.
struct CellRebuilt
{
    /// Time since the cell was taken.
    TimePoint::duration time{0};
    std::uint64_t jobs = 0;
    std::uint64_t bytes = 0;
};

/// Decisions that are written to the log.
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
    WorkerRestarted,
    WorkerLost,
    WorkerAvoided,
    /// A worker of the owner before does not answer, so that tasks that it may run wait.
    WorkerAwaited,
    HostMaintained,
    HostMoved,
    HostFenced,
    WaveCompleted,
    StoreWriteFailed,
    /// A change that the store never accepts was given up.
    StoreChangeDropped,
    /// A worker reported a checkpoint that is too large for the progress of its job; the one before is kept.
    CheckpointIgnored,
    /// The admission service takes longer for its answer than its tickets are certainly valid.
    TicketMayExpire,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 24> cellDecisionNames{
    "ownership-taken",    "ownership-lost",       "ownership-released", "cell-rebuilt",
    "job-accepted",       "job-refused",          "job-ended",          "task-started",
    "task-ended",         "task-stopped",         "order-in-doubt",     "worker-admitted",
    "worker-reborn",      "worker-lost",          "worker-avoided",     "worker-awaited",
    "host-maintained",    "host-moved",           "host-fenced",        "wave-completed",
    "store-write-failed", "store-change-dropped", "checkpoint-ignored", "ticket-may-expire",
};

/// The estimate of a worker's clock on which the deadline of a start order rests, for the log.
struct OrderClockRecord
{
    /// Milliseconds on the worker's clock.
    std::int64_t deadline = 0;
    std::int64_t clock = 0;
    /// Time since the clock was read.
    Duration clockAge{0};
};

/// How long the tasks of silent workers wait after a change of ownership, for the log.
struct InheritedWaitRecord
{
    Duration wait{0};
};

/// How long the tasks of one silent worker wait, for the log.
struct SilentWorkerRecord
{
    /// For most tasks.
    Duration wait{0};
    /// For service tasks, and for the host in a wave.
    Duration usualWait{0};
};

using DecisionDetail
    = std::variant<std::monostate, StoreCallRecord, OrderClockRecord, InheritedWaitRecord, SilentWorkerRecord>;

/// Log entry for one decision, with its subject and reason.
struct DecisionLogEntry
{
    CellDecision decision = CellDecision::JobAccepted;
    /// Name of the job, task, worker or host.
    std::string subject;
    std::string worker;
    Epoch epoch = 0;
    std::uint64_t number = 0;
    std::string reason;
    DecisionDetail detail = {};
};

using CellEvent = std::variant<OrderAnswered, LeaseRenewalAnswered, AdmissionAnswered, CellWritten, CellReadDone,
                               OwnerObserved, StoreContact, ConfigObserved, WorkersObserved, WavesObserved, HostsListed,
                               HostOrderAnswered, WaveReported, SubmitJob, QueryJob, CancelJob, QueryPending,
                               RequestHandover, HandoverAnswered, CellTick, CellStop>;

using CellEffect = std::variant<StartOrder, StopOrder, LeaseRenewalOrder, QueryAdmission, WriteCell, ReadCell,
                                ListHosts, MaintainHost, MoveHost, ReportWave, AnswerCall, RequestHandover,
                                OwnershipChanged, CellLeaseRenewed, CellRebuilt, DecisionLogEntry>;

using CellEffects = std::vector<CellEffect>;

} // namespace radishvane::cells
