#include "core/cells/worker_lease_controller.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr std::int64_t startedAtMs = 7;

/// The lease renewal among @p effects, or nothing.
std::optional<LeaseRenewalOrder> renewalOf(const CellEffects &effects)
{
    for (const CellEffect &effect : effects) {
        if (const auto *renewal = std::get_if<LeaseRenewalOrder>(&effect)) {
            return *renewal;
        }
    }
    return std::nullopt;
}

LeaseRenewalAnswered answerTo(const LeaseRenewalOrder &order, std::uint64_t ends)
{
    LeaseRenewalAnswered answer{order.call, OrderOutcome::Accepted, {}};
    answer.report.startedAtMs = startedAtMs;
    for (std::uint64_t number = order.acknowledged + 1; number <= ends; ++number) {
        answer.report.ended.push_back(EndedRow{number, TaskId{JobId("j"), 0, 0, 0}, 1, RunEnd::Done, {}});
    }
    return answer;
}

} // namespace

TEST(WorkerLeaseController, AcknowledgesEndsOnlyWithARenewalThatCarriesThem)
{
    story("an end is stored while a renewal that does not acknowledge it is pending", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunLedger runs(outbox, writer);
        WorkerLeaseController leases(outbox, writer, runs, CellTimes{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = startedAtMs;
        runs.roster().observe({entry});
        Worker &worker = *runs.roster().find(entry.id);
        const auto next = [&] {
            outbox.now.steady += WorkerLeaseController::renewalRetry;
            leases.renewLeases();
            return renewalOf(outbox.take());
        };

        const auto first = next();
        ASSERT_TRUE(first);
        leases.answered(answerTo(*first, 1));
        ASSERT_EQ(worker.processed, 1);
        section("after a start without an answer the worker is queried before the end is stored", [&] {
            worker.unreachable = true;
            const auto second = next();
            ASSERT_TRUE(second);
            EXPECT_EQ(second->acknowledged, 0);
            worker.stored = 1;
            leases.answered(answerTo(*second, 1));
        });
        section("another renewal acknowledges the end, although the worker runs nothing", [&] {
            const auto third = next();
            ASSERT_TRUE(third);
            EXPECT_EQ(third->acknowledged, 1);
            leases.answered(answerTo(*third, 1));
        });
        section("no renewal follows after that", [&] { EXPECT_FALSE(next()); });
    });
}

// Guards against an acknowledgement that the next incarnation of the worker carries out after a start.
TEST(WorkerLeaseController, AcknowledgesNoEndWhileAStartMayReachTheNextIncarnation)
{
    story("a worker's end is stored while a start to it has no answer", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunLedger runs(outbox, writer);
        WorkerLeaseController leases(outbox, writer, runs, CellTimes{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = startedAtMs;
        runs.roster().observe({entry});
        Worker &worker = *runs.roster().find(entry.id);
        const TaskId task{JobId("k"), 0, 0, 0};
        const auto next = [&] {
            outbox.now.steady += WorkerLeaseController::renewalRetry;
            leases.renewLeases();
            return renewalOf(outbox.take());
        };
        const auto first = next();
        ASSERT_TRUE(first);
        leases.answered(answerTo(*first, 1));
        worker.stored = 1;
        worker.unlistedStarts[{task, 2}] = UnlistedStart{outbox.now.steady + AbandonedStart::maxDelay};
        section("a renewal asks for a list at once, and does not acknowledge the end", [&] {
            const auto second = next();
            ASSERT_TRUE(second);
            EXPECT_EQ(second->acknowledged, 0);
            EXPECT_EQ(second->wait, Duration(0));
            LeaseRenewalAnswered answer = answerTo(*second, 1);
            answer.report.running.push_back(RunningRow{task, 2, {}, 10, 0});
            leases.answered(answer);
        });
        section("the end is acknowledged when the list has shown the start", [&] {
            const auto third = next();
            ASSERT_TRUE(third);
            EXPECT_EQ(third->acknowledged, 1);
            EXPECT_EQ(worker.openAcknowledgements, 1);
        });
        section("a renewal that a start with a higher fencing token has overtaken is repeated with that token", [&] {
            const std::uint64_t former = worker.fenceNumber;
            runs.roster().raiseFence(worker);
            LeaseRenewalAnswered refused{worker.renewal, OrderOutcome::Fenced, {}};
            leases.answered(refused);
            EXPECT_FALSE(worker.unreachable);
            leases.renewLeases();
            const auto fourth = renewalOf(outbox.take());
            ASSERT_TRUE(fourth);
            EXPECT_EQ(fourth->acknowledged, 1);
            EXPECT_EQ(fourth->fence, outbox.workerFence(worker.fenceNumber));
            EXPECT_GT(worker.fenceNumber, former);
        });
    });
}

TEST(WorkerLeaseController, IgnoresTheListsOfAFormerIncarnation)
{
    story("a worker restarts while the answer of its former incarnation is held up", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunLedger runs(outbox, writer);
        WorkerLeaseController leases(outbox, writer, runs, CellTimes{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = startedAtMs;
        runs.roster().observe({entry});
        Worker &worker = *runs.roster().find(entry.id);
        leases.renewLeases();
        const auto held = renewalOf(outbox.take());
        ASSERT_TRUE(held);
        entry.startedAtMs = startedAtMs + 1;
        runs.roster().observe({entry});
        runs.endIncarnation(worker, entry.startedAtMs);

        section("the answer arrives: the new incarnation has neither answered nor reported an end", [&] {
            LeaseRenewalAnswered late = answerTo(*held, 3);
            late.report.clock = 400'000;
            leases.answered(late);
            EXPECT_FALSE(worker.fenced);
            EXPECT_EQ(worker.processed, 0);
            EXPECT_EQ(worker.clock, 0);
        });
        section("the new incarnation is queried at once, and its first end counts", [&] {
            leases.renewLeases();
            const auto next = renewalOf(outbox.take());
            ASSERT_TRUE(next);
            EXPECT_EQ(next->acknowledged, 0);
            LeaseRenewalAnswered answer = answerTo(*next, 1);
            answer.report.startedAtMs = entry.startedAtMs;
            leases.answered(answer);
            EXPECT_TRUE(worker.fenced);
            EXPECT_EQ(worker.processed, 1);
        });
    });
}

TEST(WorkerLeaseController, CountsEndsOfAnOccurrenceThatIsNotDueByItsOwnWallClock)
{
    story("the wall clock of the earlier owner was ahead, and it started an occurrence", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunLedger runs(outbox, writer, CellTimes{});
        WorkerLeaseController leases(outbox, writer, runs, CellTimes{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = startedAtMs;
        runs.roster().observe({entry});
        JobRow row;
        row.id = JobId("j");
        row.spec.steps.resize(1);
        row.spec.steps[0].count = 2;
        row.spec.repeats = 2;
        row.spec.firstDue = outbox.now.wall + Duration(1'000);
        row.spec.period = Duration(5'000);
        Job &job = runs.registry().add(row, outbox.now.steady);
        job.stored = true;
        job.inherited = true;
        runs.registry().openDueOccurrences(job, outbox.now);
        ASSERT_TRUE(job.open.empty());

        leases.renewLeases();
        const auto renewal = renewalOf(outbox.take());
        ASSERT_TRUE(renewal);
        LeaseRenewalAnswered answer = answerTo(*renewal, 1);
        answer.report.running.push_back(RunningRow{TaskId{JobId("j"), 0, 0, 1}, 1, {}, 10, 0});
        leases.answered(answer);
        section("a task that has ended is done, and does not start again", [&] {
            const Task *ended = runs.registry().task(TaskId{JobId("j"), 0, 0, 0});
            ASSERT_NE(ended, nullptr);
            EXPECT_TRUE(ended->progress.done);
        });
        section("a task that runs goes on", [&] {
            const Task *running = runs.registry().task(TaskId{JobId("j"), 0, 0, 1});
            ASSERT_NE(running, nullptr);
            ASSERT_TRUE(running->run);
            EXPECT_FALSE(running->run->stopRequested);
        });
        section("the next occurrence waits for its due time", [&] { EXPECT_EQ(job.open.size(), 1U); });
    });
}

} // namespace radishvane::tests
