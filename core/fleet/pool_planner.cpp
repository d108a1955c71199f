#include "core/fleet/pool_planner.h"

#include <algorithm>
#include <cmath>

namespace radishvane
{

namespace
{

const Pool *sparePool(const Config &config)
{
    for (const auto &[id, pool] : config.pools) {
        if (pool.spare) {
            return &pool;
        }
    }
    return nullptr;
}

bool canServe(const PlannedHost &host, const PoolId &pool)
{
    return !host.serves || host.serves->contains(pool);
}

std::size_t countServing(const std::vector<const PlannedHost *> &hosts, const PoolId &pool)
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](const PlannedHost *host) { return canServe(*host, pool); }));
}

/// Selects a host from the rack with the most hosts, so that the remaining hosts stay spread over racks. With a pool,
/// only hosts that can serve it are candidates. At least one candidate must exist.
std::size_t selectFromFullestRack(const std::vector<const PlannedHost *> &hosts, const std::optional<PoolId> &pool)
{
    const auto fits = [&](std::size_t index) {
        return !pool || canServe(*hosts[index], *pool);
    };
    std::map<RackId, std::size_t> racks;
    for (const PlannedHost *host : hosts) {
        ++racks[host->rack];
    }
    std::size_t best = 0;
    while (!fits(best)) {
        ++best;
    }
    for (std::size_t index = best + 1; index < hosts.size(); ++index) {
        if (!fits(index)) {
            continue;
        }
        const auto count = racks[hosts[index]->rack];
        const auto most = racks[hosts[best]->rack];
        if (count > most || (count == most && hosts[index]->host < hosts[best]->host)) {
            best = index;
        }
    }
    return best;
}

std::size_t hostsForDemand(double demand)
{
    return static_cast<std::size_t>(std::ceil(demand / PoolPlanner::maxUtilization));
}

/// Number of usable hosts that a pool can give away while it keeps @p need hosts.
std::size_t surplusHosts(std::size_t present, std::size_t usable, std::size_t need)
{
    return present > need ? std::min(present - need, usable) : 0;
}

} // namespace

std::vector<PlannedMove> PoolPlanner::plan(const Config &config, const std::vector<PlannedHost> &hosts,
                                           const PoolDemands &demands, TimePoint now)
{
    std::vector<PlannedMove> moves;
    const Pool *spare = sparePool(config);
    if (spare == nullptr) {
        return moves;
    }
    PoolViews pools = buildPoolViews(config, hosts, demands, now);
    growPools(pools, spare->id, moves);
    m_firstPlan = m_firstPlan.value_or(now);
    // Until the planner has run for the hold time, it has not observed the peak demand of that time.
    if (now - *m_firstPlan >= holdTime(config.planning)) {
        shrinkPools(pools, spare->id, moves);
    }
    return moves;
}

Duration PoolPlanner::holdTime(const PlanningWeights &weights)
{
    const double moveWeight = static_cast<double>(weights.moves) * weights.moves;
    const double bufferWeight = static_cast<double>(weights.bufferCost) * weights.share;
    const double maxMilliseconds = static_cast<double>(maxHoldTime.count());
    const double hold
        = bufferWeight > 0 ? static_cast<double>(defaultHoldTime.count()) * moveWeight / bufferWeight : maxMilliseconds;
    return std::clamp(Duration(static_cast<Duration::rep>(std::min(hold, maxMilliseconds))), minHoldTime, maxHoldTime);
}

void PoolPlanner::record(const PoolId &pool, double demand, Duration hold, TimePoint now)
{
    std::deque<Sample> &samples = m_samples[pool];
    while (!samples.empty() && samples.back().hosts <= demand) {
        samples.pop_back();
    }
    samples.push_back({now, demand});
    while (now - samples.front().at > hold) {
        samples.pop_front();
    }
}

