#include "tests/support/cell_site.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

// Disturbances that aim at one start: its worker restarts and is cut off, its order is late, and its owner ends.

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr int entryHosts = 3;
constexpr int workers = 4;
constexpr int maxDisturbances = 4;
constexpr std::int64_t longTask = 14'000;

enum class OwnerEnd {
    Killed,
    Stopped,
    Frozen,
    CutFromStore,
};
constexpr std::array<std::string_view, 4> ownerEndNames{"killed", "stopped", "frozen", "cut-from-store"};

enum class Work {
    LongTasks,
    LongGang,
    ServiceTasks,
};
constexpr std::array<std::string_view, 3> workNames{"long-tasks", "long-gang", "service-tasks"};

enum class Restart {
    /// All workers of the pool restart before the work comes, and discovery shows it later.
    BeforeStart,
    /// The worker restarts before it gets the late start.
    AfterStart,
};
constexpr std::array<std::string_view, 2> restartNames{"before-start", "after-start"};

/// What happens round one start. Times are in milliseconds.
struct StartDisturbance
{
    int pause = 0;
    Work work = Work::LongTasks;
    Restart restart = Restart::AfterStart;
    /// Time for which a start before a restart is held up.
    int lateness = 0;
    /// Part of the lateness after which the worker crashes, in percent.
    int crashPart = 0;
    int darkTime = 0;
    int unlistedTime = 0;
    OwnerEnd ownerEnd = OwnerEnd::Killed;
    /// From the start.
    int ownerEndsAfter = 0;
    int ownerAwayTime = 0;
    /// From the time at which the worker has carried out the start.
    int cutAfter = 0;
    int cutTime = 0;
};

std::ostream &operator<<(std::ostream &stream, const StartDisturbance &step)
{
    return stream << "after " << step.pause << " ms " << workNames[static_cast<std::size_t>(step.work)] << ", restart "
                  << restartNames[static_cast<std::size_t>(step.restart)] << ", late by " << step.lateness
                  << ", crash at " << step.crashPart << " %, dark for " << step.darkTime << ", unlisted for "
                  << step.unlistedTime << ", owner " << ownerEndNames[static_cast<std::size_t>(step.ownerEnd)]
                  << " after " << step.ownerEndsAfter << " for " << step.ownerAwayTime << ", cut after "
                  << step.cutAfter << " for " << step.cutTime;
}

