#include "drivers/caller_http.h"

#include "core/base/enum_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace radishvane::drivers
{

namespace
{

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::string_view bearer = "Bearer ";

constexpr auto keyHeader = "X-Radishvane-Key";
constexpr auto timeoutHeader = "X-Radishvane-Timeout-Ms";
constexpr auto idempotentHeader = "X-Radishvane-Idempotent";
constexpr auto idempotencyKeyHeader = "Idempotency-Key";
constexpr auto urgentHeader = "X-Radishvane-Urgent";
constexpr auto outcomeHeader = "X-Radishvane-Outcome";
constexpr auto requestNameHeader = "X-Radishvane-Request";
constexpr auto notRunHeader = "X-Request-Not-Run";

/// Longest idempotency key.
constexpr std::size_t mostIdempotencyKeyBytes = 128;

/// Headers that end at this hop (RFC 9110, section 7.6.1), that are written anew, or that carry the key.
constexpr std::array<std::string_view, 14> droppedHeaders{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "x-radishvane-key",
    "expect",
};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

HttpHeaders endToEnd(const HttpHeaders &headers)
{
    HttpHeaders kept;
    for (const HttpHeader &header : headers) {
        const std::string name = lowerCase(header.name);
        if (std::find(droppedHeaders.begin(), droppedHeaders.end(), name) == droppedHeaders.end()) {
            kept.push_back(header);
        }
    }
    return kept;
}

CallerError malformed(const std::string &what, const std::string &value)
{
    return CallerError{RefusalReason::Malformed, what + " '" + value + "'"};
}

bool isIdempotentMethod(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
    case HttpMethod::Put:
    case HttpMethod::Delete:
    case HttpMethod::Head:
        return true;
    case HttpMethod::Post:
    case HttpMethod::Patch:
        return false;
    }
    return false;
}

std::optional<bool> flagHeader(const HttpHeaders &headers, const char *name, bool fallback)
{
    const std::string value = headerValue(headers, name);
    if (value.empty()) {
        return fallback;
    }
    if (value != "true" && value != "false") {
        return std::nullopt;
    }
    return value == "true";
}

std::optional<Duration> readTimeout(const HttpHeaders &headers)
{
    const std::string value = headerValue(headers, timeoutHeader);
    if (value.empty()) {
        return defaultTimeout;
    }
    Duration::rep count = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
    const bool whole = error == std::errc() && end == value.data() + value.size();
    if (!whole || count < 1 || Duration(count) > mostTimeout) {
        return std::nullopt;
    }
    return Duration(count);
}

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
    case RefusalReason::KeyNotConfirmed:
    case RefusalReason::DeadlineTooClose:
    case RefusalReason::DeadlinePassed:
    case RefusalReason::NoBackendServer:
    case RefusalReason::ClaimUnavailable:
    case RefusalReason::Stopping:
        return httpStatus::unavailable;
    case RefusalReason::UnknownService:
        return httpStatus::notFound;
    case RefusalReason::KeyMissing:
    case RefusalReason::UnknownKey:
        return httpStatus::unauthorized;
    case RefusalReason::LargerThanAnyWorker:
    case RefusalReason::Malformed:
        return httpStatus::badRequest;
    case RefusalReason::TooLarge:
        return httpStatus::tooLarge;
    case RefusalReason::QueueFull:
        return httpStatus::tooManyRequests;
    case RefusalReason::TeamCeilingZero:
        return httpStatus::forbidden;
    case RefusalReason::DuplicateRequest:
        return httpStatus::conflict;
    }
    return httpStatus::unavailable;
}

} // namespace

