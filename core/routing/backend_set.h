#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/routing/request_messages.h"

#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishvane
{

/// The backend servers of one service as one entry host sees them, and the choice between them.
///
/// The slots of each server are split between the live entry hosts, so that no server gets more than it runs at one
/// time. Slots that other entry hosts report idle may be borrowed. The choice takes the better of two random servers
/// that have a free slot; its cost does not depend on the number of servers.
class BackendSet
{
public:
    /// Failures in a row after which a server is ejected.
    static constexpr int failuresToEject = 5;
    /// First time of ejection; it doubles with each ejection in a row.
    static constexpr Duration firstEjection{2'000};
    static constexpr Duration longestEjection{60'000};
    /// Most of the servers, in percent, that may be ejected at one time.
    static constexpr std::size_t mostEjectedPercent = 50;

    explicit BackendSet(std::uint64_t seed);

    /// Takes the servers of a new configuration; servers that stay keep their state.
    void setServers(const Service &service);
    void setLeaving(const std::set<HostId> &hosts);
    void setPlace(EntryHostPosition place);
    /// Slots that other entry hosts leave idle, of which this one may use its part.
    void setBorrowable(std::uint32_t slots);

    /// Takes a slot at a server that may get new work, avoiding @p avoided when another can be had.
    const BackendServer *take(const BackendId &avoided, TimePoint now);
    /// Gives a slot back. @return true when this failure ejected the server.
    bool release(const BackendId &backend, AttemptOutcome outcome, TimePoint now);
    /// Lets ejected servers try again whose time is over.
    void readmit(TimePoint now);

    bool hasFreeSlot() const;
    /// True when at least one server may get new work, busy or not.
    bool hasUsableServer() const;
    std::uint32_t slots() const;
    std::uint32_t idleSlots() const;
    /// Requests of this entry host that run now, at all servers together.
    std::uint32_t running() const;

private:
    struct State
    {
        BackendServer server;
        std::uint32_t limit = 0;
        std::uint32_t running = 0;
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        bool leaving = false;
        bool removed = false;
        bool ejected = false;
        TimePoint ejectedUntil;
        /// Place in m_free, or noPlace.
        std::size_t freePlace = noPlace;
    };

    static constexpr std::size_t noPlace = static_cast<std::size_t>(-1);

    void updateLimit(State &state) const;
    void updateAll();
    void updateFree(std::size_t index);
    bool mayEject() const;
    void readmitDue(TimePoint now);
    void eject(State &state, TimePoint now);
    std::size_t pickFree(const BackendId &avoided);
    static bool isUsable(const State &state);
    static bool countsAsFailure(AttemptOutcome outcome);

    std::vector<State> m_states;
    std::unordered_map<BackendId, std::size_t> m_index;
    std::vector<std::size_t> m_free;
    std::set<HostId> m_leaving;
    EntryHostPosition m_place;
    /// Slots above its own part that this entry host may use at each server.
    std::uint32_t m_extra = 0;
    std::size_t m_ejectedCount = 0;
    std::uint32_t m_running = 0;
    TimePoint m_nextReadmission = TimePoint::max();
    std::minstd_rand m_random;
};

} // namespace radishvane
