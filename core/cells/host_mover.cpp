#include "core/cells/host_mover.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Returns the one of two workers on the same host that runs there. Discovery may list a former worker for some time.
const Worker *newerOf(const Worker *left, const Worker *right)
{
    return left == nullptr || left->startedAtMs < right->startedAtMs ? right : left;
}

/// Returns the worker that runs on @p host according to discovery, or nullptr.
const Worker *workerOn(const WorkerRoster &roster, const HostId &host)
{
    const Worker *found = nullptr;
    for (const auto &[id, worker] : roster.all()) {
        if (worker.entry && worker.entry->host == host && !worker.incarnationEnded) {
            found = newerOf(found, &worker);
        }
    }
    return found;
}

/// Whether a worker accepts tasks now, or is expected to after it has answered under this epoch.
bool isServing(const Worker &worker, TimePoint now)
{
    const bool isReady
        = worker.entry && worker.entry->state == WorkerState::Ready && !worker.incarnationEnded && !worker.cordoned;
    return isReady && !worker.unreachable && (worker.fenced || !worker.isReconciled(now) || !worker.recorded);
}

bool isIdle(const Worker &worker)
{
    return worker.fenced && !worker.unreachable && worker.isIdle();
}

} // namespace

void HostMover::clear(TimePoint now)
{
    *this = HostMover{};
    m_ownedSince = now;
}

bool HostMover::isReady(const HostList &list, TimePoint now) const
{
    return now >= m_ownedSince + workerAnswerTime && list.requestedAt && *list.requestedAt > m_ownedSince;
}

std::vector<PlannedMove> HostMover::plan(const std::map<PoolId, PoolDemand> &demands, const SiteConfig &config,
                                         const HostList &list, const WorkerRoster &roster,
                                         const std::set<HostId> &hostsInWaves, std::size_t maxOrders, TimePoint now)
{
    removeFinished(config, list, roster, now);
    std::vector<PlannedMove> orders;
    for (auto &[id, move] : m_moves) {
        const Worker *worker = workerOn(roster, id);
        const bool isFree = worker == nullptr || isIdle(*worker);
        const bool isDue = move.stage == MoveStage::InDoubt && now >= move.since + retryInterval;
        if (isDue && isFree && orders.size() < maxOrders) {
            move.stage = MoveStage::Ordered;
            move.worker = worker == nullptr ? WorkerId() : worker->id;
            orders.push_back(move.plan);
        }
    }
    const std::vector<MovableHost> movable = hosts(list, roster, hostsInWaves, now);
    for (PlannedMove &planned : MovePlanner::plan(demands, config, movable, maxOrders - orders.size())) {
        Move move;
        move.plan = planned;
        move.since = now;
        const Worker *worker = workerOn(roster, planned.host);
        move.worker = worker == nullptr ? WorkerId() : worker->id;
        m_moves[planned.host] = move;
        orders.push_back(std::move(planned));
    }
    return orders;
}

void HostMover::removeFinished(const SiteConfig &config, const HostList &list, const WorkerRoster &roster,
                               TimePoint now)
{
    std::erase_if(m_moves, [&](const auto &pair) {
        const Move &move = pair.second;
        if (list.hosts.count(pair.first) == 0) {
            // An older list may have been requested before the host joined.
            return *list.requestedAt > move.since;
        }
        return move.stage == MoveStage::Moving
            && (hasArrived(move, config, list, roster) || now - move.since > maxMoveTime);
    });
}

bool HostMover::hasArrived(const Move &move, const SiteConfig &config, const HostList &list, const WorkerRoster &roster)
{
    const SiteHost &host = list.hosts.at(move.plan.host);
    if (*list.requestedAt <= move.since || host.state != SiteHostState::Up || host.pool != move.plan.to) {
        return false;
    }
    const auto pool = config.pools.find(move.plan.to);
    if (pool != config.pools.end() && pool->second.standby) {
        return true;
    }
    const Worker *worker = workerOn(roster, host.id);
    return worker != nullptr && worker->fenced && worker->recorded && worker->pool == move.plan.to;
}

std::vector<MovableHost> HostMover::hosts(const HostList &list, const WorkerRoster &roster,
                                          const std::set<HostId> &hostsInWaves, TimePoint now)
{
    std::map<HostId, const Worker *> workers;
    std::map<WorkerId, TimePoint> lastBusy;
    for (const auto &[id, worker] : roster.all()) {
        if (!worker.entry || worker.incarnationEnded) {
            continue;
        }
        const Worker *&running = workers[worker.entry->host];
        running = newerOf(running, &worker);
        const auto known = m_lastBusy.find(id);
        lastBusy[id] = known == m_lastBusy.end() || !isIdle(worker) ? now : known->second;
    }
    m_lastBusy = std::move(lastBusy);
    std::vector<MovableHost> movable;
    for (const auto &[id, host] : list.hosts) {
        const auto worker = workers.find(id);
        movable.push_back(
            toMovableHost(host, worker == workers.end() ? nullptr : worker->second, hostsInWaves.count(id) > 0, now));
    }
    return movable;
}

