#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(CellJobs, RunFromEndToEnd)
{
    story("a calm site with two entry hosts and four workers", [] {
        CellSite site;
        fillLooms(site);
        section("one of the hosts owns the cell", [&] { ASSERT_FALSE(site.owner().empty()); });
        section("a job of two steps is accepted, run in order and completed", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(100));
            ASSERT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
            site.run(Duration(1'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("the same job again is the same job", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j1").size(), 2);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("a host that owns no cell takes no job", [&] {
            site.submit(other(site), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
            EXPECT_EQ(site.runs("j2"), 0);
        });
        section("a cancelled job is stopped everywhere", [&] {
            site.durations[JobId("j3")] = 60'000;
            site.submit(site.owner(), "j3", "plans", graphOf(1, 8, 1'000, Duration(60'000)));
            site.run(Duration(1'000));
            site.cancel(site.owner(), "j3");
            site.run(Duration(1'000));
            EXPECT_EQ(site.state("j3"), GraphState::Cancelled);
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1") + site.runningOn("w2") + site.runningOn("w3"), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellJobs, FailAfterAsManyFailuresAsTheQueueAllows)
{
    story("a queue that allows three failures, and workers that fail all that they start", [] {
        CellSite site;
        fillLooms(site);
        for (const char *id : {"w0", "w1", "w2", "w3"}) {
            site.worker(id).fails = true;
        }
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(8'000));
        EXPECT_EQ(site.state("j1"), GraphState::Failed);
        EXPECT_EQ(site.runs("j1"), 3);
    });
}

TEST(CellJobs, CountFailuresThatAFormerOwnerCouldNotStore)
{
    story("a task fails on two workers while the store refuses the owner, in a queue that allows two failures", [] {
        CellSite site;
        site.addQueue("plans", "looms", 2);
        for (const char *id : {"w0", "w1"}) {
            site.addWorker(id, "looms", 8'000);
        }
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        const std::string first = site.owner();
        // The worker of the second run is the first that the next owner asks.
        site.worker("w0").listed = false;
        site.run(Duration(400));
        site.durations[JobId("j1")] = -700;
        site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(50));
        ASSERT_EQ(site.runningOn("w1"), 1);
        site.worker("w0").listed = true;
        site.run(Duration(400));
        site.node(first).cutFromStore = true;
        section("both runs fail before another host owns the cell", [&] {
            site.run(Duration(1'400));
            EXPECT_EQ(site.runs("j1"), 2);
        });
        section("that host counts both, in whatever order it hears of them", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Failed);
            EXPECT_EQ(site.runs("j1"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IsReplacedWhenItDies)
{
    story("an owner is killed while a job runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        const std::string second = other(site);
        site.durations[JobId("j1")] = 3'000;
        site.submit(first, "j1", "plans", graphOf(2, 6, 1'000, Duration(3'000)));
        site.run(Duration(1'000));
        site.kill(first);
        section("the other host takes the cell within a few seconds", [&] {
            site.run(Duration(3'500));
            EXPECT_EQ(site.owner(), second);
        });
        section("the runs go on, none is started twice, and the job ends", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, LearnsFromTheListOfHostsWhatHasEnded)
{
    story("a host starts anew under another id while the owner dies, with tasks of a job on it", [] {
        CellSite site;
        fillLooms(site, 3);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 1'000;
        site.submit(first, "j1", "plans", graphOf(1, 20, 1'000, Duration(1'000)));
        site.run(Duration(300));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.kill(first);
        site.replace("w0", "w9");
        section("the next owner does not wait until the leases there have run out", [&] {
            site.run(Duration(5'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, HandsOverAtOnceWhenItIsStopped)
{
    story("an owner with work at all times is asked to stop", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        for (int index = 0; index < 40; ++index) {
            site.submit(first, "j" + std::to_string(index), "plans", graphOf(2, 6, 1'000, Duration(300)));
        }
        site.run(Duration(500));
        site.stop(first);
        section("another owns the cell in less than a second", [&] {
            site.run(Duration(1'000));
            EXPECT_FALSE(site.owner().empty());
            EXPECT_NE(site.owner(), first);
        });
        section("and every job ends", [&] {
            site.run(Duration(8'000));
            for (int index = 0; index < 40; ++index) {
                EXPECT_EQ(site.state("j" + std::to_string(index)), GraphState::Completed) << index;
            }
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsNothingAfterAFreeze)
{
    story("an owner freezes for longer than its lease, and wakes beside its successor", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 2'000;
        site.submit(first, "j1", "plans", graphOf(3, 6, 1'000, Duration(2'000)));
        site.run(Duration(500));
        site.freeze(first);
        site.run(Duration(4'000));
        EXPECT_NE(site.owner(), first);
        site.thaw(first);
        site.run(Duration(10'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        EXPECT_EQ(site.runs("j1"), 18);
        expectNothingBroken(site);
    });
}

TEST(CellOwner, GoesOnAfterAnOutageOfTheStore)
{
    story("the store is down for less than the lease of what runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 5'000;
        site.submit(first, "j1", "plans", graphOf(1, 8, 1'000, Duration(5'000)));
        site.run(Duration(500));
        site.storeDown = true;
        section("nothing is accepted meanwhile", [&] {
            site.run(Duration(2'500));
            site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(100));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
        });
        section("afterwards the job ends with no run lost", [&] {
            site.storeDown = false;
            site.run(Duration(8'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 8);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, TellsCallersSoonThatTheStoreDoesNotAnswer)
{
    story("the store goes down with a job on its way to it", [] {
        CellSite site;
        fillLooms(site);
        site.storeDown = true;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        section("the caller is told within two seconds that the job may have been accepted", [&] {
            site.run(Duration(2'000));
            EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::InDoubt});
        });
        section("the same job again is accepted once the store is back, and runs once", [&] {
            site.storeDown = false;
            site.run(Duration(3'000));
            site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.answers("j1").back(), CallAnswer::Accepted);
            EXPECT_EQ(site.runs("j1"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WritesAgainWhatMayYetBeWritten)
{
    story("the answer to a write is lost, and the store carries it out seconds later", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.submit(first, "j1", "plans", graphOf(3, 4, 1'000, Duration(300)));
        site.loseNextWrite = true;
        section("the job ends all the same", [&] {
            site.run(Duration(2'900));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        section("the late write changes nothing for the next owner", [&] {
            site.run(Duration(2'000));
            site.kill(first);
            site.run(Duration(5'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
