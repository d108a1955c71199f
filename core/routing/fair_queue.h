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

/// A request that waits for a slot.
struct WaitingRequest
{
    ExchangeId exchange;
    TeamId team;
    Urgency urgency = Urgency::Normal;
    TimePoint arrived;
};

/// Requests that wait for one service, ordered by weighted fair queueing over slot time.
///
/// Each team has a virtual time: the slot milliseconds charged to it, here and by other entry hosts, over its share.
/// The team with the least virtual time goes next. Urgent requests go first while their team is at most
/// urgentCredit ahead of the others, so that a team that marks everything urgent gains nothing in the long run.
class FairQueue
{
public:
    /// Most slot time per unit of share that urgent requests may run ahead by, in milliseconds.
    static constexpr double urgentCredit = 2'000.0;

    using Eligible = std::function<bool(const TeamId &)>;

    void setShare(const TeamId &team, std::uint32_t share);
    void push(const WaitingRequest &request);
    /// Takes a request out of its turn; nothing when it does not wait here.
    std::optional<WaitingRequest> remove(ExchangeId exchange);
    /// Takes the next request of a team for which @p eligible holds.
    std::optional<WaitingRequest> next(const Eligible &eligible);
    /// Takes out the newest normal request of the team that waits with most over its part, when that is not @p
    /// arriving.
    std::optional<WaitingRequest> makeRoomFor(const TeamId &arriving);
    /// Charges slot time to a team; negative amounts correct an estimate.
    void charge(const TeamId &team, double slotMilliseconds);

    std::size_t size() const;
    std::size_t size(const TeamId &team) const;
    /// Part of the service that a team gets while the teams that wait now go on waiting, from 0 to 1.
    double part(const TeamId &team) const;

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

    struct Place
    {
        TeamQueue *queue = nullptr;
        Urgency urgency = Urgency::Normal;
        Requests::iterator position;
    };

    TeamQueue *pickUrgent(const Eligible &eligible);
    TeamQueue *pickNormal(const Eligible &eligible);
    WaitingRequest take(const Place &place);
    double leastVirtualTime() const;

    std::map<TeamId, TeamQueue> m_teams;
    std::unordered_map<ExchangeId, Place> m_places;
};

} // namespace radishvane
