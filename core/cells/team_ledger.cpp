#include "core/cells/team_ledger.h"

#include <algorithm>

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

void TeamLedger::take(const TeamId &team, const Needs &needs)
{
    m_used[team] += needs;
}

void TeamLedger::giveBack(const TeamId &team, const Needs &needs)
{
    m_used[team] -= needs;
}

bool TeamLedger::mayTake(const SiteConfig &config, const TeamId &team, const Needs &needs) const
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    const auto used = m_used.find(team);
    const Needs use = used == m_used.end() ? needs : used->second + needs;
    const Needs &ceiling = known->second.ceiling;
    return isWithin(use.cpu, ceiling.cpu) && isWithin(use.memoryMb, ceiling.memoryMb)
        && isWithin(use.accelerators, ceiling.accelerators);
}

double TeamLedger::useForWeight(const SiteConfig &config, const TeamId &team) const
{
    const auto used = m_used.find(team);
    if (used == m_used.end()) {
        return 0;
    }
    const auto known = config.teams.find(team);
    const std::uint64_t weight = known == config.teams.end() ? 1 : std::max<std::uint64_t>(known->second.weight, 1);
    return static_cast<double>(used->second.cpu) / static_cast<double>(weight);
}

} // namespace radishvane::cells
