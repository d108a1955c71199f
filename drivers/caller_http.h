#pragma once

#include "core/base/result.h"
#include "core/routing/request_messages.h"
#include "drivers/http_types.h"

#include <string>
#include <variant>

namespace radishvane::drivers
{

/// A caller's request, with the part that only the backend server reads.
struct CallerRequest
{
    ExchangeId exchange;
    RequestHead head;
    HttpMethod method = HttpMethod::Get;
    /// Path and query as the backend server sees them.
    std::string target;
    /// Headers that travel on; the key does not.
    HttpHeaders headers;
    std::string body;
};

/// Longest and default time that a caller may wait.
inline constexpr Duration mostTimeout{600'000};
inline constexpr Duration defaultTimeout{30'000};

/// A request that cannot be read, with the value at fault.
struct CallerError
{
    RefusalReason reason{};
    std::string detail;
};

/// Reads a request to /v1/services/SERVICE/REST.
Result<CallerRequest, CallerError> readCallerRequest(const HttpRequest &http, std::size_t mostBodyBytes);

/// Value of the key that came with a request; empty when none came.
std::string callerKey(const HttpHeaders &headers);

HttpAnswer refusalAnswer(RefusalReason reason, std::optional<Duration> retryAfter, const std::string &detail = {});
HttpAnswer unknownAnswer(UnknownReason reason);
/// The backend server's answer as the caller gets it.
HttpAnswer forwardedAnswer(const HttpAnswer &answer);

/// What a whole answer of a backend server says about the work.
AttemptOutcome outcomeOfAnswer(const HttpAnswer &answer);

/// Headers that travel with every try: the request's name and the time left.
HttpHeaders travellingHeaders(const CallerRequest &request, const std::string &requestName, Duration remaining);

} // namespace radishvane::drivers
