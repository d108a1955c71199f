#include "core/quota/team_rights.h"

#include <algorithm>

namespace radishvane
{

void TeamRights::setCeiling(const TeamId &team, std::uint32_t ceiling)
{
    m_teams[team].ceiling = ceiling;
}

void TeamRights::setAllowance(const TeamId &team, std::uint32_t standing, std::uint32_t leased,
                              std::uint64_t generation)
{
    Rights &rights = m_teams[team];
    rights.standing = standing;
    rights.leased = leased;
    rights.generation = generation;
}

void TeamRights::setLeasedUntil(TimePoint until)
{
    m_leasedUntil = until;
}

void TeamRights::withdraw(const TeamId &team)
{
    setCeiling(team, 0);
}

bool TeamRights::mayTake(const TeamId &team, TimePoint now) const
{
    return running(team) < usable(team, now);
}

bool TeamRights::take(const TeamId &team, TimePoint now)
{
    if (!mayTake(team, now)) {
        return false;
    }
    ++m_teams[team].running;
    return true;
}

void TeamRights::release(const TeamId &team)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end() && found->second.running > 0) {
        --found->second.running;
    }
}

std::uint32_t TeamRights::running(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.running;
}

std::uint32_t TeamRights::usable(const TeamId &team, TimePoint now) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return 0;
    }
    const Rights &rights = found->second;
    const std::uint32_t leased = now < m_leasedUntil ? rights.leased : 0;
    return std::min(rights.ceiling, rights.standing + leased);
}

std::uint32_t TeamRights::ceiling(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.ceiling;
}

std::uint64_t TeamRights::generation(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.generation;
}

} // namespace radishvane
