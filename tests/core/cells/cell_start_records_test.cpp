#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <algorithm>

// Starts of an owner that ends right after it has sent them.

namespace radishvane::tests
{

using namespace cells;

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
        site.run(afterLongestLease);
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
                [&] { EXPECT_EQ(entryOf(CellDecision::TaskStarted, "j1.0.0.0").reason, "leases-expired"); });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
