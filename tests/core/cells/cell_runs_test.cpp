#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// Runs a task whose worker becomes unreachable before the task is done, until the task runs again.
/// @return the workers of the first and of the second run.
std::pair<std::string, std::string> runAgainAfterLostLease(CellSite &site, const std::string &job)
{
    site.durations[JobId(job)] = 4'000;
    site.submit(site.owner(), job, "plans", graphOf(1, 1, 1'000, Duration(4'000)));
    site.run(Duration(2'000));
    const std::string first = site.runningOn("w0") > 0 ? "w0" : "w1";
    const std::string second = first == "w0" ? "w1" : "w0";
    site.worker(first).cut = true;
    site.durations[JobId(job)] = 60'000;
    site.run(Duration(10'000));
    EXPECT_EQ(site.runningOn(second), 1);
    return {first, second};
}

} // namespace

TEST(CellWorkers, LoseTasksWhenTheLeaseExpires)
{
    story("a worker becomes unreachable while it runs tasks", [] {
        CellSite site;
        fillLooms(site, 2);
        site.durations[JobId("j1")] = 20'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 8, 1'000, Duration(20'000)));
        site.run(Duration(1'000));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.worker("w0").cut = true;
        section("its tasks run on another worker after its lease has expired by its own clock", [&] {
            site.run(Duration(9'000));
            EXPECT_EQ(site.runningOn("w1"), 8);
        });
        section("it gets tasks again when it answers", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(2'000));
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(2'000));
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, CompleteATaskWhoseEndIsReportedAfterTheLeaseHasExpired)
{
    story("a worker becomes unreachable, completes its task, and its lease expires", [] {
        CellSite site;
        fillLooms(site, 1);
        site.durations[JobId("j1")] = 4'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(4'000)));
        site.run(Duration(2'000));
        ASSERT_EQ(site.runningOn("w0"), 1);
        site.worker("w0").cut = true;
        site.run(Duration(10'000));
        ASSERT_EQ(site.state("j1"), GraphState::Running);
        section("the task does not run again when the worker reports its end", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("j1"), 1);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, CompleteATaskThatRunsAgainElsewhere)
{
    story("a task runs again after the lease of its first worker has expired", [] {
        CellSite site;
        fillLooms(site, 2);
        const auto [first, second] = runAgainAfterLostLease(site, "j1");
        section("the first worker reports that the task is done while the second one is unreachable", [&] {
            site.worker(second).cut = true;
            site.worker(first).cut = false;
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("j1"), 2);
        });
        section("the next owner knows the end, and the task does not run a third time", [&] {
            const std::string next = other(site);
            site.kill(site.owner());
            site.run(Duration(4'000));
            ASSERT_EQ(site.owner(), next);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            site.worker(second).cut = false;
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("j1"), 2);
            EXPECT_EQ(site.runningOn(second), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, StopARunOfATaskThatIsDone)
{
    story("a task runs again, and then the end of its first run is reported", [] {
        CellSite site;
        fillLooms(site, 2);
        const auto [first, second] = runAgainAfterLostLease(site, "j1");
        site.worker(first).cut = false;
        site.run(Duration(3'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        EXPECT_EQ(site.runningOn(second), 0);
        EXPECT_EQ(site.runs("j1"), 2);
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, KeepTheirLeaseDeadlineWhenQueriesAreNotSent)
{
    story("a worker was granted a lease, and later queries cannot be sent", [] {
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

TEST(CellWorkers, KeepTheirRunsWhileTheyAreSilentForLessThanTheirLease)
{
    for (const int silence : {1'000, 2'500, 4'000}) {
        story("a worker that runs tasks does not answer for " + std::to_string(silence) + " ms", [silence] {
            CellSite site;
            fillLooms(site, 1);
            site.durations[JobId("j1")] = 9'000;
            site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(9'000)));
            site.submit(site.owner(), "l", "plans", serviceJob(1, 0));
            site.run(Duration(2'000));
            ASSERT_EQ(site.runningOn("w0"), 5);
            site.addWorker("w1", "looms", 8'000);
            site.run(Duration(500));
            site.worker("w0").cut = true;
            site.run(Duration(silence));
            site.worker("w0").cut = false;
            site.run(Duration(12'000));
            section("the tasks run on, and none is started elsewhere", [&] {
                EXPECT_EQ(site.runs("j1"), 4);
                EXPECT_EQ(site.runs("l"), 1);
                EXPECT_EQ(site.runningOn("w0"), 1);
            });
            section("the job is completed", [&] { EXPECT_EQ(site.state("j1"), GraphState::Completed); });
            expectNothingBroken(site);
        });
    }
}

TEST(CellWorkers, ThatHaveLeftGetNoTasksFromARestartedOwner)
{
    story("a worker drains, leaves discovery and goes on answering, and the owner's process restarts", [] {
        CellSite site;
        fillLooms(site, 2);
        site.submit(site.owner(), "before", "plans", graphOf(1, 12, 1'000, Duration(300)));
        site.run(Duration(1'500));
        site.worker("w0").entry.state = WorkerState::Draining;
        site.run(Duration(500));
        const std::string owner = site.owner();
        const auto restartAndSubmit = [&](const std::string &job) {
            site.kill(owner);
            site.run(Duration(200));
            site.restart(owner);
            site.run(Duration(500));
            ASSERT_EQ(site.owner(), owner);
            site.submit(owner, job, "plans", graphOf(1, 12, 1'000, Duration(300)));
            for (int waited = 0; waited < 3'000; waited += 20) {
                site.run(Duration(20));
                ASSERT_EQ(site.runningOn("w0"), 0);
            }
            EXPECT_EQ(site.state(job), GraphState::Completed);
        };
        section("it gets no task while it drains", [&] { restartAndSubmit("draining"); });
        site.worker("w0").listed = false;
        site.run(Duration(500));
        section("nor after it has left, though the stored list of workers may still name it",
                [&] { restartAndSubmit("gone"); });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, ThatRestartUnderTheSameIdLoseTheirRuns)
{
    story("a worker crashes and restarts at the same address", [] {
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

TEST(CellWorkers, ThatLeaveGetNoTasksAndAreDrainedOfServiceTasks)
{
    story("a worker reports the state draining", [] {
        CellSite site;
        fillLooms(site, 2);
        site.submit(site.owner(), "l", "plans", serviceJob(2, 1));
        site.run(Duration(1'000));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.worker("w0").entry.state = WorkerState::Draining;
        section("its service tasks run on another worker within 4 s", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runningOn("w0"), 0);
            EXPECT_EQ(site.runningOn("w1"), 2);
        });
        section("it gets no other tasks", [&] {
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

TEST(CellWorkers, ThatStallLoseTheirTasks)
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
    story("an owner that cannot reach the workers for a while does not treat their tasks as stalled", [] {
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

TEST(CellCapacity, CountsRunsThatAreBeingStopped)
{
    story("a job that fills the workers is cancelled, and the owner stops immediately after", [] {
        CellSite site;
        fillLooms(site, 2);
        site.setTargetDuration("plans", Duration(60'000));
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

TEST(CellCapacity, CountsRunsOfJobsThatWereCancelledMeanwhile)
{
    story("a worker is unreachable for the next owner and runs a task of a job that is cancelled meanwhile", [] {
        CellSite site;
        fillLooms(site, 1);
        GraphSpec service = serviceJob(1, 1);
        service.steps[0].needs.cpu = 6'000;
        site.submit(site.owner(), "l", "plans", service);
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
        section("it answers again before discovery lists it again, and the next job completes", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(100));
            site.worker("w0").listed = true;
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, RegainTheCapacityOfStoppingRunsOnALostWorker)
{
    story("a worker is lost while it stops the tasks of a job that was cancelled under another owner", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        fillLooms(site, 2);
        site.submit(site.owner(), "l", "plans", serviceJob(4, 1), "dyers");
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
        section("its team can use its whole ceiling again", [&] {
            site.run(Duration(12'000));
            site.submit(site.owner(), "j", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(600));
            EXPECT_EQ(site.state("j"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, DoNotExceedTheirCeiling)
{
    story("a team requests four times its ceiling", [] {
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

TEST(CellGangs, StartAllTasksOrNone)
{
    story("a gang of six tasks on workers with capacity for four", [] {
        CellSite site;
        fillLooms(site, 2);
        site.setTargetDuration("plans", Duration(60'000));
        site.durations[JobId("j1")] = 3'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 12, 1'000, Duration(3'000)));
        site.run(Duration(500));
        GraphSpec gang = graphOf(1, 6, 1'000, Duration(300));
        gang.steps[0].gang = true;
        site.submit(site.owner(), "g", "plans", gang);
        section("no task starts while there is not enough capacity for all", [&] {
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("g"), 0);
        });
        section("all tasks start when there is enough capacity", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("g"), 6);
            EXPECT_EQ(site.state("g"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
    story("a worker that runs a member of a gang crashes", [] {
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

TEST(CellGangs, AreDoneWhenOneEndIsReadAfterAnotherWorkerHasRestarted)
{
    story("a gang is done while its workers are cut off", [] {
        CellSite site;
        fillLooms(site, 2);
        GraphSpec gang = graphOf(1, 2, 5'000, Duration(1'000));
        gang.steps[0].gang = true;
        site.durations[JobId("g")] = 1'000;
        site.submit(site.owner(), "g", "plans", gang);
        site.run(Duration(900));
        ASSERT_EQ(site.runningOn("w0"), 1);
        ASSERT_EQ(site.runningOn("w1"), 1);
        site.worker("w0").cut = true;
        site.worker("w1").cut = true;
        site.run(Duration(300));
        section("one of them restarts before its end is read", [&] {
            site.crash("w1");
            site.revive("w1");
            site.run(Duration(2'000));
            EXPECT_EQ(site.state("g"), GraphState::Running);
        });
        section("the end on the other one stands for both members", [&] {
            site.worker("w0").cut = false;
            site.run(Duration(15'000));
            EXPECT_EQ(site.state("g"), GraphState::Completed);
            EXPECT_EQ(site.runs("g"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellGangs, DoNotHoldUpOtherTasksWhileTheyDoNotFit)
{
    story("a gang that is larger than the pool, and a job that was submitted later", [] {
        CellSite site;
        site.addQueue("urgent", "looms");
        fillLooms(site, 1);
        site.setPriority("plans", 1);
        GraphSpec gang = graphOf(1, 12, 1'000, Duration(300));
        gang.steps[0].gang = true;
        site.submit(site.owner(), "g", "urgent", gang);
        site.run(Duration(200));
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        section("the later job does not wait for the gang", [&] {
            site.run(Duration(2'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("g"), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellAdmission, StartsTasksOnlyOnAdmittedWorkers)
{
    story("a queue for whose steps the admission service admits one of four workers", [] {
        CellSite site;
        site.addQueue("checked", "looms");
        site.setAdmission("checked");
        fillLooms(site, 4);
        site.admitted = {"w2"};
        site.submit(site.owner(), "j1", "checked", graphOf(2, 4, 1'000, Duration(300)));
        section("its tasks run on the admitted worker", [&] {
            site.run(Duration(400));
            EXPECT_EQ(site.runningOn("w2"), 4);
        });
        section("no task runs on the other workers", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1") + site.runningOn("w3"), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellAdmission, FindsAdmittedWorkersInAPoolLargerThanOneQuery)
{
    story("a pool of 40 workers, most of which the admission service does not admit", [] {
        CellSite site;
        site.addQueue("checked", "looms");
        site.setAdmission("checked");
        fillLooms(site, 40);
        section("a task runs on the only admitted worker, the last in the pool", [&] {
            site.admitted = {"w9"};
            site.submit(site.owner(), "j1", "checked", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        section("a step runs on the other admitted worker when the first one is full", [&] {
            site.admitted = {"w0", "w9"};
            site.durations[JobId("j2")] = 30'000;
            site.submit(site.owner(), "j2", "checked", graphOf(1, 12, 1'000, Duration(30'000)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.runningOn("w0"), 8);
            EXPECT_EQ(site.runningOn("w9"), 4);
        });
        section("a gang runs on both", [&] {
            site.admitted = {"w1", "w8"};
            GraphSpec gang = graphOf(1, 12, 1'000, Duration(300));
            gang.steps[0].gang = true;
            site.submit(site.owner(), "g", "checked", gang);
            site.run(Duration(3'000));
            EXPECT_EQ(site.state("g"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

// Guards against tickets that have expired whenever they come, since several calls wait for each other.
TEST(CellAdmission, ServesOneStepAfterTheOtherInABurst)
{
    struct Figures
    {
        AdmissionTimes times;
        std::size_t workers = 0;
        int jobs = 0;
    };
    const std::vector<Figures> cases{
        {{Duration(500), Duration(50), Duration(3'000)}, 12, 12},
        {{Duration(500), Duration(100), Duration(3'000)}, 30, 12},
        {{Duration(800), Duration(20), Duration(1'500)}, 12, 12},
        {{Duration(100), Duration(100), Duration(1'000)}, 40, 20},
        {{Duration(1'000), Duration(10), Duration(900)}, 12, 8},
        {{Duration(50), Duration(5), Duration(200)}, 12, 12},
        {{Duration(2'000), Duration(0), Duration(10'000)}, 30, 6},
    };
    for (const Figures &figures : cases) {
        story("a decision takes " + std::to_string(figures.times.decision.count()) + " ms and "
                  + std::to_string(figures.times.perWorker.count()) + " ms for each worker, and tickets are valid for "
                  + std::to_string(figures.times.validity.count()) + " ms",
              [&] {
                  CellSite site;
                  site.addQueue("checked", "looms");
                  site.setAdmission("checked", figures.times);
                  fillLooms(site, figures.workers);
                  for (std::size_t index = 0; index < figures.workers; ++index) {
                      if (index % 4 != 0) {
                          site.admitted.insert("w" + std::to_string(index));
                      }
                  }
                  site.run(Duration(1'000));
                  for (int job = 0; job < figures.jobs; ++job) {
                      site.submit(site.owner(), "j" + std::to_string(job), "checked",
                                  graphOf(1, 2, 1'000, Duration(300)));
                      site.run(Duration(540));
                  }
                  section("all accepted jobs are completed within the time of their calls", [&] {
                      site.run(Duration(30'000));
                      for (int job = 0; job < figures.jobs; ++job) {
                          const std::string name = "j" + std::to_string(job);
                          if (site.answers(name) == std::vector{CallAnswer::Accepted}) {
                              EXPECT_EQ(site.state(name), GraphState::Completed) << name;
                          }
                      }
                  });
                  expectNothingBroken(site);
              });
    }
}

TEST(CellAdmission, UsesTicketsWhoseValidityBeginsBeforeTheAnswer)
{
    story("the validity of a ticket begins when the service starts to decide", [] {
        CellSite site;
        site.areTicketsValidFromCall = true;
        site.addQueue("checked", "looms");
        site.setAdmission("checked", {Duration(500), Duration(100), Duration(3'000)});
        fillLooms(site, 30);
        site.admitted = {"w1", "w11", "w21", "w28", "w29"};
        for (int job = 0; job < 6; ++job) {
            site.submit(site.owner(), "j" + std::to_string(job), "checked", graphOf(2, 3, 1'000, Duration(300)));
        }
        section("all jobs are completed, and no worker rejects a ticket", [&] {
            site.run(Duration(40'000));
            for (int job = 0; job < 6; ++job) {
                EXPECT_EQ(site.state("j" + std::to_string(job)), GraphState::Completed) << job;
            }
            EXPECT_EQ(site.rejectedTickets, 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellAdmission, GetsTheTicketsOfAGangTogether)
{
    story("a gang needs six workers, and one call takes most of the time for which tickets are valid", [] {
        CellSite site;
        site.areTicketsValidFromCall = true;
        site.addQueue("checked", "looms");
        site.setAdmission("checked", {Duration(500), Duration(200), Duration(3'000)});
        fillLooms(site, 16);
        for (int index = 0; index < 16; index += 2) {
            site.admitted.insert("w" + std::to_string(index));
        }
        GraphSpec gang = graphOf(1, 6, 5'000, Duration(300));
        gang.steps[0].gang = true;
        site.submit(site.owner(), "g", "checked", gang);
        section("the last call names workers that are known to be admitted only", [&] {
            site.run(Duration(20'000));
            EXPECT_EQ(site.state("g"), GraphState::Completed);
            EXPECT_EQ(site.rejectedTickets, 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellRepeats, StartAtTheirDueTime)
{
    story("a job of three occurrences at intervals of 1 s, the first due in 1 s", [] {
        CellSite site;
        fillLooms(site);
        GraphSpec spec = graphOf(1, 2, 1'000, Duration(300));
        spec.repeats = 3;
        spec.firstDue = site.wall() + Duration(1'000);
        spec.period = Duration(1'000);
        site.submit(site.owner(), "j1", "plans", spec);
        section("nothing runs before the first due time", [&] {
            site.run(Duration(900));
            EXPECT_EQ(site.runs("j1"), 0);
        });
        section("the first occurrence runs at its due time", [&] {
            site.run(Duration(700));
            EXPECT_EQ(site.runs("j1"), 2);
            EXPECT_EQ(site.state("j1"), GraphState::Running);
        });
        section("the job completes with the last occurrence", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("j1"), 6);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellBestEffort, TasksYieldToServiceTasks)
{
    story("best-effort tasks on the worker of a service task whose tail latency nears its target", [] {
        CellSite site;
        fillLooms(site, 1);
        GraphSpec service = serviceJob(1, 1);
        service.steps[0].tailLatencyTarget = Duration(100);
        GraphSpec bestEffort = graphOf(1, 2, 6'000, Duration(20'000));
        bestEffort.steps[0].bestEffort = true;
        site.durations[JobId("f")] = 20'000;
        site.submit(site.owner(), "f", "plans", bestEffort);
        site.run(Duration(500));
        EXPECT_EQ(site.runningOn("w0"), 2);
        site.submit(site.owner(), "l", "plans", service);
        section("the service task is placed in spite of the best-effort tasks", [&] {
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("l"), 1);
        });
        section("best-effort tasks are stopped when the tail latency rises", [&] {
            site.worker("w0").load = 90;
            site.run(Duration(2'000));
            EXPECT_EQ(site.runningOn("w0"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellPlanning, KeepsWorkersBusyWithALongBacklog)
{
    story("a backlog of 600 jobs on one worker, which runs eight tasks of 300 ms at a time", [] {
        CellSite site;
        fillLooms(site, 1);
        site.setTargetDuration("plans", Duration(60'000));
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
