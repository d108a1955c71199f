#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishvane::drivers
{

/// Lists and objects that a JSON text from outside may nest. Values are copied, compared and written by recursion.
inline constexpr std::size_t maxJsonDepth = 32;

/// The value of a JSON text; empty if the text is not JSON or is nested deeper than maxJsonDepth.
std::optional<nlohmann::json> parseJson(std::string_view text);

/// Largest whole number that is read, which every JSON library reads exactly; sums of two cannot overflow.
inline constexpr std::uint64_t maxWholeNumber = std::uint64_t{1} << 53;

/// A whole number from 0 to maxWholeNumber, also one written as 7.0; empty for any other value.
std::optional<std::uint64_t> wholeNumber(const nlohmann::json &value);

/// A text field of an object; empty if the value is no object, or has no text in the field.
std::string textField(const nlohmann::json &value, const char *name);

/// The JSON text of a value. Bytes that are not valid UTF-8 are replaced by U+FFFD.
std::string writeJson(const nlohmann::json &value);

/// A short ASCII text for an error: the value, or how many items it has.
std::string describeJson(const nlohmann::json &value);

} // namespace radishvane::drivers
