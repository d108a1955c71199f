#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishvane
{

/// Whether a request is served before the normal requests in the queue.
enum class Urgency {
    Normal,
    Urgent,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> urgencyNames{"normal", "urgent"};

/// Why a request was refused. A refused request was not run.
enum class RefusalReason {
    NoConfiguration,
    UnknownService,
    KeyMissing,
    UnknownKey,
    KeyNotConfirmed,
    Malformed,
    TooLarge,
    QueueFull,
    DeadlineTooClose,
    DeadlinePassed,
    TeamCeilingZero,
    NoBackendServer,
    DuplicateRequest,
    ClaimUnavailable,
    Stopping,
    LargerThanAnyWorker,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 16> refusalReasonNames{
    "no-configuration",   "unknown-service",   "key-missing",       "unknown-key",
    "key-not-vouched",    "malformed",         "too-large",         "queue-full",
    "deadline-too-close", "deadline-passed",   "team-ceiling-zero", "no-backend-server",
    "duplicate-request",  "claim-unavailable", "stopping",          "larger-than-any-worker",
};

/// Why the outcome of a request is unknown after it reached a backend server.
enum class UnknownReason {
    ConnectionLost,
    TimedOut,
    AnswerIncomplete,
    /// The entry host ended before the backend server answered.
    Stopping,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> unknownReasonNames{
    "connection-lost",
    "timed-out",
    "answer-incomplete",
    "stopping",
};

/// Outcome of one attempt at a backend server.
enum class AttemptOutcome {
    /// A complete answer arrived, with any status except "not run" and failure of the work.
    Answered,
    /// A complete answer arrived that reports that the work failed.
    Failed,
    /// The backend server reported that it did not run the request.
    NotRun,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent, and the connection ended before a complete answer arrived.
    ConnectionLost,
    /// Bytes were sent, and no complete answer arrived in time.
    TimedOut,
    /// The answer cannot be verified as complete or as belonging to this request.
    AnswerIncomplete,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> attemptOutcomeNames{
    "answered", "failed", "not-run", "not-sent", "connection-lost", "timed-out", "answer-incomplete",
};

/// Routing data of a request, without the headers and the body that only the backend server reads.
struct RequestHead
{
    ServiceId service;
    /// The caller's secret; empty when the request carries none.
    std::string key;
    /// Identifies repeats of the same non-idempotent request; empty when the request carries none.
    std::string idempotencyKey;
    bool idempotent = false;
    Urgency urgency = Urgency::Normal;
    /// Time from the arrival of the request to its deadline.
    Duration timeout{};
};

} // namespace radishvane
