#pragma once

#include "core/config/config.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace radishvane
{

/// Effect of a set of files on one object of the configuration in force.
enum class ConfigChangeKind {
    Added,
    Removed,
    Changed,
};

/// Names for operators, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> configChangeKindNames{"added", "removed", "changed"};

/// One difference between two configurations, with names as in the operator's files.
struct ConfigChange
{
    ConfigChangeKind kind{};
    /// Kind of object: pool, planning, host, team, key, service or backend.
    std::string objectKind;
    std::string name;
    /// Fields that differ, as "field old -> new"; empty for added and removed objects.
    std::string detail;
};

/// Returns all changes from one configuration to another, by kind of object and name. Secrets of keys are left out.
std::vector<ConfigChange> diffConfigs(const Config &before, const Config &after);

} // namespace radishvane
