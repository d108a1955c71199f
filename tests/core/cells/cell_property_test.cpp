#include "tests/support/cell_site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <ostream>
#include <set>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr int entryHosts = 3;
constexpr int workers = 5;
constexpr int idleWorkers = 2;
constexpr int jobs = 14;

/// Faults and operations that the test applies to a site at random times.
enum class Fault {
    KillEntryHost,
    StopOwner,
    FreezeOwner,
    CutEntryHostFromStore,
    CrashWorker,
    CutWorker,
    StallWorker,
    StoreDown,
    CancelJob,
    HealAll,
};

struct FaultEvent
{
    int after = 0;
    int fault = 0;
    int target = 0;
};

std::ostream &operator<<(std::ostream &stream, const FaultEvent &event)
{
    return stream << "after " << event.after << " ms: fault " << event.fault << " on " << event.target;
}

std::string entryHostName(int index)
{
    return "n" + std::to_string(index % entryHosts);
}

std::string workerName(int index)
{
    return "w" + std::to_string(index % workers);
}

std::string jobName(int index)
{
    return "j" + std::to_string(index % jobs);
}

void repairAll(CellSite &site)
{
    site.storeDown = false;
    site.lostAnswers = 0;
    for (int index = 0; index < entryHosts; ++index) {
        ModelNode &entryHost = site.node(entryHostName(index));
        entryHost.cutFromStore = false;
        if (!entryHost.alive) {
            site.restart(entryHostName(index));
        }
        if (entryHost.frozen) {
            site.thaw(entryHostName(index));
        }
    }
    for (int index = 0; index < workers; ++index) {
        ModelWorker &worker = site.worker(workerName(index));
        worker.cut = false;
        worker.stalls = false;
        if (!worker.alive) {
            site.revive(workerName(index));
        }
    }
}

void injectFault(CellSite &site, const FaultEvent &event)
{
    const std::string entryHost = entryHostName(event.target);
    const std::string worker = workerName(event.target);
    switch (static_cast<Fault>(event.fault)) {
    case Fault::KillEntryHost:
        if (site.node(entryHost).alive) {
            site.kill(entryHost);
            site.restart(entryHost);
        }
        return;
    case Fault::StopOwner:
        if (!site.owner().empty()) {
            const std::string owner = site.owner();
            site.stop(owner);
            site.run(Duration(300));
            site.kill(owner);
            site.restart(owner);
        }
        return;
    case Fault::FreezeOwner:
        if (!site.owner().empty()) {
            site.freeze(site.owner());
        }
        return;
    case Fault::CutEntryHostFromStore:
        site.node(entryHost).cutFromStore = true;
        return;
    case Fault::CrashWorker:
        site.crash(worker);
        return;
    case Fault::CutWorker:
        site.worker(worker).cut = true;
        return;
    case Fault::StallWorker:
        site.worker(worker).stalls = true;
        return;
    case Fault::StoreDown:
        site.storeDown = true;
        return;
    case Fault::CancelJob:
        site.cancel(entryHost, jobName(event.target));
        return;
    case Fault::HealAll:
        repairAll(site);
        return;
    }
}

std::vector<FaultEvent> drawFaults()
{
    const auto event
        = rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 1'500), rc::gen::inRange(0, 10), rc::gen::inRange(0, 60)),
                       [](const std::tuple<int, int, int> &drawn) {
                           return FaultEvent{std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn)};
                       });
    return *rc::gen::resize(24, rc::gen::container<std::vector<FaultEvent>>(event));
}

/// Looks for jobs that wait while most of the capacity of their pool is free and the site is undisturbed.
class IdleJobs
{
public:
    static constexpr std::int64_t patience = 3'000;

