#include "core/cells/run_controller.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishvane::tests
{

using namespace cells;

namespace
{

bool names(const RosterRow &row, const WorkerId &id)
{
    return std::any_of(row.workers.begin(), row.workers.end(),
                       [&id](const KnownWorker &known) { return known.id == id; });
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
        CellWriter writer;
        RunController runs(outbox, writer, CellTimes{}, HostCapacity{});
        outbox.now = Instant{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.startedAtMs = 7;
        CellContents contents;
        contents.roster.workers.push_back(KnownWorker{entry.id, entry.host, entry.pool, entry.endpoint, 7});
        runs.rebuild(contents, {entry});
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
            const RosterRow row = runs.roster().row(outbox.now.steady);
            LeaseRenewalAnswered answer{second->call, OrderOutcome::Accepted, {}};
            answer.report.startedAtMs = 7;
            runs.answered(answer);
            const Worker &worker = *runs.roster().find(entry.id);
            ASSERT_TRUE(worker.fenced);
            EXPECT_TRUE(names(row, entry.id) || !worker.acceptsTasks(outbox.now.steady));
        });
    });
}

} // namespace radishvane::tests
