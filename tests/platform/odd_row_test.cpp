#include "core/cells/cell_lease.h"
#include "core/cells/job_registry.h"
#include "drivers/cell_codec.h"
#include "platform/cell_store.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(OwnerRow, IsNotAFreeCellWhenItCannotBeRead)
{
    story("a host reads an owner's row that holds other bytes", [] {
        constexpr std::uint64_t version = 40;
        const OwnerObserved seen = platform::readOwner(
            {{platform::ownerKey, platform::StoredRow{platform::ownerKey, "\x07", version, false}}});
        CellLease lease(HostId("entry-a"), 1, Endpoint{"127.0.0.1", 1}, HostCapacity{});
        const TimePoint start{};
        const auto mayTakeOverAfter = [&](Duration time) {
            lease.recordContact(start + time, start + time);
            return lease.mayTakeOver(start + time);
        };
        lease.recordContact(start, start);
        lease.observe(seen, start);
        section("it waits for the lease of the unknown owner", [&] {
            for (Duration time{0}; time < CellLease::duration; time += Duration(100)) {
                EXPECT_FALSE(mayTakeOverAfter(time)) << time.count();
            }
        });
        section("its epoch is above each earlier one", [&] { EXPECT_GT(lease.nextRow().epoch, version); });
    });
    story("a host reads that there is no row",
          [] { section("the cell has no owner", [] { EXPECT_FALSE(platform::readOwner({}).owner); }); });
}

TEST(ProgressRow, DoesNotLetTheJobStartAgainWhenItCannotBeRead)
{
    story("a new owner reads the rows of its cell", [] {
        JobRow job;
        job.id = JobId("j1");
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 3;
        const auto row = [](const std::string &key, const std::string &value) {
            return platform::StoredRow{key, value, 1, false};
        };
        const Instant now{};
        const auto openAfter = [&](const std::vector<platform::StoredRow> &rows) {
            platform::CellRowReader reader([](const std::string &, const std::string &) {});
            for (const platform::StoredRow &stored : rows) {
                reader.add(stored);
            }
            const auto contents = reader.take();
            JobRegistry registry;
            for (const JobRow &stored : contents->jobs) {
                registry.add(stored, now.steady);
            }
            for (const ProgressRow &stored : contents->progress) {
                registry.restore(stored, now);
            }
            registry.openDueOccurrences(*registry.find(job.id), now);
            return registry.find(job.id)->open.size();
        };
        section("the tasks of a job without progress start",
                [&] { EXPECT_EQ(openAfter({row("job/j1", drivers::encodeRow(job))}), 1); });
        section("those of a job whose progress cannot be read do not", [&] {
            EXPECT_EQ(openAfter({row("job/j1", drivers::encodeRow(job)), row("progress/j1", "\x07")}), 0);
        });
        section("a job that cannot be read stays known, and starts nothing",
                [&] { EXPECT_EQ(openAfter({row("job/j1", "\x07")}), 0); });
        section("without the list of workers with leases the cell is not read", [&] {
            platform::CellRowReader reader([](const std::string &, const std::string &) {});
            reader.add(row("roster", "\x07"));
            EXPECT_FALSE(reader.take());
        });
    });
}

} // namespace radishvane::tests
