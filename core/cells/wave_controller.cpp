#include "core/cells/wave_controller.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Returns the workers on @p host, of which at most the one that started last still runs there. The list of hosts may
/// be older than that worker.
std::vector<const Worker *> workersOn(const WorkerRoster &roster, const HostId &host)
{
    std::vector<const Worker *> workers;
    for (const auto &[id, worker] : roster.all()) {
        if (worker.host == host) {
            workers.push_back(&worker);
        }
    }
    std::sort(workers.begin(), workers.end(),
              [](const Worker *left, const Worker *right) { return left->startedAtMs < right->startedAtMs; });
    return workers;
}

} // namespace

void WaveController::clear()
{
    *this = WaveController{};
}

void WaveController::restore(const std::vector<WaveRow> &rows)
{
    for (const WaveRow &row : rows) {
        m_restored[row.number] = row;
    }
}

void WaveController::observe(const std::vector<Wave> &waves, TimePoint now)
{
    for (const Wave &wave : waves) {
        const auto [place, isNew] = m_waves.try_emplace(wave.number);
        WaveState &state = place->second;
        state.wave = wave;
        if (!isNew) {
            continue;
        }
        for (const HostId &host : wave.hosts) {
            state.hosts[host].seenAt = now;
        }
        const auto restored = m_restored.find(wave.number);
        if (restored == m_restored.end()) {
            continue;
        }
        state.begun = true;
        state.completed = restored->second.completed;
        for (const HostId &host : restored->second.ordered) {
            const auto known = state.hosts.find(host);
            if (known != state.hosts.end()) {
                // The host may still be down; the next list of hosts shows its state.
                known->second.stage = HostStage::Down;
                known->second.accepted = true;
            }
        }
    }
}

WorkerId WaveController::handleOutcome(const HostId &host, std::uint64_t wave, HostOrderOutcome outcome, TimePoint now)
{
    const auto found = m_waves.find(wave);
    if (found == m_waves.end()) {
        return WorkerId();
    }
    WaveHost &entry = found->second.hosts[host];
    entry.since = now;
    switch (outcome) {
    case HostOrderOutcome::Accepted:
        entry.stage = HostStage::Down;
        entry.accepted = true;
        break;
    case HostOrderOutcome::Unknown:
        // The host counts as down until it is fenced and a list shows it up; then the order is sent again.
        entry.stage = HostStage::Down;
        entry.accepted = false;
        break;
    case HostOrderOutcome::NotInWave:
    case HostOrderOutcome::Invalid:
        entry.stage = HostStage::Done;
        break;
    case HostOrderOutcome::Fenced:
    case HostOrderOutcome::Busy:
    case HostOrderOutcome::Refused:
        entry.stage = HostStage::Draining;
        entry.notBefore = now + retryInterval;
        break;
    }
    return entry.worker;
}

void WaveController::handleReportOutcome(std::uint64_t wave, bool written, TimePoint now)
{
    const auto found = m_waves.find(wave);
    if (found == m_waves.end() || written) {
        return;
    }
    found->second.reportedRunning = false;
    found->second.reportedCompleted = false;
    found->second.reportNotBefore = now + retryInterval;
}

bool WaveController::isOpen() const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [](const auto &pair) { return !pair.second.completed; });
}

bool WaveController::isOccupied(const WaveHost &host)
{
    return host.stage == HostStage::Draining || host.stage == HostStage::Ordered || host.stage == HostStage::Down;
}

std::set<HostId> WaveController::occupiedHosts() const
{
    std::set<HostId> hosts;
    for (const auto &[number, state] : m_waves) {
        for (const auto &[id, host] : state.hosts) {
            if (!state.completed && isOccupied(host)) {
                hosts.insert(id);
            }
        }
    }
    return hosts;
}

const SiteHost *WaveController::View::find(const HostId &host) const
{
    const auto found = list.hosts.find(host);
    return found == list.hosts.end() ? nullptr : &found->second;
}

bool WaveController::View::isUp(const HostId &host) const
{
    const SiteHost *found = find(host);
    return found != nullptr && found->state == SiteHostState::Up;
}

WavePlan WaveController::plan(const HostList &list, const WorkerRoster &roster, const std::set<HostId> &moving,
                              const std::set<HostId> &inDoubt, TimePoint now)
{
    const View view{list, roster, moving, inDoubt, now};
    WavePlan plan;
    for (auto &[number, state] : m_waves) {
        if (!state.completed && list.requestedAt) {
            planWave(state, view, plan);
        }
        const bool isReportDue = state.completed ? !state.reportedCompleted : state.begun && !state.reportedRunning;
        if (isReportDue && now >= state.reportNotBefore) {
            state.reportedRunning = true;
            state.reportedCompleted = state.completed;
            plan.reports.emplace_back(number, state.completed);
        }
    }
    return plan;
}

bool WaveController::isOccupiedByOtherWave(const HostId &host, std::uint64_t wave) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&](const auto &pair) {
        const auto found = pair.second.hosts.find(host);
        return pair.first != wave && found != pair.second.hosts.end() && isOccupied(found->second);
    });
}

bool WaveController::updatePresence(const HostId &host, WaveHost &entry, const View &view)
{
    const TimePoint requestedAt = *view.list.requestedAt;
    if (view.find(host) != nullptr) {
        entry.seenAt = std::max(entry.seenAt, requestedAt);
        entry.missingSince.reset();
        return false;
    }
    const std::vector<const Worker *> workers = workersOn(view.roster, host);
    const bool isInDiscovery = std::any_of(workers.begin(), workers.end(), [](const Worker *worker) {
        return worker->entry && !worker->incarnationEnded;
    });
    if (isInDiscovery) {
        entry.seenAt = view.now;
        entry.missingSince.reset();
    }
    if (requestedAt <= entry.seenAt) {
        // The list may be older than the host.
        return false;
    }
    if (!entry.missingSince) {
        entry.missingSince = requestedAt;
    }
    return requestedAt - *entry.missingSince >= absenceTime;
}

