#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <algorithm>

// Starts of an owner that ends right after it has sent them.

namespace radishvane::tests
{

using namespace cells;

namespace
{

GraphSpec gangOf(std::uint32_t count)
{
    GraphSpec spec = graphOf(1, count, 1'000, Duration(8'000));
    spec.steps.front().gang = true;
    return spec;
}

/// Kills the owner, which comes back under another incarnation, @p age after it has sent the start.
void killOwnerAfterStart(CellSite &site, int age)
{
    site.run(Duration(age));
    const std::string owner = site.owner();
    changeOwner(site, &CellSite::kill);
    site.restart(owner);
}

} // namespace

// Guards against a start that no later owner knows of, and that a restarted worker runs beside its successor.
TEST(CellWorkers, ThatHaveRestartedDoNotRunAStartOfAnOwnerThatIsKilledAtOnce)
{
    struct Work
    {
        std::string name;
        GraphSpec spec;
    };
    const std::vector<Work> works{
        {"a task", graphOf(1, 1, 1'000, Duration(8'000))},
        {"a gang", gangOf(2)},
        {"a service task", serviceJob(1, 1)},
    };
    for (const Work &work : works) {
        for (const int age : {1, 15, 50}) {
            for (int delay = 4'050; delay <= 6'000; delay += 150) {
                story(work.name + " starts " + std::to_string(delay) + " ms late, and its owner is killed after "
                          + std::to_string(age) + " ms",
                      [&] {
                          CellSite site;
                          submitWithLateStart(site, delay, work.spec);
                          const std::int64_t sentAt = site.time();
                          killOwnerAfterStart(site, age);
                          site.run(Duration(sentAt + 3'000 - site.time()));
                          restartUnlisted(site);
                          site.run(Duration(40'000));
                          section("no two runs of a task are active at the same time",
                                  [&] { expectNothingBroken(site); });
                      });
            }
        }
    }
}

// Guards against a service task that starts elsewhere while a restarted worker holds the longest lease for it.
TEST(CellOwner, WaitsForTheLongestLeaseOfAServiceTaskThatARestartedWorkerHasJustGot)
{
    for (const int age : {3, 4, 5, 8, 12, 20}) {
        story("a worker that has run for long restarts and gets a service task, and the owner is killed after "
                  + std::to_string(age) + " ms",
              [&] {
                  CellSite site;
                  fillLooms(site, 1);
                  site.run(Duration(30'010));
                  site.crash("w0");
                  site.revive("w0");
                  site.worker("w0").listed = false;
                  site.submit(site.owner(), "svc", "plans", serviceJob(1, 1));
                  for (int waited = 0; waited < 500 && site.runs("svc") == 0; ++waited) {
                      site.run(Duration(1));
                  }
                  ASSERT_EQ(site.runningOn("w0"), 1);
                  site.run(Duration(age - 3));
                  site.addWorker("w1", "looms", 8'000);
                  site.worker("w0").cut = true;
                  changeOwner(site, &CellSite::kill);
                  section("the task starts elsewhere only after the lease has expired", [&] {
                      site.run(Duration(20'000));
                      EXPECT_EQ(site.runningOn("w1"), 1);
                  });
                  expectNothingBroken(site);
              });
    }
}

// Guards against a late start of the former owner that a restarted worker runs beside the third start of the task.
TEST(CellOwner, WaitsForALateStartOfTheFormerOwnerThatItHasRepeated)
{
    for (const int delay : {4'500, 5'500, 7'000}) {
        story("a start is " + std::to_string(delay) + " ms late, its owner is killed, and the next one repeats it",
              [&] {
                  CellSite site;
                  submitWithLateStart(site, delay);
                  site.durations[JobId("j1")] = 20'000;
                  const std::int64_t sentAt = site.time();
                  killOwnerAfterStart(site, 15);
                  section("the worker restarts and carries out the first order", [&] {
                      site.run(Duration(sentAt + delay - 900 - site.time()));
                      ASSERT_EQ(site.runningOn("w0"), 1);
                      site.crash("w0");
                      site.run(Duration(300));
                      site.revive("w0");
                      site.worker("w0").listed = false;
                      site.run(Duration(610));
                      ASSERT_EQ(site.runningOn("w0"), 1);
                  });
                  site.worker("w0").cut = true;
                  site.worker("w0").listed = true;
                  section("the task starts elsewhere when the lease has expired", [&] {
                      site.run(Duration(25'000));
                      EXPECT_EQ(site.runs("j1"), 3);
                  });
                  expectNothingBroken(site);
              });
    }
}

TEST(CellOwner, StartsInheritedTasksThatNoSilentWorkerMayRunAtOnce)
{
    const auto startedOn = [](bool omitsStarts) {
        CellSite site;
        site.omitsStarts = omitsStarts;
        fillLooms(site, 2);
        site.worker("w1").entry.labels = {"other"};
        site.run(Duration(400));
        submitLongJob(site, "j1", 1);
        EXPECT_EQ(site.runningOn("w0"), 1);
        GraphSpec waiting = graphOf(1, 1, 1'000, Duration(300));
        waiting.steps.front().label = "new";
        site.durations[JobId("j2")] = 20'000;
        site.submit(site.owner(), "j2", "plans", waiting);
        site.run(Duration(400));
        site.worker("w0").cut = true;
        changeOwner(site, &CellSite::kill);
        site.omitsStarts = false;
        site.addWorker("w2", "looms", 8'000).entry.labels = {"new"};
        site.run(Duration(1'000));
        const std::size_t runs = site.runs("j2");
        runPastLongestLease(site);
        EXPECT_EQ(site.runs("j2"), 1);
        expectNothingBroken(site);
        return runs;
    };
    story("a worker is silent after a change of ownership, and a task of another job has never started", [&] {
        section("the task starts at once, since the store names each start", [&] { EXPECT_EQ(startedOn(false), 1); });
        section("it waits for the worker if the last owner was of a version that stores no starts",
                [&] { EXPECT_EQ(startedOn(true), 0); });
    });
}

TEST(CellOwner, DoesNotSendAStartThatTheStoreDoesNotTake)
{
    story("the owner loses the store after it has accepted a job", [] {
        CellSite site;
        fillLooms(site, 1);
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(5));
        site.loseNextWrite = true;
        section("no worker gets the start while the write has no answer", [&] {
            site.run(Duration(1'000));
            EXPECT_EQ(site.runs("j1"), 0);
        });
        section("it is sent when another write has settled the first", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("j1"), 1);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
    story("a job is cancelled while its start is being stored", [] {
        CellSite site;
        fillLooms(site, 1);
        site.storeDelay = 200;
        const std::string owner = site.owner();
        site.submit(owner, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(300));
        site.cancel(owner, "j1");
        section("the start is withdrawn, and no worker gets it", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("j1"), 0);
            EXPECT_EQ(site.state("j1"), GraphState::Cancelled);
        });
        expectNothingBroken(site);
    });
    for (const bool isStopped : {true, false}) {
        story(std::string("the owner ") + (isStopped ? "stops" : "is killed") + " while starts are being stored", [=] {
            CellSite site;
            fillLooms(site, 1);
            site.storeDelay = 200;
            site.submit(site.owner(), "j1", "plans", graphOf(1, 3, 1'000, Duration(300)));
            site.run(Duration(300));
            const std::string first = site.owner();
            changeOwner(site, isStopped ? &CellSite::stop : &CellSite::kill);
            EXPECT_EQ(site.runs("j1"), 0);
            section("the next owner starts each task once", [&] {
                site.run(Duration(6'000));
                EXPECT_EQ(site.runs("j1"), 3);
                EXPECT_EQ(site.state("j1"), GraphState::Completed);
            });
            expectNothingBroken(site);
        });
    }
    story("the worker restarts while the start is being stored", [] {
        CellSite site;
        fillLooms(site, 1);
        site.storeDelay = 200;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(300));
        site.crash("w0");
        site.revive("w0");
        section("the new incarnation gets a start of its own", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("j1"), 1);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, LogsWhatTasksOfASilentWorkerWaitFor)
{
    story("a worker is cut off, and its owner is killed", [] {
        CellSite site;
        fillLooms(site, 1);
        submitLongJob(site, "j1", 1);
        site.addWorker("w1", "looms", 8'000);
        site.worker("w0").cut = true;
        changeOwner(site, &CellSite::kill);
        site.log.clear();
        runPastLongestLease(site);
        const auto entryOf = [&](CellDecision decision, const std::string &subject) {
            const auto found = std::find_if(site.log.begin(), site.log.end(), [&](const DecisionLogEntry &entry) {
                return entry.decision == decision && entry.subject == subject;
            });
            return found == site.log.end() ? DecisionLogEntry{} : *found;
        };
        section("the next owner logs how long it waits for the worker, by which bound", [&] {
            const DecisionLogEntry entry = entryOf(CellDecision::WorkerAwaited, "w0");
            EXPECT_EQ(entry.reason, "silent");
            const auto *silent = std::get_if<SilentWorkerRecord>(&entry.detail);
            ASSERT_NE(silent, nullptr);
            EXPECT_GT(silent->wait, Duration(8'000));
            EXPECT_GT(silent->usualWait, Duration(3'000));
            EXPECT_LT(silent->usualWait, silent->wait);
        });
        section("the start of the task says what made it safe",
                [&] { EXPECT_EQ(entryOf(CellDecision::TaskStarted, "j1.0.0.0").reason, "recorded-worker-settled"); });
        expectNothingBroken(site);
    });
}

// Guards against a withdrawn start of an earlier owner that a silent worker's new incarnation runs beside a successor.
TEST(CellOwner, WaitsForASilentWorkerThatMayRunAWithdrawnStart)
{
    for (int delay = 5'000; delay <= 6'200; delay += 200) {
        story("a start is withdrawn, its owner is killed, and the restarted worker gets it after "
                  + std::to_string(delay) + " ms",
              [&] {
                  CellSite site;
                  fillLooms(site, 1);
                  site.run(Duration(4'000));
                  site.durations[JobId("j1")] = 3'000;
                  site.loseNextStart = delay;
                  site.submit(site.owner(), "j1", "plans", graphOf(1, 2, 1'000, Duration(3'000)));
                  while (site.loseNextStart) {
                      site.run(Duration(1));
                  }
                  const std::int64_t sentAt = site.time();
                  site.run(Duration(100));
                  // The other task of the job runs, and the worker accepts no more.
                  ASSERT_EQ(site.runningOn("w0"), 1);
                  site.worker("w0").entry.state = WorkerState::Draining;
                  site.durations[JobId("j1")] = 20'000;
                  site.run(Duration(sentAt + 4'000 - site.time()));
                  ASSERT_EQ(site.runs("j1"), 1);
                  ASSERT_EQ(site.runningOn("w0"), 0);
                  site.kill(site.owner());
                  site.crash("w0");
                  site.run(Duration(500));
                  site.revive("w0");
                  site.worker("w0").listed = false;
                  site.run(Duration(sentAt + delay + 10 - site.time()));
                  section("the new incarnation runs the start, and is cut off",
                          [&] { EXPECT_EQ(site.runningOn("w0"), 1); });
                  site.worker("w0").cut = true;
                  site.addWorker("w1", "looms", 8'000);
                  site.run(Duration(30'000));
                  section("no two runs of a task are active at the same time", [&] { expectNothingBroken(site); });
              });
    }
}

// Guards against a gang of which a part is sent although one member can no longer be started.
TEST(CellOwner, SendsNoMemberOfAGangOfWhichAnotherCannotStart)
{
    for (int waveAt = 0; waveAt < 1'200; waveAt += 100) {
        story("a gang is submitted, and the host of one member gets its maintenance " + std::to_string(waveAt)
                  + " ms later",
              [&] {
                  CellSite site;
                  fillLooms(site, 2);
                  site.run(Duration(1'000));
                  site.storeDelay = 500;
                  GraphSpec gang = graphOf(1, 2, 5'000, Duration(300));
                  gang.steps.front().gang = true;
                  site.submit(site.owner(), "j1", "plans", gang);
                  site.run(Duration(waveAt));
                  site.addWave(1, {"w1"}, 1);
                  site.run(Duration(1'500));
                  section("all members start, or none", [&] { EXPECT_NE(site.runs("j1"), 1); });
                  expectNothingBroken(site);
              });
    }
}

// Guards against a service task that waits for the longest lease, since its adopted run is never confirmed.
TEST(CellOwner, RestartsAnAdoptedServiceTaskAfterTheUsualLease)
{
    const auto awayFor = [](bool isUpgraded, int age) {
        CellSite site;
        site.omitsStarts = isUpgraded;
        fillLooms(site, 2);
        GraphSpec spec = serviceJob(2, 1);
        spec.steps.front().maxPerWorker = 1;
        site.submit(site.owner(), "svc", "plans", spec);
        site.run(Duration(3'000));
        EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1"), 2);
        const std::string first = site.owner();
        changeOwner(site, &CellSite::kill);
        site.restart(first);
        site.omitsStarts = false;
        site.run(Duration(age));
        // The other task starts again, which stores the progress of the job.
        site.crash("w1");
        site.revive("w1");
        site.run(Duration(age));
        EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1"), 2);
        site.addWorker("w2", "looms", 8'000);
        site.run(Duration(1'000));
        site.worker("w0").cut = true;
        const std::int64_t cutAt = site.time();
        changeOwner(site, &CellSite::kill);
        const std::size_t before = site.runningOn("w2");
        for (int waited = 0; waited < 20'000 && site.runningOn("w2") == before; waited += 10) {
            site.run(Duration(10));
        }
        expectNothingBroken(site);
        return site.time() - cutAt;
    };
    story("a service task is adopted from an owner, and its worker is cut off 30 s later", [&] {
        const std::int64_t usual = awayFor(false, 15'000);
        section("it is away for as long if the first owner recorded no starts",
                [&] { EXPECT_NEAR(awayFor(true, 15'000), usual, 500); });
    });
}

// Guards against tickets that expire each time while the start that needs them is being stored.
TEST(CellOwner, StartsTasksWhoseTicketsAreShorterThanAWriteOfTheStore)
{
    for (const int validity : {3'000, 1'000, 500, 300}) {
        for (const int storeDelay : {6, 150, 300, 450}) {
            story("tickets are valid for " + std::to_string(validity) + " ms, and a write takes "
                      + std::to_string(storeDelay) + " ms",
                  [&] {
                      CellSite site;
                      fillLooms(site, 2);
                      site.setAdmission("plans", AdmissionTimes{Duration(20), Duration(2), Duration(validity)});
                      site.admitted = {"w0", "w1"};
                      site.run(Duration(1'000));
                      site.storeDelay = storeDelay;
                      site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
                      site.run(Duration(10'000));
                      section("the job is completed", [&] { EXPECT_EQ(site.state("j1"), GraphState::Completed); });
                      expectNothingBroken(site);
                  });
        }
    }
}

} // namespace radishvane::tests
