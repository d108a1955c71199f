#include "tests/support/cell_site.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ostream>
#include <tuple>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr int entryHosts = 3;
constexpr int workers = 4;
constexpr int spareHosts = 2;
constexpr int jobs = 48;

/// What happens to a site whose links are full.
enum class Disturbance {
    KillOwner,
    StopOwner,
    FreezeOwner,
    CutOwnerFromStore,
    CutWorker,
    RestartWorker,
    ReplaceEntry,
    StoreDown,
    LoseWrite,
    CancelJob,
    SubmitPeak,
    Heal,
};
constexpr int disturbances = 12;

struct DisturbanceEvent
{
    int after = 0;
    int disturbance = 0;
    int target = 0;
};

std::ostream &operator<<(std::ostream &stream, const DisturbanceEvent &step)
{
    return stream << "after " << step.after << " ms: disturbance " << step.disturbance << " on " << step.target;
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

std::string jobName(int index)
{
    return "j" + std::to_string(index % jobs);
}

void heal(CellSite &site)
{
    site.storeDown = false;
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
    for (int index = 0; index < 2 * workers; ++index) {
        site.worker(workerName(index)).cut = false;
    }
}

void submit(CellSite &site, int index)
{
    const std::string job = jobName(index);
    site.durations[JobId(job)] = 150 + 250 * (index % 7);
    for (int entryHost = 0; entryHost < entryHosts; ++entryHost) {
        site.submit(entryHostName(entryHost), job, index % 4 < 2 ? "plans" : "quotes",
                    graphOf(1 + index % 2, 2 + index % 7, 1'000, Duration(400)), index % 3 == 0 ? "dyers" : "");
    }
}

void apply(CellSite &site, const DisturbanceEvent &step, int &submitted)
{
    const std::string owner = site.owner();
    const std::string worker = workerName(step.target);
    switch (static_cast<Disturbance>(step.disturbance)) {
    case Disturbance::KillOwner:
        if (!owner.empty()) {
            site.kill(owner);
            site.restart(owner);
        }
        return;
    case Disturbance::StopOwner:
        if (!owner.empty()) {
            site.stop(owner);
            site.run(Duration(300));
            site.kill(owner);
            site.restart(owner);
        }
        return;
    case Disturbance::FreezeOwner:
        if (!owner.empty()) {
            site.freeze(owner);
        }
        return;
    case Disturbance::CutOwnerFromStore:
        if (!owner.empty()) {
            site.node(owner).cutFromStore = true;
        }
        return;
    case Disturbance::CutWorker:
        site.worker(worker).cut = true;
        return;
    case Disturbance::RestartWorker:
        site.crash(worker);
        site.revive(worker);
        return;
    case Disturbance::ReplaceEntry:
        // Discovery loses the entry of a worker for a while, as when the store was down.
        site.worker(worker).listed = !site.worker(worker).listed;
        return;
    case Disturbance::StoreDown:
        site.storeDown = true;
        site.run(Duration(200 + 40 * step.target));
        if (step.target % 2 == 0 && !owner.empty()) {
            site.kill(owner);
            site.restart(owner);
        }
        site.storeDown = false;
        return;
    case Disturbance::LoseWrite:
        site.loseNextWrite = true;
        return;
    case Disturbance::CancelJob:
        site.cancel(entryHostName(step.target), jobName(step.target));
        if (!owner.empty()) {
            site.cancel(owner, jobName(step.target));
        }
        return;
    case Disturbance::SubmitPeak:
        for (int index = 0; index < 4 && submitted < jobs; ++index) {
            submit(site, submitted++);
        }
        return;
    case Disturbance::Heal:
        heal(site);
        return;
    }
}

/// Draws what happens to a site. A drawn number is below a part of its range that follows from @p size.
std::vector<DisturbanceEvent> drawSteps(int size)
{
    const auto step
        = rc::gen::map(rc::gen::resize(size,
                                       rc::gen::tuple(rc::gen::inRange(1, 1'500), rc::gen::inRange(0, disturbances),
                                                      rc::gen::inRange(0, 48))),
                       [](const std::tuple<int, int, int> &drawn) {
                           return DisturbanceEvent{std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn)};
                       });
    return *rc::gen::resize(30, rc::gen::container<std::vector<DisturbanceEvent>>(step));
}

void checkRules(int size, double failingRuns = 0)
{
    CellSite site(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    site.addTeam("dyers", 6'000);
    site.addQueue("plans", "looms", 1'000);
    site.addQueue("quotes", "frames", 1'000);
    for (int index = 0; index < workers; ++index) {
        site.addWorker("l" + std::to_string(index), "looms", 4'000);
        site.addWorker("f" + std::to_string(index), "frames", 4'000);
    }
    site.addStandby("spare", spareHosts, 4'000);
    for (int index = 0; index < entryHosts; ++index) {
        site.addNode(entryHostName(index));
    }
    site.run(Duration(2'500));
    GraphSpec service = graphOf(1, 3, 1'000, Duration(0));
    service.steps[0].isService = true;
    service.steps[0].maxPerWorker = 1;
    service.steps[0].maxUnavailable = 1;
    site.submit(site.owner(), "lasting", "plans", service);
    int submitted = 0;
    for (int index = 0; index < 6; ++index) {
        submit(site, submitted++);
    }
    if (*rc::gen::inRange(0, 3) == 0) {
        site.addWave(1, {"l0", "l1", "l2", "l3"}, 1);
    }
    site.failingRuns = failingRuns;
    site.heldUp = *rc::gen::element(0.001, 0.005, 0.02, 0.1);
    site.lostHostOrders = *rc::gen::element(0.0, 0.3);
    site.maxHoldUp = *rc::gen::element<std::int64_t>(600, 2'000, 4'000);
    for (const DisturbanceEvent &step : drawSteps(size)) {
        if (submitted < jobs) {
            submit(site, submitted++);
        }
        site.run(Duration(step.after));
        apply(site, step, submitted);
    }
    heal(site);
    for (int index = 0; index < 2 * workers; ++index) {
        site.worker(workerName(index)).listed = site.worker(workerName(index)).alive;
    }
    site.heldUp = 0;
    site.run(Duration(45'000));
    for (const std::string &violation : site.broken) {
        RC_FAIL(violation);
    }
    for (int index = 0; index < submitted; ++index) {
        const std::vector<CallAnswer> &answers = site.answers(jobName(index));
        const bool accepted = std::find(answers.begin(), answers.end(), CallAnswer::Accepted) != answers.end();
        const auto state = site.state(jobName(index));
        if (accepted) {
            RC_ASSERT(state.has_value());
            RC_ASSERT(isFinal(*state));
        }
    }
}

} // namespace

RC_GTEST_PROP(CellOverload, KeepsTheRulesWhileMessagesAreHeldUpForSeconds, ())
{
    checkRules(30);
}

RC_GTEST_PROP(CellOverload, KeepsTheRulesUnderAllDisturbances, ())
{
    checkRules(rc::kNominalSize);
}

RC_GTEST_PROP(CellOverload, CountsFailuresOnceWhileMessagesAreHeldUpForSeconds, ())
{
    checkRules(30, *rc::gen::element(0.1, 0.4));
}

} // namespace radishvane::tests
