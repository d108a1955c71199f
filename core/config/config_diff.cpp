#include "core/config/config_diff.h"

#include "core/base/enum_names.h"

#include <map>

namespace radishvane
{

namespace
{

/// Field values of one object as text, by field name.
using Fields = std::map<std::string, std::string>;

/// Entries of one kind by name.
using Entries = std::map<std::string, Fields>;

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

Entries pools(const Config &config)
{
    Entries entries;
    for (const auto &[id, pool] : config.pools) {
        entries[id.name()] = {{"max_hosts_out", text(pool.maxHostsOut)},
                              {"spare", text(pool.spare)},
                              {"min_hosts", text(pool.minHosts)},
                              {"maintenance_interval_hours", std::to_string(pool.maintenanceInterval.count())}};
    }
    return entries;
}

Entries hosts(const Config &config)
{
    Entries entries;
    for (const auto &[id, host] : config.hosts) {
        entries[id.name()] = {{"pool", host.pool.name()},
                              {"zone", host.zone.name()},
                              {"rack", host.rack.name()},
                              {"cores", text(host.cores)},
                              {"memory_gb", text(host.memoryGb)},
                              {"accelerators", text(host.accelerators)},
                              {"worker", host.worker ? text(*host.worker) : "none"}};
    }
    return entries;
}

Entries teams(const Config &config)
{
    Entries entries;
    for (const auto &[id, team] : config.teams) {
        std::uint32_t keys = 0;
        for (const auto &[secret, key] : config.keys) {
            keys += key.team == id ? 1 : 0;
        }
        entries[id.name()] = {{"share", text(team.share)},
                              {"ceiling", text(team.ceiling)},
                              {"standing_percent", text(team.standingPercent)},
                              {"cut_off_keys", std::string(enumName(cutOffKeyPolicyNames, team.cutOffKeys))},
                              {"cut_off_key_ms", std::to_string(team.cutOffKeyLifetime.count())},
                              {"keys", text(keys)}};
    }
    return entries;
}

Entries services(const Config &config)
{
    Entries entries;
    for (const auto &[id, service] : config.services) {
        entries[id.name()] = {{"pool", service.pool.name()},
                              {"open_to_all", text(service.openToAll)},
                              {"longest_run_ms", std::to_string(service.longestRun.count())},
                              {"queue_limit", text(service.queueLimit)}};
    }
    return entries;
}

Entries backends(const Config &config)
{
    Entries entries;
    for (const auto &[id, service] : config.services) {
        for (const BackendServer &backend : service.backends) {
            entries[backend.id.name()] = {{"service", id.name()},
                                          {"host", backend.host.name()},
                                          {"address", text(backend.endpoint)},
                                          {"slots", text(backend.slots)},
                                          {"connections", text(backend.connections)}};
        }
    }
    return entries;
}

Entries planning(const Config &config)
{
    return {{"of hosts",
             {{"move_hosts", text(config.movesHosts)},
              {"buffer_cost", text(config.planning.bufferCost)},
              {"share", text(config.planning.share)},
              {"moves", text(config.planning.moves)}}}};
}

/// Teams that have a key in @p config which @p other lacks or assigns to another team. A changed secret counts as one
/// removed and one added key.
Entries keys(const Config &config, const Config &other)
{
    Entries entries;
    for (const auto &[secret, key] : config.keys) {
        const auto found = other.keys.find(secret);
        if (found == other.keys.end() || found->second.team != key.team) {
            entries["of team " + key.team.name()] = {};
        }
    }
    return entries;
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

void compare(const std::string &objectKind, const Entries &before, const Entries &after,
             std::vector<ConfigChange> &changes)
{
    for (const auto &[name, fields] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back({ConfigChangeKind::Removed, objectKind, name, ""});
            continue;
        }
        const std::string detail = differences(fields, found->second);
        if (!detail.empty()) {
            changes.push_back({ConfigChangeKind::Changed, objectKind, name, detail});
        }
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name)) {
            changes.push_back({ConfigChangeKind::Added, objectKind, name, ""});
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
