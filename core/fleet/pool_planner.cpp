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

std::size_t countThatServe(const std::vector<const PlannedHost *> &hosts, const PoolId &pool)
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](const PlannedHost *host) { return canServe(*host, pool); }));
}

/// Of the hosts that can serve a pool, or of all without one, a host whose rack holds most, so that what stays is
/// spread over racks. There must be such a host.
std::size_t fromFullestRack(const std::vector<const PlannedHost *> &hosts, const std::optional<PoolId> &pool)
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

std::size_t hostsFor(double demand)
{
    return static_cast<std::size_t>(std::ceil(demand / PoolPlanner::mostUse));
}

/// Hosts that a pool can give while it keeps @p need.
std::size_t surplus(std::size_t present, std::size_t usable, std::size_t need)
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
    PoolViews pools = look(config, hosts, demands, now);
    fill(pools, spare->id, moves);
    m_firstPlan = m_firstPlan.value_or(now);
    // A planner that has just begun does not know yet what a pool has needed within the hold time.
    if (now - *m_firstPlan >= holdTime(config.planning)) {
        release(pools, spare->id, moves);
    }
    return moves;
}

Duration PoolPlanner::holdTime(const PlanningWeights &weights)
{
    const double patient = static_cast<double>(weights.moves) * weights.moves;
    const double eager = static_cast<double>(weights.bufferCost) * weights.share;
    const double longest = static_cast<double>(maxHoldTime.count());
    const double hold = eager > 0 ? static_cast<double>(defaultHoldTime.count()) * patient / eager : longest;
    return std::clamp(Duration(static_cast<Duration::rep>(std::min(hold, longest))), minHoldTime, maxHoldTime);
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
    // The samples fall, so that the first one that is young enough is the peak.
    for (const Sample &sample : m_samples.at(pool)) {
        if (now - sample.at <= time) {
            return sample.hosts;
        }
    }
    return 0;
}

PoolPlanner::PoolViews PoolPlanner::look(const Config &config, const std::vector<PlannedHost> &hosts,
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
        const std::size_t least = pool.spare ? 0 : pool.minHosts;
        record(id, demand, hold, now);
        pools[id].need = std::max(hostsFor(peakWithin(id, hold, now)), least);
        pools[id].keep = std::max(hostsFor(peakWithin(id, minHoldTime, now)), least);
        pools[id].needNow = std::max(hostsFor(demand), least);
        if (pools[id].needNow > pools[id].present()) {
            m_grewAt[id] = now;
        }
        pools[id].grewAt = m_grewAt[id];
    }
    return pools;
}

void PoolPlanner::fill(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves)
{
    // The pool that lacks the largest part of its need is served first, one host at a time.
    const auto lack = [&](const PoolView &pool) {
        return pool.needNow > pool.present()
            ? static_cast<double>(pool.needNow - pool.present()) / static_cast<double>(pool.needNow)
            : 0.0;
    };
    while (true) {
        const auto neediest = std::max_element(pools.begin(), pools.end(), [&](const auto &one, const auto &other) {
            return lack(one.second) < lack(other.second);
        });
        if (neediest == pools.end() || lack(neediest->second) <= 0) {
            break;
        }
        const PoolId &to = neediest->first;
        const bool hasIdle = countThatServe(pools[spare].usable, to) > 0;
        const auto from = hasIdle ? std::optional(spare) : giver(pools, spare, to);
        if (!from) {
            // Nobody can help this pool now, but the others may still be helped.
            neediest->second.needNow = neediest->second.present();
            continue;
        }
        move(pools, *from, to, to, moves);
    }
}

std::optional<PoolId> PoolPlanner::giver(const PoolViews &pools, const PoolId &spare, const PoolId &to)
{
    std::optional<PoolId> best;
    std::pair<TimePoint, std::size_t> most;
    for (const auto &[id, pool] : pools) {
        const std::size_t free = surplus(pool.present(), countThatServe(pool.usable, to), pool.keep);
        const std::pair rank(pool.grewAt, free);
        if (id != spare && id != to && free > 0 && (!best || rank > most)) {
            best = id;
            most = rank;
        }
    }
    return best;
}

void PoolPlanner::release(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves)
{
    for (auto &[id, pool] : pools) {
        while (id != spare && pool.present() > pool.need && !pool.usable.empty()) {
            move(pools, id, spare, std::nullopt, moves);
        }
    }
}

void PoolPlanner::move(PoolViews &pools, const PoolId &from, const PoolId &to, const std::optional<PoolId> &serving,
                       std::vector<PlannedMove> &moves)
{
    PoolView &source = pools[from];
    const std::size_t chosen = fromFullestRack(source.usable, serving);
    moves.push_back({source.usable[chosen]->host, from, to});
    source.usable.erase(source.usable.begin() + static_cast<std::ptrdiff_t>(chosen));
    ++pools[to].arriving;
}

} // namespace radishvane
