#include "core/cells/team_ledger.h"

namespace radishvane::cells
{

namespace
{

bool isWithin(std::uint64_t use, std::uint64_t ceiling)
{
    return ceiling == 0 || use <= ceiling;
}

} // namespace

void TeamLedger::clear()
{
    m_used.clear();
}

void TeamLedger::take(const TeamId &team, const Resources &needs)
{
    m_used[team] += needs;
}

void TeamLedger::giveBack(const TeamId &team, const Resources &needs)
{
    m_used[team] -= needs;
}

bool TeamLedger::mayTake(const SiteConfig &config, const TeamId &team, const Resources &needs) const
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    const auto used = m_used.find(team);
    const Resources use = used == m_used.end() ? needs : used->second + needs;
    const Resources &ceiling = known->second.ceiling;
    return isWithin(use.cpu, ceiling.cpu) && isWithin(use.memoryMb, ceiling.memoryMb)
        && isWithin(use.accelerators, ceiling.accelerators);
}

} // namespace radishvane::cells
