#include "drivers/evhttp_text.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>

namespace radishvane::drivers
{

std::string headerValue(const HttpHeaders &headers, std::string_view name)
{
    const auto sameLetter = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
    };
    for (const HttpHeader &header : headers) {
        if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), sameLetter)) {
            return header.value;
        }
    }
    return {};
}

HttpMethod toHttpMethod(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_POST:
        return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
        return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::Delete;
    case EVHTTP_REQ_HEAD:
        return HttpMethod::Head;
    case EVHTTP_REQ_PATCH:
        return HttpMethod::Patch;
    default:
        // The server lets no other method through.
        return HttpMethod::Get;
    }
}

evhttp_cmd_type toCommand(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return EVHTTP_REQ_GET;
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::Head:
        return EVHTTP_REQ_HEAD;
    case HttpMethod::Patch:
        return EVHTTP_REQ_PATCH;
    }
    return EVHTTP_REQ_GET;
}

HttpHeaders readHeaders(const evkeyvalq *headers)
{
    HttpHeaders result;
    for (const evkeyval *header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        result.push_back({header->key, header->value});
    }
    return result;
}

std::string readBody(evbuffer *buffer)
{
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

} // namespace radishvane::drivers
