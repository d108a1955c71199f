#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishvane
{

/// An IP address and a TCP or UDP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Whether a cut-off entry host, which cannot learn of withdrawn keys, still accepts the keys of a team.
enum class CutOffKeyPolicy {
    Serve,
    Refuse,
    ServeForATime,
};

/// File and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> cutOffKeyPolicyNames{
    "serve",
    "refuse",
    "serve-for-a-time",
};

/// A customer of the fleet, with its weight under contention and its limit.
struct Team
{
    TeamId id;
    /// Weight against other teams when a pool is full.
    std::uint32_t share = 1;
    /// Maximum number of slots in use at one time, over all availability zones.
    std::uint32_t ceiling = 0;
    /// Part of the ceiling, in percent, that entry hosts hold without expiry and may use while cut off.
    std::uint32_t standingPercent = 0;
    CutOffKeyPolicy cutOffKeys = CutOffKeyPolicy::ServeForATime;
    /// Time for which a cut-off entry host accepts keys under CutOffKeyPolicy::ServeForATime.
    Duration cutOffKeyLifetime{};
};

/// The secret of an API key and the team that it authenticates.
struct Key
{
    std::string secret;
    TeamId team;
};

/// A group of hosts that drain and reboot under one availability budget.
struct Pool
{
    PoolId id;
    /// Maximum number of hosts of the pool that may be out at one time, including failed ones.
    std::uint32_t maxHostsOut = 1;
    bool spare = false;
    /// Number of hosts that the pool keeps at any load.
    std::uint32_t minHosts = 1;
    /// Interval within which each host is maintained once; zero disables maintenance.
    std::chrono::hours maintenanceInterval{0};
};

/// A host of the fleet, with its location and capacity.
struct Host
{
    HostId id;
    ZoneId zone;
    RackId rack;
    PoolId pool;
    std::uint32_t cores = 0;
    std::uint32_t memoryGb = 0;
    std::uint32_t accelerators = 0;
    /// Endpoint at which the platform's worker on this host accepts tasks, when there is a worker.
    std::optional<Endpoint> worker;
};

/// One backend server of a service, with its limits.
struct BackendServer
{
    BackendId id;
    HostId host;
    Endpoint endpoint;
    /// Maximum number of requests that run on it at one time.
    std::uint32_t slots = 8;
    /// Maximum number of connections from all entry hosts together.
    std::uint32_t connections = 64;
};

/// A set of backend servers that answer the same requests.
struct Service
{
    ServiceId id;
    PoolId pool;
    bool openToAll = false;
    /// A backend server ends every request within this time.
    Duration longestRun{};
    /// Maximum number of requests queued for the service at one entry host.
    std::uint32_t queueLimit = 0;
    std::vector<BackendServer> backends;
};

/// Weights of a site's goals for the planning of host moves; a larger weight counts more.
struct PlanningWeights
{
    std::uint32_t bufferCost = 1;
    std::uint32_t share = 1;
    std::uint32_t moves = 1;
};

/// The configuration that a valid set of declarative files declares.
struct Config
{
    ConfigVersion version;
    std::map<PoolId, Pool> pools;
    std::map<HostId, Host> hosts;
    std::map<TeamId, Team> teams;
    std::map<ServiceId, Service> services;
    std::unordered_map<std::string, Key> keys;
    PlanningWeights planning;
    /// Enables host moves between pools as their load changes; requires a spare pool.
    bool movesHosts = false;
};

} // namespace radishvane
