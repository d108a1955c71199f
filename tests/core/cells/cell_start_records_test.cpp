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
