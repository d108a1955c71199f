#include "core/cells/move_planner.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishvane::tests
{

namespace
{

using namespace cells;

const PoolId looms("looms");
const PoolId frames("frames");
const PoolId spare("spare");

constexpr std::uint64_t hostCpu = 10'000;

SiteConfig threePools()
{
    SiteConfig config;
    config.pools[looms] = SitePool{looms, false};
    config.pools[frames] = SitePool{frames, false};
    config.pools[spare] = SitePool{spare, true};
    return config;
}

/// Adds @p count hosts of a pool; hosts in standby do not serve.
void addHosts(std::vector<MovableHost> &hosts, const PoolId &pool, std::size_t count, std::optional<Duration> idleFor)
{
    for (std::size_t index = 0; index < count; ++index) {
        MovableHost host;
        host.id = HostId(pool.name() + std::to_string(hosts.size()));
        host.pool = pool;
        host.room = Resources{hostCpu, 100'000, 0};
        host.rack = RackId("r" + std::to_string(index / 2));
        host.labels = {"common", host.rack.name()};
        host.serves = pool != spare;
        host.idleFor = idleFor;
        hosts.push_back(host);
    }
}

std::map<PoolId, PoolDemand> demandOf(const PoolId &pool, std::uint64_t hosts)
{
    std::map<PoolId, PoolDemand> demands;
    demands[pool].current.cpu
        = static_cast<std::uint64_t>(static_cast<double>(hosts * hostCpu) * MovePlanner::usableFraction);
    return demands;
}

std::vector<PlannedMove> planMoves(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                   const std::vector<MovableHost> &hosts, std::size_t maxMoves = 12)
{
    return MovePlanner::plan(demands, config, hosts, maxMoves);
}

std::size_t movesTo(const std::vector<PlannedMove> &moves, const PoolId &pool)
{
    return static_cast<std::size_t>(
        std::count_if(moves.begin(), moves.end(), [&](const PlannedMove &move) { return move.to == pool; }));
}

std::size_t movesFrom(const std::vector<PlannedMove> &moves, const PoolId &pool)
{
    return static_cast<std::size_t>(
        std::count_if(moves.begin(), moves.end(), [&](const PlannedMove &move) { return move.from == pool; }));
}

} // namespace

TEST(MovePlanner, CountsHostsForWholeServiceTasks)
{
    story("twelve service tasks of which two fit on a host, and five hosts", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 5, std::nullopt);
        addHosts(hosts, spare, 8, Duration(5'000));
        std::map<PoolId, PoolDemand> demands;
        PoolDemand &demand = demands[looms];
        demand.services.push_back(ServiceTasks{12, Resources{hostCpu * 34 / 100, 100, 0}});
        demand.serviceTasks = Resources{12 * hostCpu * 34 / 100, 1'200, 0};
        demand.current = demand.serviceTasks;
        section("a sixth host is moved to the pool, and no more",
                [&] { EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 1U); });
        section("and more for other work beside them", [&] {
            demand.current.cpu += static_cast<std::uint64_t>(2 * hostCpu * MovePlanner::usableFraction);
            EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 3U);
        });
        section("no host that a whole task needs goes to standby", [&] {
            demand.current = demand.serviceTasks;
            hosts.clear();
            addHosts(hosts, looms, 6, Duration(5'000));
            EXPECT_TRUE(planMoves(demands, threePools(), hosts).empty());
        });
    });
}

TEST(MovePlanner, AddsHostsForServiceTasksThatFindNoCapacity)
{
    story("a pool has hosts enough by their sums, and three tasks of a service find no capacity", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 5, std::nullopt);
        addHosts(hosts, spare, 8, Duration(5'000));
        std::map<PoolId, PoolDemand> demands;
        PoolDemand &demand = demands[looms];
        const Resources each{hostCpu / 4, 100, 0};
        demand.services = {ServiceTasks{12, each, 2}};
        demand.serviceTasks = Resources{12 * hostCpu / 4, 1'200, 0};
        demand.current = demand.serviceTasks;
        demand.unplacedServices = {ServiceTasks{3, each, 2}};
        section("two hosts are moved, for two tasks each",
                [&] { EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 2U); });
        section("and no more while they are on their way", [&] {
            addHosts(hosts, looms, 2, std::nullopt);
            hosts[13].isArriving = true;
            hosts[14].isArriving = true;
            EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 0U);
        });
        section("nor for tasks that fit on no host", [&] {
            demand.unplacedServices = {ServiceTasks{3, Resources{2 * hostCpu, 100, 0}, 2}};
            EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 0U);
        });
        section("nor more hosts than tasks", [&] {
            addHosts(hosts, looms, 5, std::nullopt);
            demand.unplacedServices = {ServiceTasks{3, each, 2}};
            EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 0U);
        });
    });
}

