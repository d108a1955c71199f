#include "core/cells/worker_roster.h"

#include <algorithm>
#include <cmath>

namespace radishvane::cells
{

namespace
{

/// Lower bound of a worker's clock rate relative to the local clock (published by the platform: 2 % slower).
constexpr double slowestClock = 0.98;
/// Clock that a new incarnation may show when it starts.
constexpr double clockMarginMs = 50;
/// Time that a worker takes to end runs whose leases have expired.
constexpr std::int64_t leaseExpiryMarginMs = 250;
/// A list of hosts that is requested this long after an order reflects the effect of the order.
constexpr Duration listDelay{600};
/// Bytes of an encoded part without workers, and of a worker's entry apart from its texts.
constexpr std::size_t emptyPartBytes = 5;
constexpr std::size_t entryBytes = 14;

std::size_t storedBytes(const Worker &worker)
{
    return worker.id.name().size() + worker.host.name().size() + worker.pool.name().size()
        + worker.endpoint.address.size() + entryBytes;
}

} // namespace

bool Worker::isReconciled(TimePoint now, LeaseBound bound) const
{
    if (incarnationEnded) {
        return true;
    }
    const TimePoint until = bound == LeaseBound::Longest ? inheritedUntil : inheritedUsuallyUntil;
    if (hasUnlistedEnds) {
        // The further ends come with the next lists, unless the worker no longer answers.
        return (!fenced || unreachable) && now >= until;
    }
    return fenced || now >= until;
}

bool Worker::acceptsTasks(TimePoint now) const
{
    return fenced && recorded && !cordoned && !isHostInDoubt && !unreachable && !incarnationEnded && !hasUnknownTasks
        && entry && entry->state == WorkerState::Ready && now >= avoidedUntil;
}

bool Worker::hasStoredEnds() const
{
    return stored >= processed;
}

bool Worker::mayAcknowledge(TimePoint now) const
{
    // The further ends of a full list, among which those of unlisted starts may be, come only after an acknowledgement.
    return hasUnlistedEnds || std::none_of(unlistedStarts.begin(), unlistedStarts.end(), [now](const auto &start) {
               return now < start.second.lateUntil;
           });
}

bool Worker::isIdle() const
{
    return tasks.empty() && foreignTasks.empty() && !hasUnknownTasks && !hasUnlistedEnds && hasStoredEnds();
}

bool Worker::hasLabel(const std::string &label) const
{
    return label.empty() || (entry && entry->labels.count(label) > 0);
}

Resources Worker::room() const
{
    return entry ? entry->room : Resources{};
}

std::int64_t Worker::estimatedClock(TimePoint now) const
{
    return clock + std::llround(toMilliseconds(now - clockAt));
}

std::int64_t Worker::minClock(TimePoint now) const
{
    if (now < clockAt) {
        return estimatedClock(now);
    }
    return clock + static_cast<std::int64_t>(toMilliseconds(now - clockAt) * slowestClock);
}

void Worker::recordClock(std::int64_t reading, TimePoint now)
{
    // Answers may overtake each other.
    if (reading >= minClock(now)) {
        clock = reading;
        clockAt = now;
    }
}

bool Worker::isOwnClock(std::int64_t reading, TimePoint now) const
{
    return aliveSince != TimePoint{} && static_cast<double>(reading) > toMilliseconds(now - aliveSince) + clockMarginMs;
}

std::int64_t Worker::leaseDeadlineAfter(Duration leaseTime, TimePoint now) const
{
    return minClock(now) + leaseTime.count();
}

bool Worker::hasLeaseExpired(TimePoint now) const
{
    return now >= inheritedUntil && now >= settledAt && now >= unverifiedUntil
        && minClock(now) > leaseDeadline + leaseExpiryMarginMs;
}

std::optional<Duration> Worker::leaseLeft(TimePoint now) const
{
    if (hasUnlistedEnds || hasUnknownTasks || now < settledAt || now < unverifiedUntil || pendingStarts > 0) {
        return std::nullopt;
    }
    if (fenced && tasks.empty() && foreignTasks.empty()) {
        return Duration{0};
    }
    const double ofOwnOrders = static_cast<double>(leaseDeadline + leaseExpiryMarginMs - minClock(now)) / slowestClock;
    const double left = std::max({0.0, ofOwnOrders, toMilliseconds(inheritedUntil - now)});
    return Duration(static_cast<Duration::rep>(std::ceil(left)));
}

bool Worker::holdsNoLease(TimePoint now) const
{
    return tasks.empty() && hasStoredEnds() && (incarnationEnded || (unreachable && hasLeaseExpired(now)));
}

WorkerAddress Worker::address() const
{
    return WorkerAddress{id, endpoint};
}

void WorkerRoster::reset(const std::vector<RosterRow> &recorded, TimePoint inheritedUntil,
                         TimePoint inheritedUsuallyUntil)
{
    m_workers.clear();
    m_partBytes.clear();
    m_lostParts.clear();
    m_unknownUntil = TimePoint{};
    for (const RosterRow &row : recorded) {
        m_partBytes.try_emplace(row.part, emptyPartBytes);
        for (const KnownWorker &known : row.workers) {
            const auto [place, isNew] = m_workers.try_emplace(known.id);
            Worker &worker = place->second;
            // An owner of a version that knows the first part only may have left an older entry in another one.
            if (!isNew && known.startedAtMs <= worker.startedAtMs) {
                continue;
            }
            if (!isNew) {
                m_partBytes[worker.rosterPart] -= storedBytes(worker);
            }
            worker.id = known.id;
            worker.incarnationNumber = ++m_incarnations;
            worker.fenceNumber = worker.incarnationNumber;
            worker.host = known.host;
            worker.pool = known.pool;
            worker.endpoint = known.endpoint;
            worker.startedAtMs = known.startedAtMs;
            worker.recorded = true;
            worker.inheritedUntil = inheritedUntil;
            worker.mayHoldLongestLease = known.mayHoldLongestLease;
            worker.inheritedUsuallyUntil = known.mayHoldLongestLease ? inheritedUntil : inheritedUsuallyUntil;
            worker.rosterPart = row.part;
            m_partBytes[row.part] += storedBytes(worker);
        }
    }
}

void WorkerRoster::loseParts(const std::set<std::uint32_t> &parts, TimePoint unknownUntil)
{
    if (!parts.empty()) {
        m_lostParts = parts;
        m_unknownUntil = unknownUntil;
    }
}

bool WorkerRoster::hasUnknownWorkers(TimePoint now) const
{
    return now < m_unknownUntil;
}

bool WorkerRoster::regainLostParts(TimePoint now)
{
    if (m_lostParts.empty() || hasUnknownWorkers(now)) {
        return false;
    }
    for (const std::uint32_t part : m_lostParts) {
        m_partBytes.try_emplace(part, emptyPartBytes);
    }
    m_lostParts.clear();
    return true;
}

std::vector<WorkerId> WorkerRoster::observe(const std::vector<WorkerEntry> &entries)
{
    std::vector<WorkerId> restarted;
    for (auto &[id, worker] : m_workers) {
        worker.entry.reset();
    }
    for (const WorkerEntry &entry : entries) {
        const auto [place, isNew] = m_workers.try_emplace(entry.id);
        Worker &worker = place->second;
        if (isNew) {
            worker.id = entry.id;
            worker.incarnationNumber = ++m_incarnations;
            worker.fenceNumber = worker.incarnationNumber;
            worker.startedAtMs = entry.startedAtMs;
            worker.inheritedUntil = m_unknownUntil;
            worker.inheritedUsuallyUntil = m_unknownUntil;
        } else if (entry.startedAtMs > worker.startedAtMs) {
            // Discovery may lag behind the worker's own answer, so an earlier start time is ignored.
            restarted.push_back(entry.id);
        } else if (entry.startedAtMs < worker.startedAtMs) {
            continue;
        }
        if (isNew || worker.endpoint != entry.endpoint || worker.pool != entry.pool) {
            worker.recorded = false;
        }
        if (!isNew) {
            m_partBytes[worker.rosterPart] -= storedBytes(worker);
        }
        worker.host = entry.host;
        worker.pool = entry.pool;
        worker.endpoint = entry.endpoint;
        worker.entry = entry;
        if (isNew) {
            assignPart(worker);
        }
        m_partBytes[worker.rosterPart] += storedBytes(worker);
    }
    return restarted;
}

std::vector<WorkerId> WorkerRoster::replaced(const HostList &list) const
{
    std::vector<WorkerId> ids;
    if (!list.requestedAt) {
        return ids;
    }
    for (const auto &[id, worker] : m_workers) {
        const auto host = list.hosts.find(worker.host);
        const bool answers = worker.fenced && !worker.unreachable;
        // A list that was requested before the worker's last answer says nothing about its end.
        const bool isOlder = *list.requestedAt <= worker.clockAt;
        if (worker.incarnationEnded || !worker.recorded || answers || isOlder || host == list.hosts.end()) {
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

std::vector<WorkerId> WorkerRoster::wronglyEnded(const HostList &list) const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        const auto host = list.hosts.find(worker.host);
        const bool isListed
            = host != list.hosts.end() && host->second.state == SiteHostState::Up && host->second.worker == id;
        if (worker.incarnationEnded && worker.entry && isListed
            && *list.requestedAt > worker.incarnationEndedAt + listDelay) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<WorkerId> WorkerRoster::removable(TimePoint now) const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.entry && worker.tasks.empty() && worker.hasStoredEnds() && worker.renewal.value == 0
            && (worker.incarnationEnded || worker.hasLeaseExpired(now))) {
            ids.push_back(id);
        }
    }
    return ids;
}

void WorkerRoster::remove(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        m_partBytes[found->second.rosterPart] -= storedBytes(found->second);
        m_workers.erase(found);
    }
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

bool WorkerRoster::hasUnreconciledWorker(TimePoint now, LeaseBound bound) const
{
    return hasUnknownWorkers(now) || std::any_of(m_workers.begin(), m_workers.end(), [now, bound](const auto &pair) {
               return !pair.second.isReconciled(now, bound);
           });
}

bool WorkerRoster::isReconciled(const WorkerId &id, TimePoint now, LeaseBound bound) const
{
    const Worker *worker = find(id);
    return worker == nullptr ? !hasUnknownWorkers(now) : worker->isReconciled(now, bound);
}

std::vector<RosterRow> WorkerRoster::rows(TimePoint now) const
{
    std::map<std::uint32_t, RosterRow> parts;
    for (const auto &[part, bytes] : m_partBytes) {
        parts[part].part = part;
    }
    for (const auto &[id, worker] : m_workers) {
        // A recorded worker may get tasks after it has answered.
        if (!worker.recorded && worker.holdsNoLease(now)) {
            continue;
        }
        parts[worker.rosterPart].workers.push_back(
            KnownWorker{worker.id, worker.host, worker.pool, worker.endpoint, worker.startedAtMs,
                        now < worker.settledAt || (worker.mayHoldLongestLease && now < worker.inheritedUntil)});
    }
    std::vector<RosterRow> rows;
    rows.reserve(parts.size());
    for (auto &[part, row] : parts) {
        rows.push_back(std::move(row));
    }
    return rows;
}

void WorkerRoster::assignPart(Worker &worker)
{
    const std::size_t bytes = storedBytes(worker);
    std::uint32_t part = 0;
    for (;; ++part) {
        const std::size_t maxBytes = part == 0 ? maxFirstPartBytes : maxPartBytes;
        const auto known = m_partBytes.find(part);
        const bool isUsable = m_lostParts.count(part) == 0;
        if (isUsable && (known == m_partBytes.end() || known->second + bytes <= maxBytes)) {
            break;
        }
    }
    worker.rosterPart = part;
    m_partBytes.try_emplace(part, emptyPartBytes);
}

void WorkerRoster::raiseFence(Worker &worker)
{
    worker.fenceNumber = ++m_incarnations;
    worker.openAcknowledgements = 0;
}

void WorkerRoster::beginIncarnation(Worker &worker, std::int64_t startedAtMs)
{
    worker.startedAtMs = startedAtMs;
    worker.incarnationNumber = ++m_incarnations;
    worker.fenceNumber = worker.incarnationNumber;
    worker.fenced = false;
    worker.unreachable = false;
    worker.hasUnlistedEnds = false;
    worker.incarnationEnded = false;
    // The starts were sent to the former incarnation, so that settledAt covers them.
    worker.unverifiedUntil = TimePoint{};
    // The answer to a pending renewal may come from the former incarnation, whose clock and ends are not those of the
    // new one.
    worker.renewal = CallId{};
    worker.previousDeadline = 0;
    worker.clock = 0;
    worker.clockAt = TimePoint{};
    worker.leaseDeadline = 0;
    worker.processed = 0;
    worker.stored = 0;
    worker.acknowledged = 0;
    worker.renewalAcknowledges = 0;
    worker.aliveSince = TimePoint{};
    worker.openAcknowledgements = 0;
    std::erase_if(worker.unlistedStarts, [](const auto &start) { return start.second.isAccepted; });
    worker.foreignTasks.clear();
    worker.foreignUsed = Resources{};
    worker.hasUnknownTasks = false;
    worker.failuresInARow = 0;
    worker.bestEffortNotBefore = TimePoint{};
    worker.avoidedUntil = TimePoint{};
    worker.nextRenewal = TimePoint{};
}

} // namespace radishvane::cells
