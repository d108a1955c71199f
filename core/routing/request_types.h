#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishvane
{

/// Whether a request is started ahead of others.
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
    KeyNotVouched,
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
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> unknownReasonNames{
    "connection-lost",
    "timed-out",
    "answer-incomplete",
};

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
    /// A whole answer came, of any status that does not say "not run".
    Answered,
    /// A whole answer came that says that the work failed.
    Failed,
    /// The backend server said that it did not run the request.
    NotRun,
    /// No byte of the request was sent.
    NotSent,
    /// Bytes were sent and the connection ended before a whole answer.
    ConnectionLost,
    /// Bytes were sent and no whole answer came in time.
    TimedOut,
    /// The answer cannot be shown to be whole or to belong to this request.
    AnswerIncomplete,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> attemptOutcomeNames{
    "answered", "failed", "not-run", "not-sent", "connection-lost", "timed-out", "answer-incomplete",
};

/// What the caller asks for, apart from the bytes that only the backend server reads.
struct RequestHead
{
    ServiceId service;
    /// The submitter's secret; empty when none came.
    std::string key;
    /// Names a request that is not idempotent across repeats; empty when none came.
    std::string idempotencyKey;
    bool idempotent = false;
    Urgency urgency = Urgency::Normal;
    /// Time from arrival within which the answer is of use.
    Duration timeout{};
};

} // namespace radishvane
