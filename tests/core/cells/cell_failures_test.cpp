#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// Fills a site with workers w0 and w1 and entry hosts "a" and "b", for a queue that allows @p maxFailures.
void fillSite(CellSite &site, std::uint32_t maxFailures)
{
    site.addQueue("plans", "looms", maxFailures);
    for (const char *id : {"w0", "w1"}) {
        site.addWorker(id, "looms", 8'000);
    }
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
    ASSERT_FALSE(site.owner().empty());
}

/// Submits a job of one task that fails after @p failsAfter, while discovery lists only w0.
void submitFailingJob(CellSite &site, Duration failsAfter)
{
    site.worker("w1").listed = false;
    site.run(Duration(400));
    site.durations[JobId("j1")] = -failsAfter.count();
    site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
    site.run(Duration(100));
    ASSERT_EQ(site.runningOn("w0"), 1);
    site.worker("w1").listed = true;
    site.run(Duration(300));
}

void waitForRun(CellSite &site, const std::string &worker)
{
    for (int waited = 0; waited < 15'000 && site.runningOn(worker) == 0; waited += 10) {
        site.run(Duration(10));
    }
    ASSERT_EQ(site.runningOn(worker), 1);
}

void waitForOwner(CellSite &site, const std::string &name)
{
    for (int waited = 0; waited < 15'000 && site.owner() != name; waited += 20) {
        site.run(Duration(20));
    }
    ASSERT_EQ(site.owner(), name);
}

} // namespace

TEST(CellFailures, CountOnceWhenTheWorkerIsForgottenAndListedAgain)
{
    story("a task fails, and its worker leaves discovery before the end is acknowledged", [] {
        CellSite site;
        fillSite(site, 2);
        submitFailingJob(site, Duration(1'000));
        site.durations[JobId("j1")] = 60'000;
        site.storeDelay = 300;
        waitForRun(site, "w1");
        site.worker("w0").cut = true;
        site.worker("w0").listed = false;
        site.storeDelay = 6;
        site.run(Duration(20'000));
        section("the worker returns with the same end: the second run goes on", [&] {
            site.worker("w0").cut = false;
            site.worker("w0").listed = true;
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Running);
            EXPECT_EQ(site.runningOn("w1"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellFailures, CountOnceWhenTwoOwnersReadTheSameEnd)
{
    story("a task fails on a worker that does not answer, the owner crashes, and the next one runs the task again", [] {
        CellSite site;
        fillSite(site, 2);
        const std::string first = site.owner();
        const std::string second = other(site);
        submitFailingJob(site, Duration(2'000));
        site.worker("w0").cut = true;
        site.kill(first);
        site.durations[JobId("j1")] = 60'000;
        waitForOwner(site, second);
        site.run(Duration(12'000));
        ASSERT_EQ(site.runningOn("w1"), 1);
        section("the worker answers, and the owner stores the end but can't acknowledge it", [&] {
            site.storeDelay = 300;
            site.worker("w0").cut = false;
            while (site.worker("w0").fence >> 32 != site.node(second).controller->owner()->epoch) {
                site.run(Duration(5));
            }
            site.run(Duration(100));
            site.worker("w0").cut = true;
            site.run(Duration(700));
            EXPECT_EQ(site.state("j1"), GraphState::Running);
        });
        section("the owner crashes, and the third one reads the end before it knows of the present run", [&] {
            site.worker("w1").cut = true;
            site.kill(second);
            site.storeDelay = 6;
            site.worker("w0").cut = false;
            site.restart(first);
            waitForOwner(site, first);
            site.run(Duration(1'000));
            site.worker("w1").cut = false;
            site.run(Duration(2'000));
            EXPECT_EQ(site.state("j1"), GraphState::Running);
        });
        expectNothingBroken(site);
    });
}

TEST(CellFailures, CountWhenTheFormerOwnerHadGivenTheRunUp)
{
    story("a task fails on a worker that does not answer, and runs again after the lease has expired", [] {
        CellSite site;
        fillSite(site, 2);
        const std::string first = site.owner();
        submitFailingJob(site, Duration(2'000));
        site.worker("w0").cut = true;
        site.durations[JobId("j1")] = -4'000;
        waitForRun(site, "w1");
        site.run(Duration(200));
        section("the next owner reads both failures, and the task does not run a third time", [&] {
            site.stop(first);
            site.run(Duration(300));
            site.kill(first);
            site.worker("w0").cut = false;
            site.run(Duration(6'000));
            EXPECT_EQ(site.runs("j1"), 2);
            EXPECT_EQ(site.state("j1"), GraphState::Failed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellFailures, CountOnceWhenSeveralMembersOfAGangFailInOneRun)
{
    story("all members of a gang fail in the same run; the queue allows two failures", [] {
        CellSite site;
        fillSite(site, 2);
        GraphSpec gang = graphOf(1, 4, 1'000, Duration(300));
        gang.steps[0].gang = true;
        site.durations[JobId("g")] = -300;
        site.submit(site.owner(), "g", "plans", gang);
        section("the gang runs a second time, and then the job fails", [&] {
            site.run(Duration(5'000));
            EXPECT_EQ(site.runs("g"), 8);
            EXPECT_EQ(site.state("g"), GraphState::Failed);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
