#include "drivers/task_statistics.h"

#include "drivers/metrics_page.h"
#include "tests/support/manual_clock.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

using drivers::TaskTotals;
using drivers::TimeHistogram;

TEST(TaskStatistics, TellLateTicksFromSlowHandlers)
{
    story("a task with a tick every 25 ms", [] {
        ManualClock clock;
        drivers::TaskStatistics statistics(clock, Duration(25));
        section("its first tick has none before it", [&] {
            statistics.tick();
            EXPECT_EQ(statistics.take().tickDelay.count(), 0U);
        });
        section("a tick in time is not late, and one after 65 ms is late by 40", [&] {
            clock.advance(Duration(25));
            statistics.tick();
            clock.advance(Duration(65));
            statistics.tick();
            const TaskTotals totals = statistics.take();
            EXPECT_EQ(totals.tickDelay.count(), 2U);
            EXPECT_EQ(totals.tickDelay.sum(), 40);
            EXPECT_EQ(totals.tickDelay.longest(), 40);
        });
        section("the time of a handler counts for itself", [&] {
            statistics.measure([&] { clock.advance(Duration(12)); });
            statistics.measure([] {});
            const TaskTotals totals = statistics.take();
            EXPECT_EQ(totals.handling.count(), 2U);
            EXPECT_EQ(totals.handling.longest(), 12);
            EXPECT_EQ(totals.tickDelay.count(), 0U);
        });
        section("a report is due once a second", [&] {
            clock.advance(drivers::TaskStatistics::reportInterval);
            EXPECT_TRUE(statistics.tick());
            clock.advance(Duration(25));
            EXPECT_FALSE(statistics.tick());
            statistics.take();
        });
        section("what was taken is not told again", [&] { EXPECT_EQ(statistics.take().handling.count(), 0U); });
    });
}

TEST(MetricsPage, AddsUpTheHistogramsOfIntervals)
{
    story("two intervals of calls to workers, and one time without labels", [] {
        drivers::MetricsPage page;
        TimeHistogram first;
        first.add(1);
        first.add(3);
        TimeHistogram second;
        second.add(20'000);
        page.observe("wait", "peer=\"worker\"", first);
        page.observe("wait", "peer=\"worker\"", second);
        page.observe("call", 7);
        page.gauge("waiting", "peer=\"worker\"", 2);
        const std::string text = page.text();
        section("buckets are cumulative, and the last one holds all", [&] {
            for (const char *line :
                 {"wait_bucket{peer=\"worker\",le=\"1\"} 1\n", "wait_bucket{peer=\"worker\",le=\"5\"} 2\n",
                  "wait_bucket{peer=\"worker\",le=\"10000\"} 2\n", "wait_bucket{peer=\"worker\",le=\"+Inf\"} 3\n",
                  "wait_sum{peer=\"worker\"} 20004\n", "wait_count{peer=\"worker\"} 3\n"}) {
                EXPECT_NE(text.find(line), std::string::npos) << line << " in\n" << text;
            }
        });
        section("a histogram without labels has none", [&] {
            for (const char *line : {"call_bucket{le=\"5\"} 0\n", "call_bucket{le=\"10\"} 1\n", "call_sum 7\n",
                                     "call_count 1\n", "waiting{peer=\"worker\"} 2\n"}) {
                EXPECT_NE(text.find(line), std::string::npos) << line << " in\n" << text;
            }
        });
    });
}

} // namespace radishvane::tests
