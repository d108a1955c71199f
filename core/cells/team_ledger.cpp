#include "core/cells/team_ledger.h"

namespace radishvane::cells
{

namespace
{

bool isWithinCeiling(std::uint64_t use, std::uint64_t ceiling)
{
    return ceiling == 0 || use <= ceiling;
}

} // namespace

void TeamLedger::clear()
{
    m_used.clear();
}

void TeamLedger::allocate(const TeamId &team, const Resources &needs)
{
    m_used[team] += needs;
}

void TeamLedger::release(const TeamId &team, const Resources &needs)
{
    m_used[team] -= needs;
}

bool TeamLedger::mayAllocate(const SiteConfig &config, const TeamId &team, const Resources &needs) const
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    const auto used = m_used.find(team);
    const Resources use = used == m_used.end() ? needs : used->second + needs;
    const Resources &ceiling = known->second.ceiling;
    return isWithinCeiling(use.cpu, ceiling.cpu) && isWithinCeiling(use.memoryMb, ceiling.memoryMb)
        && isWithinCeiling(use.accelerators, ceiling.accelerators);
}

} // namespace radishvane::cells
