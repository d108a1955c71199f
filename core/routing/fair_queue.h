#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/routing/request_types.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace radishvane
{

/// A queued request that waits for a slot.
struct WaitingRequest
{
    ExchangeId exchange;
    TeamId team;
    Urgency urgency = Urgency::Normal;
    TimePoint arrived;
};

/// Queue of the requests for one service, ordered by weighted fair queueing over slot time.
///
/// The virtual time of a team is the slot time in milliseconds charged to it, by this and by other entry hosts,
/// divided by its share. The team with the lowest virtual time is served next. Urgent requests are served first while
/// the virtual time of their team exceeds the lowest one by at most urgentCredit, so that a team that marks all of its
/// requests as urgent gains nothing in the long run.
class FairQueue
{
public:
    /// Maximum virtual time, in slot milliseconds per unit of share, by which urgent requests may run ahead.
    static constexpr double urgentCredit = 2'000.0;

    /// Predicate that says whether requests of a team may start.
    using Eligible = std::function<bool(const TeamId &)>;

    void setShare(const TeamId &team, std::uint32_t share);
    void push(const WaitingRequest &request);
    /// Removes a request from any position of the queue. @return nullopt when the request is not queued.
    std::optional<WaitingRequest> remove(ExchangeId exchange);
    /// Removes and returns the next request among the teams that are eligible.
    std::optional<WaitingRequest> next(const Eligible &eligible);
    /// Evicts the newest normal request of the team with the most normal requests per share, to make room for a request
    /// of @p arriving. Evicts nothing when that team is @p arriving, or when @p arriving would have at least as many
    /// requests per share with the new one.
    std::optional<WaitingRequest> evictFor(const TeamId &arriving);
    /// Charges slot time to a team; a negative amount corrects an earlier estimate.
    void charge(const TeamId &team, double slotMilliseconds);

    std::size_t size() const;
    std::size_t size(const TeamId &team) const;
    /// Fraction of the service, from 0 to 1, that the team gets while the teams queued at present stay queued.
    double serviceFraction(const TeamId &team) const;

private:
    using Requests = std::list<WaitingRequest>;

    struct TeamQueue
    {
        double share = 1;
        double virtualTime = 0;
        Requests urgent;
        Requests normal;

        std::size_t size() const
        {
            return urgent.size() + normal.size();
        }
    };

    struct Entry
    {
        TeamQueue *queue = nullptr;
        Urgency urgency = Urgency::Normal;
        Requests::iterator position;
    };

    TeamQueue *pickUrgent(const Eligible &eligible);
    TeamQueue *pickNormal(const Eligible &eligible);
    WaitingRequest take(const Entry &entry);
    double minVirtualTime() const;

    std::map<TeamId, TeamQueue> m_teams;
    std::unordered_map<ExchangeId, Entry> m_entries;
};

} // namespace radishvane
