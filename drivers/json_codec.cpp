#include "drivers/json_codec.h"

namespace radishvane::drivers
{

namespace
{

using Json = nlohmann::json;

/// Longest text of a value in an error.
constexpr std::size_t maxDescribedBytes = 60;

/// Whether the text nests at most maxJsonDepth lists and objects up to the first place where it is not JSON.
bool isShallow(std::string_view text)
{
    std::size_t depth = 0;
    for (std::size_t place = 0; place < text.size(); ++place) {
        switch (text[place]) {
        case '[':
        case '{':
            if (++depth > maxJsonDepth) {
                return false;
            }
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case '"':
            for (++place; place < text.size() && text[place] != '"'; ++place) {
                place += text[place] == '\\' ? 1 : 0;
            }
            break;
        default:
            break;
        }
    }
    return true;
}

std::string shortened(std::string text)
{
    if (text.size() > maxDescribedBytes) {
        text.resize(maxDescribedBytes);
        text += "...";
    }
    return text;
}

} // namespace

std::optional<Json> parseJson(std::string_view text)
{
    if (!isShallow(text)) {
        return std::nullopt;
    }
    Json value = Json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string describeJson(const Json &value)
{
    if (value.is_array()) {
        return "a list of " + std::to_string(value.size());
    }
    if (value.is_object()) {
        return "an object of " + std::to_string(value.size());
    }
    if (value.is_string() && value.get_ref<const std::string &>().size() > maxDescribedBytes) {
        return describeJson(value.get_ref<const std::string &>().substr(0, maxDescribedBytes));
    }
    // Only ASCII, so that the text can be cut at any byte.
    return shortened(value.dump(-1, ' ', true, Json::error_handler_t::replace));
}

} // namespace radishvane::drivers
