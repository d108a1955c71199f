#include "core/fleet/move_controller.h"

#include <algorithm>

namespace radishvane
{

namespace
{

/// Number of hosts with a worker in one pool, and the sum of their cores.
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

/// Pools whose work each host can run: the pools of services with a backend server on the host and, for a host with a
/// worker, the pools without services.
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

/// Average number of slots of a service per host that it has backend servers on; zero without backend servers.
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

void MoveController::addUsage(const ServiceId &service, double slotMilliseconds, TimePoint now)
{
    if (now - m_usageSince > 2 * planInterval) {
        // Usage from before a gap in planning does not reflect the present demand.
        m_usage.clear();
        m_usageSince = now;
    }
    m_usage[service] += slotMilliseconds;
}

std::map<PoolId, std::vector<PlannedMove>> MoveController::plan(const View &view, TimePoint now)
{
    std::map<PoolId, std::vector<PlannedMove>> moves;
    m_usageSince = m_usageSince == TimePoint{} ? now : m_usageSince;
    const bool hasEnoughUsage = now - m_usageSince >= planInterval / 2;
    if (now < m_nextPlan || !hasEnoughUsage) {
        return moves;
    }
    for (PlannedMove &move : m_planner.plan(view.config, plannedHosts(view), estimateDemands(view, now), now)) {
        moves[move.from].push_back(std::move(move));
    }
    m_nextPlan = now + planInterval;
    m_usage.clear();
    m_usageSince = now;
    return moves;
}

PoolDemands MoveController::estimateDemands(const View &view, TimePoint now) const
{
    PoolDemands demands;
    const auto time = static_cast<double>(std::chrono::duration_cast<Duration>(now - m_usageSince).count());
    for (const auto &[id, milliseconds] : m_usage) {
        const auto service = view.config.services.find(id);
        const double slots = service == view.config.services.end() ? 0 : slotsPerHost(service->second);
        if (slots > 0) {
            // Every host of a pool serves all services of the pool, so the busiest service determines the demand.
            double &demand = demands[service->second.pool];
            demand = std::max(demand, milliseconds / time / slots);
        }
    }
    const std::map<PoolId, Workers> pools = workersByPool(view.config);
    double cores = 0;
    for (const auto &[id, workers] : pools) {
        cores += static_cast<double>(workers.cores);
    }
    // Any worker can run any job, so the demand of jobs is spread over the pools by their number of worker hosts.
    for (const auto &[id, workers] : pools) {
        if (workers.cores > 0) {
            const double jobs = view.jobCores / cores * static_cast<double>(workers.hosts);
            demands[id] = std::max(demands[id], jobs);
        }
    }
    return demands;
}

std::vector<PlannedHost> MoveController::plannedHosts(const View &view)
{
    std::map<HostId, const HostOutage *> outs;
    for (const auto &[id, row] : view.pools) {
        for (const HostOutage &out : row.out) {
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