Result<CallerRequest, CallerError> readCallerRequest(const HttpRequest &http, std::size_t mostBodyBytes)
{
    if (!std::string_view(http.path).starts_with(servicePrefix)) {
        return malformed("no such path", http.path);
    }
    if (http.body.size() > mostBodyBytes) {
        const std::string sizes
            = std::to_string(http.body.size()) + " bytes, the limit is " + std::to_string(mostBodyBytes);
        return CallerError{RefusalReason::TooLarge, "the body has " + sizes};
    }
    const std::string rest = http.path.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    const auto timeout = readTimeout(http.headers);
    if (!timeout) {
        return malformed(std::string(timeoutHeader) + " must be 1 to 600000, not",
                         headerValue(http.headers, timeoutHeader));
    }
    const auto idempotent = flagHeader(http.headers, idempotentHeader, isIdempotentMethod(http.method));
    if (!idempotent) {
        return malformed(std::string(idempotentHeader) + " must be true or false, not",
                         headerValue(http.headers, idempotentHeader));
    }
    const auto urgent = flagHeader(http.headers, urgentHeader, false);
    if (!urgent) {
        return malformed(std::string(urgentHeader) + " must be true or false, not",
                         headerValue(http.headers, urgentHeader));
    }
    CallerRequest request;
    request.head.idempotencyKey = headerValue(http.headers, idempotencyKeyHeader);
    if (request.head.idempotencyKey.size() > mostIdempotencyKeyBytes) {
        return malformed(std::string(idempotencyKeyHeader) + " is longer than 128 bytes:", request.head.idempotencyKey);
    }
    request.exchange = http.id;
    request.head.service = ServiceId(rest.substr(0, slash));
    request.head.key = callerKey(http.headers);
    request.head.idempotent = *idempotent;
    request.head.urgency = *urgent ? Urgency::Urgent : Urgency::Normal;
    request.head.timeout = *timeout;
    request.method = http.method;
    request.target = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!http.query.empty()) {
        request.target += '?' + http.query;
    }
    request.headers = endToEnd(http.headers);
    request.body = http.body;
    return request;
}

std::string callerKey(const HttpHeaders &headers)
{
    const std::string authorization = headerValue(headers, "Authorization");
    if (std::string_view(authorization).starts_with(bearer)) {
        return authorization.substr(bearer.size());
    }
    return headerValue(headers, keyHeader);
}

HttpAnswer refusalAnswer(RefusalReason reason, std::optional<Duration> retryAfter, const std::string &detail)
{
    HttpAnswer answer;
    answer.status = statusOf(reason);
    answer.headers = {{"Content-Type", "application/json"}, {outcomeHeader, "not-run"}};
    if (retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter);
        answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    nlohmann::json body{{"error", enumName(refusalReasonNames, reason)}, {"outcome", "not-run"}};
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    return answer;
}

HttpAnswer unknownAnswer(UnknownReason reason)
{
    HttpAnswer answer;
    answer.status = reason == UnknownReason::TimedOut ? httpStatus::gatewayTimeout : httpStatus::badGateway;
    answer.headers = {{"Content-Type", "application/json"}, {outcomeHeader, "unknown"}};
    answer.body = nlohmann::json{{"error", enumName(unknownReasonNames, reason)}, {"outcome", "unknown"}}.dump() + '\n';
    return answer;
}

HttpAnswer forwardedAnswer(const HttpAnswer &answer)
{
    HttpAnswer forwarded{answer.status, endToEnd(answer.headers), answer.body};
    forwarded.headers.push_back({outcomeHeader, "answered"});
    return forwarded;
}

AttemptOutcome outcomeOfAnswer(const HttpAnswer &answer)
{
    if (answer.status == httpStatus::unavailable && headerValue(answer.headers, notRunHeader) == "true") {
        return AttemptOutcome::NotRun;
    }
    return answer.status >= httpStatus::serverError ? AttemptOutcome::Failed : AttemptOutcome::Answered;
}

HttpHeaders travellingHeaders(const CallerRequest &request, const std::string &requestName, Duration remaining)
{
    HttpHeaders headers = request.headers;
    std::erase_if(headers, [](const HttpHeader &header) {
        const std::string name = lowerCase(header.name);
        return name == "x-radishvane-timeout-ms" || name == "x-request-id" || name == "x-radishvane-request";
    });
    headers.push_back({requestNameHeader, requestName});
    headers.push_back({timeoutHeader, std::to_string(remaining.count())});
    return headers;
}

} // namespace radishvane::drivers
