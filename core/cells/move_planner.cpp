#include "core/cells/move_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishvane::cells
{

namespace
{

double share(std::uint64_t need, std::uint64_t room)
{
    return need == 0 ? 0 : static_cast<double>(need) / static_cast<double>(std::max<std::uint64_t>(room, 1));
}

/// Hosts of the mean room of @p hosts that hold @p needs.
double hostsFor(const Resources &needs, const Resources &room)
{
    return std::max({share(needs.cpu, room.cpu), share(needs.memoryMb, room.memoryMb),
                     share(needs.accelerators, room.accelerators)})
        / MovePlanner::usableRoom;
}

Resources meanRoom(const std::vector<MovableHost> &hosts, const PoolId &pool)
{
    Resources sum;
    std::uint64_t count = 0;
    for (const MovableHost &host : hosts) {
        if (host.pool == pool) {
            sum += host.room;
            ++count;
        }
    }
    return count == 0 ? Resources{} : Resources{sum.cpu / count, sum.memoryMb / count, sum.accelerators / count};
}

/// A pool, and by how many hosts it has too many or too few.
struct PoolBalance
{
    double needed = 0;
    double serving = 0;
    /// Labels that steps of its jobs name, and those that its hosts have.
    std::set<std::string> labels;
    std::set<std::string> present;
    std::map<RackId, std::uint32_t> racks;

    double surplus() const
    {
        return serving - needed;
    }
};

class Balances
{
public:
    Balances(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
             const std::vector<MovableHost> &hosts)
        : m_hosts(hosts)
    {
        Resources anyRoom;
        for (const MovableHost &host : hosts) {
            anyRoom = host.room;
        }
        for (const auto &[id, pool] : config.pools) {
            if (pool.standby) {
                m_standby.insert(id);
                continue;
            }
            PoolBalance &balance = m_pools[id];
            const auto demand = demands.find(id);
            if (demand == demands.end()) {
                continue;
            }
            const Resources room = meanRoom(hosts, id);
            const double byNeeds = hostsFor(demand->second.soon(), room == Resources{} ? anyRoom : room);
            // Late work is given one host at most beyond what the rest needs, so that it ends without holding others
            // up.
            const double byLate = std::min(1.0, hostsFor(demand->second.late, room == Resources{} ? anyRoom : room));
            balance.needed = std::max(byNeeds, static_cast<double>(demand->second.leastHosts)) + byLate;
            balance.labels = demand->second.labels;
        }
        for (const MovableHost &host : hosts) {
            const auto pool = m_pools.find(host.pool);
            if (pool != m_pools.end() && host.serves) {
                pool->second.serving += 1;
                ++pool->second.racks[host.rack];
                pool->second.present.insert(host.labels.begin(), host.labels.end());
            }
        }
    }

    /// Pools with a step that none of their hosts may run, and the label that it names.
    std::vector<std::pair<PoolId, std::string>> missingLabels() const
    {
        std::vector<std::pair<PoolId, std::string>> missing;
        for (const auto &[id, balance] : m_pools) {
            for (const std::string &label : balance.labels) {
                if (balance.present.count(label) == 0) {
                    missing.emplace_back(id, label);
                }
            }
        }
        return missing;
    }

    /// The pool that lacks the most, or nothing.
    std::optional<PoolId> neediest(const std::set<PoolId> &hopeless) const
    {
        std::optional<PoolId> found;
        double worst = -MovePlanner::shortfall;
        for (const auto &[id, balance] : m_pools) {
            if (hopeless.count(id) == 0 && balance.surplus() < worst) {
                worst = balance.surplus();
                found = id;
            }
        }
        return found;
    }

    /// The host to move to @p target: one that its pool can spare, else one from standby.
    /// @param label that the host must have; any will do when empty.
    const MovableHost *donor(const PoolId &target, const std::string &label = {}) const
    {
        const MovableHost *best = nullptr;
        std::tuple<bool, std::uint32_t, double> bestScore;
        for (const MovableHost &host : m_hosts) {
            const bool isWanted = label.empty() || host.labels.count(label) > 0;
            if (!isWanted || host.pool == target || host.refusedBy.count(target) > 0 || !isFree(host)
                || m_taken.count(host.id) > 0) {
                continue;
            }
            const bool isStandby = m_standby.count(host.pool) > 0;
            const auto &racks = m_pools.at(target).racks;
            const auto neighbours = racks.find(host.rack);
            const std::tuple<bool, std::uint32_t, double> score{isStandby,
                                                                neighbours == racks.end() ? 0 : neighbours->second,
                                                                isStandby ? 0 : -m_pools.at(host.pool).surplus()};
            if (best == nullptr || score < bestScore) {
                best = &host;
                bestScore = score;
            }
        }
        return best;
    }

    /// A host that has been idle for long in a pool that needs it no more.
    const MovableHost *released() const
    {
        for (const MovableHost &host : m_hosts) {
            const bool isStandby = m_standby.count(host.pool) > 0;
            if (!isStandby && m_taken.count(host.id) == 0 && isFree(host)
                && *host.idleFor >= MovePlanner::idlePatience) {
                return &host;
            }
        }
        return nullptr;
    }

    const std::set<PoolId> &standby() const
    {
        return m_standby;
    }

    /// Takes a host for a move that the state of pool @p reason decides.
    PlannedMove take(const MovableHost &host, const PoolId &target, const PoolId &reason)
    {
        const PoolBalance &decisive = m_pools.at(reason);
        PlannedMove move{host.id, host.pool, target, decisive.needed, decisive.serving};
        m_taken.insert(host.id);
        const auto from = m_pools.find(host.pool);
        if (from != m_pools.end()) {
            from->second.serving -= 1;
        }
        const auto to = m_pools.find(target);
        if (to != m_pools.end()) {
            to->second.serving += 1;
            ++to->second.racks[host.rack];
        }
        return move;
    }

private:
    /// Whether the host is idle, and its pool does without it.
    bool isFree(const MovableHost &host) const
    {
        if (!host.idleFor) {
            return false;
        }
        const auto pool = m_pools.find(host.pool);
        if (pool == m_pools.end()) {
            return m_standby.count(host.pool) > 0;
        }
        const bool isNamed = std::any_of(host.labels.begin(), host.labels.end(), [&](const std::string &label) {
            return pool->second.labels.count(label) > 0;
        });
        return host.serves && !isNamed && pool->second.surplus() >= 1;
    }

    const std::vector<MovableHost> &m_hosts;
    std::map<PoolId, PoolBalance> m_pools;
    std::set<PoolId> m_standby;
    std::set<HostId> m_taken;
};

} // namespace

std::vector<PlannedMove> MovePlanner::plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                           const std::vector<MovableHost> &hosts)
{
    std::vector<PlannedMove> moves;
    Balances balances(demands, config, hosts);
    for (const auto &[pool, label] : balances.missingLabels()) {
        const MovableHost *host = balances.donor(pool, label);
        if (host != nullptr && moves.size() < mostMoves) {
            moves.push_back(balances.take(*host, pool, pool));
        }
    }
    std::set<PoolId> hopeless;
    while (moves.size() < mostMoves) {
        const std::optional<PoolId> target = balances.neediest(hopeless);
        if (!target) {
            break;
        }
        const MovableHost *host = balances.donor(*target);
        if (host == nullptr) {
            hopeless.insert(*target);
            continue;
        }
        moves.push_back(balances.take(*host, *target, *target));
    }
    while (!balances.standby().empty() && moves.size() < mostMoves) {
        const MovableHost *host = balances.released();
        if (host == nullptr) {
            break;
        }
        const PoolId target = *balances.standby().begin();
        moves.push_back(balances.take(*host, target, host->pool));
    }
    return moves;
}

} // namespace radishvane::cells
