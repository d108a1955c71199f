#pragma once

#include "core/config/config.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace radishvane
{

/// What a set of files would do to one thing of the configuration in force.
enum class ConfigChangeKind {
    Added,
    Removed,
    Changed,
};

/// Names for operators, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> configChangeKindNames{"added", "removed", "changed"};

/// One change, in words that name what an operator would look for.
struct ConfigChange
{
    ConfigChangeKind kind{};
    /// Kind of thing: pool, host, team, key, service or backend.
    std::string what;
    std::string name;
    /// Fields that differ, as "field old -> new"; empty for things added or removed.
    std::string detail;
};

/// Every change from one configuration to another, by kind of thing and name. Secrets of keys are not shown.
std::vector<ConfigChange> diffConfigs(const Config &before, const Config &after);

} // namespace radishvane
