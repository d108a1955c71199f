#include "core/cells/pool_demand.h"
#include "tests/support/cell_site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

const PoolId looms("looms");

Instant at(int milliseconds)
{
    constexpr std::chrono::hours begin{1'000};
    return Instant{TimePoint(begin) + Duration(milliseconds), WallTime(begin + Duration(milliseconds))};
}

SiteConfig configOfLooms()
{
    SiteConfig config;
    Queue queue;
    queue.id = QueueId("plans");
    queue.pool = looms;
    queue.stretch = 2;
    config.queues[queue.id] = queue;
    config.pools[looms] = SitePool{looms, false};
    return config;
}

Job &add(JobRegistry &registry, const std::string &id, GraphSpec spec, Instant now)
{
    JobRow row;
    row.id = JobId(id);
    row.queue = QueueId("plans");
    row.accepted = now.wall;
    row.spec = std::move(spec);
    Job &job = registry.add(std::move(row), now.steady);
    job.stored = true;
    registry.openDueOccurrences(job, now);
    return job;
}

} // namespace

TEST(PoolDemand, CountsReadyTasksThatCanMeetTheirObjective)
{
    story("a pool with a job of two steps, a job of service tasks, and an overdue job", [] {
        JobRegistry registry;
        const SiteConfig config = configOfLooms();
        const DemandForecast forecast;
        add(registry, "steps", graphOf(2, 4, 1'000, Duration(300)), at(0));
        section("only the step that is ready counts",
                [&] { EXPECT_EQ(computePoolDemands(registry, config, forecast, at(0)).at(looms).current.cpu, 4'000); });
        section("service tasks count, with the minimum number of hosts from their limit per worker", [&] {
            GraphSpec service = graphOf(1, 5, 2'000, Duration(0));
            service.steps[0].isService = true;
            service.steps[0].maxPerWorker = 2;
            service.steps[0].label = "flax";
            add(registry, "lasting", service, at(0));
            const PoolDemand demand = computePoolDemands(registry, config, forecast, at(0)).at(looms);
            EXPECT_EQ(demand.current.cpu, 14'000);
            EXPECT_EQ(demand.serviceTasks.cpu, 10'000);
            EXPECT_EQ(demand.minHosts, 3);
            EXPECT_EQ(demand.labels, std::set<std::string>{"flax"});
        });
        section("tasks of a job that can no longer meet its objective count as overdue", [&] {
            Job &late = add(registry, "late", graphOf(1, 8, 1'000, Duration(300)), at(0));
            Occurrence &occurrence = late.open.at(0);
            occurrence.estimatedAtTasksDone = 0;
            occurrence.remainingCriticalPath = Duration(300);
            occurrence.objective = at(600).wall;
            EXPECT_EQ(computePoolDemands(registry, config, forecast, at(200)).at(looms).current.cpu, 22'000);
            const PoolDemand demand = computePoolDemands(registry, config, forecast, at(400)).at(looms);
            EXPECT_EQ(demand.current.cpu, 14'000);
            EXPECT_EQ(demand.overdue.cpu, 8'000);
        });
    });
}

TEST(DemandForecast, ExtrapolatesARiseButFollowsAFallAfterwards)
{
    story("ten jobs arrive in the first second and twenty in the next, each with one task of 1 core and 1 s", [] {
        DemandForecast forecast;
        const GraphSpec spec = graphOf(1, 1, 1'000, Duration(1'000));
        for (int index = 0; index < 10; ++index) {
            forecast.add(looms, spec, declaredRunTimes(spec), at(100 * index).steady);
        }
        section("in the first window the rise is computed from zero",
                [&] { EXPECT_EQ(forecast.expected(looms, at(999).steady).cpu, 35'000); });
        for (int index = 0; index < 20; ++index) {
            forecast.add(looms, spec, declaredRunTimes(spec), at(1'000 + 50 * index).steady);
        }
        section("a rise is extrapolated over the lead time",
                [&] { EXPECT_EQ(forecast.expected(looms, at(1'999).steady).cpu, 45'000); });
        section("without new jobs the forecast falls to zero after the window", [&] {
            EXPECT_LT(forecast.expected(looms, at(2'800).steady).cpu, 20'000);
            EXPECT_EQ(forecast.expected(looms, at(4'100).steady).cpu, 0);
        });
        section("the forecast for a pool without jobs is zero",
                [&] { EXPECT_EQ(forecast.expected(PoolId("frames"), at(2'000).steady), Resources{}); });
    });
}

} // namespace radishvane::tests
