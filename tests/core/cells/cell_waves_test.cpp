#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

/// A lasting job with one task on each worker.
GraphSpec spreadLastingJob(std::uint32_t count, std::uint32_t allowance)
{
    GraphSpec spec = lastingJob(count, allowance);
    spec.steps[0].maxPerWorker = 1;
    return spec;
}

} // namespace

TEST(CellLasting, TasksComeBackAndKeepTheirAllowance)
{
    story("a lasting job of four tasks of which one may be away", [] {
        CellSite site;
        fillLooms(site, 6);
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
        fillLooms(site, 6);
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
        fillLooms(site, 4);
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
        fillLooms(site, 4);
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

} // namespace radishvane::tests
