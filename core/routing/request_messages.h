#pragma once

#include "core/config/config.h"
#include "core/fleet/host_moves.h"
#include "core/routing/request_types.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace radishvane
{

// Events: the inputs of RequestRouter.

/// A newer configuration is in force on this entry host.
struct ConfigInForce
{
    std::shared_ptr<const Config> config;
};

/// Hosts that get no new work: marked as leaving in the host list or drained by a maintenance row.
struct LeavingHosts
{
    std::set<HostId> hosts;
};

/// Index of this entry host among the live ones; determines which slots of the backend servers it may use.
struct EntryHostPosition
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

/// Latest time at which the configuration was confirmed to be the newest.
struct ConfigConfirmed
{
    TimePoint at;
};

/// A newer configuration exists but could not be loaded, so no request is admitted under the old one.
struct ConfigSuspended
{
};

struct RequestArrived
{
    ExchangeId exchange;
    RequestHead head;
};

/// The caller closed its connection.
struct CallerDisconnected
{
    ExchangeId exchange;
};

struct AttemptEnded
{
    AttemptId attempt;
    AttemptOutcome outcome{};
};

/// Rights of one team that this entry host may use.
struct TeamAllowance
{
    TeamId team;
    /// Rights that do not expire.
    std::uint32_t standing = 0;
    /// Rights that expire with the session.
    std::uint32_t leased = 0;
    /// Echoed in TeamDemand, so that the sender knows when the allowance has been applied.
    std::uint64_t generation = 0;
};

/// Work may start under the leased rights of all teams until this time.
struct LeaseExtended
{
    TimePoint until;
};

/// Slot time that another entry host spent for a team on a service since its last report, in milliseconds.
struct PeerUsage
{
    ServiceId service;
    TeamId team;
    double slotMilliseconds = 0;
};

/// Slots of a service that another entry host reports as idle.
struct PeerSpareSlots
{
    HostId peer;
    ServiceId service;
    std::uint32_t slots = 0;
};

/// Result of claiming an idempotency key in the table.
enum class ClaimOutcome {
    Claimed,
    ClaimedBefore,
    Unavailable,
};

struct ClaimDecided
{
    ExchangeId exchange;
    ClaimOutcome outcome{};
};

/// The entry host stops; later requests that may run beyond @c endsBy are refused.
struct StopRequested
{
    TimePoint endsBy;
};

/// The process is about to end. Each open request is answered: refused if it has not run, as unknown otherwise.
struct AnswerOpenRequests
{
};

/// Periodic event that expires deadlines, starts queued requests and sends due reports.
struct RequestTick
{
};

using RequestEvent
    = std::variant<ConfigInForce, HostPlacementsUpdated, LeavingHosts, EntryHostPosition, ConfigConfirmed,
                   ConfigSuspended, RequestArrived, CallerDisconnected, AttemptEnded, TeamAllowance, LeaseExtended,
                   PeerUsage, PeerSpareSlots, ClaimDecided, StopRequested, AnswerOpenRequests, RequestTick>;

// Effects: the outputs of RequestRouter.

/// Send the request to a backend server; exactly one AttemptEnded follows.
struct StartAttempt
{
    AttemptId attempt;
    ExchangeId exchange;
    BackendId backend;
    Endpoint endpoint;
    /// Time after which the attempt is abandoned.
    Duration timeout{};
    /// Time left until the caller's deadline; sent to the backend server.
    Duration remaining{};
    /// Set for requests that must not run twice: they use a connection that carried no earlier request.
    bool freshConnection = false;
};

/// Forward the complete answer of an attempt to the caller.
struct ForwardAnswer
{
    ExchangeId exchange;
    AttemptId attempt;
};

/// Report to the caller that the request was not run.
struct Refuse
{
    ExchangeId exchange;
    RefusalReason reason{};
    std::optional<Duration> retryAfter;
};

/// Report to the caller that the request reached a backend server and that its outcome is unknown.
struct ReportUnknown
{
    ExchangeId exchange;
    UnknownReason reason{};
};

/// Claim an idempotency key before the request is sent; exactly one ClaimDecided follows.
struct ClaimKey
{
    ExchangeId exchange;
    TeamId team;
    std::string idempotencyKey;
};

/// Release the claim of an idempotency key whose request was not run.
struct ReleaseClaim
{
    TeamId team;
    std::string idempotencyKey;
};

/// Rights of a team that this entry host uses and needs.
struct TeamDemand
{
    TeamId team;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Generation of the allowance that is applied.
    std::uint64_t generation = 0;

    auto operator<=>(const TeamDemand &) const = default;
};

/// Slot time, in milliseconds, that a team spent on a service since the last report.
struct SpentSlotTime
{
    ServiceId service;
    TeamId team;
    double slotMilliseconds = 0;
};

/// Slots of one service that are idle on this entry host.
struct SpareSlots
{
    ServiceId service;
    std::uint32_t slots = 0;
};

/// Service usage that other entry hosts need for their own routing; sent every usageInterval.
struct UsageReport
{
    std::vector<SpentSlotTime> spent;
    std::vector<SpareSlots> spare;
};

/// Kind of a routing decision in the log.
enum class DecisionKind {
    Queue,
    Route,
    Retry,
    Refuse,
    Finish,
    Unknown,
    Eject,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> decisionKindNames{
    "queue", "route", "retry", "refuse", "finish", "unknown", "eject",
};

/// Log entry of one routing decision.
struct Decision
{
    DecisionKind kind{};
    ExchangeId exchange;
    TeamId team;
    ServiceId service;
    BackendId backend;
    std::string_view reason;
    Duration waited{};
};

using RequestEffect = std::variant<StartAttempt, ForwardAnswer, Refuse, ReportUnknown, ClaimKey, ReleaseClaim,
                                   TeamDemand, UsageReport, Decision>;
using RequestEffects = std::vector<RequestEffect>;

} // namespace radishvane
