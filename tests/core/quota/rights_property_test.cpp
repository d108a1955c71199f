#include "tests/support/fleet_model.h"
#include "tests/support/story.h"

#include <rapidcheck/gtest.h>

namespace radishvane::tests
{

// Runs random sequences of grants, transfers, expiries, partitions, pauses, crashes, outages and lost answers.
RC_GTEST_PROP(Rights, NeverRunMoreThanTheCeiling, (std::uint32_t seed))
{
    FleetModel fleet(seed);
    const std::uint32_t maxRunning = fleet.run(std::chrono::minutes(6));
    RC_ASSERT(maxRunning <= ceiling);
    RC_ASSERT(fleet.started() > 0U);
}

TEST(RightsModel, ExceedsTheCeilingWhenWorkRunsLongerThanDeclared)
{
    // The wait for the longest run time protects the ceiling: when work runs longer, the same faults exceed it. This
    // shows that the property above can fail.
    int exceeded = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        FleetModel fleet(seed, std::chrono::minutes(2));
        exceeded += fleet.run(std::chrono::minutes(6)) > ceiling ? 1 : 0;
    }
    EXPECT_GT(exceeded, 0);
}

TEST(RightsModel, KeepsServingDuringPartitionsAndOutages)
{
    story("four entry hosts in a steady state", [] {
        FleetModel fleet(7);
        fleet.disableRandomFaults();
        fleet.run(std::chrono::seconds(20));
        section("use the whole ceiling without faults", [&] {
            const std::uint64_t before = fleet.started();
            const std::uint32_t maxRunning = fleet.run(std::chrono::seconds(60));
            EXPECT_EQ(maxRunning, ceiling);
            EXPECT_GT(fleet.started() - before, 30U);
        });
        section("keep serving while the table is down for all of them, because each vouches for the others", [&] {
            fleet.platformDown(std::chrono::seconds(60));
            fleet.run(std::chrono::seconds(20));
            const std::uint64_t before = fleet.started();
            EXPECT_LE(fleet.run(std::chrono::seconds(40)), ceiling);
            EXPECT_GT(fleet.started() - before, 15U);
        });
    });
    story("one entry host is partitioned from the table and from the others", [] {
        FleetModel fleet(11);
        fleet.disableRandomFaults();
        fleet.run(std::chrono::seconds(20));
        fleet.cutOff(0, std::chrono::minutes(5));
        section("the ceiling holds, and the other hosts reclaim its leased rights in time", [&] {
            const std::uint64_t before = fleet.started();
            EXPECT_LE(fleet.run(std::chrono::minutes(4)), ceiling);
            EXPECT_GT(fleet.started() - before, 60U);
        });
    });
}

} // namespace radishvane::tests
