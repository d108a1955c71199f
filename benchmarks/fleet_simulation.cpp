#include "benchmarks/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace radishvane::benchmarks
{

namespace
{

constexpr int dayMinutes = 24 * 60;
constexpr int hostsPerRack = 4;
constexpr int sparePart = 7;
/// A host in service drains before it reboots into another pool; a spare one only reboots.
constexpr int drainMinutes = 5;
constexpr int rebootMinutes = 3;
/// Part of its hosts that a baseline fills with work.
constexpr double baselineUse = 0.85;
/// 14 of 720 hosts fail on an ordinary day.
constexpr double failuresPerHostDay = 14.0 / 720;
constexpr int repairMinutes = 120;
constexpr int rackOutageMinutes = 45;
const PoolId sparePool("spare");

struct SimulatedHost
{
    PlannedHost planned;
    int arrivesAt = -1;
    int repairedAt = -1;
};

/// Work of every pool at every minute of the day, in hosts.
std::map<PoolId, std::vector<double>> recordDemand(const FleetSite &site, std::mt19937_64 &random)
{
    std::map<PoolId, std::vector<double>> demand;
    const double mean = 0.5 * site.hosts / site.pools;
    std::uniform_real_distribution<double> noise(0.93, 1.07);
    std::uniform_int_distribution<int> jitter(-20, 20);
    for (int pool = 0; pool < site.pools; ++pool) {
        std::vector<double> &minutes = demand[PoolId("pool-" + std::to_string(pool))];
        minutes.assign(dayMinutes, 0);
        // Peaks of two hours come in turn, and each pool has three a day.
        const int period = dayMinutes / 3;
        const int begins = pool * period / site.pools;
        const int shift = jitter(random);
        for (int minute = 0; minute < dayMinutes; ++minute) {
            const int phase = (minute - begins - shift + dayMinutes) % period;
            const bool peak = phase < 90;
            minutes[static_cast<std::size_t>(minute)] = mean * (peak ? 2.2 : 0.6) * noise(random);
        }
    }
    return demand;
}

/// Hosts that stand for the largest rack in service, which is what one buffer for all pools has to make up for.
std::size_t sharedBuffer(const Config &config, const std::vector<PlannedHost> &hosts)
{
    std::map<RackId, std::size_t> racks;
    std::size_t largest = 0;
    for (const PlannedHost &host : hosts) {
        const auto pool = config.pools.find(host.pool);
        const bool serves = pool != config.pools.end() && !pool->second.spare && host.usable;
        racks[host.rack] += serves ? 1 : 0;
        largest = std::max(largest, racks[host.rack]);
    }
    return largest;
}

class Day
{
public:
    Day(const FleetSite &site, FleetPolicy policy, std::uint64_t seed)
        : m_site(site), m_policy(policy), m_random(seed), m_config(fleetConfig(site))
    {
        m_demand = recordDemand(site, m_random);
        for (const auto &[id, host] : m_config.hosts) {
            m_hosts.push_back({{id, host.pool, host.rack, true, false}, -1, -1});
        }
        recordFailures();
    }

    FleetDay play()
    {
        for (m_minute = 0; m_minute < dayMinutes; ++m_minute) {
            fail();
            arrive();
            for (const PlannedMove &move : decide()) {
                begin(move);
            }
            account();
        }
        m_result.meanRollOutMinutes = m_rollOuts > 0 ? m_rollOutMinutes / m_rollOuts : 0;
        m_result.shortfall = m_work > 0 ? m_missing / m_work : 0;
        return m_result;
    }

private:
    void recordFailures()
    {
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<int> minute(0, dayMinutes - 1);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            const int at = minute(m_random);
            if (chance(m_random) < failuresPerHostDay) {
                m_failures[at].push_back({host, repairMinutes});
            }
        }
        const RackId rack = m_hosts[m_random() % m_hosts.size()].planned.rack;
        const int at = minute(m_random);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host].planned.rack == rack) {
                m_failures[at].push_back({host, rackOutageMinutes});
            }
        }
    }

    void fail()
    {
        for (const auto &[host, length] : m_failures[m_minute]) {
            m_hosts[host].repairedAt = std::max(m_hosts[host].repairedAt, m_minute + length);
        }
    }

    void arrive()
    {
        for (SimulatedHost &host : m_hosts) {
            if (host.arrivesAt == m_minute) {
                host.arrivesAt = -1;
            }
            host.planned.arriving = host.arrivesAt > m_minute;
            host.planned.usable = !host.planned.arriving && host.repairedAt <= m_minute;
        }
    }

    std::size_t usable(const PoolId &pool) const
    {
        return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const SimulatedHost &host) {
            return host.planned.pool == pool && host.planned.usable;
        }));
    }

    std::size_t present(const PoolId &pool) const
    {
        return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const SimulatedHost &host) {
            return host.planned.pool == pool && (host.planned.usable || host.planned.arriving);
        }));
    }

    double demandOf(const PoolId &pool) const
    {
        const auto found = m_demand.find(pool);
        return found == m_demand.end() ? 0 : found->second[static_cast<std::size_t>(m_minute)];
    }

    std::size_t needOf(const PoolId &pool) const
    {
        return static_cast<std::size_t>(std::ceil(demandOf(pool) / baselineUse));
    }

    std::vector<PlannedMove> decide()
    {
        switch (m_policy) {
        case FleetPolicy::Planner:
            return decideByPlanner();
        case FleetPolicy::StaticBuffer:
            return decideByTargets(hostsPerRack, m_site.hosts);
        case FleetPolicy::OneAtATime:
            return decideByTargets(0, 1);
        case FleetPolicy::GreedyByNeed:
            return decideByNeed();
        }
        return {};
    }

    std::vector<PlannedMove> decideByPlanner()
    {
        std::vector<PlannedHost> hosts;
        PoolDemands demands;
        for (const SimulatedHost &host : m_hosts) {
            hosts.push_back(host.planned);
        }
        for (const auto &[pool, minutes] : m_demand) {
            demands[pool] = demandOf(pool);
        }
        return m_planner.plan(m_config, hosts, demands, TimePoint(std::chrono::minutes(m_minute)));
    }

    /// Brings every pool to its need and @p extra hosts, by way of the spare pool first.
    std::vector<PlannedMove> decideByTargets(int extra, int mostUnderWay)
    {
        std::vector<PlannedMove> moves;
        auto underWay = std::count_if(m_hosts.begin(), m_hosts.end(),
                                      [](const SimulatedHost &host) { return host.planned.arriving; });
        std::map<PoolId, int> gap;
        for (const auto &[pool, minutes] : m_demand) {
            gap[pool] = static_cast<int>(needOf(pool)) + extra - static_cast<int>(present(pool));
        }
        std::vector<std::size_t> taken;
        const auto take = [&](const PoolId &from, const PoolId &to) {
            const auto found = hostOf(from, taken);
            if (!found || underWay >= mostUnderWay) {
                return false;
            }
            taken.push_back(*found);
            moves.push_back({m_hosts[*found].planned.host, from, to});
            ++underWay;
            return true;
        };
        for (auto &[pool, missing] : gap) {
            while (missing > 0 && take(sparePool, pool)) {
                --missing;
            }
            for (auto &[giver, other] : gap) {
                while (missing > 0 && other < 0 && take(giver, pool)) {
                    --missing;
                    ++other;
                }
            }
        }
        for (auto &[pool, missing] : gap) {
            while (missing < 0 && take(pool, sparePool)) {
                ++missing;
            }
        }
        return moves;
    }

    std::vector<PlannedMove> decideByNeed()
    {
        std::vector<PlannedMove> moves;
        std::vector<std::size_t> taken;
        std::map<PoolId, int> surplus{{sparePool, static_cast<int>(present(sparePool))}};
        for (const auto &[pool, minutes] : m_demand) {
            surplus[pool] = static_cast<int>(present(pool)) - static_cast<int>(needOf(pool));
        }
        const auto byCount = [](const auto &one, const auto &other) {
            return one.second < other.second;
        };
        while (true) {
            const auto poorest = std::min_element(surplus.begin(), surplus.end(), byCount);
            const auto richest = std::max_element(surplus.begin(), surplus.end(), byCount);
            if (poorest->second >= 0 || richest->second <= 0) {
                return moves;
            }
            const auto found = hostOf(richest->first, taken);
            if (!found) {
                return moves;
            }
            taken.push_back(*found);
            moves.push_back({m_hosts[*found].planned.host, richest->first, poorest->first});
            --richest->second;
            ++poorest->second;
        }
    }

    std::optional<std::size_t> hostOf(const PoolId &pool, const std::vector<std::size_t> &taken) const
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            const bool free = std::find(taken.begin(), taken.end(), host) == taken.end();
            if (free && m_hosts[host].planned.pool == pool && m_hosts[host].planned.usable) {
                return host;
            }
        }
        return std::nullopt;
    }

    void begin(const PlannedMove &move)
    {
        for (SimulatedHost &host : m_hosts) {
            if (host.planned.host == move.host) {
                host.arrivesAt = m_minute + rebootMinutes + (move.from == sparePool ? 0 : drainMinutes);
                host.planned.pool = move.to;
                host.planned.usable = false;
                host.planned.arriving = true;
                ++m_result.moves;
            }
        }
    }

    void account()
    {
        constexpr double minutesPerHour = 60;
        double kept = 0;
        for (const auto &[pool, minutes] : m_demand) {
            const double work = demandOf(pool);
            const auto have = static_cast<double>(usable(pool));
            kept += std::max(0.0, have - work);
            m_work += work;
            m_missing += std::max(0.0, work - have);
            accountRollOut(pool, have >= work);
        }
        for (const SimulatedHost &host : m_hosts) {
            kept += host.planned.arriving ? 1 : 0;
        }
        m_result.bufferHostHours += (kept + reserved()) / minutesPerHour;
    }

    /// Hosts of the spare pool that must stay there; the others are free for whatever the site likes.
    double reserved() const
    {
        if (m_policy == FleetPolicy::StaticBuffer) {
            return 0;
        }
        std::vector<PlannedHost> hosts;
        for (const SimulatedHost &host : m_hosts) {
            hosts.push_back(host.planned);
        }
        return static_cast<double>(std::min(usable(sparePool), sharedBuffer(m_config, hosts)));
    }

    void accountRollOut(const PoolId &pool, bool enough)
    {
        const auto short_ = m_shortSince.find(pool);
        if (!enough) {
            m_shortSince.emplace(pool, m_minute);
            return;
        }
        if (short_ == m_shortSince.end()) {
            return;
        }
        const double took = m_minute - short_->second;
        ++m_rollOuts;
        m_rollOutMinutes += took;
        m_result.worstRollOutMinutes = std::max(m_result.worstRollOutMinutes, took);
        m_shortSince.erase(short_);
    }

    FleetSite m_site;
    FleetPolicy m_policy;
    std::mt19937_64 m_random;
    Config m_config;
    PoolPlanner m_planner;
    std::map<PoolId, std::vector<double>> m_demand;
    std::vector<SimulatedHost> m_hosts;
    std::map<int, std::vector<std::pair<std::size_t, int>>> m_failures;
    std::map<PoolId, int> m_shortSince;
    int m_minute = 0;
    int m_rollOuts = 0;
    double m_rollOutMinutes = 0;
    double m_work = 0;
    double m_missing = 0;
    FleetDay m_result;
};

} // namespace

Config fleetConfig(const FleetSite &site)
{
    Config config;
    config.planning = site.weights;
    config.movesHosts = true;
    Pool spare;
    spare.id = sparePool;
    spare.spare = true;
    config.pools.emplace(sparePool, spare);
    for (int index = 0; index < site.pools; ++index) {
        Pool pool;
        pool.id = PoolId("pool-" + std::to_string(index));
        pool.maxHostsOut = 2;
        config.pools.emplace(pool.id, pool);
    }
    for (int index = 0; index < site.hosts; ++index) {
        const int rack = index / hostsPerRack;
        Host host;
        host.id = HostId("host-" + std::to_string(index));
        host.zone = ZoneId("zone-" + std::to_string(rack % site.zones));
        host.rack = RackId("rack-" + std::to_string(rack));
        const bool rests = index % sparePart == 0;
        host.pool = rests ? sparePool : PoolId("pool-" + std::to_string(index % site.pools));
        config.hosts.emplace(host.id, host);
    }
    return config;
}

FleetDay playDay(const FleetSite &site, FleetPolicy policy, std::uint64_t seed)
{
    return Day(site, policy, seed).play();
}

} // namespace radishvane::benchmarks