    /// @return the first job that has had nothing running for longer than the patience; empty if there is none.
    std::string next(CellSite &site)
    {
        if (site.owner().empty()) {
            m_idleSince.clear();
            return {};
        }
        std::map<std::string, std::size_t> room;
        std::map<std::string, std::size_t> running;
        std::set<std::string> active;
        std::size_t ofTeam = 0;
        for (const std::string &id : workerNames()) {
            const ModelWorker &worker = site.worker(id);
            const std::string pool = worker.entry.pool.name();
            room[pool] += worker.alive && worker.listed ? worker.entry.room.cpu / 1'000 : 0;
            running[pool] += worker.running.size();
            for (const auto &[task, run] : worker.running) {
                const std::string job = task.job.name();
                active.insert(job);
                ofTeam += job.front() == 'j' && std::stoi(job.substr(1)) % 2 == 0 ? 1 : 0;
            }
        }
        for (int index = 0; index < jobs; ++index) {
            for (const std::string &job : {jobName(index), "v" + jobName(index)}) {
                const std::string pool = job.front() == 'v' ? "frames" : "looms";
                const auto state = site.state(job);
                const bool isLimited = job.front() == 'j' && index % 2 == 0 && ofTeam >= 3;
                const bool mayRun = state && !isFinal(*state) && active.count(job) == 0 && !isLimited
                    && 2 * running[pool] < room[pool];
                if (!mayRun) {
                    m_idleSince.erase(job);
                    continue;
                }
                const std::int64_t since = m_idleSince.try_emplace(job, site.time()).first->second;
                if (site.time() - since > patience) {
                    return job;
                }
            }
        }
        return {};
    }

private:
    static std::vector<std::string> workerNames()
    {
        std::vector<std::string> names;
        for (int index = 0; index < workers; ++index) {
            names.push_back(workerName(index));
        }
        for (int index = 0; index < idleWorkers; ++index) {
            names.push_back("f" + std::to_string(index));
            names.push_back("spare" + std::to_string(index));
        }
        return names;
    }

    std::map<std::string, std::int64_t> m_idleSince;
};

} // namespace

RC_GTEST_PROP(CellProperty, InvariantsHoldAndAcceptedJobsEndUnderRandomFaults, ())
{
    CellSite site(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    site.addTeam("dyers", 6'000);
    site.addQueue("plans", "looms", 1'000);
    for (int index = 0; index < workers; ++index) {
        site.addWorker(workerName(index), "looms", 5'000);
    }
    // With hosts of different capacity, fit ones also ask for the cell during the faults.
    const double coresOfFirst = *rc::gen::element(1.0, 0.05);
    for (int index = 0; index < entryHosts; ++index) {
        site.addNode(entryHostName(index), HostCapacity{index == 0 ? coresOfFirst : 1, 1'000});
    }
    // A second pool with little demand and a standby pool, so that hosts also move during the faults.
    site.addQueue("weaves", "frames", 1'000);
    for (int index = 0; index < idleWorkers; ++index) {
        site.addWorker("f" + std::to_string(index), "frames", 5'000);
    }
    site.addStandby("spare", idleWorkers, 5'000);
    site.lostHostOrders = *rc::gen::element(0.0, 0.3);
    site.lostAnswers = *rc::gen::element(0.0, 0.02, 0.2);
    site.run(Duration(2'000));
    const std::vector<FaultEvent> events = drawFaults();
    for (int index = 0; index < jobs; ++index) {
        site.durations[JobId(jobName(index))] = 200 + 300 * index;
        for (int entryHost = 0; entryHost < entryHosts; ++entryHost) {
            site.submit(entryHostName(entryHost), jobName(index), "plans",
                        graphOf(1 + index % 3, 1 + index % 5, 1'000, Duration(400)), index % 2 == 0 ? "dyers" : "");
            site.submit(entryHostName(entryHost), "v" + jobName(index), "weaves",
                        graphOf(1, 1 + index % 5, 1'000, Duration(400)));
        }
    }
    for (const FaultEvent &event : events) {
        site.run(Duration(event.after));
        injectFault(site, event);
    }
    repairAll(site);
    site.lostHostOrders = 0;
    site.run(Duration(4'000));
    IdleJobs idle;
    for (int step = 0; step < 560; ++step) {
        site.run(Duration(100));
        const std::string job = idle.next(site);
        if (!job.empty()) {
            RC_FAIL("a job waits with capacity: " + job + " at " + std::to_string(site.time()));
        }
    }
    for (const std::string &violation : site.broken) {
        RC_FAIL(violation);
    }
    for (int index = 0; index < jobs; ++index) {
        const std::vector<CallAnswer> &answers = site.answers(jobName(index));
        const bool accepted = std::find(answers.begin(), answers.end(), CallAnswer::Accepted) != answers.end();
        const auto state = site.state(jobName(index));
        if (accepted) {
            RC_ASSERT(state.has_value());
            RC_ASSERT(isFinal(*state));
        }
        const bool mayRun = std::any_of(answers.begin(), answers.end(), [](CallAnswer answer) {
            return answer == CallAnswer::Accepted || answer == CallAnswer::InDoubt;
        });
        if (!mayRun && answers.size() == static_cast<std::size_t>(entryHosts)) {
            RC_ASSERT(site.runs(jobName(index)) == 0U);
        }
    }
}

} // namespace radishvane::tests
