#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace radishvane
{

/// Returns the name of an enumerator from the name table declared beside its enum; "invalid" if it is out of range.
template<typename Enum, std::size_t Count>
constexpr std::string_view enumName(const std::array<std::string_view, Count> &names, Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index] : std::string_view("invalid");
}

/// Returns the enumerator with the given name, or nullopt if the table does not contain the name.
template<typename Enum, std::size_t Count>
constexpr std::optional<Enum> enumValue(const std::array<std::string_view, Count> &names, std::string_view name)
{
    for (std::size_t index = 0; index < Count; ++index) {
        if (names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace radishvane