bool WaveController::needsNoMaintenance(const WaveHost &host)
{
    return host.stage == HostStage::Done || host.stage == HostStage::Absent;
}

void WaveController::updateHosts(WaveState &state, const View &view, WavePlan &plan)
{
    bool changed = false;
    for (auto &[host, entry] : state.hosts) {
        if (updatePresence(host, entry, view)) {
            if (entry.stage != HostStage::Done) {
                entry.stage = HostStage::Absent;
            }
            continue;
        }
        if (entry.stage == HostStage::Absent) {
            entry.stage = HostStage::Waiting;
        }
        const bool isRecent = *view.list.requestedAt > entry.since + restartTime;
        if (entry.stage != HostStage::Down || !isRecent || !view.isUp(host)) {
            continue;
        }
        if (view.inDoubt.count(host) > 0) {
            continue;
        }
        entry.since = view.now;
        if (!entry.accepted) {
            // The host refuses the order that had no answer, so it is ordered again when its workers are idle.
            entry.stage = HostStage::Draining;
            continue;
        }
        entry.stage = HostStage::Done;
        changed = true;
    }
    const bool isComplete = std::all_of(state.hosts.begin(), state.hosts.end(),
                                        [](const auto &pair) { return needsNoMaintenance(pair.second); });
    if (isComplete) {
        state.completed = true;
        changed = true;
    }
    if (changed) {
        plan.changedRows.push_back(toRow(state));
    }
}

void WaveController::selectNextHosts(WaveState &state, const View &view, std::size_t maxHosts)
{
    std::vector<std::tuple<double, HostId>> waiting;
    for (auto &[host, entry] : state.hosts) {
        if (entry.stage != HostStage::Waiting || !view.isUp(host) || view.moving.count(host) > 0
            || view.inDoubt.count(host) > 0 || isOccupiedByOtherWave(host, state.wave.number)) {
            continue;
        }
        const Worker *worker = view.roster.find(view.find(host)->worker);
        waiting.emplace_back(worker == nullptr ? 0.0 : static_cast<double>(worker->used.cpu), host);
    }
    std::sort(waiting.begin(), waiting.end());
    waiting.resize(std::min(waiting.size(), maxHosts));
    for (const auto &[load, host] : waiting) {
        state.hosts[host].stage = HostStage::Draining;
        state.hosts[host].since = view.now;
    }
}

void WaveController::planWave(WaveState &state, const View &view, WavePlan &plan)
{
    if (!state.begun) {
        state.begun = true;
        plan.changedRows.push_back(toRow(state));
    }
    updateHosts(state, view, plan);
    if (state.completed) {
        return;
    }
    std::size_t down = 0;
    std::size_t draining = 0;
    for (const auto &[host, entry] : state.hosts) {
        const SiteHost *listed = view.find(host);
        const bool isListedDown = listed != nullptr && listed->state == SiteHostState::Maintained;
        const bool isOrdered = entry.stage == HostStage::Down || entry.stage == HostStage::Ordered;
        const bool mayGoDown = entry.stage != HostStage::Absent && view.inDoubt.count(host) > 0;
        down += isOrdered || mayGoDown || (isListedDown && entry.stage != HostStage::Done) ? 1 : 0;
        draining += entry.stage == HostStage::Draining ? 1 : 0;
    }
    const std::size_t maxDraining
        = state.wave.maxHostsDown * (1 + drainedAhead) - std::min<std::size_t>(down, state.wave.maxHostsDown);
    selectNextHosts(state, view, maxDraining - std::min(draining, maxDraining));
    for (auto &[host, entry] : state.hosts) {
        if (entry.stage == HostStage::Ordered || entry.stage == HostStage::Down) {
            plan.cordoned.insert(entry.worker);
        }
        if (entry.stage != HostStage::Draining) {
            continue;
        }
        const std::vector<const Worker *> workers = workersOn(view.roster, host);
        for (const Worker *worker : workers) {
            plan.cordoned.insert(worker->id);
        }
        // Tasks that a former owner started are unknown until the worker answers or their leases have expired.
        const bool isEmpty = std::all_of(workers.begin(), workers.end(), [&view](const Worker *worker) {
            // The order ends all runs on the host, so that a lease beyond the usual one does no harm.
            return worker->isReconciled(view.now, LeaseBound::Usual) && worker->tasks.empty()
                && worker->hasStoredEnds();
        });
        if (!isEmpty || view.inDoubt.count(host) > 0 || !view.isUp(host) || down >= state.wave.maxHostsDown
            || view.now < entry.notBefore) {
            continue;
        }
        entry.stage = HostStage::Ordered;
        entry.since = view.now;
        entry.worker = workers.empty() ? view.find(host)->worker : workers.back()->id;
        ++down;
        plan.hostsToMaintain.emplace_back(host, state.wave.number);
    }
}

WaveRow WaveController::toRow(const WaveState &state) const
{
    WaveRow row;
    row.number = state.wave.number;
    row.completed = state.completed;
    for (const auto &[host, entry] : state.hosts) {
        if (entry.accepted) {
            row.ordered.push_back(host);
        }
    }
    return row;
}

} // namespace radishvane::cells
