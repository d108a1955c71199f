#include "core/routing/backend_set.h"

#include <algorithm>

namespace radishvane
{

BackendSet::BackendSet(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void BackendSet::setServers(const Service &service)
{
    for (ServerState &state : m_servers) {
        state.removed = true;
    }
    for (const BackendServer &server : service.backends) {
        const auto [found, added] = m_index.try_emplace(server.id, m_servers.size());
        if (added) {
            m_servers.emplace_back();
        }
        ServerState &state = m_servers[found->second];
        state.server = server;
        state.removed = false;
    }
    updateServers();
}

void BackendSet::setLeavingHosts(const std::set<HostId> &hosts)
{
    m_leaving = hosts;
    updateServers();
}

void BackendSet::setPosition(EntryHostPosition position)
{
    m_position = position;
    m_position.count = std::max<std::uint32_t>(position.count, 1);
    updateServers();
}

void BackendSet::setBorrowableSlots(std::uint32_t slots)
{
    // Other entry hosts may borrow the same slots, so only half of them are used, spread over the servers.
    const std::size_t servers = std::max<std::size_t>(m_servers.size(), 1);
    const auto borrowedPerServer = static_cast<std::uint32_t>((slots / 2 + servers - 1) / servers);
    if (borrowedPerServer == m_borrowedPerServer) {
        return;
    }
    m_borrowedPerServer = borrowedPerServer;
    updateServers();
}

const BackendServer *BackendSet::take(const BackendId &avoided, TimePoint now)
{
    readmit(now);
    if (!hasFreeSlot()) {
        return nullptr;
    }
    ServerState &state = m_servers[pickServer(avoided)];
    ++state.running;
    ++m_running;
    updateFreeList(m_index.at(state.server.id));
    return &state.server;
}

bool BackendSet::release(const BackendId &backend, AttemptOutcome outcome, TimePoint now)
{
    const auto found = m_index.find(backend);
    if (found == m_index.end()) {
        return false;
    }
    ServerState &state = m_servers[found->second];
    if (state.running > 0) {
        --state.running;
        --m_running;
    }
    bool ejected = false;
    if (!countsAsFailure(outcome)) {
        state.consecutiveFailures = 0;
        state.consecutiveEjections = outcome == AttemptOutcome::Answered ? 0 : state.consecutiveEjections;
    } else if (++state.consecutiveFailures >= failuresToEject && !state.ejected && mayEject()) {
        eject(state, now);
        ejected = true;
    }
    updateFreeList(found->second);
    return ejected;
}

void BackendSet::readmit(TimePoint now)
{
    if (now >= m_nextReadmission) {
        readmitDue(now);
    }
}

void BackendSet::readmitDue(TimePoint now)
{
    m_nextReadmission = TimePoint::max();
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        ServerState &state = m_servers[index];
        if (state.ejected && state.ejectedUntil <= now) {
            state.ejected = false;
            --m_ejectedCount;
            // A single further failure ejects the server again.
            state.consecutiveFailures = failuresToEject - 1;
            updateFreeList(index);
        }
        if (state.ejected) {
            m_nextReadmission = std::min(m_nextReadmission, state.ejectedUntil);
        }
    }
}

bool BackendSet::hasFreeSlot() const
{
    return !m_free.empty();
}

bool BackendSet::hasUsableServer() const
{
    return std::any_of(m_servers.begin(), m_servers.end(), isUsable);
}

std::uint32_t BackendSet::slots() const
{
    std::uint32_t total = 0;
    for (const ServerState &state : m_servers) {
        total += isUsable(state) ? state.limit : 0;
    }
    return total;
}

std::uint32_t BackendSet::running() const
{
    return m_running;
}

std::uint32_t BackendSet::idleSlots() const
{
    std::uint32_t total = 0;
    for (const ServerState &state : m_servers) {
        total += isUsable(state) && state.limit > state.running ? state.limit - state.running : 0;
    }
    return total;
}

void BackendSet::updateLimit(ServerState &state) const
{
    // Rotates the index by a hash of the server: the entry hosts that get the remainder of the division differ from
    // server to server, and the assigned slots of each server sum to its total.
    const std::size_t offset = std::hash<BackendId>{}(state.server.id) % m_position.count;
    const std::size_t rotatedIndex = (m_position.index + offset) % m_position.count;
    const auto assigned = static_cast<std::uint32_t>((state.server.slots + rotatedIndex) / m_position.count);
    state.limit = std::min(assigned + m_borrowedPerServer, state.server.slots);
}

void BackendSet::updateServers()
{
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        ServerState &state = m_servers[index];
        state.leaving = m_leaving.contains(state.server.host);
        updateLimit(state);
        updateFreeList(index);
    }
}

void BackendSet::updateFreeList(std::size_t index)
{
    ServerState &state = m_servers[index];
    const bool free = isUsable(state) && state.running < state.limit;
    if (free == (state.freeListIndex != notInFreeList)) {
        return;
    }
    if (free) {
        state.freeListIndex = m_free.size();
        m_free.push_back(index);
        return;
    }
    m_servers[m_free.back()].freeListIndex = state.freeListIndex;
    m_free[state.freeListIndex] = m_free.back();
    m_free.pop_back();
    state.freeListIndex = notInFreeList;
}

bool BackendSet::mayEject() const
{
    const auto present = static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [](const ServerState &state) { return !state.removed; }));
    constexpr std::size_t percent = 100;
    return (m_ejectedCount + 1) * percent <= present * maxEjectedPercent;
}

void BackendSet::eject(ServerState &state, TimePoint now)
{
    constexpr int maxDoublings = 5;
    const int doublings = std::min(state.consecutiveEjections, maxDoublings);
    state.ejected = true;
    state.ejectedUntil = now + std::min(firstEjection * (1 << doublings), maxEjection);
    ++state.consecutiveEjections;
    ++m_ejectedCount;
    m_nextReadmission = std::min(m_nextReadmission, state.ejectedUntil);
}

std::size_t BackendSet::pickServer(const BackendId &avoided)
{
    const auto load = [&](std::size_t index) {
        const ServerState &state = m_servers[index];
        const double penalty = state.server.id == avoided ? 1e6 : 0;
        return penalty + (state.running + 1.0) / state.limit + state.consecutiveFailures;
    };
    const std::size_t first = m_free[m_random() % m_free.size()];
    const std::size_t second = m_free[m_random() % m_free.size()];
    return load(second) < load(first) ? second : first;
}

bool BackendSet::isUsable(const ServerState &state)
{
    return !state.leaving && !state.removed && !state.ejected;
}

bool BackendSet::countsAsFailure(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::NotRun:
        return false;
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::AnswerIncomplete:
        return true;
    }
    return true;
}

} // namespace radishvane
