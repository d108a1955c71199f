#include "core/cells/team_shares.h"
#include "tests/support/cell_site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1'000)) + Duration(milliseconds);
}

} // namespace

TEST(TeamShares, LimitTheRateOverAWindow)
{
    story("a team with a share of two jobs per second", [] {
        SiteConfig config;
        config.teams[TeamId("dyers")] = SiteTeam{TeamId("dyers"), 2, {}};
        TeamShares shares;
        section("the jobs of one window are within the share at once, and the next one is not", [&] {
            for (int index = 0; index < 10; ++index) {
                EXPECT_TRUE(shares.take(config, TeamId("dyers"), at(0))) << index;
            }
            EXPECT_FALSE(shares.take(config, TeamId("dyers"), at(0)));
        });
        section("one more job is within the share after half a second", [&] {
            EXPECT_FALSE(shares.take(config, TeamId("dyers"), at(499)));
            EXPECT_TRUE(shares.take(config, TeamId("dyers"), at(501)));
            EXPECT_FALSE(shares.take(config, TeamId("dyers"), at(502)));
        });
        section("jobs without a team are always within their share",
                [&] { EXPECT_TRUE(shares.take(config, TeamId(), at(502))); });
        section("a team of weight 0 may send one job in all", [&] {
            config.teams[TeamId("idle")] = SiteTeam{TeamId("idle"), 0, {}};
            EXPECT_TRUE(shares.take(config, TeamId("idle"), at(600)));
            EXPECT_FALSE(shares.take(config, TeamId("idle"), at(60'000)));
        });
    });
}

TEST(TeamShares, ProtectOtherTeamsFromOneThatExceedsItsShare)
{
    story("a pool of four cores, and a team that sends ten times its share in small jobs", [] {
        CellSite site;
        site.addQueue("plans", "looms");
        site.setTargetDuration("plans", Duration(60'000));
        site.addWorker("w0", "looms", 4'000);
        site.addTeam("hot", 0, 2);
        site.addTeam("calm", 0, 4);
        site.addNode("a");
        site.run(Duration(2'000));
        int sent = 0;
        int inTime = 0;
        for (int second = 0; second < 12; ++second) {
            for (int index = 0; index < 20; ++index) {
                site.submit(site.owner(), "h" + std::to_string(second * 20 + index), "plans",
                            graphOf(1, 1, 1'000, Duration(300)), "hot");
            }
            site.run(Duration(50));
            const std::string name = "c" + std::to_string(second);
            site.submit(site.owner(), name, "plans", graphOf(1, 1, 1'000, Duration(300)), "calm");
            // The objective of the queue is twice the run time.
            site.run(Duration(600));
            // The first window of the hot team is within its share, so its jobs do not rank behind.
            sent += second < 5 ? 0 : 1;
            inTime += second >= 5 && site.state(name) == GraphState::Completed ? 1 : 0;
            site.run(Duration(350));
        }
        section("the jobs of the other team meet their objective", [&] { EXPECT_EQ(inTime, sent); });
        section("the jobs beyond the share complete when there is capacity", [&] {
            site.run(Duration(30'000));
            for (int index = 0; index < 240; ++index) {
                EXPECT_EQ(site.state("h" + std::to_string(index)), GraphState::Completed) << index;
            }
        });
        EXPECT_TRUE(site.broken.empty());
    });
}

} // namespace radishvane::tests
