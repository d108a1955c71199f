#include "tests/support/cell_site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr int nodes = 3;
constexpr int workers = 5;
constexpr int idleWorkers = 2;
constexpr int jobs = 14;

/// What may happen to a site at any moment.
enum class Trouble {
    KillNode,
    StopNode,
    FreezeNode,
    CutNodeFromStore,
    CrashWorker,
    CutWorker,
    StallWorker,
    StoreDown,
    CancelJob,
    HealAll,
};

struct Moment
{
    int after = 0;
    int trouble = 0;
    int what = 0;
};

std::ostream &operator<<(std::ostream &stream, const Moment &moment)
{
    return stream << "after " << moment.after << " ms: trouble " << moment.trouble << " with " << moment.what;
}

std::string nodeName(int index)
{
    return "n" + std::to_string(index % nodes);
}

std::string workerName(int index)
{
    return "w" + std::to_string(index % workers);
}

std::string jobName(int index)
{
    return "j" + std::to_string(index % jobs);
}

void heal(CellSite &site)
{
    site.storeDown = false;
    site.lostAnswers = 0;
    for (int index = 0; index < nodes; ++index) {
        ModelNode &node = site.node(nodeName(index));
        node.cutFromStore = false;
        if (!node.alive) {
            site.restart(nodeName(index));
        }
        if (node.frozen) {
            site.thaw(nodeName(index));
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

void happen(CellSite &site, const Moment &moment)
{
    const std::string node = nodeName(moment.what);
    const std::string worker = workerName(moment.what);
    switch (static_cast<Trouble>(moment.trouble)) {
    case Trouble::KillNode:
        if (site.node(node).alive) {
            site.kill(node);
            site.restart(node);
        }
        return;
    case Trouble::StopNode:
        if (!site.owner().empty()) {
            const std::string owner = site.owner();
            site.stop(owner);
            site.run(Duration(300));
            site.kill(owner);
            site.restart(owner);
        }
        return;
    case Trouble::FreezeNode:
        if (!site.owner().empty()) {
            site.freeze(site.owner());
        }
        return;
    case Trouble::CutNodeFromStore:
        site.node(node).cutFromStore = true;
        return;
    case Trouble::CrashWorker:
        site.crash(worker);
        return;
    case Trouble::CutWorker:
        site.worker(worker).cut = true;
        return;
    case Trouble::StallWorker:
        site.worker(worker).stalls = true;
        return;
    case Trouble::StoreDown:
        site.storeDown = true;
        return;
    case Trouble::CancelJob:
        site.cancel(node, jobName(moment.what));
        return;
    case Trouble::HealAll:
        heal(site);
        return;
    }
}

std::vector<Moment> drawMoments()
{
    const auto moment
        = rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 1'500), rc::gen::inRange(0, 10), rc::gen::inRange(0, 60)),
                       [](const std::tuple<int, int, int> &drawn) {
                           return Moment{std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn)};
                       });
    return *rc::gen::resize(24, rc::gen::container<std::vector<Moment>>(moment));
}

} // namespace

RC_GTEST_PROP(CellProperty, NothingIsBrokenAndEveryJobEndsUnderAnyTrouble, ())
{
    CellSite site(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    site.addTeam("dyers", 6'000);
    site.addQueue("plans", "looms", 1'000);
    for (int index = 0; index < workers; ++index) {
        site.addWorker(workerName(index), "looms", 5'000);
    }
    for (int index = 0; index < nodes; ++index) {
        site.addNode(nodeName(index));
    }
    // A second pool without demand and one in standby, so that hosts move under the same troubles.
    site.addQueue("weaves", "frames", 1'000);
    for (int index = 0; index < idleWorkers; ++index) {
        site.addWorker("f" + std::to_string(index), "frames", 5'000);
    }
    site.addStandby("spare", idleWorkers, 5'000);
    site.lostHostOrders = *rc::gen::element(0.0, 0.3);
    site.lostAnswers = *rc::gen::element(0.0, 0.02, 0.2);
    site.run(Duration(2'000));
    const std::vector<Moment> moments = drawMoments();
    for (int index = 0; index < jobs; ++index) {
        site.durations[JobId(jobName(index))] = 200 + 300 * index;
        for (int node = 0; node < nodes; ++node) {
            site.submit(nodeName(node), jobName(index), "plans",
                        graphOf(1 + index % 3, 1 + index % 5, 1'000, Duration(400)), index % 2 == 0 ? "dyers" : "");
            site.submit(nodeName(node), "v" + jobName(index), "weaves",
                        graphOf(1, 1 + index % 5, 1'000, Duration(400)));
        }
    }
    for (const Moment &moment : moments) {
        site.run(Duration(moment.after));
        happen(site, moment);
    }
    heal(site);
    site.run(Duration(60'000));
    for (const std::string &what : site.broken) {
        RC_FAIL(what);
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
        if (!mayRun && answers.size() == static_cast<std::size_t>(nodes)) {
            RC_ASSERT(site.runs(jobName(index)) == 0U);
        }
    }
}

} // namespace radishvane::tests
