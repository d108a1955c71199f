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
        section("without the progress of a wave the cell is not read", [&] {
            platform::CellRowReader reader([](const std::string &, const std::string &) {});
            reader.add(row("wave/3", "\x07"));
            EXPECT_FALSE(reader.take());
        });
    });
}

TEST(CellRows, AreReadInPartsOfWhichSomeMayBeLost)
{
    story("a new owner reads the list of workers and the release in parts", [] {
        std::vector<std::string> bad;
        platform::CellRowReader reader([&bad](const std::string &key, const std::string &) { bad.push_back(key); });
        const auto add = [&reader](const std::string &key, const std::string &value) {
            reader.add(platform::StoredRow{key, value, 1, false});
        };
        const KnownWorker first{WorkerId("w1"), HostId("h1"), PoolId("looms"), Endpoint{"127.0.0.1", 1}, 7};
        const KnownWorker second{WorkerId("w2"), HostId("h2"), PoolId("looms"), Endpoint{"127.0.0.1", 2}, 8};
        ReleaseRow release;
        release.epoch = 5;
        release.workers.push_back(ReleasedWorker{WorkerId("w2"), Duration(40)});
        add("roster", drivers::encodeRow(RosterRow{0, {first}}));
        add("roster/12", drivers::encodeRow(RosterRow{12, {second}}));
        add("roster/3", "\x07");
        add("roster/03", "\x07");
        add("release", "\x07");
        add("release/1", drivers::encodeRow(release));
        add("host-orders", "\x07");
        const auto contents = reader.take();
        ASSERT_TRUE(contents);
        section("the row without a number is the first part", [&] {
            ASSERT_EQ(contents->roster.size(), 2);
            EXPECT_EQ(contents->roster[0].part, 0);
            EXPECT_EQ(contents->roster[0].workers, std::vector<KnownWorker>{first});
            EXPECT_EQ(contents->roster[1].part, 12);
            EXPECT_EQ(contents->roster[1].workers, std::vector<KnownWorker>{second});
        });
        section("a part of the list that cannot be read counts as lost",
                [&] { EXPECT_EQ(contents->lostRosterParts, std::set<std::uint32_t>{3}); });
        section("so does the row of hosts with orders", [&] { EXPECT_TRUE(contents->areHostOrdersLost); });
        section("a part of the release that cannot be read is left out", [&] {
            ASSERT_EQ(contents->release.size(), 1);
            EXPECT_EQ(contents->release[0].part, 1);
            EXPECT_EQ(contents->release[0].epoch, 5);
        });
        section("each of them is reported", [&] {
            EXPECT_EQ(bad, (std::vector<std::string>{"roster/3", "release", "host-orders"}));
        });
    });
}

} // namespace radishvane::tests
