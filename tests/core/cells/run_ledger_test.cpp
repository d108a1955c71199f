#include "core/cells/run_ledger.h"
#include "tests/support/cell_stories.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(RunLedger, StopsTheRunsOfAnEndedJobOnARestartedWorker)
{
    story("a job is cancelled while its start is in doubt, and the worker restarts", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunLedger runs(outbox, writer);
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = 7;
        runs.roster().observe({entry});
        Worker &worker = *runs.roster().find(entry.id);
        JobRow row;
        row.id = JobId("j");
        row.spec = graphOf(1, 1, 1'000, Duration(300));
        Job &job = runs.registry().add(row, outbox.now.steady);
        runs.registry().openDueOccurrences(job, outbox.now);
        const TaskId task{row.id, 0, 0, 0};
        runs.allocate(worker, task);
        cells::Run run;
        run.number = 1;
        run.worker = worker.id;
        runs.registry().begin(task, std::move(run));
        runs.registry().finish(job, GraphState::Cancelled, outbox.now.steady);
        runs.jobEnded(row.id, "cancelled");
        ASSERT_EQ(runs.pendingStops().count(task), 1);

        runs.endIncarnation(worker, 8);
        section("the run may be carried out by the new incarnation, so that its stop is still requested", [&] {
            ASSERT_TRUE(runs.registry().task(task)->run);
            EXPECT_TRUE(runs.registry().task(task)->run->stopRequested);
            EXPECT_FALSE(runs.registry().task(task)->run->stopAccepted);
            EXPECT_EQ(runs.pendingStops().count(task), 1);
        });
    });
}

} // namespace radishvane::tests
