#pragma once

#include "core/config/config.h"
#include "core/fleet/pool_planner.h"

#include <array>
#include <string_view>

namespace radishvane::benchmarks
{

/// Who decides which hosts move.
enum class FleetPolicy {
    Planner,
    /// Each pool keeps its need and a rack's worth of hosts of its own.
    StaticBuffer,
    /// The planner's targets without a hold time, and one move under way in the fleet at a time.
    OneAtATime,
    /// Hosts go at once from the pool with the most to spare to the pool with the greatest need.
    GreedyByNeed,
};

/// Report names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> fleetPolicyNames{"planner", "static-buffer", "one-at-a-time",
                                                                  "greedy-by-need"};

/// A site's fleet and the weights in its files.
struct FleetSite
{
    std::string_view name;
    int zones = 3;
    int hosts = 50;
    int pools = 5;
    PlanningWeights weights;
};

inline constexpr FleetSite harrowgate{"harrowgate", 3, 50, 5, {3, 3, 1}};
inline constexpr FleetSite cottonbelt{"cottonbelt", 4, 50, 5, {1, 1, 3}};

/// What one day cost.
struct FleetDay
{
    /// Hours that hosts were kept beyond the work of their pools, in pools or as the spare pool's buffer, or on the
    /// way.
    double bufferHostHours = 0;
    int moves = 0;
    /// From the moment at which a pool has more work than hosts until it has enough, mean and worst.
    double meanRollOutMinutes = 0;
    double worstRollOutMinutes = 0;
    /// Part of the work that found no host of its pool.
    double shortfall = 0;
};

/// A configuration with the site's hosts, spread over its racks and zones; every seventh host rests in the spare pool.
Config fleetConfig(const FleetSite &site);

/// Plays one recorded day, minute by minute, in virtual time: work that peaks in turn, and hosts and a rack that fail.
FleetDay playDay(const FleetSite &site, FleetPolicy policy, std::uint64_t seed);

} // namespace radishvane::benchmarks
