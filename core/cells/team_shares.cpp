#include "core/cells/team_shares.h"

#include <algorithm>

namespace radishvane::cells
{

void TeamShares::clear()
{
    m_buckets.clear();
}

bool TeamShares::take(const SiteConfig &config, const TeamId &team, TimePoint now)
{
    const auto known = config.teams.find(team);
    if (known == config.teams.end()) {
        return true;
    }
    const double rate = known->second.weight;
    const double capacity = std::max(1.0, rate * toMilliseconds(window) / 1'000);
    const auto [found, isNew] = m_buckets.try_emplace(team, Bucket{capacity, now});
    Bucket &bucket = found->second;
    bucket.jobs = std::min(capacity, bucket.jobs + rate * toMilliseconds(now - bucket.at) / 1'000);
    bucket.at = now;
    if (bucket.jobs < 1) {
        return false;
    }
    bucket.jobs -= 1;
    return true;
}

void TeamShares::giveBack(const TeamId &team)
{
    const auto found = m_buckets.find(team);
    if (found != m_buckets.end()) {
        found->second.jobs += 1;
    }
}

} // namespace radishvane::cells
