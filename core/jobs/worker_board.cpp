#include "core/jobs/worker_board.h"

#include <algorithm>
#include <vector>

namespace radishvane
{

namespace
{

bool fits(const JobResources &needs, const JobResources &total, const JobResources &used)
{
    return used.cores + needs.cores <= total.cores && used.memoryGb + needs.memoryGb <= total.memoryGb
        && used.accelerators + needs.accelerators <= total.accelerators;
}

double load(const JobResources &used, const JobResources &total)
{
    const double cores = total.cores == 0 ? 1.0 : static_cast<double>(used.cores) / total.cores;
    const double memory = total.memoryGb == 0 ? 1.0 : static_cast<double>(used.memoryGb) / total.memoryGb;
    return std::max(cores, memory);
}

std::uint32_t less(std::uint32_t from, std::uint32_t amount)
{
    return from - std::min(from, amount);
}

} // namespace

WorkerBoard::WorkerBoard(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void WorkerBoard::setConfig(const Config &config)
{
    for (auto &[host, worker] : m_workers) {
        worker.present = false;
    }
    for (const auto &[id, host] : config.hosts) {
        const auto pool = config.pools.find(host.pool);
        const bool spare = pool != config.pools.end() && pool->second.spare;
        if (!host.worker || spare) {
            continue;
        }
        Worker &worker = m_workers[id];
        worker.endpoint = *host.worker;
        worker.pool = host.pool;
        worker.total = JobResources{host.cores, host.memoryGb, host.accelerators};
        worker.present = true;
    }
}

void WorkerBoard::setLeaving(const std::set<HostId> &hosts)
{
    m_leaving = hosts;
}

bool WorkerBoard::canEverHold(const JobResources &needs) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return entry.second.present && fits(needs, entry.second.total, JobResources{0, 0, 0});
    });
}

std::optional<HostId> WorkerBoard::take(const JobResources &needs, TimePoint now)
{
    std::vector<HostId> candidates;
    for (const auto &[host, worker] : m_workers) {
        if (mayTake(host, worker, needs, now)) {
            candidates.push_back(host);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const HostId &first = candidates[m_random() % candidates.size()];
    const HostId &second = candidates[m_random() % candidates.size()];
    const Worker &left = m_workers.at(first);
    const Worker &right = m_workers.at(second);
    const HostId chosen = load(right.used, right.total) < load(left.used, left.total) ? second : first;
    occupy(chosen, needs);
    return chosen;
}

void WorkerBoard::occupy(const HostId &worker, const JobResources &needs)
{
    JobResources &used = m_workers[worker].used;
    used.cores += needs.cores;
    used.memoryGb += needs.memoryGb;
    used.accelerators += needs.accelerators;
}

void WorkerBoard::release(const HostId &worker, const JobResources &needs)
{
    JobResources &used = m_workers[worker].used;
    used.cores = less(used.cores, needs.cores);
    used.memoryGb = less(used.memoryGb, needs.memoryGb);
    used.accelerators = less(used.accelerators, needs.accelerators);
}

void WorkerBoard::noteSuccess(const HostId &worker)
{
    Worker &found = m_workers[worker];
    found.failuresInRow = 0;
    found.ejectionsInRow = 0;
    found.ejected = false;
}

bool WorkerBoard::noteFailure(const HostId &worker, TimePoint now)
{
    Worker &found = m_workers[worker];
    ++found.failuresInRow;
    if (found.failuresInRow < failuresToEject || found.avoidUntil > now || !mayEject(found.pool, now)) {
        return false;
    }
    constexpr int mostDoublings = 6;
    const int doublings = std::min(found.ejectionsInRow, mostDoublings);
    found.avoidUntil = now + std::min(firstEjection * (1 << doublings), longestEjection);
    found.ejected = true;
    ++found.ejectionsInRow;
    // After the ejection one more failure ejects it again.
    found.failuresInRow = failuresToEject - 1;
    return true;
}

void WorkerBoard::noteRefusal(const HostId &worker, TimePoint now)
{
    Worker &found = m_workers[worker];
    found.avoidUntil = std::max(found.avoidUntil, now + restAfterRefusal);
}

std::optional<Endpoint> WorkerBoard::endpoint(const HostId &worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.endpoint.port == 0) {
        return std::nullopt;
    }
    return found->second.endpoint;
}

bool WorkerBoard::mayTake(const HostId &host, const Worker &worker, const JobResources &needs, TimePoint now) const
{
    return worker.present && worker.avoidUntil <= now && !m_leaving.contains(host)
        && fits(needs, worker.total, worker.used);
}

bool WorkerBoard::mayEject(const PoolId &pool, TimePoint now) const
{
    std::size_t workers = 0;
    std::size_t ejected = 0;
    for (const auto &[host, worker] : m_workers) {
        if (worker.present && worker.pool == pool) {
            ++workers;
            ejected += worker.ejected && worker.avoidUntil > now ? 1 : 0;
        }
    }
    constexpr std::size_t percent = 100;
    return (ejected + 1) * percent <= workers * mostEjectedPercent;
}

} // namespace radishvane
