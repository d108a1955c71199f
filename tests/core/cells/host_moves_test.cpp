#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

namespace radishvane::tests
{

namespace
{

using namespace cells;

/// Adds two pools of four hosts with a queue each, and four hosts in standby.
void fill(CellSite &site)
{
    site.addQueue("plans", "looms");
    site.addQueue("quotes", "frames");
    for (int index = 0; index < 4; ++index) {
        site.addWorker("l" + std::to_string(index), "looms", 4'000);
        site.addWorker("f" + std::to_string(index), "frames", 4'000);
    }
    site.addStandby("spare", 4, 4'000);
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
}

/// Adds two pools of four hosts with a queue each.
void fillWithoutStandby(CellSite &site)
{
    site.addQueue("plans", "looms");
    site.addQueue("quotes", "frames");
    for (int index = 0; index < 4; ++index) {
        site.addWorker("l" + std::to_string(index), "looms", 4'000);
        site.addWorker("f" + std::to_string(index), "frames", 4'000);
    }
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
}

/// Submits a peak of jobs with eight tasks each, @p gap milliseconds apart; each job needs 8 cores for 0.4 s.
std::vector<std::string> peak(CellSite &site, const std::string &queue, int jobs, int gap)
{
    std::vector<std::string> names;
    for (int index = 0; index < jobs; ++index) {
        names.push_back(queue + std::to_string(index));
        site.durations[JobId(names.back())] = 400;
        site.submit(site.owner(), names.back(), queue, graphOf(1, 8, 1'000, Duration(400)));
        site.run(Duration(gap));
    }
    return names;
}

/// Submits service tasks that keep four hosts in the pool of "plans".
void submitService(CellSite &site)
{
    GraphSpec service = graphOf(1, 4, 500, Duration(0));
    service.steps[0].isService = true;
    service.steps[0].maxPerWorker = 1;
    site.submit(site.owner(), "lasting", "plans", service);
    site.run(Duration(4'000));
}

/// Returns the share of jobs that end within twice their run time in a peak whose rate rises for four seconds and then
/// falls.
double shareInTime(CellSite &site, const std::string &queue)
{
    constexpr int length = 8'000;
    constexpr int objective = 800;
    // Jobs per second at the maximum; the pool's own hosts can run ten.
    constexpr double maxRate = 24;
    constexpr int step = 20;
    std::map<std::string, int> due;
    int total = 0;
    int inTime = 0;
    double owed = 0;
    for (int time = 0; time < length + objective; time += step) {
        const double rate = time >= length ? 0 : maxRate * (1 - std::abs(time - length / 2) / (length / 2.0));
        for (owed += rate * step / 1'000; owed >= 1; owed -= 1) {
            const std::string name = queue + std::to_string(total++);
            site.durations[JobId(name)] = 400;
            site.submit(site.owner(), name, queue, graphOf(1, 4, 1'000, Duration(400)));
            due[name] = time + objective;
        }
        site.run(Duration(step));
        std::erase_if(due, [&](const auto &pair) {
            const bool isDone = site.state(pair.first) == GraphState::Completed;
            inTime += isDone ? 1 : 0;
            return isDone || time + step >= pair.second;
        });
    }
    return static_cast<double>(inTime) / total;
}

std::size_t completed(const CellSite &site, const std::vector<std::string> &jobs)
{
    std::size_t count = 0;
    for (const std::string &job : jobs) {
        count += site.state(job) == GraphState::Completed ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(CellMoves, FollowPeaksOfDifferentPools)
{
    story("the queues of two pools peak one after the other", [] {
        CellSite site;
        fill(site);
        section("without work all hosts are switched off", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.hostsIn("spare"), 12);
        });
        section("a peak of twice the pool's capacity is completed within a second after its end", [&] {
            const auto jobs = peak(site, "plans", 60, 100);
            EXPECT_GE(site.hostsIn("looms"), 8);
            site.run(Duration(1'000));
            EXPECT_EQ(completed(site, jobs), jobs.size());
        });
        section("a peak of the other pool gets enough hosts as well", [&] {
            const auto jobs = peak(site, "quotes", 60, 100);
            EXPECT_GE(site.hostsIn("frames"), 8);
            site.run(Duration(1'000));
            EXPECT_EQ(completed(site, jobs), jobs.size());
        });
        section("after the peaks all hosts are switched off again", [&] {
            site.run(Duration(8'000));
            EXPECT_EQ(site.hostsIn("spare"), 12);
        });
        section("the number of moves is bounded: each host moves out and back once per peak, with some extra moves",
                [&] { EXPECT_LE(site.moves, 60); });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, FollowAPeakInAFleetOfHundredsOfHosts)
{
    story("a pool of 60 hosts with 480 on standby, and a host service that accepts 310 orders a second", [] {
        CellSite site;
        site.hostService.ordersPerSecond = 310;
        site.addQueue("plans", "looms");
        for (int index = 0; index < 60; ++index) {
            site.addWorker("l" + std::to_string(index), "looms", 4'000);
        }
        site.addStandby("spare", 480, 4'000);
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        section("jobs arrive that need 300 hosts for seconds", [&] {
            for (int index = 0; index < 150; ++index) {
                const std::string name = "plans" + std::to_string(index);
                site.durations[JobId(name)] = 8'000;
                site.submit(site.owner(), name, "plans", graphOf(1, 8, 1'000, Duration(8'000)));
            }
            site.run(Duration(2'000));
            section("the hosts are ordered within two seconds", [&] { EXPECT_GE(site.hostsIn("looms"), 300U); });
            section("the host service refuses no order", [&] { EXPECT_EQ(site.excessHostOrders, 0U); });
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, AddHostsForServiceTasksThatFitOnNoOther)
{
    story("four hosts that hold two tasks of a service each, and hosts in standby", [] {
        CellSite site;
        fill(site);
        section("all twelve tasks run after some seconds", [&] {
            GraphSpec service = graphOf(1, 12, 1'360, Duration(500));
            service.steps[0].isService = true;
            site.submit(site.owner(), "lasting", "plans", service);
            site.run(Duration(9'000));
            EXPECT_EQ(site.runs("lasting"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, AddHostsForAServiceBesideAnotherThatLeavesNoUsableCapacity)
{
    story("a service spreads over the four hosts of its pool, and another one of two tasks a host is submitted", [] {
        CellSite site;
        fill(site);
        GraphSpec first = graphOf(1, 4, 2'100, Duration(500));
        first.steps[0].isService = true;
        first.steps[0].maxPerWorker = 1;
        site.submit(site.owner(), "first", "plans", first);
        site.run(Duration(4'000));
        section("all tasks of both run after some seconds", [&] {
            GraphSpec second = graphOf(1, 8, 1'000, Duration(500));
            second.steps[0].isService = true;
            second.steps[0].maxPerWorker = 2;
            site.submit(site.owner(), "second", "plans", second);
            site.run(Duration(9'000));
            EXPECT_EQ(site.runs("first"), 4);
            EXPECT_EQ(site.runs("second"), 8);
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, AddHostsAheadOfARisingPeak)
{
    story("the load of a queue rises over four seconds to more than twice the capacity of its pool", [] {
        CellSite moving;
        fill(moving);
        submitService(moving);
        CellSite fixed;
        fixed.addQueue("plans", "looms");
        for (int index = 0; index < 12; ++index) {
            fixed.addWorker("l" + std::to_string(index), "looms", 4'000);
        }
        fixed.addNode("a");
        fixed.run(Duration(2'000));
        submitService(fixed);
        section("the share of jobs in time is at least 90 % of the share when all hosts serve the pool permanently",
                [&] { EXPECT_GE(shareInTime(moving, "plans"), 0.9 * shareInTime(fixed, "plans")); });
        expectNothingBroken(moving);
        expectNothingBroken(fixed);
    });
}

TEST(CellMoves, EndNoTasksWhenAnswersToOrdersAreLost)
{
    story("half of the orders for hosts get no answer and are carried out seconds later", [] {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            CellSite site(seed);
            fill(site);
            site.setTargetDuration("plans", Duration(600'000));
            site.setTargetDuration("quotes", Duration(600'000));
            site.lostHostOrders = 0.5;
            site.hostOrderDelay = seed % 2 == 0 ? 3'000 : 7'000;
            GraphSpec service = graphOf(1, 3, 1'000, Duration(0));
            service.steps[0].isService = true;
            site.submit(site.owner(), "lasting", "plans", service);
            auto jobs = peak(site, "quotes", 30, 100);
            site.run(Duration(3'000));
            const auto more = peak(site, "plans", 30, 100);
            for (int round = 0; round < 5; ++round) {
                site.run(Duration(1'000));
                const std::string name = "last" + std::to_string(round);
                site.submit(site.owner(), name, "quotes", graphOf(1, 8, 1'000, Duration(400)));
                jobs.push_back(name);
            }
            site.run(Duration(12'000));
            EXPECT_EQ(completed(site, jobs) + completed(site, more), 65) << "seed " << seed;
            expectNothingBroken(site);
        }
    });
}

TEST(CellMoves, WaitUntilTheEndsOfAWorkerAreStored)
{
    story("tasks end while the store does not answer, and another pool needs their hosts", [] {
        CellSite site;
        fill(site);
        site.durations[JobId("j1")] = 600;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 16, 1'000, Duration(600)));
        while (site.runs("j1") < 16 && site.time() < 10'000) {
            site.run(Duration(10));
        }
        ASSERT_EQ(site.runs("j1"), 16);
        std::vector<std::string> workers;
        for (const char *id : {"l0", "l1", "l2", "l3", "f0", "f1", "f2", "f3"}) {
            if (site.runningOn(id) > 0) {
                workers.emplace_back(id);
            }
        }
        ASSERT_FALSE(workers.empty());
        site.run(Duration(400));
        site.storeDown = true;
        const std::string first = site.owner();
        for (int index = 0; index < 20; ++index) {
            site.submit(first, "q" + std::to_string(index), "quotes", graphOf(1, 16, 1'000, Duration(600)));
        }
        site.run(Duration(1'400));
        section("no host moves whose worker holds the only record of completed tasks", [&] {
            for (const std::string &id : workers) {
                EXPECT_TRUE(site.worker(id).alive) << id;
                EXPECT_EQ(site.worker(id).entry.pool, PoolId("looms")) << id;
            }
        });
        section("the next owner does not start the completed tasks again", [&] {
            site.kill(first);
            site.storeDown = false;
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 16);
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, ContinueUnderTheNextOwner)
{
    story("the owner crashes while hosts are moving", [] {
        CellSite site;
        fill(site);
        site.setTargetDuration("plans", Duration(60'000));
        site.setTargetDuration("quotes", Duration(60'000));
        site.run(Duration(4'000));
        peak(site, "plans", 12, 100);
        const std::string first = site.owner();
        site.kill(first);
        site.run(Duration(4'000));
        ASSERT_FALSE(site.owner().empty());
        section("the next owner counts the hosts that have arrived and completes the next peak", [&] {
            const auto jobs = peak(site, "quotes", 60, 100);
            site.run(Duration(2'000));
            EXPECT_EQ(completed(site, jobs), jobs.size());
        });
        section("hosts that are not needed are switched off", [&] {
            site.run(Duration(12'000));
            EXPECT_EQ(site.hostsIn("spare"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, AreFencedBeforeTheNextOwnerStartsTasksThere)
{
    story("the owner crashes after orders without an answer, which are carried out under the next owner", [] {
        for (int delay = 3'000; delay <= 8'000; delay += 250) {
            CellSite site;
            fillWithoutStandby(site);
            const std::string first = site.owner();
            site.lostHostOrders = 1;
            site.hostOrderDelay = delay;
            peak(site, "quotes", 10, 40);
            site.run(Duration(400));
            site.lostHostOrders = 0;
            site.kill(first);
            const std::string next = first == "a" ? "b" : "a";
            for (int waited = 0; waited < 6'000 && site.owner().empty(); waited += 20) {
                site.run(Duration(20));
            }
            site.durations[JobId("long")] = 8'000;
            site.submit(next, "long", "plans", graphOf(1, 16, 1'000, Duration(8'000)));
            site.run(Duration(30'000));
            EXPECT_EQ(site.state("long"), GraphState::Completed) << delay;
            EXPECT_EQ(site.runs("long"), 16) << delay;
            expectNothingBroken(site);
        }
    });
}

TEST(CellMoves, AreFencedWhenARepeatedOrderIsRefused)
{
    story("orders have no answer and are carried out later, and the host service refuses the repeated ones", [] {
        for (int delay = 2'500; delay <= 5'000; delay += 250) {
            CellSite site;
            fillWithoutStandby(site);
            site.lostHostOrders = 1;
            site.hostOrderDelay = delay;
            peak(site, "quotes", 10, 40);
            site.run(Duration(400));
            site.lostHostOrders = 0;
            site.refusesHostOrders = true;
            site.run(Duration(1'600));
            site.durations[JobId("long")] = 6'000;
            site.submit(site.owner(), "long", "plans", graphOf(1, 16, 1'000, Duration(6'000)));
            site.run(Duration(400));
            site.refusesHostOrders = false;
            site.run(Duration(20'000));
            EXPECT_EQ(site.state("long"), GraphState::Completed) << delay;
            EXPECT_EQ(site.runs("long"), 16) << delay;
            expectNothingBroken(site);
        }
    });
}

TEST(CellMoves, AreNotOrderedBeforeTheStoreNamesTheHost)
{
    story("a queue peaks while the store does not answer", [] {
        CellSite site;
        fill(site);
        site.run(Duration(4'000));
        site.kill(site.owner() == "a" ? "b" : "a");
        site.storeDown = true;
        const std::uint64_t movesBefore = site.moves;
        for (int index = 0; index < 20; ++index) {
            site.submit(site.owner(), "q" + std::to_string(index), "quotes", graphOf(1, 16, 1'000, Duration(600)));
        }
        section("no host is ordered until the store answers again", [&] {
            site.run(Duration(1'400));
            EXPECT_EQ(site.moves, movesBefore);
            site.storeDown = false;
            site.run(Duration(8'000));
            EXPECT_GT(site.moves, movesBefore);
        });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, StartWithinASecondUnderTheNextOwner)
{
    story("all hosts are switched off, and the load of a queue rises immediately after a handover", [] {
        CellSite site;
        fill(site);
        site.run(Duration(4'000));
        ASSERT_EQ(site.hostsIn("spare"), 12);
        const std::string first = site.owner();
        site.stop(first);
        while (site.owner().empty() && site.time() < 10'000) {
            site.run(Duration(10));
        }
        ASSERT_NE(site.owner(), first);
        peak(site, "plans", 4, 100);
        site.run(Duration(400));
        section("within a second the new owner has moved the hosts that the jobs need",
                [&] { EXPECT_GE(site.hostsIn("looms"), 8); });
        expectNothingBroken(site);
    });
}

TEST(CellMoves, CompleteAPeakAndAWaveAtTheSameTime)
{
    story("a wave over most hosts runs while the load of a queue peaks", [] {
        CellSite site;
        fill(site);
        site.setTargetDuration("plans", Duration(60'000));
        site.setTargetDuration("quotes", Duration(60'000));
        site.addWave(1, {"l0", "l1", "l2", "l3", "f0", "f1", "f2", "f3", "spare0", "spare1"}, 2);
        const auto jobs = peak(site, "plans", 100, 100);
        site.run(Duration(20'000));
        EXPECT_EQ(completed(site, jobs), jobs.size());
        EXPECT_EQ(site.completedWaves.count(1), 1);
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
