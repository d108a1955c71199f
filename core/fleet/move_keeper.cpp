#include "core/fleet/move_keeper.h"

#include <algorithm>

namespace radishvane
{

namespace
{

/// Capacity of one pool.
struct Capacity
{
    std::uint64_t slots = 0;
    /// Hosts that run backend servers, and hosts that run jobs.
    std::set<HostId> serving;
    std::size_t workers = 0;
    std::uint64_t workerCores = 0;
};

std::map<PoolId, Capacity> capacities(const Config &config)
{
    std::map<PoolId, Capacity> pools;
    for (const auto &[id, service] : config.services) {
        Capacity &capacity = pools[service.pool];
        for (const BackendServer &backend : service.backends) {
            capacity.slots += backend.slots;
            capacity.serving.insert(backend.host);
        }
    }
    for (const auto &[id, host] : config.hosts) {
        Capacity &capacity = pools[host.pool];
        const auto pool = config.pools.find(host.pool);
        if (host.worker && pool != config.pools.end() && !pool->second.spare) {
            ++capacity.workers;
            capacity.workerCores += host.cores;
        }
    }
    return pools;
}

} // namespace

void MoveKeeper::spent(const ServiceId &service, double slotMilliseconds, TimePoint now)
{
    if (now - m_spentSince > 2 * planInterval) {
        // This entry host has not planned for a while, and old use says nothing about the present need.
        m_spent.clear();
        m_spentSince = now;
    }
    m_spent[service] += slotMilliseconds;
}

std::map<PoolId, std::vector<PlannedMove>> MoveKeeper::plan(const View &view, TimePoint now)
{
    std::map<PoolId, std::vector<PlannedMove>> moves;
    if (now < m_nextPlan) {
        return moves;
    }
    const bool knowsUse = m_spentSince != TimePoint{} && now - m_spentSince >= planInterval / 2;
    if (knowsUse) {
        for (PlannedMove &move : m_planner.plan(view.config, hosts(view), demands(view, now), now)) {
            moves[move.from].push_back(std::move(move));
        }
    }
    m_nextPlan = now + planInterval;
    m_spent.clear();
    m_spentSince = now;
    return moves;
}

PoolDemands MoveKeeper::demands(const View &view, TimePoint now) const
{
    PoolDemands demands;
    const std::map<PoolId, Capacity> pools = capacities(view.config);
    const auto time = static_cast<double>(std::chrono::duration_cast<Duration>(now - m_spentSince).count());
    for (const auto &[service, milliseconds] : m_spent) {
        const auto found = view.config.services.find(service);
        const auto pool = found == view.config.services.end() ? pools.end() : pools.find(found->second.pool);
        if (pool != pools.end() && pool->second.slots > 0) {
            const double slotsPerHost
                = static_cast<double>(pool->second.slots) / static_cast<double>(pool->second.serving.size());
            demands[pool->first] += milliseconds / time / slotsPerHost;
        }
    }
    double allCores = 0;
    for (const auto &[id, capacity] : pools) {
        allCores += static_cast<double>(capacity.workerCores);
    }
    // Any worker takes any job, so that each pool with workers has its part of them.
    for (const auto &[id, capacity] : pools) {
        if (capacity.workerCores > 0) {
            demands[id] += view.jobCores / allCores * static_cast<double>(capacity.workers);
        }
    }
    return demands;
}

std::vector<PlannedHost> MoveKeeper::hosts(const View &view)
{
    std::map<HostId, const HostOut *> outs;
    for (const auto &[id, row] : view.pools) {
        for (const HostOut &out : row.out) {
            outs.emplace(out.host, &out);
        }
    }
    std::vector<PlannedHost> hosts;
    for (const auto &[id, host] : view.config.hosts) {
        const auto out = outs.find(id);
        const bool isOut = out != outs.end();
        const bool arriving = isOut && out->second->cause == DrainCause::Move;
        hosts.push_back({id, arriving ? out->second->target : host.pool, host.zone, host.rack,
                         !isOut && view.live.contains(id), arriving});
    }
    return hosts;
}

} // namespace radishvane
