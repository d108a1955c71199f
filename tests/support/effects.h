#pragma once

#include <optional>
#include <variant>
#include <vector>

namespace radishvane::tests
{

/// All effects of one kind, in order.
template<typename Kind, typename Effect>
std::vector<Kind> all(const std::vector<Effect> &effects)
{
    std::vector<Kind> found;
    for (const Effect &effect : effects) {
        if (const auto *alternative = std::get_if<Kind>(&effect)) {
            found.push_back(*alternative);
        }
    }
    return found;
}

/// The only effect of one kind; nothing when there is none or more than one.
template<typename Kind, typename Effect>
std::optional<Kind> only(const std::vector<Effect> &effects)
{
    const auto found = all<Kind>(effects);
    return found.size() == 1 ? std::optional(found.front()) : std::nullopt;
}

} // namespace radishvane::tests
