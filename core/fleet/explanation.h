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

/// What one line of an explanation is about.
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

struct Finding
{
    Fact fact{};
    std::string value;
};

using Findings = std::vector<Finding>;

/// Everything that an explanation looks at, as the table and the host list just told.
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

/// Where a host stands, and what it waits for while it drains. @return nothing for an unknown host.
std::optional<Findings> explainHost(const FleetSnapshot &view, const HostId &id);

/// How a job is, and why it waits. @return nothing for an unknown job.
std::optional<Findings> explainJob(const FleetSnapshot &view, const JobId &id);

/// What a team may use, and who holds it. @return nothing for an unknown team.
std::optional<Findings> explainTeam(const FleetSnapshot &view, const TeamId &id);

/// How far a pool's budget is used. @return nothing for an unknown pool.
std::optional<Findings> explainPool(const FleetSnapshot &view, const PoolId &id);

} // namespace radishvane
