#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr std::size_t workers = 3'000;

std::string nameOf(std::size_t worker)
{
    return "worker-of-looms-" + std::to_string(worker);
}

/// A queue with thousands of workers, and the entry hosts "a" and "b".
void fillLargeFleet(CellSite &site)
{
    site.addQueue("plans", "looms");
    for (std::size_t index = 0; index < workers; ++index) {
        site.addWorker(nameOf(index), "looms", 1'000);
    }
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'500));
}

std::size_t busyWorkers(CellSite &site)
{
    std::size_t busy = 0;
    for (std::size_t index = 0; index < workers; ++index) {
        busy += site.runningOn(nameOf(index)) > 0 ? 1 : 0;
    }
    return busy;
}

} // namespace

TEST(CellLargeFleet, UsesEachWorkerAlthoughTheirListIsLongerThanARow)
{
    story("a cell has 3,000 workers of one core", [] {
        CellSite site;
        fillLargeFleet(site);
        ASSERT_NE(site.owner(), "");
        section("tasks run on all of them", [&] {
            for (int job = 0; job < 6; ++job) {
                const std::string id = "j" + std::to_string(job);
                site.durations[JobId(id)] = 60'000;
                site.submit(site.owner(), id, "plans", graphOf(1, 500, 1'000, Duration(60'000)));
            }
            site.run(Duration(3'000));
            EXPECT_EQ(busyWorkers(site), workers);
        });
        section("the stored list names all of them", [&] {
            std::set<WorkerId> named;
            for (const RosterRow &row : site.stored().roster) {
                for (const KnownWorker &known : row.workers) {
                    named.insert(known.id);
                }
            }
            EXPECT_EQ(named.size(), workers);
        });
        section("a stopping owner releases the cell, and nothing is started twice", [&] {
            const std::string second = other(site);
            site.stop(site.owner());
            site.run(Duration(2'000));
            EXPECT_EQ(site.owner(), second);
            EXPECT_EQ(busyWorkers(site), workers);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
