#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

/// A job of service tasks with at most one task on each worker.
GraphSpec spreadServiceJob(std::uint32_t count, std::uint32_t allowance)
{
    GraphSpec spec = serviceJob(count, allowance);
    spec.steps[0].maxPerWorker = 1;
    return spec;
}

} // namespace

TEST(CellServiceTasks, RestartAfterACrashAndStayWithinTheirAllowance)
{
    story("a job of four service tasks, of which one may be unavailable", [] {
        CellSite site;
        fillLooms(site, 6);
        site.submit(site.owner(), "j1", "plans", spreadServiceJob(4, 1));
        site.run(Duration(2'000));
        section("a task on a worker that crashed and restarted runs again within two seconds", [&] {
            const std::string worker = site.runningOn("w0") > 0 ? "w0" : "w1";
            site.crash(worker);
            site.run(Duration(200));
            site.revive(worker);
            site.run(Duration(2'000));
            std::size_t running = 0;
            for (int index = 0; index < 6; ++index) {
                running += site.runningOn("w" + std::to_string(index));
            }
            EXPECT_EQ(running, 4);
        });
        section("a wave over all hosts drains and maintains one host after the other", [&] {
            site.addWave(7, {"w0", "w1", "w2", "w3", "w4", "w5"}, 1);
            site.run(Duration(40'000));
            EXPECT_EQ(site.completedWaves.count(7), 1);
            for (int index = 0; index < 6; ++index) {
                EXPECT_TRUE(site.isMaintained("w" + std::to_string(index))) << index;
            }
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, CompleteDespiteRepeatedOutagesOfTheStore)
{
    story("during a wave the store fails repeatedly for longer than the owner's lease", [] {
        CellSite site;
        fillLooms(site, 6);
        // With a second entry host the cell would change its owner, which restarts the plan of the wave.
        site.kill(other(site));
        site.addWave(3, {"w0", "w1", "w2", "w3", "w4", "w5"}, 1);
        for (int outage = 0; outage < 4; ++outage) {
            site.run(Duration(1'700));
            site.storeDown = true;
            site.run(Duration(3'000));
            site.storeDown = false;
        }
        site.run(Duration(25'000));
        EXPECT_EQ(site.completedWaves.count(3), 1);
        for (int index = 0; index < 6; ++index) {
            EXPECT_TRUE(site.isMaintained("w" + std::to_string(index))) << index;
        }
        expectNothingBroken(site);
    });
}

// Guards against a wave that is completed without a host that joined after the newest list of hosts.
TEST(CellWaves, MaintainHostsThatJoinedAfterTheNewestList)
{
    story("a host joins while the host service gives no lists, and a wave names it", [] {
        CellSite site;
        fillLooms(site, 3);
        site.refusesLists = true;
        site.run(Duration(1'000));
        site.addWorker("w9", "looms", 8'000);
        site.run(Duration(2'000));
        site.addWave(1, {"w0", "w9"}, 1);
        site.run(Duration(1'900));
        site.refusesLists = false;
        site.run(Duration(20'000));
        section("the wave is completed when both hosts have been maintained", [&] {
            EXPECT_TRUE(site.isMaintained("w0"));
            EXPECT_TRUE(site.isMaintained("w9"));
            EXPECT_EQ(site.completedWaves.count(1), 1);
        });
        expectNothingBroken(site);
    });
    for (int delay = 500; delay <= 3'000; delay += 250) {
        story("a host joins, a wave names it, and lists arrive " + std::to_string(delay) + " ms late", [delay] {
            CellSite site;
            fillLooms(site, 3);
            site.hostListDelay = delay;
            site.run(Duration(2'000));
            site.addWorker("w9", "looms", 8'000);
            site.run(Duration(300));
            site.addWave(1, {"w9"}, 1);
            section("the wave is completed when the host has been maintained", [&] {
                while (site.completedWaves.count(1) == 0 && site.time() < 40'000) {
                    site.run(Duration(20));
                }
                EXPECT_EQ(site.completedWaves.count(1), 1);
                EXPECT_TRUE(site.isMaintained("w9"));
            });
            expectNothingBroken(site);
        });
    }
}

TEST(CellWaves, WaitForTheLongestLeaseOfARestartedWorkerOnly)
{
    const auto maintainedAfter = [](bool hasRestarted) {
        CellSite site;
        fillLooms(site, 1);
        site.submit(site.owner(), "j1", "plans", serviceJob(1, 1));
        site.run(Duration(1'000));
        if (hasRestarted) {
            site.crash("w0");
            site.revive("w0");
            site.run(Duration(1'000));
        }
        site.addWorker("w1", "looms", 8'000);
        site.addWave(1, {"w0"}, 1);
        site.worker("w0").cut = true;
        const std::string owner = site.owner();
        site.kill(owner);
        site.restart(owner);
        const std::int64_t killedAt = site.time();
        while (!site.isMaintained("w0") && site.time() < killedAt + 20'000) {
            site.run(Duration(20));
        }
        expectNothingBroken(site);
        return site.time() - killedAt;
    };
    story("the owner is killed, and the worker on a host of a wave does not answer the next one", [&] {
        section("the host is maintained after the lease that owners grant, since its order ends all its runs",
                [&] { EXPECT_LT(maintainedAfter(false), 7'500); });
        section("it is maintained after the longest lease if the worker has restarted before",
                [&] { EXPECT_GE(maintainedAfter(true), 10'200); });
    });
}

TEST(CellWaves, SkipHostsThatHaveLeftTheSite)
{
    story("a wave names a host that has never been part of the site", [] {
        CellSite site;
        fillLooms(site, 3);
        site.addWave(1, {"w0", "gone"}, 1);
        section("the wave is completed with the other host", [&] {
            site.run(Duration(15'000));
            EXPECT_TRUE(site.isMaintained("w0"));
            EXPECT_EQ(site.completedWaves.count(1), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellServiceTasks, AreNotStoppedBeyondTheirAllowanceAcrossAHandover)
{
    story("the owner has started to drain a host and is replaced before the first stop has finished", [] {
        CellSite site;
        fillLooms(site, 4);
        site.submit(site.owner(), "j1", "plans", spreadServiceJob(4, 1));
        site.run(Duration(2'000));
        site.addWave(1, {"w3"}, 1);
        // Runs until the first stop has been ordered, but has not finished.
        std::size_t stopping = 0;
        while (stopping == 0 && site.time() < 6'000) {
            site.run(Duration(10));
            for (int index = 0; index < 4; ++index) {
                for (const auto &[task, run] : site.worker("w" + std::to_string(index)).running) {
                    stopping += run.stopsAt ? 1 : 0;
                }
            }
        }
        ASSERT_EQ(stopping, 1);
        site.stop(site.owner());
        site.addWave(2, {"w0"}, 1);
        for (int step = 0; step < 80; ++step) {
            site.run(Duration(10));
            std::size_t away = 0;
            for (int index = 0; index < 4; ++index) {
                for (const auto &[task, run] : site.worker("w" + std::to_string(index)).running) {
                    away += run.stopsAt ? 1 : 0;
                }
            }
            ASSERT_LE(away, 1) << "at " << site.time();
        }
    });
}

TEST(CellServiceTasks, AreNotStoppedForAWaveWhileOthersStopOnALeavingWorker)
{
    story("a worker reports that it leaves at about the time at which a wave takes the host of another one", [] {
        for (int delay = 0; delay <= 400; delay += 10) {
            CellSite site;
            site.addQueue("plans", "looms");
            site.addWorker("w9", "looms", 8'000);
            site.addNode("a");
            site.run(Duration(2'000));
            site.submit(site.owner(), "j1", "plans", spreadServiceJob(2, 1));
            site.run(Duration(500));
            site.addWorker("w0", "looms", 8'000);
            site.run(Duration(2'000));
            ASSERT_EQ(site.runningOn("w0"), 1);
            site.addWorker("w5", "looms", 8'000);
            site.run(Duration(1'000));
            site.addWave(1, {"w0"}, 1);
            site.run(Duration(delay));
            site.worker("w9").entry.state = WorkerState::Draining;
            site.run(Duration(3'000));
            EXPECT_EQ(site.runningOn("w9"), 0) << delay;
            expectNothingBroken(site);
        }
    });
}

TEST(CellWaves, SkipAHostWithTasksUnknownToTheNewOwner)
{
    story("a worker with a service task is cut off, the owner crashes, and the worker's host is part of a wave", [] {
        CellSite site;
        fillLooms(site, 4);
        site.submit(site.owner(), "j1", "plans", spreadServiceJob(4, 1));
        site.run(Duration(2'000));
        ASSERT_EQ(site.runningOn("w3"), 1);
        site.worker("w3").cut = true;
        site.kill(site.owner());
        site.addWave(1, {"w3"}, 1);
        section("the next owner does not order maintenance while the worker may run tasks", [&] {
            site.run(Duration(6'000));
            EXPECT_FALSE(site.isMaintained("w3"));
        });
        section("the host is maintained after the leases on the worker have expired", [&] {
            site.run(Duration(20'000));
            EXPECT_TRUE(site.isMaintained("w3"));
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, CountAHostThatAnEarlierOwnerMayStillMaintain)
{
    story("the owner crashes after a maintenance order without an answer, which is carried out seconds later", [] {
        for (int delay = 2'500; delay <= 8'000; delay += 250) {
            CellSite site;
            fillLooms(site, 1);
            const std::string first = site.owner();
            site.durations[JobId("j1")] = 4'000;
            site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(4'000)));
            site.run(Duration(200));
            ASSERT_EQ(site.runningOn("w0"), 1);
            site.addWorker("w1", "looms", 8'000);
            site.run(Duration(2'000));
            site.lostHostOrders = 1;
            site.hostOrderDelay = delay;
            // The first owner orders w1, which is idle, and the next one w0.
            site.addWave(1, {"w0", "w1"}, 1);
            site.run(Duration(700));
            site.lostHostOrders = 0;
            site.kill(first);
            site.run(Duration(40'000));
            EXPECT_EQ(site.completedWaves.count(1), 1) << delay;
            expectNothingBroken(site);
        }
    });
}

TEST(CellWaves, KeepTasksOffAHostThatAnEarlierOwnerMayStillMaintain)
{
    story("the owner crashes after a maintenance order without an answer, and the next one gets work", [] {
        for (int delay = 2'500; delay <= 8'000; delay += 250) {
            CellSite site;
            fillLooms(site, 4);
            site.run(Duration(1'000));
            const std::string first = site.owner();
            const std::string next = other(site);
            site.lostHostOrders = 1;
            site.hostOrderDelay = delay;
            site.addWave(1, {"w0", "w1", "w2", "w3"}, 4);
            site.run(Duration(700));
            site.lostHostOrders = 0;
            site.kill(first);
            for (int waited = 0; waited < 6'000 && site.owner().empty(); waited += 20) {
                site.run(Duration(20));
            }
            site.durations[JobId("long")] = 4'000;
            site.submit(next, "long", "plans", graphOf(1, 16, 1'000, Duration(4'000)));
            site.run(Duration(40'000));
            EXPECT_EQ(site.state("long"), GraphState::Completed) << delay;
            EXPECT_EQ(site.completedWaves.count(1), 1) << delay;
            expectNothingBroken(site);
        }
    });
}

TEST(CellWaves, WaitUntilTheEndsOfAWorkerAreStored)
{
    story("the hosts of a wave are drained, and their last tasks end while the store does not answer", [] {
        CellSite site;
        fillLooms(site, 2);
        site.durations[JobId("j1")] = 1'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 2, 1'000, Duration(1'000)));
        while (site.runs("j1") < 2 && site.time() < 10'000) {
            site.run(Duration(10));
        }
        ASSERT_EQ(site.runs("j1"), 2);
        site.addWave(1, {"w0", "w1"}, 2);
        site.run(Duration(800));
        site.storeDown = true;
        const std::string first = site.owner();
        site.run(Duration(1'500));
        section("the hosts whose workers hold the only record of completed tasks are not maintained", [&] {
            EXPECT_EQ(site.worker("w0").ended.size() + site.worker("w1").ended.size(), 2);
            EXPECT_FALSE(!site.worker("w0").ended.empty() && site.isMaintained("w0"));
            EXPECT_FALSE(!site.worker("w1").ended.empty() && site.isMaintained("w1"));
        });
        section("the next owner does not start the completed tasks again", [&] {
            site.kill(first);
            site.storeDown = false;
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, ReuseAWorkerThatARepeatedOrderHasNotEnded)
{
    story("the only host is maintained by an order without an answer, and the owner crashes", [] {
        CellSite site;
        fillLooms(site, 1);
        site.lostHostOrders = 1;
        site.hostOrderDelay = 1;
        site.addWave(1, {"w0"}, 1);
        while (!site.isMaintained("w0") && site.time() < 10'000) {
            site.run(Duration(10));
        }
        ASSERT_TRUE(site.isMaintained("w0"));
        site.kill(site.owner());
        site.lostHostOrders = 0;
        section("the next owner repeats the order, which ends no worker since the host was already maintained", [&] {
            site.run(Duration(8'000));
            EXPECT_EQ(site.completedWaves.count(1), 1);
        });
        section("the worker on the host accepts tasks again", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, DoNotCarryOutALateStartOnTheNextWorkerOfAHost)
{
    for (int delay = 3'000; delay < 7'000; delay += 50) {
        story("a start is carried out " + std::to_string(delay) + " ms late, and its host is maintained meanwhile",
              [delay] {
                  CellSite site;
                  fillLooms(site, 2);
                  site.loseNextStart = delay;
                  site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
                  site.run(Duration(100));
                  site.addWave(1, {"w0", "w1"}, 2);
                  site.run(Duration(12'000));
                  EXPECT_EQ(site.state("j1"), GraphState::Completed);
                  EXPECT_EQ(site.runs("j1"), 1);
                  EXPECT_TRUE(site.isMaintained("w0") && site.isMaintained("w1"));
                  expectNothingBroken(site);
              });
    }
}

} // namespace radishvane::tests
