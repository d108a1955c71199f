#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/config/config.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishvane::drivers
{

/// HTTP methods that callers, operators and the platform use.
enum class HttpMethod {
    Get,
    Post,
    Put,
    Delete,
    Head,
    Patch,
};

/// Wire names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> httpMethodNames{"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH"};

struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first header of that name in any case; empty when there is none.
std::string headerValue(const HttpHeaders &headers, std::string_view name);

/// A request that came to a server of ours.
struct HttpRequest
{
    ExchangeId id;
    HttpMethod method = HttpMethod::Get;
    /// Path without the query, percent-encoding left as it came.
    std::string path;
    /// Query without the question mark.
    std::string query;
    HttpHeaders headers;
    std::string body;
};

struct HttpAnswer
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Status codes that this project gives or looks for.
namespace httpStatus
{
inline constexpr int ok = 200;
inline constexpr int created = 201;
inline constexpr int accepted = 202;
inline constexpr int notModified = 304;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int forbidden = 403;
inline constexpr int notFound = 404;
inline constexpr int methodNotAllowed = 405;
inline constexpr int conflict = 409;
inline constexpr int tooLarge = 413;
inline constexpr int tooManyRequests = 429;
inline constexpr int serverError = 500;
inline constexpr int badGateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gatewayTimeout = 504;
}

} // namespace radishvane::drivers
