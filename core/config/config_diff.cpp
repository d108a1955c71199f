#include "core/config/config_diff.h"

#include "core/base/enum_names.h"

#include <map>

namespace radishvane
{

namespace
{

/// Fields of one thing by name, as text.
using Fields = std::map<std::string, std::string>;

/// Things of one kind by name.
using Things = std::map<std::string, Fields>;

std::string text(std::uint32_t number)
{
    return std::to_string(number);
}

std::string text(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

std::string text(bool flag)
{
    return flag ? "true" : "false";
}

Things pools(const Config &config)
{
    Things things;
    for (const auto &[id, pool] : config.pools) {
        things[id.name()] = {{"max_hosts_out", text(pool.maxHostsOut)},
                             {"spare", text(pool.spare)},
                             {"min_hosts", text(pool.minHosts)},
                             {"maintenance_interval_hours", std::to_string(pool.maintenanceInterval.count())}};
    }
    return things;
}

Things hosts(const Config &config)
{
    Things things;
    for (const auto &[id, host] : config.hosts) {
        things[id.name()] = {{"pool", host.pool.name()},
                             {"zone", host.zone.name()},
                             {"rack", host.rack.name()},
                             {"cores", text(host.cores)},
                             {"memory_gb", text(host.memoryGb)},
                             {"accelerators", text(host.accelerators)},
                             {"worker", host.worker ? text(*host.worker) : "none"}};
    }
    return things;
}

Things teams(const Config &config)
{
    Things things;
    for (const auto &[id, team] : config.teams) {
        std::uint32_t keys = 0;
        for (const auto &[secret, key] : config.keys) {
            keys += key.team == id ? 1 : 0;
        }
        things[id.name()] = {{"share", text(team.share)},
                             {"ceiling", text(team.ceiling)},
                             {"standing_percent", text(team.standingPercent)},
                             {"cut_off_keys", std::string(enumName(cutOffKeyPolicyNames, team.cutOffKeys))},
                             {"cut_off_key_ms", std::to_string(team.cutOffKeyLifetime.count())},
                             {"keys", text(keys)}};
    }
    return things;
}

Things services(const Config &config)
{
    Things things;
    for (const auto &[id, service] : config.services) {
        things[id.name()] = {{"pool", service.pool.name()},
                             {"open_to_all", text(service.openToAll)},
                             {"longest_run_ms", std::to_string(service.longestRun.count())},
                             {"queue_limit", text(service.queueLimit)}};
    }
    return things;
}

Things backends(const Config &config)
{
    Things things;
    for (const auto &[id, service] : config.services) {
        for (const BackendServer &backend : service.backends) {
            things[backend.id.name()] = {{"service", id.name()},
                                         {"host", backend.host.name()},
                                         {"address", text(backend.endpoint)},
                                         {"slots", text(backend.slots)},
                                         {"connections", text(backend.connections)}};
        }
    }
    return things;
}

Things planning(const Config &config)
{
    return {{"of hosts",
             {{"move_hosts", text(config.movesHosts)},
              {"buffer_cost", text(config.planning.bufferCost)},
              {"share", text(config.planning.share)},
              {"moves", text(config.planning.moves)}}}};
}

/// Keys that are withdrawn or granted, as numbers by team, since a changed secret is one of each.
Things keys(const Config &config, const Config &other)
{
    Things things;
    for (const auto &[secret, key] : config.keys) {
        const auto found = other.keys.find(secret);
        if (found == other.keys.end() || found->second.team != key.team) {
            things["of team " + key.team.name()] = {};
        }
    }
    return things;
}

std::string differences(const Fields &before, const Fields &after)
{
    std::string detail;
    for (const auto &[field, value] : after) {
        const std::string &old = before.at(field);
        if (old != value) {
            detail += detail.empty() ? "" : ", ";
            detail.append(field).append(" ").append(old).append(" -> ").append(value);
        }
    }
    return detail;
}

void compare(const std::string &what, const Things &before, const Things &after, std::vector<ConfigChange> &changes)
{
    for (const auto &[name, fields] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back({ConfigChangeKind::Removed, what, name, ""});
            continue;
        }
        const std::string detail = differences(fields, found->second);
        if (!detail.empty()) {
            changes.push_back({ConfigChangeKind::Changed, what, name, detail});
        }
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name)) {
            changes.push_back({ConfigChangeKind::Added, what, name, ""});
        }
    }
}

} // namespace

std::vector<ConfigChange> diffConfigs(const Config &before, const Config &after)
{
    std::vector<ConfigChange> changes;
    compare("pool", pools(before), pools(after), changes);
    compare("planning", planning(before), planning(after), changes);
    compare("host", hosts(before), hosts(after), changes);
    compare("team", teams(before), teams(after), changes);
    for (const auto &[name, fields] : keys(before, after)) {
        changes.push_back({ConfigChangeKind::Removed, "key", name, ""});
    }
    for (const auto &[name, fields] : keys(after, before)) {
        changes.push_back({ConfigChangeKind::Added, "key", name, ""});
    }
    compare("service", services(before), services(after), changes);
    compare("backend", backends(before), backends(after), changes);
    return changes;
}

} // namespace radishvane
