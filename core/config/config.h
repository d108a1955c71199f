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

/// What a team's keys are worth on an entry host that can hear of no withdrawal.
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

/// A customer of the fleet, with its share when the fleet is full and its ceiling.
struct Team
{
    TeamId id;
    /// Weight against other teams when a pool is full.
    std::uint32_t share = 1;
    /// Most slots in use at one time in all availability zones together.
    std::uint32_t ceiling = 0;
    /// Part of the ceiling, in percent, that entry hosts hold without expiry and can use while cut off.
    std::uint32_t standingPercent = 0;
    CutOffKeyPolicy cutOffKeys = CutOffKeyPolicy::ServeForATime;
    /// How long keys are honoured while cut off, for CutOffKeyPolicy::ServeForATime.
    Duration cutOffKeyLifetime{};
};

/// A submitter's secret and the team it stands for.
struct Key
{
    std::string secret;
    TeamId team;
};

/// A group of hosts that drain and reboot under one availability budget.
struct Pool
{
    PoolId id;
    /// Most hosts of the pool that may be out at one time, failed ones counted.
    std::uint32_t maxHostsOut = 1;
    bool spare = false;
    /// Hosts that the pool keeps however little work it has.
    std::uint32_t minHosts = 1;
    /// Each host is maintained once in this time; zero for never.
    std::chrono::hours maintenanceInterval{0};
};

/// A machine of the fleet.
struct Host
{
    HostId id;
    ZoneId zone;
    RackId rack;
    PoolId pool;
    std::uint32_t cores = 0;
    std::uint32_t memoryGb = 0;
    std::uint32_t accelerators = 0;
    /// Where the platform's worker on this host takes tasks, when it has one.
    std::optional<Endpoint> worker;
};

/// One server of a service, with its bounds.
struct BackendServer
{
    BackendId id;
    HostId host;
    Endpoint endpoint;
    /// Requests that it runs at one time.
    std::uint32_t slots = 8;
    /// Connections that it accepts from all entry hosts together.
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
    /// Most requests that wait for the service at one entry host.
    std::uint32_t queueLimit = 0;
    std::vector<BackendServer> backends;
};

/// What a site weighs when hosts are planned; a larger number weighs more.
struct PlanningWeights
{
    std::uint32_t bufferCost = 1;
    std::uint32_t share = 1;
    std::uint32_t moves = 1;
};

/// One accepted set of declarative files.
struct Config
{
    ConfigVersion version;
    std::map<PoolId, Pool> pools;
    std::map<HostId, Host> hosts;
    std::map<TeamId, Team> teams;
    std::map<ServiceId, Service> services;
    std::unordered_map<std::string, Key> keys;
    PlanningWeights planning;
    /// Hosts may be moved between pools as work comes and goes; needs a spare pool.
    bool movesHosts = false;
};

} // namespace radishvane
