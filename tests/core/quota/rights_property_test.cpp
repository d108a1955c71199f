#include "tests/support/fleet_model.h"
#include "tests/support/story.h"

#include <rapidcheck/gtest.h>

namespace radishvane::tests
{

// Random orders of grants, moves, expiries, cuts, pauses, crashes, outages and lost answers.
RC_GTEST_PROP(Rights, NeverRunMoreThanTheCeiling, (std::uint32_t seed))
{
    FleetModel fleet(seed);
    const std::uint32_t most = fleet.run(std::chrono::minutes(6));
    RC_ASSERT(most <= ceiling);
    RC_ASSERT(fleet.started() > 0U);
}

TEST(RightsModel, IsSeenToBreakWhenWorkRunsLongerThanDeclared)
{
    // The wait for the longest run is what protects the ceiling: without it the same faults exceed the ceiling.
    int broken = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        FleetModel fleet(seed, std::chrono::minutes(2));
        broken += fleet.run(std::chrono::minutes(6)) > ceiling ? 1 : 0;
    }
    EXPECT_GT(broken, 0);
}

TEST(RightsModel, ServesThroughCutsAndOutages)
{
    story("four entry hosts that have settled", [] {
        FleetModel fleet(7);
        fleet.calm();
        fleet.run(std::chrono::seconds(20));
        section("use the whole ceiling in a calm hour", [&] {
            const std::uint64_t before = fleet.started();
            const std::uint32_t most = fleet.run(std::chrono::seconds(60));
            EXPECT_EQ(most, ceiling);
            EXPECT_GT(fleet.started() - before, 30U);
        });
        section("go on while the table is down for all of them, since each vouches for the others", [&] {
            fleet.platformDown(std::chrono::seconds(60));
            fleet.run(std::chrono::seconds(20));
            const std::uint64_t before = fleet.started();
            EXPECT_LE(fleet.run(std::chrono::seconds(40)), ceiling);
            EXPECT_GT(fleet.started() - before, 15U);
        });
    });
    story("one host is cut off from the table and from the others", [] {
        FleetModel fleet(11);
        fleet.calm();
        fleet.run(std::chrono::seconds(20));
        fleet.cutOff(0, std::chrono::minutes(5));
        section("the ceiling holds, and the rest get its leased rights back in time", [&] {
            const std::uint64_t before = fleet.started();
            EXPECT_LE(fleet.run(std::chrono::minutes(4)), ceiling);
            EXPECT_GT(fleet.started() - before, 60U);
        });
    });
}

} // namespace radishvane::tests
