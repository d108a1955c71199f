#pragma once

#include "core/config/config.h"
#include "core/fleet/host_moves.h"
#include "core/messages/platform_messages.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishvane
{

/// Property that one line of an explanation reports.
enum class Fact {
    DeclaredPool,
    Pool,
    Listing,
    Phase,
    Cause,
    Target,
    InPhaseFor,
    Maintained,
    WaitsFor,
    State,
    Reason,
    Owner,
    Worker,
    Attempts,
    EndsWithin,
    Share,
    Ceiling,
    Keys,
    Granted,
    Free,
    Hosts,
    Budget,
    Out,
    Failed,
};

/// Output names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 24> factNames{
    "declared-pool", "pool",  "listing", "phase", "cause",  "target",   "in-phase-for", "maintained",
    "waits-for",     "state", "reason",  "owner", "worker", "attempts", "ends-within",  "share",
    "ceiling",       "keys",  "granted", "free",  "hosts",  "budget",   "out",          "failed",
};

/// One line of an explanation.
struct Finding
{
    Fact fact{};
    std::string value;
};

using Findings = std::vector<Finding>;

/// Input of an explanation: the configuration, the rows of the table and the platform's host list.
struct FleetSnapshot
{
    std::shared_ptr<const Config> declared;
    HostRows hosts;
    std::map<PoolId, PoolRow> pools;
    std::map<TeamId, RightsRow> rights;
    std::map<JobId, JobRow> jobs;
    std::map<HostId, HostListing> listed;
    WallTime now;
};

/// Explains the pool and phase of a host, and what its drain waits for. @return std::nullopt for an unknown host.
std::optional<Findings> explainHost(const FleetSnapshot &view, const HostId &id);

/// Explains the state of a job, and what a queued job waits for. @return std::nullopt for an unknown job.
std::optional<Findings> explainJob(const FleetSnapshot &view, const JobId &id);

/// Lists the limits of a team and the holders of its rights. @return std::nullopt for an unknown team.
std::optional<Findings> explainTeam(const FleetSnapshot &view, const TeamId &id);

/// Lists the hosts that use up a pool's availability budget. @return std::nullopt for an unknown pool.
std::optional<Findings> explainPool(const FleetSnapshot &view, const PoolId &id);

} // namespace radishvane
