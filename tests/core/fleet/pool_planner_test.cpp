#include "core/fleet/pool_planner.h"

#include "tests/support/story.h"

#include <algorithm>

namespace radishvane::tests
{

namespace
{

const PoolId spare("spare");
const PoolId cutPlans("cut-plans");
const PoolId dye("dye");

Config site(PlanningWeights weights)
{
    Config config;
    config.planning = weights;
    for (const PoolId &id : {spare, cutPlans, dye}) {
        Pool pool;
        pool.id = id;
        pool.spare = id == spare;
        config.pools.emplace(id, pool);
    }
    return config;
}

std::vector<PlannedHost> hostsOf(const PoolId &pool, int count)
{
    std::vector<PlannedHost> hosts;
    for (int index = 0; index < count; ++index) {
        const std::string name = pool.name() + '-' + std::to_string(index);
        hosts.push_back({HostId(name), pool, RackId("rack-" + std::to_string(index / 2)), true, false});
    }
    return hosts;
}

std::vector<PlannedHost> fleet(int inSpare, int inCutPlans, int inDye)
{
    std::vector<PlannedHost> hosts = hostsOf(spare, inSpare);
    for (const auto &more : {hostsOf(cutPlans, inCutPlans), hostsOf(dye, inDye)}) {
        hosts.insert(hosts.end(), more.begin(), more.end());
    }
    return hosts;
}

std::size_t movesFromTo(const std::vector<PlannedMove> &moves, const PoolId &from, const PoolId &to)
{
    return static_cast<std::size_t>(std::count_if(
        moves.begin(), moves.end(), [&](const PlannedMove &move) { return move.from == from && move.to == to; }));
}

constexpr PlanningWeights even{1, 1, 1};

} // namespace

TEST(PoolPlanner, GrowsImmediatelyAndShrinksAfterHoldTime)
{
    story("two pools and a spare pool", [] {
        const Config config = site(even);
        PoolPlanner planner;
        TimePoint now{std::chrono::hours(1)};
        section("demand within the capacity of the pools plans no move", [&] {
            EXPECT_TRUE(planner.plan(config, fleet(4, 3, 3), {{cutPlans, 2.5}, {dye, 2.5}}, now).empty());
        });
        section("a pool with too few hosts gets spare hosts first", [&] {
            const auto moves = planner.plan(config, fleet(4, 3, 3), {{cutPlans, 4.4}, {dye, 2.5}}, now);
            EXPECT_EQ(movesFromTo(moves, spare, cutPlans), 2U);
            EXPECT_EQ(moves.size(), 2U);
        });
        section("hosts that are already moving count, so that no second move is planned", [&] {
            auto hosts = fleet(2, 5, 3);
            hosts[2].usable = false;
            hosts[2].arriving = true;
            EXPECT_TRUE(planner.plan(config, hosts, {{cutPlans, 4.4}, {dye, 2.5}}, now).empty());
        });
        section("after the peak the hosts stay for the hold time", [&] {
            now += PoolPlanner::defaultHoldTime;
            EXPECT_TRUE(planner.plan(config, fleet(2, 5, 3), {{cutPlans, 1}, {dye, 2.5}}, now).empty());
        });
        section("after the hold time they go to the spare pool", [&] {
            now += std::chrono::minutes(1);
            const auto moves = planner.plan(config, fleet(2, 5, 3), {{cutPlans, 1}, {dye, 2.5}}, now);
            EXPECT_EQ(movesFromTo(moves, cutPlans, spare), 3U);
        });
    });
}

TEST(PoolPlanner, TakesHostsFromAnotherPoolWhenSparePoolIsEmpty)
{
    story("the spare pool is empty and another pool has surplus hosts", [] {
        const Config config = site(even);
        PoolPlanner planner;
        const TimePoint now{std::chrono::hours(1)};
        const auto moves = planner.plan(config, fleet(0, 6, 3), {{cutPlans, 1}, {dye, 4.4}}, now);
        EXPECT_EQ(movesFromTo(moves, cutPlans, dye), 2U);
        section("a pool keeps its configured minimum of hosts", [&] {
            Config withMinimum = config;
            withMinimum.pools.at(cutPlans).minHosts = 6;
            EXPECT_TRUE(PoolPlanner().plan(withMinimum, fleet(0, 6, 3), {{cutPlans, 1}, {dye, 4.4}}, now).empty());
        });
    });
}

TEST(PoolPlanner, MovesOnlyHostsThatCanServeThePool)
{
    story("a pool has too few hosts and only one spare host can serve it: that host moves", [] {
        const Config config = site(even);
        auto hosts = fleet(3, 3, 3);
        hosts[0].serves = std::set<PoolId>{};
        hosts[1].serves = std::set<PoolId>{dye};
        hosts[2].serves = std::set<PoolId>{cutPlans};
        const auto moves = PoolPlanner().plan(config, hosts, {{cutPlans, 4.4}, {dye, 2.5}}, TimePoint());
        ASSERT_EQ(moves.size(), 1U);
        EXPECT_EQ(moves[0].host, hosts[2].host);
        section("any host can move to the spare pool", [&] {
            PoolPlanner planner;
            auto idle = fleet(0, 6, 3);
            idle[5].serves = std::set<PoolId>{};
            TimePoint now{std::chrono::hours(1)};
            planner.plan(config, idle, {{cutPlans, 0.5}, {dye, 2.5}}, now);
            now += PoolPlanner::defaultHoldTime;
            EXPECT_EQ(planner.plan(config, idle, {{cutPlans, 0.5}, {dye, 2.5}}, now).size(), 5U);
        });
    });
}

TEST(PoolPlanner, DerivesHoldTimeFromPlanningWeights)
{
    EXPECT_EQ(PoolPlanner::holdTime(even), PoolPlanner::defaultHoldTime);
    EXPECT_LT(PoolPlanner::holdTime({3, 3, 1}), PoolPlanner::defaultHoldTime);
    EXPECT_GT(PoolPlanner::holdTime({1, 1, 3}), PoolPlanner::defaultHoldTime);
    EXPECT_EQ(PoolPlanner::holdTime({1'000, 1'000, 1}), PoolPlanner::minHoldTime);
    EXPECT_EQ(PoolPlanner::holdTime({1, 1, 1'000}), PoolPlanner::maxHoldTime);
}

TEST(PoolPlanner, PlansNothingWithoutSparePool)
{
    Config config = site(even);
    config.pools.erase(spare);
    EXPECT_TRUE(PoolPlanner().plan(config, fleet(0, 6, 3), {{dye, 9}}, TimePoint()).empty());
}

} // namespace radishvane::tests
