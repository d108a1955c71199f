#pragma once

#include "core/cells/site.h"

#include <map>

namespace radishvane::cells
{

/// Which jobs lie within their team's share.
///
/// Answers a team that sends many times its usual: a team's weight is the jobs a second that it may count on when all
/// is full. What it sends beyond that waits behind the others' work that is still of use.
class TeamShares
{
public:
    /// A team may send its jobs unevenly over this time (published: windows of 5 s).
    static constexpr Duration window{5'000};

    void clear();
    /// Counts a job of @p team that came at @p now. A job without a team always lies within its share.
    /// @return whether it lies within the share.
    bool take(const SiteConfig &config, const TeamId &team, TimePoint now);

private:
    struct Allowance
    {
        double jobs = 0;
        TimePoint at;
    };

    std::map<TeamId, Allowance> m_left;
};

} // namespace radishvane::cells
