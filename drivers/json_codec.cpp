#include "drivers/json_codec.h"

#include <cmath>

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

std::optional<std::uint64_t> wholeNumber(const Json &value)
{
    if (value.is_number_float()) {
        const double number = value.get<double>();
        const bool isWhole
            = number >= 0 && number <= static_cast<double>(maxWholeNumber) && std::floor(number) == number;
        return isWhole ? std::optional(static_cast<std::uint64_t>(number)) : std::nullopt;
    }
    const bool isNegative = value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (!value.is_number_integer() || isNegative || value.get<std::uint64_t>() > maxWholeNumber) {
        return std::nullopt;
    }
    return value.get<std::uint64_t>();
}

std::string textField(const Json &value, const char *name)
{
    const auto found = value.is_object() ? value.find(name) : value.end();
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
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