double PoolPlanner::peakWithin(const PoolId &pool, Duration time, TimePoint now) const
{
    // The samples are in falling order, so that the first one within the time is the peak.
    for (const Sample &sample : m_samples.at(pool)) {
        if (now - sample.at <= time) {
            return sample.hosts;
        }
    }
    return 0;
}

PoolPlanner::PoolViews PoolPlanner::buildPoolViews(const Config &config, const std::vector<PlannedHost> &hosts,
                                                   const PoolDemands &demands, TimePoint now)
{
    PoolViews pools;
    for (const PlannedHost &host : hosts) {
        PoolView &pool = pools[host.pool];
        if (host.usable) {
            pool.usable.push_back(&host);
        }
        pool.arriving += host.arriving ? 1 : 0;
    }
    const Duration hold = holdTime(config.planning);
    for (const auto &[id, pool] : config.pools) {
        const auto found = demands.find(id);
        const double demand = found == demands.end() ? 0 : found->second;
        const std::size_t minNeed = pool.spare ? 0 : pool.minHosts;
        record(id, demand, hold, now);
        pools[id].need = std::max(hostsForDemand(peakWithin(id, hold, now)), minNeed);
        pools[id].recentNeed = std::max(hostsForDemand(peakWithin(id, minHoldTime, now)), minNeed);
        pools[id].currentNeed = std::max(hostsForDemand(demand), minNeed);
        if (pools[id].currentNeed > pools[id].present()) {
            m_lastShortageAt[id] = now;
        }
        pools[id].lastShortageAt = m_lastShortageAt[id];
    }
    return pools;
}

void PoolPlanner::growPools(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves)
{
    // Hosts are assigned one at a time, each to the pool with the largest relative shortage.
    const auto shortage = [&](const PoolView &pool) {
        return pool.currentNeed > pool.present()
            ? static_cast<double>(pool.currentNeed - pool.present()) / static_cast<double>(pool.currentNeed)
            : 0.0;
    };
    while (true) {
        const auto largestShortage
            = std::max_element(pools.begin(), pools.end(), [&](const auto &one, const auto &other) {
                  return shortage(one.second) < shortage(other.second);
              });
        if (largestShortage == pools.end() || shortage(largestShortage->second) <= 0) {
            break;
        }
        const PoolId &to = largestShortage->first;
        const bool hasSpareHost = countServing(pools[spare].usable, to) > 0;
        const auto from = hasSpareHost ? std::optional(spare) : selectDonor(pools, spare, to);
        if (!from) {
            // No pool can give a host to this one; the remaining pools may still get some.
            largestShortage->second.currentNeed = largestShortage->second.present();
            continue;
        }
        planMove(pools, *from, to, to, moves);
    }
}

std::optional<PoolId> PoolPlanner::selectDonor(const PoolViews &pools, const PoolId &spare, const PoolId &to)
{
    std::optional<PoolId> best;
    std::pair<TimePoint, std::size_t> most;
    for (const auto &[id, pool] : pools) {
        const std::size_t free = surplusHosts(pool.present(), countServing(pool.usable, to), pool.recentNeed);
        const std::pair rank(pool.lastShortageAt, free);
        if (id != spare && id != to && free > 0 && (!best || rank > most)) {
            best = id;
            most = rank;
        }
    }
    return best;
}

void PoolPlanner::shrinkPools(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves)
{
    for (auto &[id, pool] : pools) {
        while (id != spare && pool.present() > pool.need && !pool.usable.empty()) {
            planMove(pools, id, spare, std::nullopt, moves);
        }
    }
}

void PoolPlanner::planMove(PoolViews &pools, const PoolId &from, const PoolId &to, const std::optional<PoolId> &serving,
                           std::vector<PlannedMove> &moves)
{
    PoolView &source = pools[from];
    const std::size_t chosen = selectFromFullestRack(source.usable, serving);
    moves.push_back({source.usable[chosen]->host, from, to});
    source.usable.erase(source.usable.begin() + static_cast<std::ptrdiff_t>(chosen));
    ++pools[to].arriving;
}

} // namespace radishvane
