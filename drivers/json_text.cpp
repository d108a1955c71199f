#include "drivers/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace radishvane::drivers
{

namespace
{

/// Whether a JSON string contains the byte unchanged.
bool isPlain(char character)
{
    return character >= ' ' && character != '"' && character != '\\';
}

/// Whether the byte needs a backslash only.
bool isQuoted(char character)
{
    return character == '"' || character == '\\';
}

} // namespace

void appendJsonText(std::string &json, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(),
                     [](char character) { return isPlain(character) || isQuoted(character); })) {
        // Control characters, and text beyond ASCII that must be checked for valid UTF-8.
        json += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    json += '"';
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find_first_of("\"\\", begin), text.size());
        json.append(text, begin, end - begin);
        if (end < text.size()) {
            json += '\\';
            json += text[end];
        }
        begin = end + 1;
    }
    json += '"';
}

} // namespace radishvane::drivers
