#include "core/routing/backend_set.h"

#include <algorithm>

namespace radishvane
{

BackendSet::BackendSet(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void BackendSet::setServers(const Service &service)
{
    for (State &state : m_states) {
        state.removed = true;
    }
    for (const BackendServer &server : service.backends) {
        const auto [found, added] = m_index.try_emplace(server.id, m_states.size());
        if (added) {
            m_states.emplace_back();
        }
        State &state = m_states[found->second];
        state.server = server;
        state.removed = false;
    }
    updateAll();
}

void BackendSet::setLeaving(const std::set<HostId> &hosts)
{
    m_leaving = hosts;
    updateAll();
}

void BackendSet::setPlace(EntryHostPosition place)
{
    m_place = place;
    m_place.count = std::max<std::uint32_t>(place.count, 1);
    updateAll();
}

void BackendSet::setBorrowable(std::uint32_t slots)
{
    // Others may want the same slots, so half of them is taken, spread over the servers.
    const std::size_t servers = std::max<std::size_t>(m_states.size(), 1);
    const auto extra = static_cast<std::uint32_t>((slots / 2 + servers - 1) / servers);
    if (extra == m_extra) {
        return;
    }
    m_extra = extra;
    updateAll();
}

const BackendServer *BackendSet::take(const BackendId &avoided, TimePoint now)
{
    readmit(now);
    if (!hasFreeSlot()) {
        return nullptr;
    }
    State &state = m_states[pickFree(avoided)];
    ++state.running;
    ++m_running;
    updateFree(m_index.at(state.server.id));
    return &state.server;
}

bool BackendSet::release(const BackendId &backend, AttemptOutcome outcome, TimePoint now)
{
    const auto found = m_index.find(backend);
    if (found == m_index.end()) {
        return false;
    }
    State &state = m_states[found->second];
    if (state.running > 0) {
        --state.running;
        --m_running;
    }
    bool ejected = false;
    if (!countsAsFailure(outcome)) {
        state.failuresInRow = 0;
        state.ejectionsInRow = outcome == AttemptOutcome::Answered ? 0 : state.ejectionsInRow;
    } else if (++state.failuresInRow >= failuresToEject && !state.ejected && mayEject()) {
        eject(state, now);
        ejected = true;
    }
    updateFree(found->second);
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
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        State &state = m_states[index];
        if (state.ejected && state.ejectedUntil <= now) {
            state.ejected = false;
            --m_ejectedCount;
            // One more failure ejects it again.
            state.failuresInRow = failuresToEject - 1;
            updateFree(index);
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
    return std::any_of(m_states.begin(), m_states.end(), isUsable);
}

std::uint32_t BackendSet::slots() const
{
    std::uint32_t total = 0;
    for (const State &state : m_states) {
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
    for (const State &state : m_states) {
        total += isUsable(state) && state.limit > state.running ? state.limit - state.running : 0;
    }
    return total;
}

void BackendSet::updateLimit(State &state) const
{
    // Rounding starts at another host for each server, so that the parts of a server sum to its slots.
    const std::size_t offset = std::hash<BackendId>{}(state.server.id) % m_place.count;
    const std::size_t place = (m_place.index + offset) % m_place.count;
    const auto part = static_cast<std::uint32_t>((state.server.slots + place) / m_place.count);
    state.limit = std::min(part + m_extra, state.server.slots);
}

void BackendSet::updateAll()
{
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        State &state = m_states[index];
        state.leaving = m_leaving.contains(state.server.host);
        updateLimit(state);
        updateFree(index);
    }
}

void BackendSet::updateFree(std::size_t index)
{
    State &state = m_states[index];
    const bool free = isUsable(state) && state.running < state.limit;
    if (free == (state.freePlace != noPlace)) {
        return;
    }
    if (free) {
        state.freePlace = m_free.size();
        m_free.push_back(index);
        return;
    }
    m_states[m_free.back()].freePlace = state.freePlace;
    m_free[state.freePlace] = m_free.back();
    m_free.pop_back();
    state.freePlace = noPlace;
}

bool BackendSet::mayEject() const
{
    const auto present = static_cast<std::size_t>(
        std::count_if(m_states.begin(), m_states.end(), [](const State &state) { return !state.removed; }));
    constexpr std::size_t percent = 100;
    return (m_ejectedCount + 1) * percent <= present * mostEjectedPercent;
}

void BackendSet::eject(State &state, TimePoint now)
{
    constexpr int mostDoublings = 5;
    const int doublings = std::min(state.ejectionsInRow, mostDoublings);
    state.ejected = true;
    state.ejectedUntil = now + std::min(firstEjection * (1 << doublings), longestEjection);
    ++state.ejectionsInRow;
    ++m_ejectedCount;
    m_nextReadmission = std::min(m_nextReadmission, state.ejectedUntil);
}

std::size_t BackendSet::pickFree(const BackendId &avoided)
{
    const auto load = [&](std::size_t index) {
        const State &state = m_states[index];
        const double penalty = state.server.id == avoided ? 1e6 : 0;
        return penalty + (state.running + 1.0) / state.limit + state.failuresInRow;
    };
    const std::size_t first = m_free[m_random() % m_free.size()];
    const std::size_t second = m_free[m_random() % m_free.size()];
    return load(second) < load(first) ? second : first;
}

bool BackendSet::isUsable(const State &state)
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
