#include "core/cells/move_planner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace radishvane::cells
{

namespace
{

double fraction(std::uint64_t need, std::uint64_t room)
{
    return need == 0 ? 0 : static_cast<double>(need) / static_cast<double>(std::max<std::uint64_t>(room, 1));
}

/// Returns how many hosts with capacity @p room are required for @p needs.
double hostsFor(const Resources &needs, const Resources &room)
{
    return std::max({fraction(needs.cpu, room.cpu), fraction(needs.memoryMb, room.memoryMb),
                     fraction(needs.accelerators, room.accelerators)})
        / MovePlanner::usableFraction;
}

/// Returns how many tasks that need @p each fit on a host with capacity @p room; at least 1.
std::uint64_t tasksPerHost(const Resources &each, const Resources &room)
{
    const auto fitting = [](std::uint64_t need, std::uint64_t capacity) {
        return need == 0 ? std::numeric_limits<std::uint64_t>::max() : capacity / need;
    };
    return std::max<std::uint64_t>(std::min({fitting(each.cpu, room.cpu), fitting(each.memoryMb, room.memoryMb),
                                             fitting(each.accelerators, room.accelerators)}),
                                   1);
}

/// Returns how many hosts with capacity @p room hold whole tasks of all @p services.
double hostsFor(const std::vector<ServiceTasks> &services, const Resources &room)
{
    double hosts = 0;
    for (const ServiceTasks &tasks : services) {
        const std::uint64_t fitting = tasksPerHost(tasks.each, room);
        const std::uint64_t perHost
            = tasks.maxPerHost == 0 ? fitting : std::min<std::uint64_t>(fitting, tasks.maxPerHost);
        hosts += static_cast<double>(tasks.count) / static_cast<double>(perHost);
    }
    return std::ceil(hosts);
}

/// Returns the tasks that a host with capacity @p room can run.
std::vector<ServiceTasks> runnable(const std::vector<ServiceTasks> &services, const Resources &room)
{
    std::vector<ServiceTasks> result;
    std::copy_if(services.begin(), services.end(), std::back_inserter(result),
                 [&room](const ServiceTasks &tasks) { return tasks.each.fitsIn(room); });
    return result;
}

std::size_t countOf(const std::vector<ServiceTasks> &services)
{
    std::size_t count = 0;
    for (const ServiceTasks &tasks : services) {
        count += tasks.count;
    }
    return count;
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

/// Compares the hosts that a pool needs with those that serve it.
struct PoolBalance
{
    double needed = 0;
    double serving = 0;
    /// Serving hosts that are still on their way.
    double arriving = 0;
    /// Hosts for service tasks that the present hosts have no capacity for.
    double forUnplaced = 0;
    /// Limit of @c needed for them.
    double maxNeeded = 0;
    /// Labels that the steps of the pool's jobs require.
    std::set<std::string> requiredLabels;
    /// Labels that the pool's hosts have.
    std::set<std::string> hostLabels;
    std::map<RackId, std::uint32_t> racks;

    double surplus() const
    {
        return serving - needed;
    }
};

class PoolBalances
{
public:
    PoolBalances(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                 const std::vector<MovableHost> &hosts)
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
            const Resources poolRoom = meanRoom(hosts, id);
            const Resources room = poolRoom == Resources{} ? anyRoom : poolRoom;
            const double forNeeds = hostsFor(demand->second.required(), room);
            const double forWholeServiceTasks
                = hostsFor(demand->second.services, room) + hostsFor(demand->second.requiredForBatch(), room);
            // Overdue work adds at most one host, so that it ends without delaying other work.
            const double forOverdue = std::min(1.0, hostsFor(demand->second.overdue, room));
            balance.needed
                = std::max({forNeeds, forWholeServiceTasks, static_cast<double>(demand->second.minHosts)}) + forOverdue;
            balance.forUnplaced = hostsFor(runnable(demand->second.unplacedServices, room), room);
            // With a host for each service task none can wait for capacity.
            balance.maxNeeded = static_cast<double>(countOf(demand->second.services))
                + hostsFor(demand->second.requiredForBatch(), room) + forOverdue;
            balance.requiredLabels = demand->second.labels;
        }
        for (const MovableHost &host : hosts) {
            const auto pool = m_pools.find(host.pool);
            if (pool != m_pools.end() && host.serves) {
                pool->second.serving += 1;
                pool->second.arriving += host.isArriving ? 1 : 0;
                ++pool->second.racks[host.rack];
                pool->second.hostLabels.insert(host.labels.begin(), host.labels.end());
            }
        }
        for (auto &[id, balance] : m_pools) {
            if (balance.forUnplaced > 0) {
                const double placed = balance.serving - balance.arriving;
                balance.needed = std::max(balance.needed, std::min(placed + balance.forUnplaced, balance.maxNeeded));
            }
        }
        collectCandidates(hosts);
    }

    /// Returns each pool with a step that none of its hosts can run, and the label that the step requires.
    std::vector<std::pair<PoolId, std::string>> missingLabels() const
    {
        std::vector<std::pair<PoolId, std::string>> missing;
        for (const auto &[id, balance] : m_pools) {
            for (const std::string &label : balance.requiredLabels) {
                if (balance.hostLabels.count(label) == 0) {
                    missing.emplace_back(id, label);
                }
            }
        }
        return missing;
    }

    /// Returns the pool with the largest shortage of hosts, except those in @p withoutDonor, or nothing.
    std::optional<PoolId> neediest(const std::set<PoolId> &withoutDonor) const
    {
        std::optional<PoolId> found;
        double worst = -MovePlanner::toleratedShortfall;
        for (const auto &[id, balance] : m_pools) {
            if (withoutDonor.count(id) == 0 && balance.surplus() < worst) {
                worst = balance.surplus();
                found = id;
            }
        }
        return found;
    }

    /// Returns the host to move to @p target: a surplus host of another pool, otherwise one from standby.
    /// @param label that the host must have; empty for any host.
    const MovableHost *donor(const PoolId &target, const std::string &label = {}) const
    {
        const std::map<RackId, std::uint32_t> &racks = m_pools.at(target).racks;
        const MovableHost *best = nullptr;
        std::tuple<bool, std::uint32_t, double> bestScore;
        for (const Candidate &candidate : m_candidates) {
            const MovableHost &host = *candidate.host;
            const bool hasLabel = label.empty() || host.labels.count(label) > 0;
            if (!hasLabel || !candidate.isFree() || host.pool == target || host.refusingPools.count(target) > 0) {
                continue;
            }
            const auto rackCount = racks.find(host.rack);
            const std::tuple<bool, std::uint32_t, double> score{
                candidate.isOnStandby(), rackCount == racks.end() ? 0 : rackCount->second,
                candidate.isOnStandby() ? 0 : -candidate.from->surplus()};
            if (best == nullptr || score < bestScore) {
                best = &host;
                bestScore = score;
            }
        }
        return best;
    }

    /// Returns a host that has been idle for at least @c minIdleTime in a pool that does not need it.
    const MovableHost *surplusHost() const
    {
        for (const Candidate &candidate : m_candidates) {
            if (!candidate.isOnStandby() && candidate.isFree()
                && *candidate.host->idleFor >= MovePlanner::minIdleTime) {
                return candidate.host;
            }
        }
        return nullptr;
    }

    const std::set<PoolId> &standby() const
    {
        return m_standby;
    }

    /// Plans the move of a host to @p target; the state of pool @p reason caused the move.
    PlannedMove take(const MovableHost &host, const PoolId &target, const PoolId &reason)
    {
        const PoolBalance &decisive = m_pools.at(reason);
        PlannedMove move{host.id, host.pool, target, decisive.needed, decisive.serving};
        std::erase_if(m_candidates, [&host](const Candidate &candidate) { return candidate.host == &host; });
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
    /// An idle host that may be moved while its pool has more hosts than it needs.
    struct Candidate
    {
        const MovableHost *host = nullptr;
        /// Balance of the host's pool; nullptr if the pool is on standby.
        const PoolBalance *from = nullptr;

        bool isOnStandby() const
        {
            return from == nullptr;
        }
        bool isFree() const
        {
            return isOnStandby() || from->surplus() >= 1;
        }
    };

    void collectCandidates(const std::vector<MovableHost> &hosts)
    {
        for (const MovableHost &host : hosts) {
            const auto pool = m_pools.find(host.pool);
            const bool isOnStandby = pool == m_pools.end();
            if (!host.idleFor || (isOnStandby && m_standby.count(host.pool) == 0)) {
                continue;
            }
            if (isOnStandby) {
                m_candidates.push_back(Candidate{&host, nullptr});
            } else if (host.serves && !isRequiredByLabel(host, pool->second)) {
                m_candidates.push_back(Candidate{&host, &pool->second});
            }
        }
    }

    static bool isRequiredByLabel(const MovableHost &host, const PoolBalance &balance)
    {
        return std::any_of(host.labels.begin(), host.labels.end(),
                           [&](const std::string &label) { return balance.requiredLabels.count(label) > 0; });
    }

    std::map<PoolId, PoolBalance> m_pools;
    std::set<PoolId> m_standby;
    std::vector<Candidate> m_candidates;
};

} // namespace

std::vector<PlannedMove> MovePlanner::plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                           const std::vector<MovableHost> &hosts, std::size_t maxMoves)
{
    std::vector<PlannedMove> moves;
    PoolBalances balances(demands, config, hosts);
    for (const auto &[pool, label] : balances.missingLabels()) {
        const MovableHost *host = balances.donor(pool, label);
        if (host != nullptr && moves.size() < maxMoves) {
            moves.push_back(balances.take(*host, pool, pool));
        }
    }
    std::set<PoolId> withoutDonor;
    while (moves.size() < maxMoves) {
        const std::optional<PoolId> target = balances.neediest(withoutDonor);
        if (!target) {
            break;
        }
        const MovableHost *host = balances.donor(*target);
        if (host == nullptr) {
            withoutDonor.insert(*target);
            continue;
        }
        moves.push_back(balances.take(*host, *target, *target));
    }
    while (!balances.standby().empty() && moves.size() < maxMoves) {
        const MovableHost *host = balances.surplusHost();
        if (host == nullptr) {
            break;
        }
        const PoolId target = *balances.standby().begin();
        moves.push_back(balances.take(*host, target, host->pool));
    }
    return moves;
}

} // namespace radishvane::cells
