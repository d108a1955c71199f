#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(CellJobs, RunThroughAllStepsAndStopWhenCancelled)
{
    story("a site without faults, with two entry hosts and four workers", [] {
        CellSite site;
        fillLooms(site);
        section("one of the entry hosts owns the cell", [&] { ASSERT_FALSE(site.owner().empty()); });
        section("a job with two steps is accepted and runs to completion", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(100));
            ASSERT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
            site.run(Duration(1'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("a repeated submission is answered again and starts no further runs", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j1").size(), 2);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("an entry host that does not own the cell refuses jobs", [&] {
            site.submit(other(site), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
            EXPECT_EQ(site.runs("j2"), 0);
        });
        section("a cancelled job is stopped on all workers", [&] {
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

TEST(CellJobs, FailAtTheFailureLimitOfTheQueue)
{
    story("a queue with a limit of three failures, and workers on which every run fails", [] {
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

TEST(CellJobs, CountFailuresThatTheFormerOwnerCouldNotStore)
{
    story("a task fails on two workers while the owner is cut off from the store; the queue allows two failures", [] {
        CellSite site;
        site.addQueue("plans", "looms", 2);
        for (const char *id : {"w0", "w1"}) {
            site.addWorker(id, "looms", 8'000);
        }
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        const std::string first = site.owner();
        // w0 is unlisted so that the first run starts on w1. The next owner then queries w0, with the second run,
        // first.
        site.worker("w0").listed = false;
        site.run(Duration(400));
        site.durations[JobId("j1")] = -700;
        site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(50));
        ASSERT_EQ(site.runningOn("w1"), 1);
        site.worker("w0").listed = true;
        site.run(Duration(400));
        site.node(first).cutFromStore = true;
        section("both runs fail before another entry host owns the cell", [&] {
            site.run(Duration(1'400));
            EXPECT_EQ(site.runs("j1"), 2);
        });
        section("the new owner counts both failures, regardless of the order of the workers' answers", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Failed);
            EXPECT_EQ(site.runs("j1"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IsReplacedAfterACrash)
{
    story("the owner crashes while a job runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        const std::string second = other(site);
        site.durations[JobId("j1")] = 3'000;
        site.submit(first, "j1", "plans", graphOf(2, 6, 1'000, Duration(3'000)));
        site.run(Duration(1'000));
        site.kill(first);
        section("the other entry host takes over the cell within 3.5 seconds", [&] {
            site.run(Duration(3'500));
            EXPECT_EQ(site.owner(), second);
        });
        section("the runs continue, none is started twice, and the job completes", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IsTheFittestHostInReachOfTheStore)
{
    // Each name in turn, since hosts also wait for a time that depends on their name.
    for (const std::string fit : {"a", "b", "c"}) {
        story("one entry host with the capacity that an owner needs, among two with little", [&] {
            CellSite site;
            site.addQueue("plans", "looms");
            site.addWorker("w0", "looms", 8'000);
            site.addWorker("w1", "looms", 8'000);
            for (const std::string name : {"a", "b", "c"}) {
                site.addNode(name, name == fit ? HostCapacity{2, 1'000} : HostCapacity{0.05, 1'000});
            }
            section("the fit host owns the cell at the start", [&] {
                site.run(Duration(2'000));
                ASSERT_EQ(site.owner(), fit);
            });
            section("when it restarts after a crash, it owns the cell again", [&] {
                site.kill(fit);
                site.restart(fit);
                site.run(Duration(3'500));
                EXPECT_EQ(site.owner(), fit);
            });
            section("when it stays away, a host with little capacity takes over and serves", [&] {
                site.kill(fit);
                site.run(Duration(5'000));
                ASSERT_FALSE(site.owner().empty());
                site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
                site.run(Duration(3'000));
                EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
                EXPECT_EQ(site.state("j1"), GraphState::Completed);
            });
            expectNothingBroken(site);
        });
    }
}

TEST(CellOwner, DetectsEndedTasksFromTheListOfHosts)
{
    story("the owner crashes, and a worker with tasks of a job is replaced by one with another id", [] {
        CellSite site;
        fillLooms(site, 3);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 1'000;
        site.submit(first, "j1", "plans", graphOf(1, 20, 1'000, Duration(1'000)));
        site.run(Duration(300));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.kill(first);
        site.replace("w0", "w9");
        section("the next owner completes the job without waiting for the leases on that worker to expire", [&] {
            site.run(Duration(5'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, HandsOverWithinASecondWhenStopped)
{
    story("the owner has work continuously and is asked to stop", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        for (int index = 0; index < 40; ++index) {
            site.submit(first, "j" + std::to_string(index), "plans", graphOf(2, 6, 1'000, Duration(300)));
        }
        site.run(Duration(500));
        site.stop(first);
        section("another entry host owns the cell within one second", [&] {
            site.run(Duration(1'000));
            EXPECT_FALSE(site.owner().empty());
            EXPECT_NE(site.owner(), first);
        });
        section("every job completes", [&] {
            site.run(Duration(8'000));
            for (int index = 0; index < 40; ++index) {
                EXPECT_EQ(site.state("j" + std::to_string(index)), GraphState::Completed) << index;
            }
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, AnswersCallersWhoseRowsItStoresWithItsRelease)
{
    story("a job waits for the pending write of another one when the owner is asked to stop", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.stop(first);
        site.run(Duration(500));
        EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
        EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Accepted});
        section("the next owner completes both jobs", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsNothingAfterAFreezeBeyondItsLease)
{
    story("the owner freezes for longer than its lease and resumes after another has taken over", [] {
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

TEST(CellOwner, ContinuesAfterAnOutageOfTheStore)
{
    story("the store is down for less than the lease of the runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 5'000;
        site.submit(first, "j1", "plans", graphOf(1, 8, 1'000, Duration(5'000)));
        site.run(Duration(500));
        site.storeDown = true;
        section("no job is accepted during the outage", [&] {
            site.run(Duration(2'500));
            site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(100));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
        });
        section("after the outage the job completes without a lost run", [&] {
            site.storeDown = false;
            site.run(Duration(8'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 8);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, AnswersCallersInDoubtWhenTheStoreDoesNotAnswer)
{
    story("the store fails before it has stored a submitted job", [] {
        CellSite site;
        fillLooms(site);
        site.storeDown = true;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        section("within two seconds the caller is answered that the acceptance is in doubt", [&] {
            site.run(Duration(2'000));
            EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::InDoubt});
        });
        section("a repeated submission is accepted after the store has recovered, and the job runs once", [&] {
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

TEST(CellOwner, RepeatsAWriteWithoutAnAnswer)
{
    story("a write gets no answer, and the store carries it out seconds later", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.submit(first, "j1", "plans", graphOf(3, 4, 1'000, Duration(300)));
        site.loseNextWrite = true;
        section("the job completes", [&] {
            site.run(Duration(2'900));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        section("the late write has no effect on the state of the next owner", [&] {
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
