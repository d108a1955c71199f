#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// The only worker that runs tasks.
std::string workerOf(const CellSite &site)
{
    for (const std::string worker : {"w0", "w1", "w2"}) {
        if (site.runningOn(worker) > 0) {
            return worker;
        }
    }
    return {};
}

} // namespace

TEST(CellWorkers, KeepTheirRunsWhenAnOlderListOfHostsShowsAnotherWorker)
{
    story("a host starts another worker, and lists of hosts arrive seconds late", [] {
        CellSite site;
        fillLooms(site, 1);
        site.hostListDelay = 4'500;
        site.run(Duration(1'000));
        site.replace("w0", "x0");
        site.run(Duration(400));
        submitLongJob(site, "j1", 4);
        site.run(Duration(1'200));
        ASSERT_EQ(site.runningOn("x0"), 4);
        site.addWorker("w1", "looms", 8'000);
        section("the new worker does not answer when a list from before its start arrives", [&] {
            site.worker("x0").cut = true;
            site.run(Duration(3'000));
            EXPECT_EQ(site.runningOn("x0"), 4);
            EXPECT_EQ(site.runs("j1"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WaitsForWorkersOfThePoolThatAQueueUsedBefore)
{
    story("a queue gets another pool while its tasks run, and the owner crashes", [] {
        CellSite site;
        fillLooms(site, 1);
        submitLongJob(site, "j1", 4);
        site.addWorker("f0", "frames", 8'000);
        site.run(Duration(400));
        site.worker("w0").cut = true;
        site.kill(site.owner());
        site.addQueue("plans", "frames");
        section("the next owner starts no task again that may still run in the former pool", [&] {
            runPastLongestLease(site);
            EXPECT_EQ(site.runningOn("f0"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WaitsForARecordedWorkerWhoseAddressHasChanged)
{
    story("the owner crashes, and discovery lists a worker that does not answer at another address", [] {
        CellSite site;
        fillLooms(site, 1);
        submitLongJob(site, "j1", 4);
        site.addWorker("w1", "looms", 8'000);
        site.run(Duration(400));
        site.worker("w0").cut = true;
        site.kill(site.owner());
        site.worker("w0").entry.endpoint.port = 2;
        section("the next owner starts no task again that may still run on the worker", [&] {
            runPastLongestLease(site);
            EXPECT_EQ(site.runningOn("w1"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WaitsForAnIncarnationThatStartedWhileTheListOfWorkersWasStored)
{
    story("a worker restarts while a list of workers with its former incarnation is being stored", [] {
        for (int offset = 0; offset < 800; offset += 40) {
            CellSite site;
            fillLooms(site, 1);
            const std::string first = site.owner();
            site.durations[JobId("j1")] = 20'000;
            site.submit(first, "j1", "plans", graphOf(1, 16, 1'000, Duration(20'000)));
            site.run(Duration(1'000));
            site.storeDelay = 250;
            site.addWorker("w1", "looms", 500);
            site.run(Duration(offset));
            site.crash("w0");
            site.revive("w0");
            site.loseNextWrite = true;
            for (int waited = 0; waited < 1'600 && site.runningOn("w0") == 0; waited += 5) {
                site.run(Duration(5));
            }
            site.kill(first);
            site.storeDelay = 6;
            site.worker("w0").cut = true;
            site.addWorker("w2", "looms", 8'000);
            section("the next owner starts no task again that may still run on the new incarnation", [&] {
                site.run(Duration(14'000));
                EXPECT_EQ(site.runningOn("w2"), 8);
            });
            expectNothingBroken(site);
        }
    });
}

TEST(CellMoves, SkipAHostWhoseFormerWorkerIsStillInDiscovery)
{
    story("a host has started another worker while discovery still lists the former one, which was idle", [] {
        CellSite site;
        fillLooms(site, 3);
        site.addQueue("quotes", "frames");
        site.addWorker("f0", "frames", 8'000);
        site.run(Duration(1'000));
        site.replace("w0", "a0");
        site.worker("w0").listed = true;
        site.run(Duration(400));
        submitLongJob(site, "j1", 4);
        ASSERT_EQ(site.runningOn("a0"), 4);
        section("the host does not move while tasks run on its worker", [&] {
            for (int index = 0; index < 20; ++index) {
                site.submit(site.owner(), "q" + std::to_string(index), "quotes", graphOf(1, 16, 1'000, Duration(600)));
            }
            site.run(Duration(4'000));
            EXPECT_EQ(site.runningOn("a0"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, SkipAHostThatHasStartedAnotherWorkerSinceTheListOfHosts)
{
    story("a host of a wave has started another worker, and lists of hosts arrive seconds late", [] {
        CellSite site;
        fillLooms(site, 2);
        site.hostListDelay = 3'000;
        site.run(Duration(500));
        site.replace("w0", "a0");
        site.run(Duration(300));
        submitLongJob(site, "j1", 12);
        site.addWave(1, {"w0"}, 1);
        section("the host is not maintained while tasks run on its worker", [&] {
            site.run(Duration(8'000));
            EXPECT_TRUE(site.isMaintained("a0"));
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, DoNotExceedTheirCeilingWhileTheirRunsAreUnknownToTheNextOwner)
{
    story("a team is at its ceiling, the owner crashes, and the worker does not answer the next one", [] {
        CellSite site;
        fillLooms(site, 1);
        site.addTeam("dyers", 4'000);
        site.durations[JobId("j1")] = 20'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(20'000)), "dyers");
        site.run(Duration(2'000));
        ASSERT_EQ(site.runningOn("w0"), 4);
        site.addWorker("w1", "looms", 8'000);
        site.run(Duration(400));
        const std::string first = site.owner();
        const std::string second = other(site);
        site.worker("w0").cut = true;
        site.kill(first);
        section("a job that the next owner accepts waits for room below the ceiling", [&] {
            while (site.owner() != second && site.time() < 15'000) {
                site.run(Duration(20));
            }
            site.run(Duration(500));
            site.submit(second, "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(1'000));
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, RestartsAServiceTaskThatItHasSeenRunningBeforeAllWorkersHaveAnswered)
{
    story("the owner crashes, a worker does not answer the next one, and another worker leaves", [] {
        CellSite site;
        fillLooms(site, 3);
        site.submit(site.owner(), "svc", "plans", serviceJob(1, 1));
        site.run(Duration(1'000));
        const std::string left = workerOf(site);
        site.worker(left == "w0" ? "w1" : "w0").cut = true;
        changeOwner(site, &CellSite::kill);
        site.run(Duration(500));
        ASSERT_EQ(site.runningOn(left), 1);
        section("the service task runs elsewhere within the time that its stop takes", [&] {
            site.worker(left).entry.state = WorkerState::Draining;
            site.run(Duration(2'000));
            EXPECT_EQ(site.runs("svc"), 2);
            EXPECT_EQ(site.runningOn("w2") + site.runningOn("w1") + site.runningOn("w0"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsServiceTasksWhileOwnersStopInSeriesAndAWorkerDoesNotAnswer)
{
    const auto begin = [](CellSite &site) {
        fillLooms(site, 2);
        site.submit(site.owner(), "svc", "plans", serviceJob(8, 1));
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0") + site.runningOn("w1"), 8);
        site.worker("w0").cut = true;
        site.worker("w0").listed = false;
    };
    const auto changeOwners = [](CellSite &site, int times) {
        for (int count = 0; count < times; ++count) {
            const std::string stopped = site.owner();
            changeOwner(site, &CellSite::stop);
            site.restart(stopped);
            site.run(Duration(1'500));
        }
    };
    story("a task has no capacity, and gets it when the third owner has stopped", [&] {
        CellSite site;
        begin(site);
        site.submit(site.owner(), "waiting", "plans", serviceJob(1, 1));
        site.run(Duration(500));
        ASSERT_EQ(site.runs("waiting"), 0);
        changeOwners(site, 3);
        section("the next owner starts it at once, since no owner has started it", [&] {
            site.addWorker("w2", "looms", 16'000);
            changeOwners(site, 1);
            EXPECT_EQ(site.runs("waiting"), 1);
        });
        expectNothingBroken(site);
    });
    story("there is capacity elsewhere for the tasks of the worker", [&] {
        CellSite site;
        begin(site);
        site.addWorker("w2", "looms", 16'000);
        section("they start there when their leases have expired, however often the owner changes", [&] {
            changeOwners(site, 5);
            EXPECT_EQ(site.runs("svc"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IgnoresAReleaseThatIsOlderThanTheLastEpoch)
{
    story("an owner stops while a task waits, the next one starts the task on a worker and crashes", [] {
        CellSite site;
        fillLooms(site, 1);
        site.submit(site.owner(), "svc", "plans", serviceJob(4, 1));
        site.run(Duration(500));
        site.submit(site.owner(), "waiting", "plans", serviceJob(1, 1));
        site.run(Duration(500));
        const std::string stopped = site.owner();
        changeOwner(site, &CellSite::stop);
        site.restart(stopped);
        site.addWorker("w1", "looms", 2'000);
        site.run(Duration(1'500));
        ASSERT_EQ(site.runningOn("w1"), 1);
        site.worker("w1").cut = true;
        site.addWorker("w2", "looms", 8'000);
        section("the third owner starts the task elsewhere only after its lease has expired", [&] {
            changeOwner(site, &CellSite::kill);
            site.run(Duration(12'000));
            EXPECT_EQ(site.runs("waiting"), 2);
            EXPECT_EQ(site.runningOn("w2"), 1);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