TEST(MovePlanner, MovesIdleHostsToAPoolThatNeedsThem)
{
    story("a pool has two hosts and needs five", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 2, std::nullopt);
        section("idle hosts of another pool are moved before hosts in standby, which cost nothing", [&] {
            std::vector<MovableHost> all = hosts;
            addHosts(all, frames, 2, Duration(100));
            addHosts(all, spare, 4, Duration(0));
            const std::vector<PlannedMove> moves = planMoves(demandOf(looms, 5), threePools(), all);
            EXPECT_EQ(moves.size(), 3);
            EXPECT_EQ(movesTo(moves, looms), 3);
            EXPECT_EQ(movesFrom(moves, frames), 2);
            EXPECT_EQ(movesFrom(moves, spare), 1);
        });
        section("a host that runs tasks is not moved", [&] {
            std::vector<MovableHost> all = hosts;
            addHosts(all, frames, 4, std::nullopt);
            EXPECT_TRUE(planMoves(demandOf(looms, 5), threePools(), all).empty());
        });
        section("a host that its own pool needs is not moved", [&] {
            std::vector<MovableHost> all = hosts;
            addHosts(all, frames, 2, Duration(5'000));
            std::map<PoolId, PoolDemand> demands = demandOf(looms, 5);
            demands[frames].minHosts = 2;
            EXPECT_TRUE(planMoves(demands, threePools(), all).empty());
        });
        section("a host is not moved to a pool that has refused the host", [&] {
            std::vector<MovableHost> all = hosts;
            addHosts(all, spare, 2, Duration(0));
            all.back().refusingPools = {looms};
            EXPECT_EQ(planMoves(demandOf(looms, 5), threePools(), all).size(), 1);
        });
        section("hosts are taken first from racks with the fewest hosts of the pool", [&] {
            std::vector<MovableHost> all = hosts;
            addHosts(all, spare, 4, Duration(0));
            const std::vector<PlannedMove> moves = planMoves(demandOf(looms, 3), threePools(), all);
            ASSERT_EQ(moves.size(), 1);
            EXPECT_TRUE(moves[0].host == all[4].id || moves[0].host == all[5].id);
        });
    });
}

TEST(MovePlanner, AddsAtMostOneHostForOverdueWork)
{
    story("a pool needs both of its hosts, and its overdue work would need three more", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 2, std::nullopt);
        addHosts(hosts, spare, 4, Duration(0));
        std::map<PoolId, PoolDemand> demands = demandOf(looms, 2);
        demands[looms].overdue.cpu = 3 * hostCpu;
        EXPECT_EQ(movesTo(planMoves(demands, threePools(), hosts), looms), 1);
    });
}

TEST(MovePlanner, MovesAHostWithARequiredLabel)
{
    story("a pool has enough hosts, but none with the label that a step requires", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 3, std::nullopt);
        addHosts(hosts, spare, 3, Duration(0));
        std::map<PoolId, PoolDemand> demands = demandOf(looms, 1);
        demands[looms].labels = {"rare"};
        section("no host is moved if no host has the label",
                [&] { EXPECT_TRUE(planMoves(demands, threePools(), hosts).empty()); });
        section("a host with the label is moved to the pool", [&] {
            hosts.back().labels.insert("rare");
            const std::vector<PlannedMove> moves = planMoves(demands, threePools(), hosts);
            ASSERT_EQ(moves.size(), 1);
            EXPECT_EQ(moves[0].host, hosts.back().id);
            EXPECT_EQ(moves[0].to, looms);
        });
        section("the host stays in the pool while the label is required", [&] {
            hosts.back().pool = looms;
            hosts.back().serves = true;
            hosts.back().idleFor = Duration(60'000);
            EXPECT_TRUE(planMoves(demands, threePools(), hosts).empty());
        });
    });
}

TEST(MovePlanner, MovesSurplusHostsToStandby)
{
    story("a pool has four hosts and needs one", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 4, Duration(MovePlanner::minIdleTime));
        section("the other three hosts go to standby", [&] {
            const std::vector<PlannedMove> moves = planMoves(demandOf(looms, 1), threePools(), hosts);
            EXPECT_EQ(moves.size(), 3);
            EXPECT_EQ(movesTo(moves, spare), 3);
        });
        section("a host that has been idle for less than the minimum time stays", [&] {
            for (MovableHost &host : hosts) {
                host.idleFor = MovePlanner::minIdleTime - Duration(1);
            }
            EXPECT_TRUE(planMoves(demandOf(looms, 1), threePools(), hosts).empty());
        });
        section("a host with a label that a step of the pool's jobs requires stays", [&] {
            for (MovableHost &host : hosts) {
                host.idleFor = Duration(60'000);
            }
            std::map<PoolId, PoolDemand> demands = demandOf(looms, 1);
            demands[looms].labels = {"common"};
            EXPECT_TRUE(planMoves(demands, threePools(), hosts).empty());
        });
        section("without a standby pool all hosts stay", [&] {
            SiteConfig config = threePools();
            config.pools[spare].standby = false;
            EXPECT_TRUE(planMoves(demandOf(looms, 1), config, hosts).empty());
        });
    });
}

TEST(MovePlanner, MovesAsManyHostsAsTheHostServiceAccepts)
{
    story("a pool of a large fleet has forty hosts and needs a hundred more", [] {
        std::vector<MovableHost> hosts;
        addHosts(hosts, looms, 40, std::nullopt);
        addHosts(hosts, frames, 150, Duration(5'000));
        addHosts(hosts, spare, 350, Duration(0));
        section("all of them are moved in one plan if the service accepts as many", [&] {
            const std::vector<PlannedMove> moves = planMoves(demandOf(looms, 140), threePools(), hosts, 500);
            EXPECT_EQ(movesTo(moves, looms), 100U);
            EXPECT_EQ(movesFrom(moves, spare), 0U);
            section("each host once", [&] {
                std::set<HostId> moved;
                for (const PlannedMove &move : moves) {
                    moved.insert(move.host);
                }
                EXPECT_EQ(moved.size(), moves.size());
            });
        });
        section("no more than the service accepts", [&] {
            EXPECT_EQ(planMoves(demandOf(looms, 140), threePools(), hosts, 56).size(), 56U);
            EXPECT_TRUE(planMoves(demandOf(looms, 140), threePools(), hosts, 0).empty());
        });
        section("the pool that lacks hosts goes before surplus hosts that would go to standby",
                [&] { EXPECT_EQ(movesTo(planMoves(demandOf(looms, 140), threePools(), hosts, 60), looms), 60U); });
    });
}

} // namespace radishvane::tests
