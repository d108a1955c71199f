#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <functional>

// Ends that no owner reads.

namespace radishvane::tests
{

using namespace cells;

namespace
{

void runUntil(CellSite &site, const std::function<bool()> &isDone)
{
    for (int waited = 0; waited < 3'000 && !isDone(); ++waited) {
        site.run(Duration(1));
    }
    ASSERT_TRUE(isDone());
}

/// Crashes "w0", which is back at once. Discovery does not list the new incarnation.
void restartUnknown(CellSite &site)
{
    site.crash("w0");
    site.revive("w0");
    site.worker("w0").listed = false;
}

void expectBothCompleted(CellSite &site)
{
    site.run(Duration(3'500));
    site.worker("w0").listed = true;
    site.run(Duration(40'000));
    EXPECT_EQ(site.state("j1"), GraphState::Completed);
    EXPECT_EQ(site.state("j2"), GraphState::Completed);
    EXPECT_FALSE(site.loseNextAcknowledgement);
    expectNothingBroken(site);
}

} // namespace

// Guards against an acknowledgement for a former incarnation that makes the next one forget an end that nobody has
// read.
TEST(CellWorkers, ThatHaveRestartedDoNotForgetAnEndOfAStartAfterALateAcknowledgement)
{
    for (int phase = 0; phase < 200; phase += 20) {
        for (const int delay : {450, 700, 1'000}) {
            story("an acknowledgement is carried out " + std::to_string(delay)
                      + " ms late, and its worker has restarted and got a start meanwhile",
                  [&] {
                      CellSite site;
                      fillLooms(site, 1);
                      // Discovery shows the restart at a later or earlier time.
                      site.run(Duration(phase));
                      site.loseNextAcknowledgement = delay;
                      site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
                      runUntil(site, [&] { return !site.loseNextAcknowledgement; });
                      restartUnknown(site);
                      site.submit(site.owner(), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
                      section("no task starts again after its end was noted", [&] { expectBothCompleted(site); });
                  });
        }
    }
}

// Guards against an acknowledgement that overtakes a start, so that the next incarnation carries out both.
TEST(CellWorkers, ThatHaveRestartedDoNotForgetAnEndOfALateStart)
{
    for (int delay = 1'500; delay <= 2'150; delay += 50) {
        story("a start is carried out 1.2 s late and an acknowledgement " + std::to_string(delay)
                  + " ms late, and their worker has restarted meanwhile",
              [&] {
                  CellSite site;
                  fillLooms(site, 1);
                  site.loseNextAcknowledgement = delay;
                  site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
                  runUntil(site, [&] { return site.runs("j1") == 1; });
                  site.run(Duration(200));
                  site.loseNextStart = 1'200;
                  site.submit(site.owner(), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
                  runUntil(site, [&] { return !site.loseNextStart; });
                  site.run(Duration(400));
                  restartUnknown(site);
                  section("no task starts again after its end was noted", [&] { expectBothCompleted(site); });
              });
    }
}

// Guards against a gang that never ends, since a member's worker was lost before the next owner has read its end.
TEST(CellGangs, AreDoneWhenTheNextOwnerReadsTheEndOfOneMember)
{
    for (const bool isBack : {false, true}) {
        story(std::string("a gang ends without an owner, and a member's worker crashes")
                  + (isBack ? " and is back" : ""),
              [&] {
                  CellSite site;
                  fillLooms(site, 2);
                  site.durations[JobId("j1")] = 1'000;
                  GraphSpec spec = graphOf(1, 2, 5'000, Duration(1'000));
                  spec.steps.front().gang = true;
                  site.submit(site.owner(), "j1", "plans", spec);
                  runUntil(site, [&] { return site.runs("j1") == 2; });
                  site.run(Duration(500));
                  site.kill(site.owner());
                  site.run(Duration(700));
                  ASSERT_EQ(site.runningOn("w0") + site.runningOn("w1"), 0);
                  site.crash("w1");
                  site.run(Duration(500));
                  if (isBack) {
                      site.revive("w1");
                  }
                  site.run(Duration(20'000));
                  section("the job is completed without another run", [&] {
                      EXPECT_EQ(site.state("j1"), GraphState::Completed);
                      EXPECT_EQ(site.runs("j1"), 2);
                  });
                  expectNothingBroken(site);
              });
    }
}

} // namespace radishvane::tests
