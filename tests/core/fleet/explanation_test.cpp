#include "core/fleet/explanation.h"

#include "tests/support/example_config.h"
#include "tests/support/story.h"

#include <algorithm>

namespace radishvane::tests
{

namespace
{

const HostId host("host-0");
const PoolId pool("pool");
const TeamId office("office");
const JobId job("office-1");

FleetSnapshot view()
{
    FleetSnapshot result;
    result.declared = ExampleConfig{}.make();
    result.listed = {{host, HostListing::Live}};
    result.now = WallTime(std::chrono::hours(1));
    return result;
}

/// Returns the value of the first finding for a fact; empty without one.
std::string value(const std::optional<Findings> &findings, Fact fact)
{
    if (!findings) {
        return {};
    }
    const auto found = std::find_if(findings->begin(), findings->end(),
                                    [&](const Finding &finding) { return finding.fact == fact; });
    return found == findings->end() ? std::string() : found->value;
}

} // namespace

TEST(Explanation, ReportsCauseAndBlockingJobOfDrainingHost)
{
    story("a host drains for maintenance while a job runs on it: cause, duration and blocking job are reported", [] {
        FleetSnapshot seen = view();
        EXPECT_EQ(value(explainHost(seen, host), Fact::Phase), "in-service");
        seen.pools[pool] = PoolRow{
            pool, {{host, HostPhase::Draining, DrainCause::Maintenance, {}, seen.now - std::chrono::seconds(90)}}, {}};
        JobRow row;
        row.id = job;
        row.state = JobState::Running;
        row.worker = host;
        seen.jobs[job] = row;
        const auto findings = explainHost(seen, host);
        EXPECT_EQ(value(findings, Fact::Cause), "maintenance");
        EXPECT_EQ(value(findings, Fact::InPhaseFor), "90 s");
        EXPECT_EQ(value(findings, Fact::WaitsFor), "job office-1 and 0 more");
        section("the pool counts it and the host that the platform does not list as out of service", [&] {
            EXPECT_EQ(value(explainPool(seen, pool), Fact::Budget), "2 of 1 used");
            EXPECT_EQ(value(explainPool(seen, pool), Fact::Failed), "host-1");
        });
    });
}

TEST(Explanation, ReportsWhatQueuedJobWaitsFor)
{
    story("a queued job of a team whose rights are all granted waits for a right", [] {
        FleetSnapshot seen = view();
        JobRow row;
        row.id = job;
        row.team = office;
        row.endBy = seen.now + std::chrono::minutes(2);
        seen.jobs[job] = row;
        seen.rights[office] = RightsRow{office, 4, {}, {{{HostId("entry-a"), {}}, RightsUse::Requests, 1, 1, 3}}};
        const auto findings = explainJob(seen, job);
        EXPECT_EQ(value(findings, Fact::WaitsFor), "a right: 4 of 4 are granted, 4 of them for requests");
        EXPECT_EQ(value(findings, Fact::EndsWithin), "120 s");
        EXPECT_EQ(value(explainTeam(seen, office), Fact::Free), "0");
        section("when a right is free, the job waits for a worker", [&] {
            seen.rights[office].grants.front().leased = 0;
            EXPECT_EQ(value(explainJob(seen, job), Fact::WaitsFor),
                      "a worker with 1 cores, 1 GB and 0 accelerators free");
        });
    });
}

TEST(Explanation, ReturnsNothingForUnknownNames)
{
    EXPECT_FALSE(explainHost(view(), HostId("nowhere")));
    EXPECT_FALSE(explainJob(view(), job));
    EXPECT_FALSE(explainTeam(view(), TeamId("nobody")));
    EXPECT_FALSE(explainPool(view(), PoolId("none")));
}

} // namespace radishvane::tests
