#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

/// Jobs that the four workers of fillLooms() complete in one second.
constexpr int fullRate = 8;
constexpr std::int64_t runTime = 1'000;
/// Queues of the model have a stretch of 2, and a job has some value up to three times its objective.
constexpr Duration jobObjective{2 * runTime};
constexpr Duration jobUseful = 3 * jobObjective;

GraphSpec jobOf()
{
    return graphOf(1, 4, 1'000, Duration(runTime));
}

/// Callers who submit jobs evenly over a time, and what became of the jobs.
class Load
{
public:
    explicit Load(CellSite &site) : m_site(site)
    {
    }

    /// Submits @p rate jobs a second to @p queue for @p seconds seconds.
    /// @return ids of the jobs.
    std::vector<std::string> submit(const std::vector<std::string> &queues, int rate, double seconds)
    {
        std::vector<std::string> ids;
        const int count = static_cast<int>(rate * seconds);
        for (int index = 0; index < count; ++index) {
            for (const std::string &queue : queues) {
                const std::string id = "j" + std::to_string(m_jobs++);
                m_site.durations[JobId(id)] = runTime;
                const std::string owner = m_site.owner();
                m_site.submit(owner.empty() ? "a" : owner, id, queue, jobOf());
                ids.push_back(id);
            }
            m_site.run(Duration(1'000 / rate));
        }
        return ids;
    }

    int completedWithin(const std::vector<std::string> &ids, Duration time)
    {
        int count = 0;
        for (const std::string &id : ids) {
            const Job *job = m_site.node(m_site.owner()).controller->registry().find(JobId(id));
            count += job != nullptr && job->state == GraphState::Completed && job->endedAt - job->addedAt <= time;
        }
        return count;
    }

    int answered(const std::vector<std::string> &ids, CallAnswer answer)
    {
        int count = 0;
        for (const std::string &id : ids) {
            count += m_site.answers(id) == std::vector{answer} ? 1 : 0;
        }
        return count;
    }

private:
    CellSite &m_site;
    int m_jobs = 0;
};

} // namespace

TEST(CellBurst, KeepsTheGoodputOfFullLoad)
{
    for (const int factor : {3, 10}) {
        story("callers submit " + std::to_string(factor) + " times what the workers can serve for 12 s", [factor] {
            CellSite site;
            fillLooms(site);
            Load load(site);
            const double seconds = 12;
            const auto served = load.submit({"plans"}, fullRate, 6);
            const int withoutBurst = 2 * load.completedWithin(served, jobObjective);
            ASSERT_GT(withoutBurst, 0);
            const auto burst = load.submit({"plans"}, factor * fullRate, seconds);
            site.run(Duration(2'000));
            const auto later = load.submit({"plans"}, fullRate / 2, 6);
            site.run(jobUseful);
            section("at least 0.7 of what is served without the burst ends in time",
                    [&] { EXPECT_GE(load.completedWithin(burst, jobObjective), 0.7 * withoutBurst); });
            section("what is accepted ends while it is of use", [&] {
                const int accepted = load.answered(burst, CallAnswer::Accepted);
                EXPECT_EQ(load.completedWithin(burst, jobUseful), accepted);
            });
            section("the others are refused in the same moment", [&] {
                EXPECT_EQ(load.answered(burst, CallAnswer::Accepted) + load.answered(burst, CallAnswer::Overloaded),
                          static_cast<int>(burst.size()));
            });
            section("2 s after the burst new work is served as before",
                    [&] { EXPECT_EQ(load.completedWithin(later, jobObjective), static_cast<int>(later.size())); });
            expectNothingBroken(site);
        });
    }
}

TEST(CellBurst, KeepsTheGoodputWhenTheOwnerStops)
{
    story("the owner stops in the middle of a burst of three times the full load", [] {
        CellSite site;
        fillLooms(site);
        Load load(site);
        const auto before = load.submit({"plans"}, 3 * fullRate, 6);
        const std::string owner = site.owner();
        site.stop(owner);
        const auto after = load.submit({"plans"}, 3 * fullRate, 6);
        ASSERT_NE(site.owner(), owner);
        site.run(Duration(2'000));
        const auto later = load.submit({"plans"}, fullRate / 2, 6);
        site.run(jobUseful);
        section("at least 0.7 of what the workers can serve ends while it is of use", [&] {
            EXPECT_GE(load.completedWithin(before, jobUseful) + load.completedWithin(after, jobUseful),
                      0.7 * fullRate * 12);
        });
        section("2 s after the burst new work is served as before",
                [&] { EXPECT_EQ(load.completedWithin(later, jobObjective), static_cast<int>(later.size())); });
        expectNothingBroken(site);
    });
}

TEST(CellBurst, StarvesNoQueue)
{
    story("one queue of a pool gets several times what the workers can serve, the other a quarter of it", [] {
        CellSite site;
        fillLooms(site);
        site.addQueue("checks", "looms");
        site.run(Duration(500));
        Load load(site);
        std::vector<std::string> calm;
        std::vector<std::string> busy;
        for (int step = 0; step < 24; ++step) {
            const auto one = load.submit({"checks"}, 10, 0.1);
            calm.insert(calm.end(), one.begin(), one.end());
            const auto many = load.submit({"plans"}, 50, 0.4);
            busy.insert(busy.end(), many.begin(), many.end());
        }
        site.run(jobUseful);
        section("the usual calls of the calm queue are accepted",
                [&] { EXPECT_EQ(load.answered(calm, CallAnswer::Accepted), static_cast<int>(calm.size())); });
        section("both are served", [&] {
            EXPECT_GE(load.completedWithin(calm, jobUseful), 0.7 * static_cast<double>(calm.size()));
            EXPECT_GE(load.completedWithin(busy, jobUseful), 0.2 * fullRate * 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellBurst, RefusesNothingWhileWorkersAreFree)
{
    story("half of the workers are busy for a long time", [] {
        CellSite site;
        fillLooms(site);
        site.durations[JobId("long")] = 60'000;
        site.submit(site.owner(), "long", "plans", graphOf(1, 14, 1'000, Duration(60'000)));
        site.run(Duration(500));
        Load load(site);
        const auto jobs = load.submit({"plans"}, 2, 10);
        site.run(jobUseful);
        EXPECT_EQ(load.answered(jobs, CallAnswer::Accepted), static_cast<int>(jobs.size()));
        EXPECT_EQ(load.completedWithin(jobs, jobObjective), static_cast<int>(jobs.size()));
        expectNothingBroken(site);
    });
}

TEST(CellBurst, AcceptsWhatHostsOnStandbyCanServe)
{
    story("the load of a pool with four workers rises to three times its capacity, with hosts on standby", [] {
        CellSite site;
        fillLooms(site);
        site.addStandby("spare", 12, 8'000);
        site.run(Duration(3'000));
        Load load(site);
        const auto rise = load.submit({"plans"}, 3 * fullRate, 10);
        site.run(jobUseful);
        section("hosts are brought", [&] { EXPECT_GT(site.moves, 6); });
        section("most of the calls are accepted, and end while they are of use", [&] {
            EXPECT_GE(load.answered(rise, CallAnswer::Accepted), 0.8 * static_cast<double>(rise.size()));
            EXPECT_EQ(load.completedWithin(rise, jobUseful), load.answered(rise, CallAnswer::Accepted));
        });
        expectNothingBroken(site);
    });
}

TEST(CellBurst, SpreadsTheReturnOfRefusedCallers)
{
    story("hundreds of jobs come in one moment", [] {
        CellSite site;
        fillLooms(site);
        std::set<Duration> delays;
        int refused = 0;
        for (int index = 0; index < 200; ++index) {
            const std::string id = "j" + std::to_string(index);
            site.submit(site.owner(), id, "plans", jobOf());
            if (site.answers(id) == std::vector{CallAnswer::Overloaded}) {
                ++refused;
                delays.insert(std::chrono::ceil<std::chrono::seconds>(site.retryAfter(id)));
                EXPECT_GE(site.retryAfter(id), CellController::retryAfter);
                EXPECT_LE(site.retryAfter(id), CellController::maxRetryAfter);
            }
        }
        EXPECT_GT(refused, 100);
        EXPECT_GE(delays.size(), 2U);
        expectNothingBroken(site);
    });
}

TEST(CellBurst, AcceptsJobsBesideAServiceThatCannotBePlaced)
{
    story("a service waits for hosts with a label that no host has, and would fill most of the pool", [] {
        CellSite site;
        fillLooms(site);
        GraphSpec service = serviceJob(26, 1);
        service.steps[0].label = "missing";
        site.submit(site.owner(), "service", "plans", service);
        site.run(Duration(1'000));
        Load load(site);
        const auto jobs = load.submit({"plans"}, fullRate / 2, 4);
        site.run(jobUseful);
        EXPECT_EQ(load.completedWithin(jobs, jobObjective), static_cast<int>(jobs.size()));
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
