#include "core/cells/worker_roster.h"

#include <cmath>

namespace radishvane::cells
{

namespace
{

/// A worker's clock may run that much slower than ours (published by the platform: 2 %).
constexpr double slowestClock = 0.98;
/// Time for a worker to end what has lost its lease.
constexpr std::int64_t lapseMarginMs = 250;
/// A list of hosts that was asked for so long after an order shows what it has done.
constexpr Duration listSettle{600};

} // namespace

bool Worker::isSettled(TimePoint now) const
{
    return fenced || gone || now >= inheritedUntil;
}

bool Worker::takesTasks(TimePoint now) const
{
    return fenced && recorded && !cordoned && !silent && !gone && !runsUnknown && entry
        && entry->state == WorkerState::Ready && now >= avoidedUntil;
}

bool Worker::hasLabel(const std::string &label) const
{
    return label.empty() || (entry && entry->labels.count(label) > 0);
}

Resources Worker::room() const
{
    return entry ? entry->room : Resources{};
}

std::int64_t Worker::clockNow(TimePoint now) const
{
    return clock + std::llround(toMilliseconds(now - clockAt));
}

std::int64_t Worker::clockAtLeast(TimePoint now) const
{
    return clock + static_cast<std::int64_t>(toMilliseconds(now - clockAt) * slowestClock);
}

bool Worker::hasLapsed(TimePoint now) const
{
    return now >= inheritedUntil && clockAtLeast(now) > leaseDeadline + lapseMarginMs;
}

bool Worker::isLeaseless(TimePoint now) const
{
    return tasks.empty() && (gone || (silent && hasLapsed(now)));
}

WorkerAddress Worker::address() const
{
    return WorkerAddress{id, endpoint};
}

void WorkerRoster::reset(const RosterRow &recorded, TimePoint inheritedUntil)
{
    m_workers.clear();
    for (const KnownWorker &known : recorded.workers) {
        Worker worker;
        worker.id = known.id;
        worker.host = known.host;
        worker.pool = known.pool;
        worker.endpoint = known.endpoint;
        worker.born = known.born;
        worker.recorded = true;
        worker.inheritedUntil = inheritedUntil;
        m_workers[known.id] = std::move(worker);
    }
}

std::vector<WorkerId> WorkerRoster::see(const std::vector<WorkerEntry> &entries)
{
    std::vector<WorkerId> reborn;
    for (auto &[id, worker] : m_workers) {
        worker.entry.reset();
    }
    for (const WorkerEntry &entry : entries) {
        const auto [place, isNew] = m_workers.try_emplace(entry.id);
        Worker &worker = place->second;
        if (isNew) {
            worker.id = entry.id;
            worker.born = entry.born;
        } else if (entry.born > worker.born) {
            // Discovery may lag behind the worker's own word, so an earlier birth tells nothing.
            reborn.push_back(entry.id);
        } else if (entry.born < worker.born) {
            continue;
        }
        if (isNew || worker.endpoint != entry.endpoint || worker.pool != entry.pool) {
            worker.recorded = false;
        }
        worker.host = entry.host;
        worker.pool = entry.pool;
        worker.endpoint = entry.endpoint;
        worker.entry = entry;
    }
    return reborn;
}

std::vector<WorkerId> WorkerRoster::replaced(const HostList &list) const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        const auto host = list.hosts.find(worker.host);
        const bool answers = worker.fenced && !worker.silent;
        if (worker.gone || !worker.recorded || answers || host == list.hosts.end()) {
            continue;
        }
        const SiteHostState state = host->second.state;
        const bool isEmptied = state == SiteHostState::Moving || state == SiteHostState::Maintained;
        const bool runsAnother
            = state == SiteHostState::Up && !host->second.worker.empty() && host->second.worker != id;
        if (isEmptied || runsAnother) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<WorkerId> WorkerRoster::stillThere(const HostList &list) const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        const auto host = list.hosts.find(worker.host);
        const bool isListed
            = host != list.hosts.end() && host->second.state == SiteHostState::Up && host->second.worker == id;
        if (worker.gone && worker.entry && isListed && *list.askedAt > worker.goneAt + listSettle) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<WorkerId> WorkerRoster::forgettable(TimePoint now) const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.entry && worker.tasks.empty() && worker.hold.value == 0 && (worker.gone || worker.hasLapsed(now))) {
            ids.push_back(id);
        }
    }
    return ids;
}

void WorkerRoster::forget(const WorkerId &id)
{
    m_workers.erase(id);
}

Worker *WorkerRoster::find(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Worker *WorkerRoster::find(const WorkerId &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::map<WorkerId, Worker> &WorkerRoster::all()
{
    return m_workers;
}

const std::map<WorkerId, Worker> &WorkerRoster::all() const
{
    return m_workers;
}

bool WorkerRoster::isUnsettled(const PoolId &pool, TimePoint now) const
{
    for (const auto &[id, worker] : m_workers) {
        if (worker.pool == pool && worker.recorded && !worker.isSettled(now)) {
            return true;
        }
    }
    return false;
}

RosterRow WorkerRoster::row(TimePoint now) const
{
    RosterRow row;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isLeaseless(now)) {
            continue;
        }
        row.workers.push_back(KnownWorker{worker.id, worker.host, worker.pool, worker.endpoint, worker.born});
    }
    return row;
}

void WorkerRoster::beginLife(Worker &worker, std::int64_t born)
{
    worker.born = born;
    worker.fenced = false;
    worker.silent = false;
    worker.gone = false;
    worker.earlierDeadline = 0;
    worker.clock = 0;
    worker.clockAt = TimePoint{};
    worker.leaseDeadline = 0;
    worker.inheritedUntil = TimePoint{};
    worker.processed = 0;
    worker.stored = 0;
    worker.noted = 0;
    worker.holdNotes = 0;
    worker.foreign.clear();
    worker.foreignUsed = Resources{};
    worker.runsUnknown = false;
    worker.failuresInARow = 0;
    worker.fillNotBefore = TimePoint{};
    worker.avoidedUntil = TimePoint{};
    worker.nextHold = TimePoint{};
}

} // namespace radishvane::cells
