#include "core/quota/holder_watch.h"

#include "core/quota/lease_times.h"

#include <utility>

namespace radishvane
{

void HolderWatch::seen(const SessionsObserved &sessions, TimePoint now)
{
    const std::map<HostId, Known> before = std::exchange(m_sessions, {});
    m_everSeen = true;
    m_seenAt = sessions.at;
    for (const SessionsObserved::ObservedSession &seen : sessions.sessions) {
        m_sessions[seen.row.holder.host] = Known{seen.row.holder, seen.row.epoch, seen.row.ended};
    }
    // A holder that was missed by an earlier look and is there now has not been over in between.
    std::erase_if(m_overSince,
                  [this](const auto &entry) { return !sessionOver(entry.first.first, entry.first.second); });
    forgetPresent();
    // The waits begin now, so that rights are free by the time somebody wants them.
    for (const auto &known : {before, m_sessions}) {
        for (const auto &[host, session] : known) {
            noteOver(session, now);
        }
    }
}

void HolderWatch::listed(const std::set<HostId> &hosts, TimePoint now)
{
    m_listedAt = now;
    m_listed = hosts;
    m_onceListed.insert(hosts.begin(), hosts.end());
    forgetPresent();
    for (const auto &[host, session] : m_sessions) {
        noteOver(session, now);
    }
}

void HolderWatch::forgetPresent()
{
    std::erase_if(m_goneSince, [this](const auto &entry) { return !processGone(entry.first); });
}

void HolderWatch::noteOver(const Known &session, TimePoint now)
{
    leaseIsOver(session.holder, session.epoch, Duration(0), now);
    processIsOver(session.holder, Duration(0), now);
}

bool HolderWatch::leaseIsOver(const HolderId &holder, std::uint64_t epoch, Duration longestRun, TimePoint now)
{
    if (!m_everSeen || !sessionOver(holder, epoch)) {
        m_overSince.erase({holder, epoch});
        return false;
    }
    const TimePoint since = m_overSince.try_emplace({holder, epoch}, now).first->second;
    // A process that was restarted leaves a session that nobody ended, so its lease has to pass as well. A look that is
    // older than the wait proves nothing: a holder that was missed may have come since.
    return m_seenAt - since >= leaseTimes::lease + longestRun + leaseTimes::clockMargin;
}

bool HolderWatch::processIsOver(const HolderId &holder, Duration longestRun, TimePoint now)
{
    if (!m_everSeen || !processGone(holder)) {
        m_goneSince.erase(holder);
        return false;
    }
    const TimePoint since = m_goneSince.try_emplace(holder, now).first->second;
    const TimePoint proved = isReplaced(holder) ? m_seenAt : m_listedAt;
    return proved - since >= leaseTimes::lease + longestRun + leaseTimes::clockMargin;
}

bool HolderWatch::sessionOver(const HolderId &holder, std::uint64_t epoch) const
{
    const auto found = m_sessions.find(holder.host);
    if (found == m_sessions.end()) {
        return true;
    }
    const Known &known = found->second;
    return known.holder.incarnation > holder.incarnation
        || (known.holder == holder && (known.epoch > epoch || known.ended));
}

bool HolderWatch::processGone(const HolderId &holder) const
{
    const bool unlisted = m_onceListed.contains(holder.host) && !m_listed.contains(holder.host);
    return isReplaced(holder) || unlisted;
}

bool HolderWatch::isReplaced(const HolderId &holder) const
{
    const auto found = m_sessions.find(holder.host);
    return found != m_sessions.end() && found->second.holder.incarnation > holder.incarnation;
}

} // namespace radishvane
