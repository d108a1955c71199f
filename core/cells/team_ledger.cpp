#include "core/cells/team_ledger.h"

#include <utility>

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
    m_reserved.clear();
}

void TeamLedger::allocate(const TeamId &team, const Resources &needs)
{
    m_used[team] += needs;
}

void TeamLedger::release(const TeamId &team, const Resources &needs)
{
    m_used[team] -= needs;
}

void TeamLedger::reserve(std::map<TeamId, Resources> reserved)
{
    m_reserved = std::move(reserved);
}

bool TeamLedger::mayAllocate(const SiteConfig &config, const TeamId &team, const Resources &needs) const
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    Resources use = needs;
    for (const std::map<TeamId, Resources> *part : {&m_used, &m_reserved}) {
        const auto found = part->find(team);
        use += found == part->end() ? Resources{} : found->second;
    }
    const Resources &ceiling = known->second.ceiling;
    return isWithinCeiling(use.cpu, ceiling.cpu) && isWithinCeiling(use.memoryMb, ceiling.memoryMb)
        && isWithinCeiling(use.accelerators, ceiling.accelerators);
}

} // namespace radishvane::cells
