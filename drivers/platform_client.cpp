#include "drivers/platform_client.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/json_codec.h"
#include "drivers/row_codec.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace radishvane::drivers
{

namespace
{

using Json = nlohmann::json;

std::string escape(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_encode_uri(text.c_str()), &std::free);
    return encoded.get();
}

std::string encodeWrites(const WriteRows &request, const std::string &token)
{
    Json writes = Json::array();
    for (const RowWrite &write : request.writes) {
        Json entry{{"key", write.key}, {"expected", write.expected}};
        if (write.value) {
            entry["value"] = encodeRow(*write.value);
        } else {
            entry["value"] = nullptr;
        }
        writes.push_back(std::move(entry));
    }
    return writeJson({{"writer", token}, {"writes", std::move(writes)}});
}

PlatformAnswer badAnswer(std::string detail)
{
    return PlatformFailed{PlatformError::BadAnswer, std::move(detail)};
}

/// @throws std::runtime_error when the body is not JSON.
Json parseBody(const HttpAnswer &answer)
{
    auto json = parseJson(answer.body);
    if (!json) {
        throw std::runtime_error("the body is not JSON");
    }
    return std::move(*json);
}

/// Reads one row; throws on a missing field, as the JSON library does.
StoredRow readRow(const Json &json)
{
    const auto key = json.at("key").get<std::string>();
    auto value = decodeRow(key, json.at("value").get<std::string>());
    if (!value) {
        throw std::runtime_error(value.error().detail);
    }
    return StoredRow{key, json.at("version").get<std::uint64_t>(), std::move(value).value(),
                     json.at("writer").get<std::string>()};
}

PlatformAnswer readAnswer(const ReadRow &request, const HttpAnswer &answer)
{
    if (answer.status == httpStatus::notFound) {
        return RowAbsent{request.key};
    }
    return RowFound{readRow(parseBody(answer))};
}

PlatformAnswer readAnswer(const ScanRows &, const HttpAnswer &answer)
{
    RowsFound found;
    const Json json = parseBody(answer);
    for (const Json &row : json.at("rows")) {
        found.rows.push_back(readRow(row));
    }
    return found;
}

PlatformAnswer readAnswer(const WriteRows &, const HttpAnswer &answer)
{
    const Json json = parseBody(answer);
    if (answer.status == httpStatus::conflict) {
        return WriteConflict{json.at("key").get<std::string>()};
    }
    return RowsWritten{json.at("versions").get<std::vector<std::uint64_t>>()};
}

PlatformAnswer readAnswer(const PutObject &, const HttpAnswer &)
{
    return ObjectStored{};
}

PlatformAnswer readAnswer(const ReadObject &, const HttpAnswer &answer)
{
    if (answer.status == httpStatus::notFound) {
        return ObjectAbsent{};
    }
    return ObjectFound{answer.body};
}

PlatformAnswer readAnswer(const ListHosts &, const HttpAnswer &answer)
{
    HostsListed listed;
    const Json json = parseBody(answer);
    for (const Json &host : json.at("hosts")) {
        const auto listing = enumValue<HostListing>(hostListingNames, host.at("state").get<std::string>());
        if (!listing) {
            return badAnswer("host list has the unknown state " + describeJson(host.at("state")));
        }
        listed.hosts.push_back({HostId(host.at("host").get<std::string>()), *listing});
    }
    return listed;
}

PlatformAnswer readAnswer(const RebootHost &, const HttpAnswer &answer)
{
    return RebootState{parseBody(answer).at("done").get<bool>()};
}

bool isExpected(int status)
{
    return status == httpStatus::ok || status == httpStatus::created || status == httpStatus::notFound
        || status == httpStatus::conflict;
}

} // namespace

PlatformClient::PlatformClient(EventLoop &loop, Endpoint platform, Duration timeout, AnswerHandler onAnswer)
    : m_platform(std::move(platform)), m_timeout(timeout), m_onAnswer(std::move(onAnswer)), m_http(loop)
{
}

void PlatformClient::send(const PlatformCall &call)
{
    const HttpCall http = encode(call);
    m_http.send(http, [this, call, target = http.target](HttpOutcome &&outcome) { settle(call, target, outcome); });
}

HttpCall PlatformClient::encode(const PlatformCall &call)
{
    HttpCall http;
    http.endpoint = m_platform;
    http.timeout = m_timeout;
    std::visit(Overloaded{
                   [&](const ReadRow &request) { http.target = "/table/row?key=" + escape(request.key); },
                   [&](const ScanRows &request) { http.target = "/table/rows?prefix=" + escape(request.prefix); },
                   [&](const WriteRows &request) {
                       http.method = HttpMethod::Post;
                       http.target = "/table/write";
                       http.body = encodeWrites(request, call.writer);
                   },
                   [&](const PutObject &request) {
                       http.method = HttpMethod::Put;
                       http.target = "/objects/" + escape(request.name);
                       http.body = request.bytes;
                   },
                   [&](const ReadObject &request) { http.target = "/objects/" + escape(request.name); },
                   [&](const ListHosts &) { http.target = "/hosts"; },
                   [&](const RebootHost &request) {
                       http.method = HttpMethod::Put;
                       http.target = "/hosts/" + escape(request.host.name()) + "/reboot?token=" + escape(request.token);
                   },
               },
               call.request);
    const auto cached = m_cache.find(http.target);
    if (http.method == HttpMethod::Get && cached != m_cache.end()) {
        http.headers.push_back({"If-None-Match", cached->second.tag});
    }
    return http;
}

HttpAnswer PlatformClient::fromCache(const std::string &target, const HttpAnswer &answer)
{
    const auto cached = m_cache.find(target);
    if (answer.status == httpStatus::notModified && cached != m_cache.end()) {
        return cached->second.answer;
    }
    const std::string tag = headerValue(answer.headers, "ETag");
    if (!tag.empty()) {
        m_cache[target] = Cached{tag, answer};
    }
    return answer;
}

void PlatformClient::settle(const PlatformCall &call, const std::string &target, const HttpOutcome &outcome)
{
    PlatformAnswered answered{call.id, {}};
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        const bool notSent = *failure == HttpFailure::NotSent;
        const PlatformError error = notSent ? PlatformError::Unavailable : PlatformError::AnswerLost;
        answered.answer = PlatformFailed{error, std::string(enumName(httpFailureNames, *failure))};
        m_onAnswer(std::move(answered));
        return;
    }
    const HttpAnswer answer = fromCache(target, std::get<HttpAnswer>(outcome));
    if (answer.status == httpStatus::unavailable) {
        answered.answer = PlatformFailed{PlatformError::Unavailable, "status 503"};
    } else if (!isExpected(answer.status)) {
        // A failing platform may have written before it failed.
        answered.answer = PlatformFailed{PlatformError::AnswerLost, "status " + std::to_string(answer.status)};
    } else {
        try {
            answered.answer
                = std::visit([&](const auto &request) { return readAnswer(request, answer); }, call.request);
        } catch (const std::exception &error) {
            answered.answer = badAnswer(error.what());
        }
    }
    m_onAnswer(std::move(answered));
}

} // namespace radishvane::drivers
