#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// The owner crashes, and the other entry host takes over.
void takeOver(CellSite &site)
{
    const std::string second = other(site);
    site.kill(site.owner());
    for (int waited = 0; waited < 10'000 && site.owner() != second; waited += 20) {
        site.run(Duration(20));
    }
    ASSERT_EQ(site.owner(), second);
}

} // namespace

TEST(CellTakeover, WaitsForTheLongestLeaseWhenTheListOfWorkersCannotBeRead)
{
    story("a worker that runs tasks is cut off and no longer listed, and the part of the list with it is lost", [] {
        CellSite site;
        fillLooms(site, 1);
        site.durations[JobId("j1")] = 60'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(60'000)));
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 4);
        site.worker("w0").cut = true;
        site.worker("w0").listed = false;
        site.lostRosterParts.insert(0);
        takeOver(site);
        site.addWorker("w1", "looms", 8'000);
        site.submit(site.owner(), "j2", "plans", graphOf(1, 2, 1'000, Duration(300)));
        site.run(Duration(1'500));
        section("jobs accepted since start at once", [&] { EXPECT_EQ(site.runs("j2"), 2); });
        section("those of the owner before wait", [&] { EXPECT_EQ(site.runs("j1"), 4); });
        section("the part is not written meanwhile, since it would name too few workers",
                [&] { EXPECT_EQ(site.lostRosterParts, std::set<std::uint32_t>{0}); });
        section("so the owner after the next one waits as well", [&] {
            site.restart(other(site));
            site.run(Duration(500));
            takeOver(site);
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("j1"), 4);
        });
        section("after the longest lease they start, and the part is written", [&] {
            site.run(Duration(13'000));
            EXPECT_EQ(site.runs("j1"), 8);
            EXPECT_EQ(site.lostRosterParts, std::set<std::uint32_t>{});
        });
        expectNothingBroken(site);
    });
}

TEST(CellTakeover, FencesAllHostsWhenTheRowOfHostsWithOrdersCannotBeRead)
{
    story("an owner crashes, and the row of hosts with orders is lost", [] {
        CellSite site;
        fillLooms(site, 4);
        site.areHostOrdersLost = true;
        takeOver(site);
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        site.run(Duration(3'000));
        section("the next owner takes the hosts for those with orders, fences them and goes on", [&] {
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_FALSE(site.areHostOrdersLost);
            site.run(Duration(2'000));
            EXPECT_TRUE(site.stored().hostOrders.hosts.empty());
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
