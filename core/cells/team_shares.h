#pragma once

#include "core/cells/site.h"

#include <map>

namespace radishvane::cells
{

/// Rate limiter with one token bucket per team, which decides whether a job is within its team's share.
///
/// A team's weight is the rate, in jobs per second, that it may count on when the pools are full. Jobs beyond it rank
/// behind other jobs that still have value, so that a team that sends many times its usual rate does not delay the
/// others.
class TeamShares
{
public:
    /// Window over which a team may send its jobs unevenly (published by the platform: 5 s).
    static constexpr Duration window{5'000};

    void clear();
    /// Counts a job that @p team submitted at @p now. Jobs without a known team are always within their share.
    /// @return whether the job is within the share.
    bool take(const SiteConfig &config, const TeamId &team, TimePoint now);
    /// Takes back the count of a job that was within the share and was refused.
    void giveBack(const TeamId &team);

private:
    struct Bucket
    {
        double jobs = 0;
        TimePoint at;
    };

    std::map<TeamId, Bucket> m_buckets;
};

} // namespace radishvane::cells
