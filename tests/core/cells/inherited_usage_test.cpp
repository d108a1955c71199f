#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr std::uint32_t waitingTasks = 40;

/// The owner crashes, and the other entry host takes over.
void takeOver(CellSite &site)
{
    const std::string second = other(site);
    site.kill(site.owner());
    for (int waited = 0; waited < 10'000 && site.owner() != second; waited += 20) {
        site.run(Duration(20));
    }
    ASSERT_EQ(site.owner(), second);
}

/// The owner crashes while the only worker, which has @p cpu, runs tasks of a job with many more and does not answer
/// the next owner. A worker with more capacity than all teams may use joins.
void takeOverWithoutTheWorker(CellSite &site, std::uint64_t cpu)
{
    site.addQueue("plans", "looms");
    site.addWorker("w0", "looms", cpu);
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
    site.durations[JobId("j1")] = 60'000;
    site.submit(site.owner(), "j1", "plans", graphOf(1, waitingTasks, 1'000, Duration(60'000)), "dyers");
    site.run(Duration(2'000));
    ASSERT_EQ(site.runningOn("w0"), cpu / 1'000);
    site.worker("w0").cut = true;
    takeOver(site);
    site.addWorker("w1", "looms", 100'000);
    site.run(Duration(600));
}

} // namespace

TEST(CellTeams, AreHeldUpByNoMoreThanTheWorkersThatDoNotAnswerCanHold)
{
    story("a small worker does not answer the next owner, and many tasks of a team have no known run", [] {
        CellSite site;
        site.addTeam("dyers", 10'000);
        takeOverWithoutTheWorker(site, 2'000);
        site.durations[JobId("j2")] = 60'000;
        site.submit(site.owner(), "j2", "plans", graphOf(1, 40, 1'000, Duration(60'000)), "dyers");
        site.run(Duration(500));
        section("a new job of the team uses the rest of the ceiling", [&] { EXPECT_EQ(site.runningOn("w1"), 8); });
        expectNothingBroken(site);
    });
    story("a worker with capacity for the whole ceiling does not answer the next owner", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        takeOverWithoutTheWorker(site, 4'000);
        section("jobs of other teams start at once", [&] {
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "weavers");
            site.run(Duration(500));
            EXPECT_EQ(site.runs("j2"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, AreNotHeldUpByAWorkerOfWhichOnlyEndsAreUnknown)
{
    story("a worker has ended 600 tasks, lists 500 ends to the next owner, and does not answer again", [] {
        CellSite site;
        site.addTeam("dyers", 600'000);
        site.addQueue("plans", "looms");
        site.addWorker("w0", "looms", 600'000);
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        site.durations[JobId("j1")] = 2'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 600, 1'000, Duration(2'000)), "dyers");
        site.run(Duration(1'500));
        ASSERT_EQ(site.runningOn("w0"), 600);
        site.worker("w0").cut = true;
        takeOver(site);
        site.run(Duration(1'000));
        ASSERT_EQ(site.worker("w0").ended.size(), 600);
        site.worker("w0").cut = false;
        const WorkerRoster &roster = site.node(site.owner()).controller->roster();
        const auto hasListedSome = [&roster] {
            const Worker *worker = roster.find(WorkerId("w0"));
            return worker != nullptr && worker->hasUnlistedEnds;
        };
        for (int waited = 0; waited < 2'000 && !hasListedSome(); ++waited) {
            site.run(Duration(1));
        }
        ASSERT_TRUE(hasListedSome());
        site.worker("w0").cut = true;
        site.addWorker("w1", "looms", 600'000);
        site.run(Duration(2'000));
        section("a new job of the team uses the whole ceiling", [&] {
            site.durations[JobId("j2")] = 20'000;
            site.submit(site.owner(), "j2", "plans", graphOf(1, 600, 1'000, Duration(20'000)), "dyers");
            site.run(Duration(1'500));
            EXPECT_EQ(site.runningOn("w1"), 600);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, RegainTheirCeilingWhenAWorkerOfTheFormerOwnerAnswersOrItsLeasesExpire)
{
    const auto begin = [](CellSite &site) {
        site.addTeam("dyers", 4'000);
        takeOverWithoutTheWorker(site, 4'000);
        site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
        site.run(Duration(500));
        ASSERT_EQ(site.runningOn("w1"), 0);
    };
    story("a worker whose tasks have ended answers the next owner after a while", [&] {
        CellSite site;
        begin(site);
        site.crash("w0");
        site.revive("w0");
        site.worker("w0").cut = false;
        section("the team's jobs start", [&] {
            site.run(Duration(1'500));
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1"), 4);
        });
        expectNothingBroken(site);
    });
    story("a worker does not answer the next owner until its leases have expired", [&] {
        CellSite site;
        begin(site);
        section("the team's jobs start", [&] {
            site.run(Duration(12'000));
            EXPECT_EQ(site.runningOn("w1"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, CountUnknownRunsOfJobsThatHaveBeenCancelled)
{
    story("the next owner cancels a job whose tasks still run on a worker that does not answer", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        takeOverWithoutTheWorker(site, 4'000);
        site.cancel(site.owner(), "j1");
        site.run(Duration(300));
        section("the team's other jobs wait for the cancelled tasks", [&] {
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(12'000));
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
    story("the former owner cancels a job whose tasks still run on a worker that does not answer, and crashes", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        fillLooms(site, 1);
        site.durations[JobId("j1")] = 60'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(60'000)), "dyers");
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 4);
        site.worker("w0").cut = true;
        site.cancel(site.owner(), "j1");
        site.run(Duration(300));
        takeOver(site);
        site.addWorker("w1", "looms", 8'000);
        site.run(Duration(400));
        section("the team's other jobs wait for the cancelled tasks", [&] {
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(12'000));
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellTeams, CountUnknownRunsOfLaterSteps)
{
    story("a worker runs the second step of a job, and the owner crashes", [] {
        CellSite site;
        site.addTeam("dyers", 4'000);
        fillLooms(site, 1);
        site.durations[JobId("j1")] = 1'500;
        GraphSpec growing = graphOf(2, 4, 1'000, Duration(60'000));
        growing.steps[0].count = 1;
        site.submit(site.owner(), "j1", "plans", growing, "dyers");
        site.run(Duration(1'000));
        section("the second step does not start while the store does not take its starts", [&] {
            site.durations[JobId("j1")] = 20'000;
            site.storeDown = true;
            site.run(Duration(1'200));
            EXPECT_EQ(site.runs("j1"), 1);
            site.storeDown = false;
        });
        while (site.runs("j1") < 5 && site.time() < 12'000) {
            site.run(Duration(1));
        }
        site.worker("w0").cut = true;
        ASSERT_EQ(site.runningOn("w0"), 4);
        section("its tasks count against the ceiling while the worker does not answer", [&] {
            takeOver(site);
            site.addWorker("w1", "looms", 8'000);
            site.run(Duration(400));
            site.submit(site.owner(), "j2", "plans", graphOf(1, 4, 1'000, Duration(300)), "dyers");
            site.run(Duration(600));
            EXPECT_EQ(site.runningOn("w0"), 4);
            EXPECT_EQ(site.runningOn("w1"), 0);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
