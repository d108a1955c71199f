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

// Events: what the request plane is told.

/// A newer configuration is in force on this entry host.
struct ConfigInForce
{
    std::shared_ptr<const Config> config;
};

/// Hosts that must get no new work: leaving by the host list or drained by a maintenance row.
struct LeavingHosts
{
    std::set<HostId> hosts;
};

/// This entry host's place among the live ones, for splitting the slots of backend servers.
struct EntryHostPlace
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

/// Last time at which the configuration was confirmed to be the newest.
struct ConfigConfirmed
{
    TimePoint at;
};

/// A newer configuration is known that could not be had, so nothing is taken under the old one.
struct ConfigSuspended
{
};

struct RequestArrived
{
    ExchangeId exchange;
    RequestHead head;
};

/// The caller closed its connection.
struct CallerLeft
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
    /// Rights without expiry.
    std::uint32_t standing = 0;
    /// Rights that end with the session.
    std::uint32_t leased = 0;
    /// Repeated in TeamDemand, so that the giver knows from when on an allowance holds.
    std::uint64_t generation = 0;
};

/// Leased rights of all teams allow work to start before this time.
struct LeaseExtended
{
    TimePoint until;
};

/// What other entry hosts spent for a team on a service since the last report, in slot milliseconds.
struct PeerUsage
{
    ServiceId service;
    TeamId team;
    double slotMilliseconds = 0;
};

/// Slots of a service that another entry host leaves idle.
struct PeerSpareSlots
{
    HostId peer;
    ServiceId service;
    std::uint32_t slots = 0;
};

/// Answer of the table to a claim of an idempotency key.
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

/// No new request is taken from now on.
struct StopRequested
{
};

/// Time has passed.
struct TimePassed
{
};

using RequestEvent = std::variant<ConfigInForce, HostPlacementsUpdated, LeavingHosts, EntryHostPlace, ConfigConfirmed,
                                  ConfigSuspended, RequestArrived, CallerLeft, AttemptEnded, TeamAllowance,
                                  LeaseExtended, PeerUsage, PeerSpareSlots, ClaimDecided, StopRequested, TimePassed>;

// Effects: what the request plane asks for.

/// Send the request to a backend server; exactly one AttemptEnded follows.
struct StartAttempt
{
    AttemptId attempt;
    ExchangeId exchange;
    BackendId backend;
    Endpoint endpoint;
    /// Time after which the attempt is abandoned.
    Duration timeout{};
    /// Time left until the caller's deadline; travels to the backend server.
    Duration remaining{};
    /// A request that must not run twice gets a connection that no other request has used.
    bool freshConnection = false;
};

/// Give the caller the whole answer of an attempt.
struct ForwardAnswer
{
    ExchangeId exchange;
    AttemptId attempt;
};

/// Tell the caller that the request was not run.
struct Refuse
{
    ExchangeId exchange;
    RefusalReason reason{};
    std::optional<Duration> retryAfter;
};

/// Tell the caller that the request reached a backend server and its outcome is unknown.
struct ReportUnknown
{
    ExchangeId exchange;
    UnknownReason reason{};
};

/// Claim an idempotency key before anything is sent; exactly one ClaimDecided follows.
struct ClaimKey
{
    ExchangeId exchange;
    TeamId team;
    std::string idempotencyKey;
};

/// Give a claim back, since the request was not run.
struct ReleaseClaim
{
    TeamId team;
    std::string idempotencyKey;
};

/// How much of a team's rights this entry host uses and wants.
struct TeamDemand
{
    TeamId team;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Generation of the allowance in force.
    std::uint64_t generation = 0;

    auto operator<=>(const TeamDemand &) const = default;
};

/// Slot time that one team spent on a service since the last report.
struct SpentSlotTime
{
    ServiceId service;
    TeamId team;
    double slotMilliseconds = 0;
};

/// Slots of one service that this entry host leaves idle.
struct SpareSlots
{
    ServiceId service;
    std::uint32_t slots = 0;
};

/// What other entry hosts need to know about the use of services; sent every usageInterval.
struct UsageReport
{
    std::vector<SpentSlotTime> spent;
    std::vector<SpareSlots> spare;
};

/// What kind of decision a log line records.
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

/// One routing decision, for the log.
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
