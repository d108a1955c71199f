#include "core/cells/run_controller.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishvane::tests
{

using namespace cells;

namespace
{

bool names(const std::vector<RosterRow> &rows, const WorkerId &id)
{
    return std::any_of(rows.begin(), rows.end(), [&id](const RosterRow &row) {
        return std::any_of(row.workers.begin(), row.workers.end(),
                           [&id](const KnownWorker &known) { return known.id == id; });
    });
}

std::optional<LeaseRenewalOrder> renewalOf(const CellEffects &effects)
{
    for (const CellEffect &effect : effects) {
        if (const auto *renewal = std::get_if<LeaseRenewalOrder>(&effect)) {
            return *renewal;
        }
    }
    return std::nullopt;
}

} // namespace

TEST(WorkerRoster, NamesEachWorkerThatAcceptsTasks)
{
    story("the lease of an unreachable worker expires, and the worker answers before the next tick", [] {
        CellOutbox outbox;
        CellWriter writer{testStoreLimits()};
        RunController runs(outbox, writer, CellTimes{}, HostCapacity{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = 7;
        CellContents contents;
        contents.roster.push_back(RosterRow{0, {KnownWorker{entry.id, entry.host, entry.pool, entry.endpoint, 7}}});
        runs.rebuild(contents, {entry}, 1);
        const SiteConfig config;
        const auto next = [&] {
            outbox.now.steady += std::chrono::seconds(1);
            runs.advance(config, true);
            return renewalOf(outbox.take());
        };
        const auto first = next();
        ASSERT_TRUE(first);
        runs.answered(LeaseRenewalAnswered{first->call, OrderOutcome::Unknown, {}});
        const auto second = next();
        ASSERT_TRUE(second);
        outbox.now.steady += std::chrono::seconds(60);

        section("a row of workers that is stored in between names the worker, or it gets no tasks", [&] {
            const std::vector<RosterRow> rows = runs.roster().rows(outbox.now.steady);
            LeaseRenewalAnswered answer{second->call, OrderOutcome::Accepted, {}};
            answer.report.startedAtMs = 7;
            runs.answered(answer);
            const Worker &worker = *runs.roster().find(entry.id);
            ASSERT_TRUE(worker.fenced);
            EXPECT_TRUE(names(rows, entry.id) || !worker.acceptsTasks(outbox.now.steady));
        });
    });
}

TEST(WorkerRoster, TakesTheNewerOfTwoEntriesOfAWorker)
{
    story("an owner that knows the first part of the list only has left an older entry in another part", [] {
        const KnownWorker older{WorkerId("w"), HostId("h"), PoolId("looms"), Endpoint{"127.0.0.1", 1}, 7};
        KnownWorker newer = older;
        newer.startedAtMs = 9;
        for (const bool isNewerFirst : {true, false}) {
            WorkerRoster roster;
            roster.reset({RosterRow{0, {isNewerFirst ? newer : older}}, RosterRow{2, {isNewerFirst ? older : newer}}},
                         TimePoint{}, TimePoint{});
            section(isNewerFirst ? "the newer one is in the first part" : "the newer one is in another part", [&] {
                EXPECT_EQ(roster.find(older.id)->startedAtMs, 9);
                const std::vector<RosterRow> rows = roster.rows(TimePoint{});
                ASSERT_EQ(rows.size(), 2);
                EXPECT_EQ(rows[0].workers.size(), isNewerFirst ? 1 : 0);
                EXPECT_EQ(rows[1].workers.size(), isNewerFirst ? 0 : 1);
            });
        }
    });
}

} // namespace radishvane::tests
