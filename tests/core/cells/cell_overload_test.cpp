#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

/// A pool with far more room than its owner can start tasks, and two entry hosts with calls that queue in their links.
void fillLargeSite(CellSite &site, HostCapacity capacity)
{
    site.addQueue("plans", "looms");
    for (int index = 0; index < 60; ++index) {
        site.addWorker("w" + std::to_string(index), "looms", 64'000);
    }
    site.addNode("a", capacity).queuesInLink = true;
    site.addNode("b", capacity).queuesInLink = true;
    site.run(Duration(4'000));
}

constexpr Duration jobEstimate{2'000};
/// Queues of the model have a stretch of 2.
constexpr Duration jobObjective = 2 * jobEstimate;

GraphSpec largeJob()
{
    GraphSpec spec = graphOf(1, 16, 1'000, jobEstimate);
    spec.payload = std::string(3'000, 'x');
    return spec;
}

/// Submits @p rate jobs in each of @p seconds seconds, spread evenly, and counts the seconds without an owner or with
/// another than @p owner.
int secondsWithoutOwner(CellSite &site, const std::string &owner, int seconds, int rate, int &jobs)
{
    int lost = 0;
    for (int second = 0; second < seconds; ++second) {
        for (int index = 0; index < rate; ++index) {
            site.submit(owner, "j" + std::to_string(jobs), "plans", largeJob());
            site.durations[JobId("j" + std::to_string(jobs++))] = 1'000;
            site.run(Duration(1'000 / rate));
        }
        lost += site.owner() == owner ? 0 : 1;
    }
    return lost;
}

int countAnswers(CellSite &site, int jobs, CallAnswer answer)
{
    int count = 0;
    for (int index = 0; index < jobs; ++index) {
        count += site.answers("j" + std::to_string(index)) == std::vector{answer} ? 1 : 0;
    }
    return count;
}

/// Number of jobs that were completed within @p objective.
int countInTime(CellSite &site, int jobs, Duration objective)
{
    int count = 0;
    for (int index = 0; index < jobs; ++index) {
        const Job *job = site.node(site.owner()).controller->registry().find(JobId("j" + std::to_string(index)));
        count += job != nullptr && job->state == GraphState::Completed && job->endedAt - job->addedAt <= objective;
    }
    return count;
}

std::size_t countRuns(const CellSite &site, int jobs)
{
    std::size_t count = 0;
    for (int index = 0; index < jobs; ++index) {
        count += site.runs("j" + std::to_string(index));
    }
    return count;
}

} // namespace

TEST(CellOverload, LeavesTheCellWithItsOwner)
{
    story("only small entry hosts are left, and callers submit several times the work that the owner can start", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{0.12, 10});
        const std::string owner = site.owner();
        ASSERT_FALSE(owner.empty());
        int jobs = 0;
        section("the owner keeps the cell throughout", [&] {
            ASSERT_EQ(secondsWithoutOwner(site, owner, 10, 50, jobs), 0);
            site.run(Duration(4'000));
            ASSERT_EQ(site.owner(), owner);
        });
        const int accepted = countAnswers(site, jobs, CallAnswer::Accepted);
        section("it serves what its link carries, and every accepted job ends within its objective", [&] {
            EXPECT_GE(accepted, 80);
            EXPECT_EQ(countInTime(site, jobs, jobObjective), accepted);
        });
        section("it refuses the others and leaves none in doubt",
                [&] { EXPECT_EQ(countAnswers(site, jobs, CallAnswer::Overloaded), jobs - accepted); });
        section("it accepts jobs again afterwards", [&] {
            site.submit(owner, "later", "plans", largeJob());
            site.run(Duration(100));
            EXPECT_EQ(site.answers("later"), std::vector{CallAnswer::Accepted});
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, RefusesAtOnceWhatCannotBeStartedInTime)
{
    story("a small owner gets more jobs in a moment than it can start within their objective", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{0.12, 10});
        site.addQueue("urgent", "looms");
        site.setPriority("plans", 1);
        site.run(Duration(500));
        const std::string owner = site.owner();
        const int jobs = 200;
        for (int index = 0; index < jobs; ++index) {
            site.submit(owner, "j" + std::to_string(index), "plans", largeJob());
        }
        section("some are refused in the same moment, with the time after which there is capacity", [&] {
            const int refused = countAnswers(site, jobs, CallAnswer::Overloaded);
            EXPECT_GT(refused, jobs / 2);
            EXPECT_LT(refused, jobs);
            EXPECT_EQ(site.answers("j199"), std::vector{CallAnswer::Overloaded});
            EXPECT_GE(site.retryAfter("j199"), CellController::retryAfter);
            EXPECT_LE(site.retryAfter("j199"), CellController::maxRetryAfter);
        });
        section("a job with so many tasks that they alone exceed the rate is told to retry later than others", [&] {
            GraphSpec spec = largeJob();
            spec.steps[0].count = 2'000;
            site.submit(owner, "huge", "plans", spec);
            EXPECT_GT(site.retryAfter("huge"), site.retryAfter("j199"));
        });
        section("a job with a higher priority and a service are still accepted", [&] {
            site.submit(owner, "first", "urgent", largeJob());
            site.submit(owner, "service", "plans", serviceJob(2, 1));
            site.run(Duration(500));
            EXPECT_EQ(site.answers("first"), std::vector{CallAnswer::Accepted});
            EXPECT_EQ(site.answers("service"), std::vector{CallAnswer::Accepted});
        });
        section("a repeated submission of an accepted job is answered as accepted", [&] {
            site.submit(owner, "j0", "plans", largeJob());
            EXPECT_EQ(site.answers("j0"), std::vector(2, CallAnswer::Accepted));
        });
        section("the job with the higher priority starts first", [&] {
            site.run(Duration(1'500));
            EXPECT_EQ(site.runs("first"), 16);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, LeavesTheCellWithAnOwnerThatInheritsTooMuchWork)
{
    story("an owner with a fast link fails with thousands of waiting tasks, and a small host takes over", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{});
        site.setTargetDuration("plans", Duration(60'000));
        const std::string first = site.owner();
        const std::string second = other(site);
        site.kill(second);
        site.node(second).capacity = HostCapacity{0.12, 10};
        site.restart(second);
        const int jobs = 600;
        for (int index = 0; index < jobs; ++index) {
            const std::string job = "j" + std::to_string(index);
            site.durations[JobId(job)] = 1'000;
            site.submit(first, job, "plans", largeJob());
        }
        site.run(Duration(300));
        ASSERT_EQ(countAnswers(site, jobs, CallAnswer::Accepted), jobs);
        site.kill(first);
        site.run(Duration(8'000));
        section("the small host keeps the cell while it starts the tasks", [&] {
            for (int step = 0; step < 100; ++step) {
                site.run(Duration(100));
                ASSERT_EQ(site.owner(), second) << "step " << step;
            }
        });
        section("it starts them at the rate of its link", [&] {
            const std::size_t before = countRuns(site, jobs);
            site.run(Duration(5'000));
            const auto starts = static_cast<double>(countRuns(site, jobs) - before);
            // 10 Mbit/s are 1,250,000 bytes a second.
            const double most = 5 * 1'250'000 * StartPacer::linkShare / StartPacer::orderBytes(3'000);
            EXPECT_LE(starts, 1.1 * most);
            EXPECT_GE(starts, 0.5 * most);
            EXPECT_EQ(site.owner(), second);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, AcceptsJobsThatWaitForWorkers)
{
    story("a small owner with two workers, which are full for a long time", [] {
        CellSite site;
        site.addQueue("plans", "looms");
        site.setTargetDuration("plans", Duration(600'000));
        site.addWorker("w0", "looms", 8'000);
        site.addWorker("w1", "looms", 8'000);
        site.addNode("a", HostCapacity{0.12, 10});
        site.run(Duration(4'000));
        site.durations[JobId("long")] = 60'000;
        site.submit("a", "long", "plans", graphOf(1, 16, 1'000, Duration(60'000)));
        site.run(Duration(500));
        ASSERT_EQ(site.runs("long"), 16);
        const int jobs = 200;
        for (int index = 0; index < jobs; ++index) {
            site.submit("a", "j" + std::to_string(index), "plans", largeJob());
        }
        site.run(Duration(1'000));
        EXPECT_EQ(countAnswers(site, jobs, CallAnswer::Accepted), jobs);
        expectNothingBroken(site);
    });
}

TEST(CellOverload, RefusesJobsWhileTheStoreDoesNotAnswer)
{
    story("the store fails, and the owner still holds its lease when its first write has got no answer", [] {
        CellSite site;
        fillLooms(site);
        const std::string owner = site.owner();
        site.submit(owner, "before", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(20));
        site.storeDown = true;
        site.submit(owner, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(1'250));
        ASSERT_EQ(site.owner(), owner);
        section("it refuses a job at once", [&] {
            site.submit(owner, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
        });
        section("it accepts jobs when the store answers again", [&] {
            site.storeDown = false;
            site.run(Duration(3'000));
            site.submit(site.owner(), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(100));
            EXPECT_EQ(site.answers("j2").back(), CallAnswer::Accepted);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, RestartsServiceTasksBeforeABacklogOfUrgentWork)
{
    story("a small owner has more urgent work than it can start, and a worker of a service restarts", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{0.12, 10});
        site.addQueue("services", "looms");
        site.setPriority("services", 1);
        const std::string owner = site.owner();
        site.submit(owner, "svc", "services", serviceJob(1, 1));
        site.run(Duration(1'000));
        ASSERT_EQ(site.runs("svc"), 1);
        std::string worker = "w0";
        for (int index = 0; site.runningOn(worker) == 0; ++index) {
            worker = "w" + std::to_string(index);
        }
        GraphSpec urgent = graphOf(1, 400, 1'000, Duration(30'000));
        urgent.payload = std::string(3'000, 'x');
        for (int index = 0; index < 8; ++index) {
            const std::string job = "j" + std::to_string(index);
            site.durations[JobId(job)] = 30'000;
            site.submit(owner, job, "plans", urgent);
        }
        site.run(Duration(500));
        site.crash(worker);
        site.revive(worker);
        section("the service task runs again within three seconds, while the backlog lasts", [&] {
            site.run(Duration(3'000));
            EXPECT_EQ(site.runs("svc"), 2);
            EXPECT_LT(site.runs("j7"), 400);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, StartsGangsWholeUnderThePacer)
{
    story("a small owner and gangs that are larger than one burst", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{0.12, 10});
        GraphSpec spec = graphOf(1, 100, 1'000, Duration(20'000));
        spec.payload = std::string(3'000, 'x');
        spec.steps[0].gang = true;
        const std::string owner = site.owner();
        for (const char *job : {"g0", "g1", "g2"}) {
            site.durations[JobId(job)] = 20'000;
            site.submit(owner, job, "plans", spec);
        }
        section("each gang has all members or none at any time, and all gangs start", [&] {
            for (int step = 0; step < 100; ++step) {
                site.run(Duration(50));
                for (const char *job : {"g0", "g1", "g2"}) {
                    const auto &steps
                        = site.node(owner).controller->registry().find(JobId(job))->open.at(0).steps.front();
                    EXPECT_TRUE(steps.waiting.empty() || steps.waiting.size() == 100) << job;
                }
            }
            EXPECT_EQ(site.runs("g0") + site.runs("g1") + site.runs("g2"), 300);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOverload, DoesNotSlowAHostWithAFastLink)
{
    story("the same work on entry hosts with a link of 1,000 Mbit/s", [] {
        CellSite site;
        fillLargeSite(site, HostCapacity{});
        const std::string owner = site.owner();
        int jobs = 0;
        EXPECT_EQ(secondsWithoutOwner(site, owner, 10, 50, jobs), 0);
        site.run(Duration(2'000));
        EXPECT_EQ(countInTime(site, jobs, jobObjective), jobs);
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
