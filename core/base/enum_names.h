#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace radishvane
{

/// Name of an enumerator, taken from the table that stands beside its enum.
template<typename Enum, std::size_t Count>
constexpr std::string_view enumName(const std::array<std::string_view, Count> &names, Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index] : std::string_view("invalid");
}

/// Enumerator of a name, or nothing when the table does not hold the name.
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
