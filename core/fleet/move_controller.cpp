#include "core/fleet/move_controller.h"

#include <algorithm>

namespace radishvane
{

namespace
{

/// The workers of one pool.
struct Workers
{
    std::size_t hosts = 0;
    std::uint64_t cores = 0;
};

std::map<PoolId, Workers> workersByPool(const Config &config)
{
    std::map<PoolId, Workers> pools;
    for (const auto &[id, host] : config.hosts) {
        const auto pool = config.pools.find(host.pool);
        if (host.worker && pool != config.pools.end() && !pool->second.spare) {
            ++pools[host.pool].hosts;
            pools[host.pool].cores += host.cores;
        }
    }
    return pools;
}

/// Pools in which each host has something to run: those of the services that have a backend server on it, and for a
/// worker those without a service.
std::map<HostId, std::set<PoolId>> poolsServed(const Config &config)
{
    std::map<HostId, std::set<PoolId>> served;
    std::set<PoolId> ofServices;
    for (const auto &[id, service] : config.services) {
        ofServices.insert(service.pool);
        for (const BackendServer &backend : service.backends) {
            served[backend.host].insert(service.pool);
        }
    }
    for (const auto &[id, host] : config.hosts) {
        for (const auto &[pool, settings] : config.pools) {
            if (host.worker && !settings.spare && !ofServices.contains(pool)) {
                served[id].insert(pool);
            }
        }
    }
    return served;
}

/// Slots of a service on one of its hosts, on average; zero without any.
double slotsPerHost(const Service &service)
{
    std::set<HostId> hosts;
    double slots = 0;
    for (const BackendServer &backend : service.backends) {
        slots += backend.slots;
        hosts.insert(backend.host);
    }
    return hosts.empty() ? 0 : slots / static_cast<double>(hosts.size());
}

} // namespace

void MoveController::spent(const ServiceId &service, double slotMilliseconds, TimePoint now)
{
    if (now - m_spentSince > 2 * planInterval) {
        // This entry host has not planned for a while, and old use says nothing about the present need.
        m_spent.clear();
        m_spentSince = now;
    }
    m_spent[service] += slotMilliseconds;
}

std::map<PoolId, std::vector<PlannedMove>> MoveController::plan(const View &view, TimePoint now)
{
    std::map<PoolId, std::vector<PlannedMove>> moves;
    m_spentSince = m_spentSince == TimePoint{} ? now : m_spentSince;
    const bool knowsUse = now - m_spentSince >= planInterval / 2;
    if (now < m_nextPlan || !knowsUse) {
        return moves;
    }
    for (PlannedMove &move : m_planner.plan(view.config, hosts(view), demands(view, now), now)) {
        moves[move.from].push_back(std::move(move));
    }
    m_nextPlan = now + planInterval;
    m_spent.clear();
    m_spentSince = now;
    return moves;
}

PoolDemands MoveController::demands(const View &view, TimePoint now) const
{
    PoolDemands demands;
    const auto time = static_cast<double>(std::chrono::duration_cast<Duration>(now - m_spentSince).count());
    for (const auto &[id, milliseconds] : m_spent) {
        const auto service = view.config.services.find(id);
        const double slots = service == view.config.services.end() ? 0 : slotsPerHost(service->second);
        if (slots > 0) {
            // Every host of a pool serves all its services, so that the busiest one decides.
            double &demand = demands[service->second.pool];
            demand = std::max(demand, milliseconds / time / slots);
        }
    }
    const std::map<PoolId, Workers> pools = workersByPool(view.config);
    double cores = 0;
    for (const auto &[id, workers] : pools) {
        cores += static_cast<double>(workers.cores);
    }
    // Any worker takes any job, so that each pool with workers has its part of them.
    for (const auto &[id, workers] : pools) {
        if (workers.cores > 0) {
            const double jobs = view.jobCores / cores * static_cast<double>(workers.hosts);
            demands[id] = std::max(demands[id], jobs);
        }
    }
    return demands;
}

std::vector<PlannedHost> MoveController::hosts(const View &view)
{
    std::map<HostId, const HostOut *> outs;
    for (const auto &[id, row] : view.pools) {
        for (const HostOut &out : row.out) {
            outs.emplace(out.host, &out);
        }
    }
    auto serves = poolsServed(view.declared);
    std::vector<PlannedHost> hosts;
    for (const auto &[id, host] : view.config.hosts) {
        const auto out = outs.find(id);
        const bool isOut = out != outs.end();
        const bool arriving = isOut && out->second->cause == DrainCause::Move;
        hosts.push_back({id, arriving ? out->second->target : host.pool, host.rack, !isOut && view.live.contains(id),
                         arriving, std::move(serves[id])});
    }
    return hosts;
}

} // namespace radishvane
