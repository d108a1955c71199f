#pragma once

#include "core/base/clock.h"
#include "core/messages/rows.h"
#include "core/quota/session_controller.h"

#include <map>
#include <set>
#include <utility>

namespace radishvane
{

/// Tells when rights of a holder that has gone may be used by others.
///
/// Work that the holder started while its session was valid has ended once the longest run time has passed since this
/// host first saw the session ended. Rights without expiry come back only when the holder's process has ended for
/// certain: its host has a newer incarnation, or the platform lists the host no more.
class HolderWatch
{
public:
    void seen(const SessionsObserved &sessions, TimePoint now);
    /// Hosts on the platform's list; a host that is on it may still run its process.
    void listed(const std::set<HostId> &hosts, TimePoint now);

    /// True when leased rights under this epoch may be reused.
    bool leaseIsOver(const HolderId &holder, std::uint64_t epoch, Duration longestRun, TimePoint now);
    /// True when rights without expiry may be reused as well.
    bool processIsOver(const HolderId &holder, Duration longestRun, TimePoint now);

private:
    struct Known
    {
        HolderId holder;
        std::uint64_t epoch = 0;
        bool ended = false;
    };

    void forgetPresent();
    void noteOver(const Known &session, TimePoint now);
    bool sessionOver(const HolderId &holder, std::uint64_t epoch) const;
    bool processGone(const HolderId &holder) const;
    bool isReplaced(const HolderId &holder) const;

    bool m_everSeen = false;
    /// Begin of the latest look at the sessions; nothing is over that was not seen over since then.
    TimePoint m_seenAt;
    TimePoint m_listedAt;
    std::map<HostId, Known> m_sessions;
    std::set<HostId> m_listed;
    /// Hosts that were on the list at some time; only their absence says that they have gone.
    std::set<HostId> m_onceListed;
    std::map<std::pair<HolderId, std::uint64_t>, TimePoint> m_overSince;
    std::map<HolderId, TimePoint> m_goneSince;
};

} // namespace radishvane
