#include "core/quota/holder_tracker.h"

#include "core/quota/lease_times.h"

#include <utility>

namespace radishvane
{

void HolderTracker::updateSessions(const SessionsObserved &sessions, TimePoint now)
{
    const std::map<HostId, TrackedSession> before = std::exchange(m_sessions, {});
    m_hasSessions = true;
    m_sessionsAsOf = sessions.at;
    for (const SessionsObserved::ObservedSession &session : sessions.sessions) {
        m_sessions[session.row.holder.host] = TrackedSession{session.row.holder, session.row.epoch, session.row.ended};
    }
    // A holder that an earlier scan missed and that is present now was not ended in between.
    std::erase_if(m_leaseEndedSince,
                  [this](const auto &entry) { return !isSessionEnded(entry.first.first, entry.first.second); });
    clearPresentHolders();
    // The waits start as soon as the end is observed, so that the rights are reclaimable by the time they are needed.
    for (const auto &known : {before, m_sessions}) {
        for (const auto &[host, session] : known) {
            startExpiry(session, now);
        }
    }
}

void HolderTracker::updateHosts(const std::set<HostId> &hosts, TimePoint now)
{
    m_hostsAsOf = now;
    m_listedHosts = hosts;
    m_everListedHosts.insert(hosts.begin(), hosts.end());
    clearPresentHolders();
    for (const auto &[host, session] : m_sessions) {
        startExpiry(session, now);
    }
}

void HolderTracker::clearPresentHolders()
{
    std::erase_if(m_processGoneSince, [this](const auto &entry) { return !isProcessGone(entry.first); });
}

void HolderTracker::startExpiry(const TrackedSession &session, TimePoint now)
{
    areLeasedRightsReclaimable(session.holder, session.epoch, Duration(0), now);
    areStandingRightsReclaimable(session.holder, Duration(0), now);
}

bool HolderTracker::areLeasedRightsReclaimable(const HolderId &holder, std::uint64_t epoch, Duration longestRun,
                                               TimePoint now)
{
    if (!m_hasSessions || !isSessionEnded(holder, epoch)) {
        m_leaseEndedSince.erase({holder, epoch});
        return false;
    }
    const TimePoint since = m_leaseEndedSince.try_emplace({holder, epoch}, now).first->second;
    // A restarted process leaves a session that no host has ended, so the wait includes its lease. Only scans that
    // started after the wait prove the end: a holder that an earlier scan missed may have appeared since.
    return m_sessionsAsOf - since >= leaseTimes::leaseDuration + longestRun + leaseTimes::clockMargin;
}

bool HolderTracker::areStandingRightsReclaimable(const HolderId &holder, Duration longestRun, TimePoint now)
{
    if (!m_hasSessions || !isProcessGone(holder)) {
        m_processGoneSince.erase(holder);
        return false;
    }
    const TimePoint since = m_processGoneSince.try_emplace(holder, now).first->second;
    const TimePoint confirmedAt = isReplaced(holder) ? m_sessionsAsOf : m_hostsAsOf;
    return confirmedAt - since >= leaseTimes::leaseDuration + longestRun + leaseTimes::clockMargin;
}

bool HolderTracker::isSessionEnded(const HolderId &holder, std::uint64_t epoch) const
{
    const auto found = m_sessions.find(holder.host);
    if (found == m_sessions.end()) {
        return true;
    }
    const TrackedSession &known = found->second;
    return known.holder.incarnation > holder.incarnation
        || (known.holder == holder && (known.epoch > epoch || known.ended));
}

bool HolderTracker::isProcessGone(const HolderId &holder) const
{
    const bool unlisted = m_everListedHosts.contains(holder.host) && !m_listedHosts.contains(holder.host);
    return isReplaced(holder) || unlisted;
}

bool HolderTracker::isReplaced(const HolderId &holder) const
{
    const auto found = m_sessions.find(holder.host);
    return found != m_sessions.end() && found->second.holder.incarnation > holder.incarnation;
}

} // namespace radishvane
