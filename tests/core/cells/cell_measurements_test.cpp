#include "core/cells/cell_controller.h"
#include "tests/support/effects.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(CellMeasurements, TellTheLengthOfARebuildAndTheAgeOfTheLease)
{
    story("an entry host on a site whose cell has no owner", [] {
        const CellId cell("c");
        CellController controller(cell, HostId("a"), 1, Endpoint{}, CellTimes{}, HostCapacity{}, testStoreLimits());
        Instant now{TimePoint(std::chrono::hours(1'000)), WallTime{}};
        const auto handle = [&](const CellEvent &event, Duration later) {
            now.steady += later;
            return controller.handle(event, now);
        };
        const auto write = [&] {
            constexpr int mostTicks = 100;
            for (int tick = 0; tick < mostTicks; ++tick) {
                handle(StoreContact{now.steady}, Duration{0});
                const auto call = only<WriteCell>(handle(CellTick{}, Duration(50)));
                if (call) {
                    return call->call;
                }
            }
            ADD_FAILURE() << "no write is sent";
            return CallId{};
        };
        handle(OwnerObserved{}, Duration{0});

        const CallId first = write();
        const CellEffects taken = handle(CellWritten{first, CellWriteOutcome::Written, 1, std::nullopt}, Duration(30));
        const auto read = only<ReadCell>(taken);
        ASSERT_TRUE(read);
        section("taking the cell renews no lease", [&] { EXPECT_TRUE(all<CellLeaseRenewed>(taken).empty()); });
        CellContents contents;
        contents.jobs.resize(1);
        contents.jobs[0].id = JobId("j");
        const CellEffects rowsRead = handle(CellReadDone{read->call, contents, 512}, Duration(800));
        section("a rebuild lasts from taking the cell until its rows are read", [&] {
            const auto rebuilt = only<CellRebuilt>(rowsRead);
            ASSERT_TRUE(rebuilt);
            EXPECT_EQ(rebuilt->time, Duration(800));
            EXPECT_EQ(rebuilt->jobs, 1U);
            EXPECT_EQ(rebuilt->bytes, 512U);
        });
        section("the age of the lease counts from the sending of the write before to the answer of the renewal", [&] {
            const auto second = only<WriteCell>(rowsRead);
            ASSERT_TRUE(second);
            const auto renewal = only<CellLeaseRenewed>(
                handle(CellWritten{second->call, CellWriteOutcome::Written, 2, std::nullopt}, Duration(400)));
            ASSERT_TRUE(renewal);
            EXPECT_EQ(renewal->age, Duration(30 + 800 + 400));
        });
        section("the next one counts from the sending of this renewal", [&] {
            const CallId third = write();
            const auto renewal = only<CellLeaseRenewed>(
                handle(CellWritten{third, CellWriteOutcome::Written, 3, std::nullopt}, Duration(5)));
            ASSERT_TRUE(renewal);
            EXPECT_EQ(renewal->age, CellLease::renewInterval + Duration(5));
        });
    });
}

} // namespace radishvane::tests
