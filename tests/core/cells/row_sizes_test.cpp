#include "core/cells/host_order_ledger.h"
#include "core/cells/released_runs.h"
#include "drivers/cell_codec.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr TimePoint start{std::chrono::hours(1'000)};
constexpr std::size_t workers = 3'000;
/// Bytes of a row and of a name that the store accepts.
constexpr std::size_t maxRowBytes = 65'536;
constexpr std::size_t maxNameBytes = 200;

std::string numbered(std::size_t number, char fill)
{
    const std::string digits = std::to_string(number);
    return digits + std::string(maxNameBytes - digits.size(), fill);
}

std::vector<WorkerEntry> entriesWithLongNames()
{
    std::vector<WorkerEntry> entries(workers);
    for (std::size_t index = 0; index < workers; ++index) {
        entries[index].id = WorkerId(numbered(index, 'w'));
        entries[index].host = HostId(numbered(index, 'h'));
        entries[index].startedAtMs = 7;
    }
    return entries;
}

} // namespace

TEST(ReleaseRow, IsSplitAlongTheWorkers)
{
    story("an owner of 3,000 workers with the longest names releases its cell with 400 service jobs at work", [] {
        constexpr std::size_t jobs = 400;
        WorkerRoster roster;
        const std::vector<WorkerEntry> entries = entriesWithLongNames();
        roster.observe(entries);
        JobRegistry registry;
        const auto taskOf = [](std::size_t job) {
            return TaskId{JobId(numbered(job, 'j')), 0, 0, 0};
        };
        const auto addJobs = [&](JobRegistry &to) {
            for (std::size_t index = 0; index < jobs; ++index) {
                JobRow row;
                row.id = taskOf(index).job;
                row.spec.steps.resize(1);
                row.spec.steps[0].count = 1;
                row.spec.steps[0].isService = true;
                to.openDueOccurrences(to.add(std::move(row), start), Instant{start, WallTime{}});
            }
        };
        addJobs(registry);
        for (std::size_t index = 0; index < jobs; ++index) {
            registry.task(taskOf(index))->run = cells::Run{};
            registry.task(taskOf(index))->run->worker = entries[index * workers / jobs].id;
        }
        const std::vector<ReleaseRow> rows = releaseRows(4, registry, roster, Duration(10'000), start);
        section("each row fits into the store, and all of them into one transaction", [&] {
            std::size_t bytes = 0;
            for (const ReleaseRow &row : rows) {
                EXPECT_LE(drivers::encodeRow(row).size(), maxRowBytes);
                EXPECT_EQ(row.epoch, 4);
                bytes += drivers::encodeRow(row).size();
            }
            EXPECT_LE(rows.size(), 20);
            EXPECT_LE(bytes, 720'000);
        });
        section("together they name each worker once", [&] {
            std::set<WorkerId> named;
            for (const ReleaseRow &row : rows) {
                for (const ReleasedWorker &worker : row.workers) {
                    EXPECT_TRUE(named.insert(worker.id).second);
                }
            }
            EXPECT_EQ(named.size(), workers);
        });
        section("the next owner knows the worker of each task", [&] {
            JobRegistry next;
            addJobs(next);
            for (const ReleaseRow &row : rows) {
                restoreRelease(row, next, roster, start);
            }
            for (std::size_t index = 0; index < jobs; ++index) {
                EXPECT_EQ(next.task(taskOf(index))->releasedOn, entries[index * workers / jobs].id);
            }
        });
    });
}

TEST(HostOrdersRow, IsNotWrittenBeyondTheSizeOfARow)
{
    story("an owner plans orders for 3,000 hosts with the longest names", [] {
        CellWriter writer{testStoreLimits()};
        HostOrderLedger orders(writer);
        JobRegistry registry;
        WorkerRoster roster;
        CellLease lease{HostId("a"), 1, Endpoint{"a", 1}, HostCapacity{}};
        lease.recordWrite(lease.nextRow(), 1, start);
        std::size_t written = 0;
        const auto write = [&] {
            if (const auto transaction = writer.next(CellId("c0"), registry, roster, lease, start)) {
                ASSERT_TRUE(transaction->hostOrders);
                EXPECT_LE(drivers::encodeRow(*transaction->hostOrders).size(), maxRowBytes);
                writer.sent(CallId{1}, *transaction, roster, start);
                orders.stored(*writer.succeed().transaction.hostOrders);
                ++written;
            }
        };
        for (std::size_t index = 0; index < workers; ++index) {
            orders.plan(HostId(numbered(index, 'h')));
            write();
        }
        const auto isStored = [&orders](std::size_t index) {
            return orders.isStored(HostId(numbered(index, 'h')));
        };
        section("those that the row has no capacity for wait", [&] {
            EXPECT_EQ(orders.hosts().size(), workers);
            EXPECT_TRUE(isStored(0));
            EXPECT_FALSE(isStored(workers - 1));
            EXPECT_LT(written, workers);
        });
        section("their orders go out once others have ended", [&] {
            for (std::size_t index = 0; index + 1 < workers; ++index) {
                orders.answered(HostId(numbered(index, 'h')), HostOrderOutcome::Accepted);
            }
            write();
            EXPECT_TRUE(isStored(workers - 1));
        });
    });
}

} // namespace radishvane::tests
