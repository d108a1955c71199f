#include "tests/support/cell_stories.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

void fillLooms(CellSite &site, std::size_t workers)
{
    site.addQueue("plans", "looms");
    for (std::size_t index = 0; index < workers; ++index) {
        site.addWorker("w" + std::to_string(index), "looms", 8'000);
    }
    site.addNode("a");
    site.addNode("b");
    site.run(Duration(2'000));
}

std::string other(const CellSite &site)
{
    return site.owner() == "a" ? "b" : "a";
}

GraphSpec serviceJob(std::uint32_t count, std::uint32_t allowance)
{
    GraphSpec spec = graphOf(1, count, 2'000, Duration(500));
    spec.steps[0].isService = true;
    spec.steps[0].maxUnavailable = allowance;
    return spec;
}

void expectNothingBroken(const CellSite &site)
{
    for (const std::string &what : site.broken) {
        ADD_FAILURE() << what;
    }
}

void runPastLongestLease(CellSite &site)
{
    // 2.6 s after the last renewal that it has seen, which it may see 200 ms late.
    constexpr int takeover = 2'800;
    constexpr Duration longestLease{10'700};
    for (int waited = 0; waited < takeover && site.owner().empty(); waited += 10) {
        site.run(Duration(10));
    }
    ASSERT_FALSE(site.owner().empty());
    site.run(longestLease);
}

void submitLongJob(CellSite &site, const std::string &job, std::uint32_t count)
{
    site.durations[JobId(job)] = 20'000;
    site.submit(site.owner(), job, "plans", graphOf(1, count, 1'000, Duration(20'000)));
    for (int waited = 0; waited < 4'000 && site.runs(job) < count; waited += 10) {
        site.run(Duration(10));
    }
    ASSERT_EQ(site.runs(job), count);
}

void changeOwner(CellSite &site, void (CellSite::*end)(const std::string &))
{
    const std::string second = other(site);
    (site.*end)(site.owner());
    for (int waited = 0; waited < 10'000 && site.owner() != second; waited += 10) {
        site.run(Duration(10));
    }
    ASSERT_EQ(site.owner(), second);
}

void submitWithLateStart(CellSite &site, int delay)
{
    submitWithLateStart(site, delay, graphOf(1, 1, 1'000, Duration(8'000)));
}

void submitWithLateStart(CellSite &site, int delay, GraphSpec spec)
{
    fillLooms(site, 3);
    site.worker("w1").entry.labels = {"other"};
    site.run(Duration(4'000));
    site.durations[JobId("j1")] = 8'000;
    site.loseNextStart = delay;
    site.submit(site.owner(), "j1", "plans", std::move(spec));
    while (site.loseNextStart) {
        site.run(Duration(1));
    }
    GraphSpec other = graphOf(1, 1, 1'000, Duration(30'000));
    other.steps.front().label = "other";
    site.durations[JobId("j2")] = 30'000;
    site.submit(site.owner(), "j2", "plans", other);
}

void restartUnlisted(CellSite &site)
{
    site.crash("w0");
    site.run(Duration(1'000));
    site.revive("w0");
    site.worker("w0").listed = false;
    site.run(Duration(700));
    site.worker("w0").listed = true;
}

} // namespace radishvane::tests
