#pragma once

#include <string>
#include <string_view>

namespace radishvane::drivers
{

/// Appends @p text to @p json as a JSON string in quotes. Bytes that are not valid UTF-8 are replaced by U+FFFD.
void appendJsonText(std::string &json, std::string_view text);

} // namespace radishvane::drivers
