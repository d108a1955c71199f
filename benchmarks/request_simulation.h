#pragma once

#include "core/base/clock.h"
#include "core/routing/request_router.h"

#include <array>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace radishvane::benchmarks
{

/// One team's part of the load.
struct SimulatedTeam
{
    std::string name;
    std::uint32_t share = 1;
    /// Mean arrivals a second.
    double perSecond = 0;
    /// Five times the mean for two seconds out of every period, a twentieth of it in between, by turns.
    bool bursts = false;
};

struct SimulationPlan
{
    int entryHosts = 6;
    int backends = 10;
    std::uint32_t slots = 8;
    double meanRunMilliseconds = 50;
    Duration timeout{2'000};
    Duration length{30'000};
    /// Part of the requests that are urgent.
    double urgentPart = 0;
    std::vector<SimulatedTeam> teams;
    std::uint32_t seed = 1;
};

/// How requests are queued and placed: the product, or a baseline.
enum class Policy {
    /// The request router of this project.
    RequestRouter,
    /// First come first served at each entry host, under the same slot limits.
    FirstCome,
    /// Each team has a fixed part of each entry host's slots.
    StaticSplit,
    /// Sent at once to a random backend server, which queues.
    Random,
    /// Sent at once to each backend server in turn, which queues.
    RoundRobin,
};

inline constexpr std::array<std::string_view, 5> policyNames{"request-plane", "first-come", "static-split", "random",
                                                             "round-robin"};

struct SimulationResult
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refused = 0;
    /// Answers in time over what the backend servers could have answered.
    double goodput = 0;
    double p50Milliseconds = 0;
    double p99Milliseconds = 0;
    std::size_t longestQueue = 0;
    /// Distance of a team's slot time from its fair part, as a part of the pool, over windows of 1 s.
    double meanDistance = 0;
    double worstDistance = 0;
    double urgentWorstStartMilliseconds = 0;
    double normalWorstStartMilliseconds = 0;
};

/// Plays a load against entry hosts and backend servers in virtual time; the same plan gives the same result.
SimulationResult simulate(const SimulationPlan &plan, Policy policy);

/// Six teams of which two are large, whose queues peak in turn.
SimulationPlan peaksInTurn(double loadFactor);

/// One team at a multiple of the capacity.
SimulationPlan steadyLoad(double loadFactor);

} // namespace radishvane::benchmarks