IncomingHosts HostMover::incoming(const SiteConfig &config, const HostList &list, const WorkerRoster &roster,
                                  const std::set<HostId> &occupied, double ordersPerMillisecond, TimePoint now) const
{
    IncomingHosts incoming;
    for (const auto &[id, move] : m_moves) {
        const auto host = list.hosts.find(id);
        if (host == list.hosts.end() || (move.stage == MoveStage::Moving && hasArrived(move, config, list, roster))) {
            continue;
        }
        incoming.moving[move.plan.to].push_back(ArrivingCapacity{Duration{0}, host->second.room});
    }
    for (const auto &[id, host] : list.hosts) {
        const auto pool = config.pools.find(host.pool);
        const auto lastBusy = m_lastBusy.find(host.worker);
        const bool isStandby = pool != config.pools.end() && pool->second.standby;
        const bool isIdle = lastBusy != m_lastBusy.end() && now - lastBusy->second >= MovePlanner::minIdleTime;
        if (host.state != SiteHostState::Up || m_moves.count(id) > 0 || occupied.count(id) > 0
            || (!isStandby && !isIdle)) {
            continue;
        }
        const auto order
            = static_cast<Duration::rep>(static_cast<double>(incoming.available.size()) / ordersPerMillisecond);
        incoming.available.push_back(ArrivingCapacity{Duration(order), host.room});
    }
    return incoming;
}

MovableHost HostMover::toMovableHost(const SiteHost &host, const Worker *worker, bool inWave, TimePoint now) const
{
    MovableHost view;
    view.id = host.id;
    view.pool = host.pool;
    view.room = host.room;
    view.labels = host.labels;
    view.rack = host.rack;
    const auto refused = m_refusingPools.find(host.id);
    if (refused != m_refusingPools.end()) {
        view.refusingPools = refused->second;
    }
    const auto move = m_moves.find(host.id);
    if (move != m_moves.end()) {
        view.pool = move->second.plan.to;
        view.serves = true;
        view.isArriving = true;
        return view;
    }
    const auto notBefore = m_notBefore.find(host.id);
    const bool isPaused = notBefore != m_notBefore.end() && now < notBefore->second;
    if (inWave || isPaused || host.state != SiteHostState::Up) {
        return view;
    }
    if (worker == nullptr) {
        // Only a host in a standby pool stays without a worker; the planner checks whether the pool is on standby.
        view.idleFor = host.worker.empty() ? std::optional(Duration{0}) : std::nullopt;
        return view;
    }
    if (worker->pool != host.pool) {
        return view;
    }
    view.serves = isServing(*worker, now);
    if (view.serves && isIdle(*worker) && host.worker == worker->id) {
        view.idleFor = std::chrono::duration_cast<Duration>(now - m_lastBusy.at(worker->id));
    }
    return view;
}

WorkerId HostMover::handleOutcome(const HostId &host, HostOrderOutcome outcome, TimePoint now)
{
    const auto found = m_moves.find(host);
    if (found == m_moves.end()) {
        return WorkerId();
    }
    Move &move = found->second;
    WorkerId worker = move.worker;
    move.since = now;
    switch (outcome) {
    case HostOrderOutcome::Accepted:
        move.stage = MoveStage::Moving;
        break;
    case HostOrderOutcome::Unknown:
        // The order may take effect at any time, so the host stays cordoned until a repeated order is answered.
        move.stage = MoveStage::InDoubt;
        break;
    case HostOrderOutcome::Invalid:
    case HostOrderOutcome::NotInWave:
        m_refusingPools[host].insert(move.plan.to);
        m_moves.erase(found);
        break;
    case HostOrderOutcome::Fenced:
    case HostOrderOutcome::Busy:
    case HostOrderOutcome::Refused:
        m_notBefore[host] = now + retryInterval;
        m_moves.erase(found);
        break;
    }
    return worker;
}

std::set<WorkerId> HostMover::cordoned(const WorkerRoster &roster) const
{
    std::set<WorkerId> workers;
    for (const auto &[id, worker] : roster.all()) {
        const auto move = worker.entry ? m_moves.find(worker.entry->host) : m_moves.end();
        if (move != m_moves.end() && (move->second.stage != MoveStage::Moving || move->second.worker == id)) {
            workers.insert(id);
        }
    }
    return workers;
}

std::set<HostId> HostMover::moving() const
{
    std::set<HostId> hosts;
    for (const auto &[id, move] : m_moves) {
        hosts.insert(id);
    }
    return hosts;
}

} // namespace radishvane::cells
