#include "core/jobs/worker_registry.h"

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

std::uint32_t subtractClamped(std::uint32_t from, std::uint32_t amount)
{
    return from - std::min(from, amount);
}

} // namespace

WorkerRegistry::WorkerRegistry(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void WorkerRegistry::setConfig(const Config &config)
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

void WorkerRegistry::setLeaving(const std::set<HostId> &hosts)
{
    m_leaving = hosts;
}

bool WorkerRegistry::canEverFit(const JobResources &needs) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return entry.second.present && fits(needs, entry.second.total, JobResources{0, 0, 0});
    });
}

std::optional<HostId> WorkerRegistry::reserve(const JobResources &needs, TimePoint now)
{
    std::vector<HostId> candidates;
    for (const auto &[host, worker] : m_workers) {
        if (isEligible(host, worker, needs, now)) {
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
    addUsage(chosen, needs);
    return chosen;
}

void WorkerRegistry::addUsage(const HostId &worker, const JobResources &needs)
{
    JobResources &used = m_workers[worker].used;
    used.cores += needs.cores;
    used.memoryGb += needs.memoryGb;
    used.accelerators += needs.accelerators;
}

void WorkerRegistry::release(const HostId &worker, const JobResources &needs)
{
    JobResources &used = m_workers[worker].used;
    used.cores = subtractClamped(used.cores, needs.cores);
    used.memoryGb = subtractClamped(used.memoryGb, needs.memoryGb);
    used.accelerators = subtractClamped(used.accelerators, needs.accelerators);
}

void WorkerRegistry::recordSuccess(const HostId &worker)
{
    Worker &found = m_workers[worker];
    found.consecutiveFailures = 0;
    found.consecutiveEjections = 0;
    found.ejected = false;
}

bool WorkerRegistry::recordFailure(const HostId &worker, TimePoint now)
{
    Worker &found = m_workers[worker];
    ++found.consecutiveFailures;
    if (found.consecutiveFailures < failuresToEject || found.avoidUntil > now || !mayEject(found.pool, now)) {
        return false;
    }
    constexpr int maxDoublings = 6;
    const int doublings = std::min(found.consecutiveEjections, maxDoublings);
    found.avoidUntil = now + std::min(initialEjection * (1 << doublings), maxEjectionTime);
    found.ejected = true;
    ++found.consecutiveEjections;
    // After the ejection, a single failure ejects the worker again.
    found.consecutiveFailures = failuresToEject - 1;
    return true;
}

void WorkerRegistry::recordRefusal(const HostId &worker, TimePoint now)
{
    Worker &found = m_workers[worker];
    found.avoidUntil = std::max(found.avoidUntil, now + refusalBackoff);
}

std::optional<Endpoint> WorkerRegistry::endpoint(const HostId &worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.endpoint.port == 0) {
        return std::nullopt;
    }
    return found->second.endpoint;
}

bool WorkerRegistry::isEligible(const HostId &host, const Worker &worker, const JobResources &needs,
                                TimePoint now) const
{
    return worker.present && worker.avoidUntil <= now && !m_leaving.contains(host)
        && fits(needs, worker.total, worker.used);
}

bool WorkerRegistry::mayEject(const PoolId &pool, TimePoint now) const
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
    return (ejected + 1) * percent <= workers * maxEjectedPercent;
}

} // namespace radishvane
