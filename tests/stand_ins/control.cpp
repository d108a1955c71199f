#include "tests/stand_ins/control.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <memory>

namespace radishvane::stand_ins
{

std::map<std::string, std::string> readQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query.c_str(), &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            fields[pair->key] = pair->value;
        }
    }
    evhttp_clear_headers(&pairs);
    return fields;
}

std::string decode(const std::string &text)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(text.c_str(), 0, &size), &std::free);
    return decoded == nullptr ? std::string() : std::string(decoded.get(), size);
}

drivers::HttpAnswer jsonAnswer(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

drivers::HttpAnswer textAnswer(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

} // namespace radishvane::stand_ins
