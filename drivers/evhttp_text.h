#pragma once

#include "drivers/http_types.h"

#include <event2/http.h>

struct evbuffer;
struct evkeyvalq;

namespace radishvane::drivers
{

HttpMethod toHttpMethod(evhttp_cmd_type command);
evhttp_cmd_type toCommand(HttpMethod method);
HttpHeaders readHeaders(const evkeyvalq *headers);
/// Takes all bytes out of the buffer.
std::string readBody(evbuffer *buffer);

} // namespace radishvane::drivers
