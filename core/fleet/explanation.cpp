#include "core/fleet/explanation.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane
{

namespace
{

std::string seconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count()) + " s";
}

std::string listingText(const FleetSnapshot &view, const HostId &id)
{
    const auto found = view.listed.find(id);
    return found == view.listed.end() ? "not listed, counted as failed"
                                      : std::string(enumName(hostListingNames, found->second));
}

std::vector<std::string> jobsOn(const FleetSnapshot &view, const HostId &id)
{
    std::vector<std::string> names;
    for (const auto &[name, job] : view.jobs) {
        if (job.worker == id && !isTerminal(job.state)) {
            names.push_back(name.name());
        }
    }
    return names;
}

/// Finds the entry of a host in the rows of all pools, since a drain may still be recorded in the row of a pool that
/// the files no longer assign the host to.
const HostOutage *findOut(const FleetSnapshot &view, const HostId &id)
{
    for (const auto &[pool, row] : view.pools) {
        if (const HostOutage *out = row.find(id)) {
            return out;
        }
    }
    return nullptr;
}

std::string drainWaitReason(const FleetSnapshot &view, const HostOutage &out)
{
    switch (out.phase) {
    case HostPhase::InService:
        return "nothing";
    case HostPhase::Draining: {
        const auto jobs = jobsOn(view, out.host);
        return jobs.empty() ? "running requests, for up to the longest run time of the services on the host"
                            : "job " + jobs.front() + " and " + std::to_string(jobs.size() - 1) + " more";
    }
    case HostPhase::Rebooting:
    case HostPhase::OutOfService:
        return "the platform to say that its reboot is done";
    }
    return "nothing";
}

std::uint32_t grantedFor(const RightsRow &row, RightsUse use)
{
    std::uint32_t granted = 0;
    for (const RightsGrant &grant : row.grants) {
        granted += grant.use == use ? grant.total() : 0;
    }
    return granted;
}

std::string jobWaitReason(const FleetSnapshot &view, const JobRow &job)
{
    const auto team = view.declared->teams.find(job.team);
    if (team == view.declared->teams.end()) {
        return "its team, which the configuration no longer declares; the job will end as failed";
    }
    const auto rights = view.rights.find(job.team);
    const std::uint32_t granted = rights == view.rights.end() ? 0 : rights->second.granted();
    if (granted >= team->second.ceiling) {
        return "a right: " + std::to_string(granted) + " of " + std::to_string(team->second.ceiling) + " are granted, "
            + std::to_string(rights == view.rights.end() ? 0 : grantedFor(rights->second, RightsUse::Requests))
            + " of them for requests";
    }
    return "a worker with " + std::to_string(job.needs.cores) + " cores, " + std::to_string(job.needs.memoryGb)
        + " GB and " + std::to_string(job.needs.accelerators) + " accelerators free";
}

} // namespace

std::optional<Findings> explainHost(const FleetSnapshot &view, const HostId &id)
{
    const auto declared = view.declared->hosts.find(id);
    if (declared == view.declared->hosts.end()) {
        return std::nullopt;
    }
    const auto placed = applyHostMoves(view.declared, view.hosts);
    Findings findings{{Fact::DeclaredPool, declared->second.pool.name()},
                      {Fact::Pool, placed->hosts.at(id).pool.name()},
                      {Fact::Listing, listingText(view, id)}};
    if (const auto row = view.hosts.find(id);
        row != view.hosts.end() && row->second.maintainedAt.time_since_epoch().count() > 0) {
        findings.push_back({Fact::Maintained, seconds(view.now - row->second.maintainedAt) + " ago"});
    }
    const HostOutage *out = findOut(view, id);
    const HostPhase phase = out == nullptr ? HostPhase::InService : out->phase;
    findings.push_back({Fact::Phase, std::string(enumName(hostPhaseNames, phase))});
    if (phase == HostPhase::InService) {
        return findings;
    }
    findings.push_back({Fact::Cause, std::string(enumName(drainCauseNames, out->cause))});
    if (out->cause == DrainCause::Move) {
        findings.push_back({Fact::Target, out->target.name()});
    }
    findings.push_back({Fact::InPhaseFor, seconds(view.now - out->since)});
    findings.push_back({Fact::WaitsFor, drainWaitReason(view, *out)});
    return findings;
}

std::optional<Findings> explainJob(const FleetSnapshot &view, const JobId &id)
{
    const auto found = view.jobs.find(id);
    if (found == view.jobs.end()) {
        return std::nullopt;
    }
    const JobRow &job = found->second;
    Findings findings{{Fact::State, std::string(enumName(jobStateNames, job.state))},
                      {Fact::Reason, std::string(enumName(jobReasonNames, job.reason))},
                      {Fact::Attempts, std::to_string(job.attempts)},
                      {Fact::Worker, job.worker.name()}};
    if (isTerminal(job.state)) {
        return findings;
    }
    findings.push_back({Fact::Owner, job.owner.host.name()});
    findings.push_back({Fact::EndsWithin, seconds(job.endBy - view.now)});
    if (job.state == JobState::Queued) {
        findings.push_back({Fact::WaitsFor, jobWaitReason(view, job)});
    }
    return findings;
}

std::optional<Findings> explainTeam(const FleetSnapshot &view, const TeamId &id)
{
    const auto found = view.declared->teams.find(id);
    if (found == view.declared->teams.end()) {
        return std::nullopt;
    }
    const auto keys = std::count_if(view.declared->keys.begin(), view.declared->keys.end(),
                                    [&](const auto &entry) { return entry.second.team == id; });
    Findings findings{{Fact::Share, std::to_string(found->second.share)},
                      {Fact::Ceiling, std::to_string(found->second.ceiling)},
                      {Fact::Keys, std::to_string(keys)}};
    std::uint32_t granted = 0;
    if (const auto rights = view.rights.find(id); rights != view.rights.end()) {
        granted = rights->second.granted();
        for (const RightsGrant &grant : rights->second.grants) {
            findings.push_back({Fact::Granted,
                                grant.holder.host.name() + ": " + std::to_string(grant.standing) + " standing, "
                                    + std::to_string(grant.leased) + " leased, for "
                                    + std::string(enumName(rightsUseNames, grant.use))});
        }
    }
    const std::uint32_t ceiling = found->second.ceiling;
    findings.push_back({Fact::Free, std::to_string(ceiling > granted ? ceiling - granted : 0)});
    return findings;
}

std::optional<Findings> explainPool(const FleetSnapshot &view, const PoolId &id)
{
    const auto found = view.declared->pools.find(id);
    if (found == view.declared->pools.end()) {
        return std::nullopt;
    }
    const auto placed = applyHostMoves(view.declared, view.hosts);
    std::size_t hosts = 0;
    Findings findings;
    const auto row = view.pools.find(id);
    for (const auto &[name, host] : placed->hosts) {
        if (host.pool != id) {
            continue;
        }
        ++hosts;
        if (row != view.pools.end() && row->second.find(name) != nullptr) {
            findings.push_back({Fact::Out, name.name()});
        } else if (!view.listed.contains(name)) {
            findings.push_back({Fact::Failed, name.name()});
        }
    }
    const std::uint32_t budget = found->second.maxHostsOut;
    findings.insert(findings.begin(),
                    {{Fact::Hosts, std::to_string(hosts)},
                     {Fact::Budget, std::to_string(findings.size()) + " of " + std::to_string(budget) + " used"}});
    return findings;
}

} // namespace radishvane
