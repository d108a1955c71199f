#include "tests/support/cell_site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

void fill(CellSite &site, std::size_t workers = 4)
{
    site.addQueue("plans", "looms");
    for (std::size_t index = 0; index < workers; ++index) {
        site.addWorker("w" + std::to_string(index), "looms", 8'000);
    }
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
}

std::string other(const CellSite &site)
{
    return site.owner() == "a" ? "b" : "a";
}

GraphSpec lastingJob(std::uint32_t count, std::uint32_t allowance)
{
    GraphSpec spec = graphOf(1, count, 2'000, Duration(500));
    spec.steps[0].lasting = true;
    spec.steps[0].allowance = allowance;
    return spec;
}

/// A lasting job with one task on each worker.
GraphSpec spreadLastingJob(std::uint32_t count, std::uint32_t allowance)
{
    GraphSpec spec = lastingJob(count, allowance);
    spec.steps[0].mostPerWorker = 1;
    return spec;
}

void expectNothingBroken(const CellSite &site)
{
    for (const std::string &what : site.broken) {
        ADD_FAILURE() << what;
    }
}

} // namespace

TEST(CellJobs, RunFromEndToEnd)
{
    story("a calm site with two entry hosts and four workers", [] {
        CellSite site;
        fill(site);
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
        fill(site);
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
        fill(site);
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
        fill(site, 3);
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
        fill(site);
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
        fill(site);
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
        fill(site);
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
        fill(site);
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
        fill(site);
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

TEST(CellWorkers, LoseTheirTasksWhenTheyFallSilent)
{
    story("a worker is cut off with tasks on it", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 20'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 8, 1'000, Duration(20'000)));
        site.run(Duration(1'000));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.worker("w0").cut = true;
        section("its tasks run elsewhere once its lease has run out on its own clock", [&] {
            site.run(Duration(9'000));
            EXPECT_EQ(site.runningOn("w1"), 8);
        });
        section("it takes tasks again when it answers", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(2'000));
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(2'000));
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, AreAskedInVainWithoutForgettingTheirLease)
{
    story("looks that cannot be sent follow a lease that was taken", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 30'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(30'000)));
        site.run(Duration(2'000));
        site.worker("w0").refusesConnections = true;
        site.worker("w0").cut = true;
        site.run(Duration(12'000));
        EXPECT_EQ(site.runningOn("w1"), 4);
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, ThatRestartUnderTheSameIdRunNothingOfBefore)
{
    story("a worker crashes and comes back at the same address", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 4'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 8, 1'000, Duration(4'000)));
        site.run(Duration(1'000));
        site.crash("w0");
        site.run(Duration(300));
        site.revive("w0");
        site.run(Duration(9'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, ThatLeaveGetNoMoreTasksAndGiveLastingOnesBack)
{
    story("a worker says that it leaves soon", [] {
        CellSite site;
        fill(site, 2);
        site.submit(site.owner(), "l", "plans", lastingJob(2, 1));
        site.run(Duration(1'000));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.worker("w0").entry.state = WorkerState::Draining;
        section("its lasting tasks are at work elsewhere within seconds", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runningOn("w0"), 0);
            EXPECT_EQ(site.runningOn("w1"), 2);
        });
        section("and it gets no other", [&] {
            site.submit(site.owner(), "j", "plans", graphOf(2, 6, 100, Duration(300)));
            for (int step = 0; step < 200; ++step) {
                site.run(Duration(20));
                ASSERT_EQ(site.runningOn("w0"), 0);
            }
            EXPECT_EQ(site.state("j"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, ThatStandStillLoseTheirTasks)
{
    story("one of two workers starts tasks and makes no progress", [] {
        CellSite site;
        fill(site, 2);
        site.worker("w0").stalls = true;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        site.run(Duration(8'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        expectNothingBroken(site);
    });
    story("an owner that cannot look for a while takes no task for stalled", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 20'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(20'000)));
        site.run(Duration(1'000));
        for (const char *id : {"w0", "w1"}) {
            site.worker(id).cut = true;
        }
        site.run(Duration(2'600));
        for (const char *id : {"w0", "w1"}) {
            site.worker(id).cut = false;
        }
        site.run(Duration(2'000));
        EXPECT_EQ(site.runs("j1"), 4);
        expectNothingBroken(site);
    });
}

TEST(CellRoom, CountsWhatIsBeingStopped)
{
    story("a job that fills the workers is cancelled, and its owner is stopped at once", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 60'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 16, 1'000, Duration(60'000)));
        site.run(Duration(1'000));
        const std::string first = site.owner();
        site.submit(first, "j2", "plans", graphOf(1, 16, 1'000, Duration(300)));
        site.run(Duration(50));
        site.cancel(first, "j1");
        site.stop(first);
        site.run(Duration(6'000));
        EXPECT_EQ(site.state("j2"), GraphState::Completed);
        expectNothingBroken(site);
    });
}

TEST(CellRoom, CountsWhatRunsOnAfterItsJobWasForgotten)
{
    story("a worker is cut off from the next owner with a task of a job that is cancelled meanwhile", [] {
        CellSite site;
        fill(site, 1);
        GraphSpec lasting = lastingJob(1, 1);
        lasting.steps[0].needs.cpu = 6'000;
        site.submit(site.owner(), "l", "plans", lasting);
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 1);
        site.worker("w0").cut = true;
        site.worker("w0").listed = false;
        const std::string first = site.owner();
        site.stop(first);
        site.run(Duration(600));
        site.cancel(site.owner(), "l");
        site.submit(site.owner(), "j", "plans", graphOf(1, 8, 1'000, Duration(300)));
        site.run(Duration(1'200));
        EXPECT_EQ(site.state("l"), GraphState::Cancelled);
        section("it answers again before discovery shows it again", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(100));
            site.worker("w0").listed = true;
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, StayUnderTheirCeiling)
{
    story("a team asks for four times its ceiling", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        fill(site);
        for (int index = 0; index < 4; ++index) {
            site.submit(site.owner(), "j" + std::to_string(index), "plans", graphOf(1, 4, 1'000, Duration(300)),
                        "dyers");
        }
        site.run(Duration(500));
        site.kill(site.owner());
        site.run(Duration(12'000));
        for (int index = 0; index < 4; ++index) {
            EXPECT_EQ(site.state("j" + std::to_string(index)), GraphState::Completed);
        }
        expectNothingBroken(site);
    });
}

TEST(CellLasting, TasksComeBackAndKeepTheirAllowance)
{
    story("a lasting job of four tasks of which one may be away", [] {
        CellSite site;
        fill(site, 6);
        site.submit(site.owner(), "j1", "plans", spreadLastingJob(4, 1));
        site.run(Duration(2'000));
        section("a task on a worker that crashed and came back is at work again in seconds", [&] {
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
        section("a wave over all hosts maintains each, empty, one after the other", [&] {
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

TEST(CellWaves, GoOnAfterAnOutageOfTheStore)
{
    story("the store is down again and again for longer than the owner's lease, while hosts are due", [] {
        CellSite site;
        fill(site, 6);
        // A second host would take the cell, and begin the wave's plan anew.
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

TEST(CellLasting, NoTaskIsEndedWhileTheOwnerBeforeEndsAnother)
{
    story("an owner has begun to empty a host, and is replaced within the time that a stop takes", [] {
        CellSite site;
        fill(site, 4);
        site.submit(site.owner(), "j1", "plans", spreadLastingJob(4, 1));
        site.run(Duration(2'000));
        site.addWave(1, {"w3"}, 1);
        // Time for the first stop to be ordered, and not to have ended.
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

TEST(CellWaves, LeaveAHostAloneWhoseTasksANewOwnerDoesNotKnow)
{
    story("a worker with a lasting task is cut off, its owner dies, and its host is due", [] {
        CellSite site;
        fill(site, 4);
        site.submit(site.owner(), "j1", "plans", spreadLastingJob(4, 1));
        site.run(Duration(2'000));
        ASSERT_EQ(site.runningOn("w3"), 1);
        site.worker("w3").cut = true;
        site.kill(site.owner());
        site.addWave(1, {"w3"}, 1);
        section("the next owner does not order it down while it may run tasks", [&] {
            site.run(Duration(6'000));
            EXPECT_FALSE(site.isMaintained("w3"));
        });
        section("it does when the leases there have run out", [&] {
            site.run(Duration(20'000));
            EXPECT_TRUE(site.isMaintained("w3"));
        });
        expectNothingBroken(site);
    });
}

TEST(CellWaves, UseAWorkerAgainThatAnOrderHasNotEnded)
{
    story("the only host is maintained by an order without an answer, and its owner dies", [] {
        CellSite site;
        fill(site, 1);
        site.lostHostOrders = 1;
        site.hostOrderDelay = 1;
        site.addWave(1, {"w0"}, 1);
        while (!site.isMaintained("w0") && site.time() < 10'000) {
            site.run(Duration(10));
        }
        ASSERT_TRUE(site.isMaintained("w0"));
        site.kill(site.owner());
        site.lostHostOrders = 0;
        section("the next owner orders it again, which ends nothing, since it has been done", [&] {
            site.run(Duration(8'000));
            EXPECT_EQ(site.completedWaves.count(1), 1);
        });
        section("and its worker takes tasks as before", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellGangs, StartWholeOrNotAtAll)
{
    story("a gang of six on workers that have room for four", [] {
        CellSite site;
        fill(site, 2);
        site.durations[JobId("j1")] = 3'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 12, 1'000, Duration(3'000)));
        site.run(Duration(500));
        GraphSpec gang = graphOf(1, 6, 1'000, Duration(300));
        gang.steps[0].gang = true;
        site.submit(site.owner(), "g", "plans", gang);
        section("none of its tasks starts while there is no room for all", [&] {
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("g"), 0);
        });
        section("all start when there is", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("g"), 6);
            EXPECT_EQ(site.state("g"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
    story("a worker with a member of a gang crashes", [] {
        CellSite site;
        fill(site, 3);
        GraphSpec gang = graphOf(1, 6, 1'000, Duration(3'000));
        gang.steps[0].gang = true;
        site.durations[JobId("g")] = 3'000;
        site.submit(site.owner(), "g", "plans", gang);
        site.run(Duration(1'000));
        site.crash("w0");
        site.run(Duration(300));
        site.revive("w0");
        site.run(Duration(10'000));
        EXPECT_EQ(site.state("g"), GraphState::Completed);
        EXPECT_EQ(site.runs("g"), 12);
        expectNothingBroken(site);
    });
}

TEST(CellAdmission, StartsOnlyWhereTheServiceAllows)
{
    story("a queue whose steps may run on one of four workers only", [] {
        CellSite site;
        site.addQueue("checked", "looms");
        site.setAdmission("checked");
        fill(site, 4);
        site.admitted = {"w2"};
        site.submit(site.owner(), "j1", "checked", graphOf(2, 4, 1'000, Duration(300)));
        section("its tasks run there", [&] {
            site.run(Duration(400));
            EXPECT_EQ(site.runningOn("w2"), 4);
        });
        section("and nowhere else", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1") + site.runningOn("w3"), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellRepeats, BeginWhenTheyAreDue)
{
    story("a job of three occurrences, a second apart, the first in a second", [] {
        CellSite site;
        fill(site);
        GraphSpec spec = graphOf(1, 2, 1'000, Duration(300));
        spec.repeats = 3;
        spec.firstDue = site.wall() + Duration(1'000);
        spec.period = Duration(1'000);
        site.submit(site.owner(), "j1", "plans", spec);
        section("nothing runs before its time", [&] {
            site.run(Duration(900));
            EXPECT_EQ(site.runs("j1"), 0);
        });
        section("each occurrence runs in its turn", [&] {
            site.run(Duration(700));
            EXPECT_EQ(site.runs("j1"), 2);
            EXPECT_EQ(site.state("j1"), GraphState::Running);
        });
        section("and the job ends with the last", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("j1"), 6);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellFilling, GivesWayToLastingTasks)
{
    story("filling tasks beside a lasting task whose tail comes near to its bound", [] {
        CellSite site;
        fill(site, 1);
        GraphSpec lasting = lastingJob(1, 1);
        lasting.steps[0].tailTarget = Duration(100);
        GraphSpec filling = graphOf(1, 2, 6'000, Duration(20'000));
        filling.steps[0].filling = true;
        site.durations[JobId("f")] = 20'000;
        site.submit(site.owner(), "f", "plans", filling);
        site.run(Duration(500));
        EXPECT_EQ(site.runningOn("w0"), 2);
        site.submit(site.owner(), "l", "plans", lasting);
        section("the lasting task gets its place all the same", [&] {
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("l"), 1);
        });
        section("what fills is stopped when the tail rises", [&] {
            site.worker("w0").load = 90;
            site.run(Duration(2'000));
            EXPECT_EQ(site.runningOn("w0"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellPlanning, GivesRoomAwayFromALongBacklog)
{
    story("a backlog of 600 jobs on one worker, which runs eight tasks of 300 ms at a time", [] {
        CellSite site;
        fill(site, 1);
        for (int index = 0; index < 600; ++index) {
            site.submit(site.owner(), "j" + std::to_string(index), "plans", graphOf(2, 4, 1'000, Duration(300)));
        }
        site.run(Duration(6'000));
        section("the owner keeps its lease, and the worker is busy for at least three quarters of the time", [&] {
            EXPECT_FALSE(site.owner().empty());
            std::size_t runs = 0;
            for (int index = 0; index < 600; ++index) {
                runs += site.runs("j" + std::to_string(index));
            }
            EXPECT_GE(runs, 8 * 6'000 / 300 * 3 / 4);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
