#pragma once

#include "core/base/clock.h"
#include "core/messages/rows.h"
#include "core/quota/session_controller.h"

#include <map>
#include <set>
#include <utility>

namespace radishvane
{

/// Tracks the sessions of rights holders and determines when the rights of an ended holder may be reclaimed.
///
/// Work that the holder started while its session was valid has ended when the lease, the longest run time and the
/// clock margin have passed since this host first observed the end of the session. Standing rights are reclaimable
/// only after the holder's process has certainly ended: its host has a newer incarnation, or the platform no longer
/// lists the host.
class HolderTracker
{
public:
    void updateSessions(const SessionsObserved &sessions, TimePoint now);
    /// Updates the hosts that the platform lists; a listed host may still run its process.
    void updateHosts(const std::set<HostId> &hosts, TimePoint now);

    /// Whether the leased rights that the holder got in this epoch may be reclaimed.
    bool areLeasedRightsReclaimable(const HolderId &holder, std::uint64_t epoch, Duration longestRun, TimePoint now);
    /// Whether the standing rights of the holder may be reclaimed as well.
    bool areStandingRightsReclaimable(const HolderId &holder, Duration longestRun, TimePoint now);

private:
    struct TrackedSession
    {
        HolderId holder;
        std::uint64_t epoch = 0;
        bool ended = false;
    };

    void clearPresentHolders();
    void startExpiry(const TrackedSession &session, TimePoint now);
    bool isSessionEnded(const HolderId &holder, std::uint64_t epoch) const;
    bool isProcessGone(const HolderId &holder) const;
    bool isReplaced(const HolderId &holder) const;

    /// Whether the sessions have been scanned at least once.
    bool m_hasSessions = false;
    /// Start of the latest scan of the sessions; a wait counts only up to this time.
    TimePoint m_sessionsAsOf;
    /// Time of the latest host list.
    TimePoint m_hostsAsOf;
    std::map<HostId, TrackedSession> m_sessions;
    std::set<HostId> m_listedHosts;
    /// Hosts that were listed at any time; only for these does absence from the list mean that they are gone.
    std::set<HostId> m_everListedHosts;
    std::map<std::pair<HolderId, std::uint64_t>, TimePoint> m_leaseEndedSince;
    std::map<HolderId, TimePoint> m_processGoneSince;
};

} // namespace radishvane
