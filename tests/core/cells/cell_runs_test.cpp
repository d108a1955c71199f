#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(CellWorkers, LoseTheirTasksWhenTheyFallSilent)
{
    story("a worker is cut off with tasks on it", [] {
        CellSite site;
        fillLooms(site, 2);
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
        fillLooms(site, 2);
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
        fillLooms(site, 2);
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
        fillLooms(site, 2);
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
        fillLooms(site, 2);
        site.worker("w0").stalls = true;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        site.run(Duration(8'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        expectNothingBroken(site);
    });
    story("an owner that cannot look for a while takes no task for stalled", [] {
        CellSite site;
        fillLooms(site, 2);
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
        fillLooms(site, 2);
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
        fillLooms(site, 1);
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

TEST(CellTeams, GetBackWhatALostWorkerWasStillStopping)
{
    story("a worker is lost for good while it stops the tasks of a job that was cancelled under another owner", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        fillLooms(site, 2);
        site.submit(site.owner(), "l", "plans", lastingJob(4, 1), "dyers");
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 2);
        site.worker("w0").cut = true;
        site.stop(site.owner());
        site.run(Duration(600));
        site.cancel(site.owner(), "l");
        site.run(Duration(300));
        site.worker("w0").cut = false;
        site.run(Duration(1'600));
        site.crash("w0");
        site.worker("w0").listed = false;
        section("its team may take its whole ceiling again", [&] {
            site.run(Duration(12'000));
            site.submit(site.owner(), "j", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(600));
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
        fillLooms(site);
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

TEST(CellGangs, StartWholeOrNotAtAll)
{
    story("a gang of six on workers that have room for four", [] {
        CellSite site;
        fillLooms(site, 2);
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
        fillLooms(site, 3);
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
        fillLooms(site, 4);
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
        fillLooms(site);
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
        fillLooms(site, 1);
        GraphSpec lasting = lastingJob(1, 1);
        lasting.steps[0].tailLatencyTarget = Duration(100);
        GraphSpec filling = graphOf(1, 2, 6'000, Duration(20'000));
        filling.steps[0].bestEffort = true;
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
        fillLooms(site, 1);
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
