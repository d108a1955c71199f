#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

// Workers that restart under their ids, and what their owners take for the end of their leases.

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// Restarts the only worker after it has run for @p age, and lets it accept an order for its former incarnation within
/// @p answerTime.
void startOnUnknownIncarnation(CellSite &site, Duration age, Duration answerTime)
{
    fillLooms(site, 1);
    site.run(age);
    site.durations[JobId("j1")] = 20'000;
    site.crash("w0");
    site.revive("w0");
    site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(20'000)));
    site.run(answerTime);
    ASSERT_EQ(site.runs("j1"), 1);
}

} // namespace

TEST(CellWorkers, ThatHaveRestartedMayRunOrdersForTheirFormerIncarnation)
{
    story("a worker restarts under the same id, and gets a start order before discovery lists the new incarnation", [] {
        CellSite site;
        fillLooms(site, 1);
        site.run(Duration(1'010));
        section("the order arrives: the task does not start again", [&] {
            site.durations[JobId("j1")] = 2'000;
            site.crash("w0");
            site.revive("w0");
            site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(2'000)));
            site.run(Duration(30));
            site.addWorker("w1", "looms", 8'000);
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("j1"), 1);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        section("the order is lost: the task starts when the worker has accepted a stop of the lost run", [&] {
            site.worker("w1").listed = false;
            site.crash("w1");
            site.run(Duration(12'000));
            site.crash("w0");
            site.submit(site.owner(), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(30));
            site.revive("w0");
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("j2"), 1);
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, ThatHaveRestartedRefuseAWithdrawnStart)
{
    story("a start is held up and withdrawn, and its task is done before the worker restarts", [] {
        for (int delay = 3'600; delay <= 6'000; delay += 200) {
            CellSite site;
            fillLooms(site, 1);
            site.run(Duration(4'000));
            site.loseNextStart = delay;
            site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(3'000));
            ASSERT_EQ(site.state("j1"), GraphState::Completed);
            site.crash("w0");
            site.revive("w0");
            section("the start arrives after the new incarnation has answered the owner", [&] {
                site.run(Duration(6'000));
                EXPECT_EQ(site.runs("j1"), 1) << delay;
            });
            expectNothingBroken(site);
        }
    });
}

// Guards against a start that was given up and that the next incarnation of its worker runs beside its successor.
TEST(CellWorkers, ThatHaveRestartedDoNotRunAWithdrawnStartBesideItsSuccessor)
{
    static constexpr std::int64_t crashAfter = 3'000;
    for (int delay = 4'050; delay <= 6'000; delay += 50) {
        story("a start that is carried out " + std::to_string(delay) + " ms late meets the next incarnation", [delay] {
            CellSite site;
            submitWithLateStart(site, delay);
            site.run(Duration(crashAfter));
            EXPECT_EQ(site.runs("j1"), 1);
            restartUnlisted(site);
            site.run(Duration(40'000));
            section("the job is completed", [&] { EXPECT_EQ(site.state("j1"), GraphState::Completed); });
            expectNothingBroken(site);
        });
    }
}

// Guards against a start of an earlier owner that the next incarnation of its worker runs beside the present run.
TEST(CellWorkers, ThatHaveRestartedDoNotRunALateStartOfAnEarlierOwner)
{
    struct Takeover
    {
        std::string name;
        int age = 0;
        int changes = 1;
        void (CellSite::*end)(const std::string &) = nullptr;
    };
    const std::vector<Takeover> takeovers{
        {"the owner stops when the start is 70 ms old", 70, 1, &CellSite::stop},
        {"the owner is killed when the start is 150 ms old", 150, 1, &CellSite::kill},
        {"two owners stop one after the other", 70, 2, &CellSite::stop},
    };
    for (const Takeover &takeover : takeovers) {
        for (int delay = 4'050; delay <= 6'000; delay += 50) {
            story(takeover.name + ", and the start is carried out " + std::to_string(delay) + " ms late", [&] {
                CellSite site;
                submitWithLateStart(site, delay);
                const std::int64_t sentAt = site.time();
                site.run(Duration(takeover.age));
                for (int change = 0; change < takeover.changes; ++change) {
                    const std::string owner = site.owner();
                    changeOwner(site, takeover.end);
                    site.run(Duration(200));
                    site.kill(owner);
                    site.restart(owner);
                }
                site.run(Duration(sentAt + 3'000 - site.time()));
                restartUnlisted(site);
                site.run(Duration(40'000));
                section("the job is completed", [&] { EXPECT_EQ(site.state("j1"), GraphState::Completed); });
                expectNothingBroken(site);
            });
        }
    }
}

TEST(CellWorkers, ThatHaveRestartedMayHoldALongerLeaseThanTheirOwnerHasGranted)
{
    story("a worker restarts while a lease renewal for its former incarnation is held up, and is then cut off", [] {
        for (int delay = 210; delay <= 2'500; delay += 10) {
            CellSite site;
            fillLooms(site, 1);
            site.durations[JobId("j1")] = 20'000;
            site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(20'000)));
            site.run(Duration(12'000));
            site.loseNextRenewal = delay;
            while (site.loseNextRenewal) {
                site.run(Duration(10));
            }
            site.run(Duration(200));
            site.crash("w0");
            site.revive("w0");
            site.run(Duration(2'500));
            ASSERT_EQ(site.runningOn("w0"), 1) << delay;
            site.worker("w0").cut = true;
            site.addWorker("w1", "looms", 8'000);
            section("the task does not start elsewhere while the worker may run it", [&] {
                site.run(Duration(15'000));
                EXPECT_EQ(site.runningOn("w1"), 1) << delay;
            });
            expectNothingBroken(site);
        }
    });
}

TEST(CellWorkers, KeepTheEndsOfANewIncarnationUntilTheyAreRead)
{
    story("a worker restarts after its ends were acknowledged, and ends a run before the owner knows", [] {
        CellSite site;
        fillLooms(site, 1);
        site.submit(site.owner(), "j0", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(3'010));
        ASSERT_EQ(site.state("j0"), GraphState::Completed);
        site.durations[JobId("j1")] = 1;
        site.crash("w0");
        site.revive("w0");
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        section("the end has the number of one that the owner has acknowledged, and still counts", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.runs("j1"), 1);
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellWorkers, KeepARunThatAnUnknownIncarnationHasAccepted)
{
    story("a worker restarts, accepts an order for its former incarnation and is cut off before the owner knows", [] {
        CellSite site;
        startOnUnknownIncarnation(site, Duration(1'010), Duration(21));
        site.worker("w0").cut = true;
        site.worker("w0").listed = false;
        site.addWorker("w1", "looms", 8'000);
        section("the task starts elsewhere only after the lease has expired on the new clock", [&] {
            site.run(Duration(12'000));
            EXPECT_EQ(site.runningOn("w1"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WaitsForARecordedWorkerThatHasRestarted)
{
    story("a worker restarts and runs an order for its former incarnation, and the owner crashes", [] {
        CellSite site;
        startOnUnknownIncarnation(site, Duration(1'010), Duration(30));
        site.addWorker("w1", "looms", 8'000);
        site.kill(site.owner());
        site.worker("w0").cut = true;
        section("the next owner starts the task elsewhere only after the lease has expired", [&] {
            site.run(Duration(14'000));
            EXPECT_EQ(site.runningOn("w1"), 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, WaitsForTheLongestLeaseOfARecordedWorkerThatHasRestarted)
{
    story("a worker that has run for long restarts and runs an order with a deadline on its former clock", [] {
        CellSite site;
        startOnUnknownIncarnation(site, Duration(30'010), Duration(30));
        site.addWorker("w1", "looms", 8'000);
        site.kill(site.owner());
        site.worker("w0").cut = true;
        section("the next owner starts the task elsewhere only after the lease has expired", [&] {
            site.run(Duration(20'000));
            EXPECT_EQ(site.runningOn("w1"), 1);
        });
        expectNothingBroken(site);
    });
}

// Guards against a lease that outlasts the wait of the next owner, since the clock of an idle worker was overestimated.
TEST(CellOwner, GrantsNoLongerLeaseToAWorkerWhoseClockItHasNotReadForLong)
{
    for (const int idle : {92'000, 400'000}) {
        story("a task starts on a worker that was idle for " + std::to_string(idle) + " ms, and the owner crashes",
              [=] {
                  CellSite site;
                  fillLooms(site, 1);
                  site.run(Duration(idle));
                  submitLongJob(site, "j1", 1);
                  site.addWorker("w1", "looms", 8'000);
                  site.run(Duration(100));
                  const std::string owner = site.owner();
                  site.kill(owner);
                  site.restart(owner);
                  site.worker("w0").cut = true;
                  section("the next owner starts the task elsewhere only after the lease has expired", [&] {
                      site.run(Duration(14'000));
                      EXPECT_EQ(site.runningOn("w1"), 1);
                  });
                  expectNothingBroken(site);
              });
    }
}

TEST(CellWorkers, WithFastClocksStartTasksAfterALongIdleTime)
{
    story("the lowest estimate of an idle worker's clock is further behind than a lease lasts", [] {
        CellSite site;
        fillLooms(site, 1);
        site.worker("w0").clockRate = 1;
        site.run(Duration(600'000));
        section("the worker refuses the first start as late, and its answer corrects the estimate", [&] {
            submitLongJob(site, "j1", 1);
            EXPECT_EQ(site.runningOn("w0"), 1);
        });
        expectNothingBroken(site);
    });
}

// Guards against a run on a worker that has restarted under its id, whose lease outlasts what its owners take for the
// longest one: the deadline of the order refers to the former clock.
TEST(CellOwner, WaitsForTheLongestLeaseOfASilentWorker)
{
    struct Silence
    {
        std::string name;
        /// Time from the run's start until the worker is silent.
        int after = 0;
        bool isListed = true;
        bool isAnswered = true;
        void (CellSite::*end)(const std::string &) = nullptr;
    };
    const std::vector<Silence> silences{
        {"the owner has learned of the restart and is killed", 1'000, true, true, &CellSite::kill},
        {"the owner has learned of the restart and is killed, and discovery loses the worker", 1'000, false, true,
         &CellSite::kill},
        {"the owner is killed before it learns of the restart", 12, false, true, &CellSite::kill},
        {"the owner stops before it learns of the restart", 12, false, true, &CellSite::stop},
        {"the owner stops, and has no answer to the start", 12, false, false, &CellSite::stop},
        {"the owner stays, and has no answer to the start", 12, false, false, nullptr},
    };
    for (const Silence &silence : silences) {
        story("a worker that has run for long restarts and carries out a start, and " + silence.name, [&] {
            CellSite site;
            fillLooms(site, 1);
            site.run(Duration(30'010));
            site.durations[JobId("j1")] = 40'000;
            site.crash("w0");
            site.revive("w0");
            site.worker("w0").listed = silence.isListed || silence.after > 100;
            if (!silence.isAnswered) {
                site.loseNextStart = 2;
            }
            site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(40'000)));
            for (int waited = 0; waited < 500 && site.runs("j1") == 0; ++waited) {
                site.run(Duration(1));
            }
            site.run(Duration(silence.after));
            ASSERT_EQ(site.runningOn("w0"), 1);
            site.addWorker("w1", "looms", 8'000);
            site.worker("w0").cut = true;
            site.worker("w0").listed = silence.isListed;
            if (silence.end != nullptr) {
                changeOwner(site, silence.end);
            }
            section("the task starts elsewhere only after the lease has expired", [&] {
                site.run(Duration(20'000));
                EXPECT_EQ(site.runningOn("w1"), 1);
            });
            expectNothingBroken(site);
        });
    }
}

TEST(CellOwner, RestartsServiceTasksAfterTheLeaseThatOwnersGrant)
{
    const auto awayFor = [](bool hasRestarted) {
        CellSite site;
        fillLooms(site, 1);
        site.run(Duration(30'010));
        if (hasRestarted) {
            site.crash("w0");
            site.revive("w0");
        }
        site.submit(site.owner(), "svc", "plans", serviceJob(1, 1));
        site.run(Duration(1'000));
        EXPECT_EQ(site.runningOn("w0"), 1);
        site.addWorker("w1", "looms", 8'000);
        site.worker("w0").cut = true;
        const std::int64_t cutAt = site.time();
        changeOwner(site, &CellSite::kill);
        while (site.runningOn("w1") == 0 && site.time() < cutAt + 20'000) {
            site.run(Duration(20));
        }
        expectNothingBroken(site);
        return site.time() - cutAt;
    };
    story("a worker runs a service task and is cut off, and its owner is killed", [&] {
        section("the next owner restarts the task within 2.25 s and the lease that owners grant",
                [&] { EXPECT_LT(awayFor(false), 9'000); });
        section("it waits for the longest lease if the worker has restarted before",
                [&] { EXPECT_GE(awayFor(true), 10'200); });
    });
}

TEST(CellOwner, WaitsForTheLongestLeaseOfAWorkerThatItHasCalled)
{
    story("a worker restarts and carries out a start, the owner is killed, and the next one adopts the run", [] {
        CellSite site;
        fillLooms(site, 1);
        site.run(Duration(30'010));
        site.durations[JobId("j1")] = 40'000;
        site.crash("w0");
        site.revive("w0");
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(40'000)));
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 1);
        const std::string owner = site.owner();
        site.kill(owner);
        site.restart(owner);
        while (site.owner().empty()) {
            site.run(Duration(5));
        }
        site.run(Duration(60));
        site.worker("w0").cut = true;
        site.addWorker("w1", "looms", 8'000);
        section("the task starts elsewhere only after the lease has expired", [&] {
            site.run(Duration(20'000));
            EXPECT_EQ(site.runningOn("w1"), 1);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
