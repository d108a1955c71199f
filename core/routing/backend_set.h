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

/// Load balancer of one entry host over the backend servers of one service, with ejection of failing servers.
///
/// The slots of each server are divided between the live entry hosts, so that their requests together do not exceed
/// the slots of the server. Slots that other entry hosts report as idle can be borrowed. A server is selected by the
/// power of two choices: the less loaded of two random servers with a free slot. The cost of a selection does not
/// depend on the number of servers.
class BackendSet
{
public:
    /// Consecutive failures after which a server is ejected.
    static constexpr int failuresToEject = 5;
    /// Duration of the first ejection; it doubles with each consecutive ejection, up to maxEjection.
    static constexpr Duration firstEjection{2'000};
    static constexpr Duration maxEjection{60'000};
    /// Maximum percentage of the servers that are ejected at the same time.
    static constexpr std::size_t maxEjectedPercent = 50;

    explicit BackendSet(std::uint64_t seed);

    /// Applies the servers of a new configuration; servers that remain keep their state.
    void setServers(const Service &service);
    /// Servers on these hosts get no new work.
    void setLeavingHosts(const std::set<HostId> &hosts);
    void setPosition(EntryHostPosition position);
    /// Total slots that other entry hosts report as idle; this entry host uses about half of them.
    void setBorrowableSlots(std::uint32_t slots);

    /// Takes a slot of a usable server; prefers servers other than @p avoided. @return null when no slot is free.
    const BackendServer *take(const BackendId &avoided, TimePoint now);
    /// Releases a slot and records the outcome. @return true when this failure ejected the server.
    bool release(const BackendId &backend, AttemptOutcome outcome, TimePoint now);
    /// Readmits servers whose ejection has expired.
    void readmit(TimePoint now);

    bool hasFreeSlot() const;
    /// Whether at least one server accepts new work; it may have no free slot at the moment.
    bool hasUsableServer() const;
    std::uint32_t slots() const;
    std::uint32_t idleSlots() const;
    /// Requests of this entry host that run at present, over all servers.
    std::uint32_t running() const;

private:
    struct ServerState
    {
        BackendServer server;
        std::uint32_t limit = 0;
        std::uint32_t running = 0;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        bool leaving = false;
        bool removed = false;
        bool ejected = false;
        TimePoint ejectedUntil;
        /// Index of this server in m_free, or notInFreeList.
        std::size_t freeListIndex = notInFreeList;
    };

    static constexpr std::size_t notInFreeList = static_cast<std::size_t>(-1);

    void updateLimit(ServerState &state) const;
    void updateServers();
    void updateFreeList(std::size_t index);
    bool mayEject() const;
    void readmitDue(TimePoint now);
    void eject(ServerState &state, TimePoint now);
    std::size_t pickServer(const BackendId &avoided);
    static bool isUsable(const ServerState &state);
    static bool countsAsFailure(AttemptOutcome outcome);

    std::vector<ServerState> m_servers;
    std::unordered_map<BackendId, std::size_t> m_index;
    /// Indices of the usable servers that have a free slot.
    std::vector<std::size_t> m_free;
    std::set<HostId> m_leaving;
    EntryHostPosition m_position;
    /// Slots of each server that this entry host may use beyond those assigned to it.
    std::uint32_t m_borrowedPerServer = 0;
    std::size_t m_ejectedCount = 0;
    std::uint32_t m_running = 0;
    TimePoint m_nextReadmission = TimePoint::max();
    std::minstd_rand m_random;
};

} // namespace radishvane