rc::Gen<StartDisturbance> anyDisturbance()
{
    const auto whole = rc::gen::tuple(
        rc::gen::inRange(0, 4'000), rc::gen::element(Work::LongTasks, Work::LongGang, Work::ServiceTasks),
        rc::gen::element(Restart::BeforeStart, Restart::AfterStart), rc::gen::inRange(1'000, 8'000),
        rc::gen::inRange(0, 100), rc::gen::inRange(0, 600), rc::gen::inRange(0, 1'000),
        rc::gen::element(OwnerEnd::Killed, OwnerEnd::Killed, OwnerEnd::Stopped, OwnerEnd::Frozen,
                         OwnerEnd::CutFromStore),
        rc::gen::inRange(0, 200), rc::gen::inRange(200, 8'000), rc::gen::inRange(0, 1'500),
        rc::gen::inRange(4'000, 14'000));
    return rc::gen::map(rc::gen::resize(rc::kNominalSize, whole),
                        [](const auto &drawn) { return std::make_from_tuple<StartDisturbance>(drawn); });
}

std::string entryHostName(int index)
{
    return "n" + std::to_string(index % entryHosts);
}

/// The workers of both pools in turn.
std::string workerName(int index)
{
    return (index % 2 == 0 ? "l" : "f") + std::to_string(index / 2 % workers);
}

/// A site with work for two pools, whose jobs are numbered.
class DisturbedSite
{
public:
    DisturbedSite() : m_site(*rc::gen::inRange<std::uint64_t>(1, 1'000'000))
    {
        m_site.addTeam("dyers", 6'000);
        m_site.addQueue("plans", "looms", 1'000);
        m_site.addQueue("quotes", "frames", 1'000);
        for (int index = 0; index < 2 * workers; ++index) {
            m_site.addWorker(workerName(index), index % 2 == 0 ? "looms" : "frames", 4'000);
        }
        for (int index = 0; index < entryHosts; ++index) {
            m_site.addNode(entryHostName(index));
        }
        m_site.run(Duration(*rc::gen::element(2'500, 8'000, 20'000)));
        submit("lasting", "plans", serviceSpec());
        m_site.heldUp = *rc::gen::element(0.0, 0.001, 0.005, 0.02);
        m_site.maxHoldUp = *rc::gen::element<std::int64_t>(600, 2'000, 4'000);
    }

    void disturb(const StartDisturbance &step)
    {
        submitUsual();
        m_site.run(Duration(step.pause));
        const int number = m_jobs++;
        const std::string job = "aimed" + std::to_string(number);
        const std::string pool = number % 2 == 0 ? "l" : "f";
        if (step.restart == Restart::BeforeStart) {
            restartPool(pool, step.darkTime);
        } else {
            m_site.loseNextStart = step.lateness;
        }
        submitAimed(job, number, step.work);
        const std::string worker = workerOfNewestStart(job);
        m_site.loseNextStart.reset();
        const std::string owner = m_site.owner();
        if (!worker.empty() && !owner.empty()) {
            carryOut(step, worker, owner);
        }
        for (int index = 0; index < workers; ++index) {
            m_site.worker(pool + std::to_string(index)).listed = true;
        }
        submitUsual();
    }

    void checkRules()
    {
        heal();
        m_site.heldUp = 0;
        // Longer than any message is held up.
        m_site.run(Duration(20'000));
        for (int waited = 20; waited < 110 && !unfinished().empty(); ++waited) {
            m_site.run(Duration(1'000));
        }
        for (const std::string &violation : m_site.broken) {
            RC_FAIL(violation);
        }
        for (const std::string &job : unfinished()) {
            RC_FAIL("the job has not ended: " + job);
        }
        for (const auto &[job, count] : m_services) {
            RC_ASSERT(!isAccepted(job) || running(job) == count);
        }
    }

private:
    static GraphSpec serviceSpec()
    {
        GraphSpec spec = graphOf(1, 3, 1'000, Duration(0));
        spec.steps[0].isService = true;
        spec.steps[0].maxPerWorker = 1;
        spec.steps[0].maxUnavailable = 1;
        return spec;
    }

    void submit(const std::string &job, const std::string &queue, const GraphSpec &spec, const std::string &team = {})
    {
        for (int index = 0; index < entryHosts; ++index) {
            m_site.submit(entryHostName(index), job, queue, spec, team);
        }
        if (spec.steps[0].isService) {
            m_services[job] = spec.steps[0].count;
        } else {
            m_finite.push_back(job);
        }
    }

    /// Submits a job; the tasks of one in five are long.
    void submitUsual()
    {
        const int number = m_usual++;
        const std::string job = "usual" + std::to_string(number);
        const bool isLong = number % 5 == 0;
        m_site.durations[JobId(job)] = isLong ? longTask : 150 + 250 * (number % 7);
        submit(job, number % 4 < 2 ? "plans" : "quotes",
               graphOf(1 + number % 2, 2 + number % 3, 1'000, Duration(isLong ? longTask : 400)),
               number % 3 == 0 ? "dyers" : "");
    }

    void submitAimed(const std::string &job, int number, Work work)
    {
        GraphSpec spec = graphOf(1, 2, 1'000, Duration(longTask));
        spec.steps[0].gang = work == Work::LongGang;
        if (work == Work::ServiceTasks) {
            spec = serviceSpec();
            spec.steps[0].count = 1;
        }
        m_site.durations[JobId(job)] = longTask;
        submit(job, number % 2 == 0 ? "plans" : "quotes", spec);
    }

    void restartPool(const std::string &pool, int darkTime)
    {
        for (int index = 0; index < workers; ++index) {
            m_site.crash(pool + std::to_string(index));
        }
        m_site.run(Duration(darkTime));
        for (int index = 0; index < workers; ++index) {
            m_site.revive(pool + std::to_string(index));
            m_site.worker(pool + std::to_string(index)).listed = false;
        }
    }

    /// Waits for a start of @p job, and returns the worker that the newest start was sent to.
    std::string workerOfNewestStart(const std::string &job)
    {
        constexpr int maxWait = 1'500;
        for (int waited = 0; waited < maxWait; ++waited) {
            const auto newest = std::find_if(m_site.log.rbegin(), m_site.log.rend(), [](const DecisionLogEntry &entry) {
                return entry.decision == CellDecision::TaskStarted;
            });
            if (newest != m_site.log.rend() && newest->subject.starts_with(job + ".")) {
                return newest->worker;
            }
            m_site.run(Duration(1));
        }
        return {};
    }

    void carryOut(const StartDisturbance &step, const std::string &worker, const std::string &owner)
    {
        constexpr int stopTime = 300;
        std::vector<std::pair<int, std::function<void()>>> events;
        int arrival = 3;
        if (step.restart == Restart::AfterStart) {
            arrival = step.lateness + 1;
            const int crash = std::max(0, step.lateness - step.darkTime) * step.crashPart / 100;
            const int back = crash + step.darkTime;
            events.emplace_back(crash, [&] { m_site.crash(worker); });
            events.emplace_back(back, [&] {
                m_site.revive(worker);
                m_site.worker(worker).listed = false;
            });
            events.emplace_back(back + step.unlistedTime, [&] { m_site.worker(worker).listed = true; });
        } else {
            events.emplace_back(step.unlistedTime, [&] { m_site.worker(worker).listed = true; });
        }
        events.emplace_back(step.ownerEndsAfter, [&] { end(owner, step.ownerEnd); });
        if (step.ownerEnd == OwnerEnd::Stopped) {
            events.emplace_back(step.ownerEndsAfter + stopTime, [&] { m_site.kill(owner); });
        }
        events.emplace_back(step.ownerEndsAfter + stopTime + step.ownerAwayTime, [&] { bringBack(owner); });
        events.emplace_back(arrival + step.cutAfter, [&] { m_site.worker(worker).cut = true; });
        events.emplace_back(arrival + step.cutAfter + step.cutTime, [&] { m_site.worker(worker).cut = false; });
        std::stable_sort(events.begin(), events.end(),
                         [](const auto &left, const auto &right) { return left.first < right.first; });
        int now = 0;
        for (const auto &[at, event] : events) {
            m_site.run(Duration(at - now));
            now = at;
            event();
        }
    }

    void end(const std::string &owner, OwnerEnd how)
    {
        switch (how) {
        case OwnerEnd::Killed:
            m_site.kill(owner);
            return;
        case OwnerEnd::Stopped:
            m_site.stop(owner);
            return;
        case OwnerEnd::Frozen:
            m_site.freeze(owner);
            return;
        case OwnerEnd::CutFromStore:
            m_site.node(owner).cutFromStore = true;
            return;
        }
    }

    void bringBack(const std::string &entryHost)
    {
        ModelNode &node = m_site.node(entryHost);
        node.cutFromStore = false;
        if (!node.alive) {
            m_site.restart(entryHost);
        }
        if (node.frozen) {
            m_site.thaw(entryHost);
        }
    }

    void heal()
    {
        for (int index = 0; index < entryHosts; ++index) {
            bringBack(entryHostName(index));
        }
        for (int index = 0; index < 2 * workers; ++index) {
            m_site.worker(workerName(index)).cut = false;
            m_site.worker(workerName(index)).listed = true;
        }
    }

    bool isAccepted(const std::string &job)
    {
        const std::vector<CallAnswer> &answers = m_site.answers(job);
        return std::find(answers.begin(), answers.end(), CallAnswer::Accepted) != answers.end();
    }

    std::vector<std::string> unfinished()
    {
        std::vector<std::string> jobs;
        for (const std::string &job : m_finite) {
            const auto state = m_site.state(job);
            if (isAccepted(job) && (!state || !isFinal(*state))) {
                jobs.push_back(job);
            }
        }
        return jobs;
    }

    std::size_t running(const std::string &job)
    {
        std::size_t tasks = 0;
        for (int index = 0; index < 2 * workers; ++index) {
            for (const auto &[task, run] : m_site.worker(workerName(index)).running) {
                tasks += task.job == JobId(job) ? 1 : 0;
            }
        }
        return tasks;
    }

    CellSite m_site;
    int m_jobs = 0;
    int m_usual = 0;
    std::vector<std::string> m_finite;
    /// Jobs of service tasks, with the number of their tasks.
    std::map<std::string, std::size_t> m_services;
};

} // namespace

RC_GTEST_PROP(CellOverload, KeepsTheRulesWhileWorkersAndOwnersOfNewStartsEnd, ())
{
    DisturbedSite site;
    const int count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, maxDisturbances + 1));
    for (const StartDisturbance &step :
         *rc::gen::container<std::vector<StartDisturbance>>(static_cast<std::size_t>(count), anyDisturbance())) {
        site.disturb(step);
    }
    site.checkRules();
}

} // namespace radishvane::tests
