#include "core/cells/team_shares.h"

#include <algorithm>

namespace radishvane::cells
{

void TeamShares::clear()
{
    m_left.clear();
}

bool TeamShares::take(const SiteConfig &config, const TeamId &team, TimePoint now)
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    const double rate = known->second.weight;
    const double most = std::max(1.0, rate * toMilliseconds(window) / 1'000);
    const auto [place, isNew] = m_left.try_emplace(team, Allowance{most, now});
    Allowance &left = place->second;
    left.jobs = std::min(most, left.jobs + rate * toMilliseconds(now - left.at) / 1'000);
    left.at = now;
    if (left.jobs < 1) {
        return false;
    }
    left.jobs -= 1;
    return true;
}

} // namespace radishvane::cells
