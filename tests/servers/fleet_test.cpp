#include "tests/support/fleet.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

namespace
{

/// Reboots that the platform was asked for.
int reboots(const Fleet &fleet)
{
    return fleet.json(fleet.platformPort(0), "/control/counts").at("reboots").get<int>();
}

/// Hosts whose row tells the end of a maintenance, or a move.
std::size_t hostRows(const Fleet &fleet)
{
    return fleet.json(fleet.platformPort(0), "/table/rows?prefix=host/").at("rows").size();
}

} // namespace

TEST(ProcessMaintenance, RebootsEveryHostOnceUnderLoadThroughTheLossOfAPlanner)
{
    story("three hosts that are due, one of which may be out at a time", [] {
        FleetPlan plan;
        plan.firstPort = 22'200;
        plan.maintained = true;
        Fleet fleet(plan);
        fleet.listHosts();
        ASSERT_EQ(fleet.apply(), 0);
        Load load(fleet.entries(), {"quotes:workshop:workshop-key:60:20"}, Duration(45'000), Duration(3'000));
        section("an entry host is killed in mid-wave", [&] {
            EXPECT_TRUE(Fleet::eventually([&] { return reboots(fleet) >= 1; }));
            fleet.entry(1).kill();
            fleet.startEntry(1);
        });
        section("and every host still comes back",
                [&] { EXPECT_TRUE(Fleet::eventually([&] { return hostRows(fleet) == 3; }, Duration(90'000))); });
        const auto tally = load.finish();
        section("rebooted once each", [&] { EXPECT_EQ(reboots(fleet), 3); });
        section("only requests at the killed entry host could be lost", [&] {
            EXPECT_EQ(tally.wrong + tally.refused, 0U);
            EXPECT_LT(tally.unknown + tally.noAnswer, 20U);
        });
        section("no request ran twice", [&] { EXPECT_TRUE(fleet.startedMoreThanOnce().empty()); });
    });
}

TEST(ProcessMoves, BringASpareHostToAPoolThatHasTooFew)
{
    story("two busy hosts and a spare one with a backend server of the same service", [] {
        FleetPlan plan;
        plan.firstPort = 22'400;
        plan.backends = 2;
        plan.spareBackends = 1;
        Fleet fleet(plan);
        fleet.listHosts();
        ASSERT_EQ(fleet.apply(), 0);
        constexpr std::size_t spareBackend = 2;
        Load load(fleet.entries(), {"quotes:workshop:workshop-key:80:400"}, Duration(70'000), Duration(3'000));
        section("a spare host gets no requests", [&] {
            ASSERT_TRUE(Fleet::eventually([&] { return fleet.startedAt(0) > 50; }));
            EXPECT_EQ(fleet.startedAt(spareBackend), 0U);
        });
        section("until it has moved, through a reboot", [&] {
            EXPECT_TRUE(Fleet::eventually([&] { return fleet.startedAt(spareBackend) > 0; }, Duration(65'000)));
            EXPECT_EQ(reboots(fleet), 1);
        });
        const auto tally = load.finish();
        EXPECT_EQ(tally.wrong + tally.noAnswer, 0U);
        EXPECT_TRUE(fleet.startedMoreThanOnce().empty());
    });
}

} // namespace radishvane::tests
