#pragma once

#include "core/cells/site.h"

#include <map>

namespace radishvane::cells
{

/// What each team's tasks take of the workers of one cell, against the part of its ceiling that the cell may use.
class TeamLedger
{
public:
    void clear();
    void take(const TeamId &team, const Resources &needs);
    void giveBack(const TeamId &team, const Resources &needs);
    /// Whether @p team stays at or under its ceiling with @p needs more. Jobs without a team have no ceiling.
    bool mayTake(const SiteConfig &config, const TeamId &team, const Resources &needs) const;

private:
    std::map<TeamId, Resources> m_used;
};

} // namespace radishvane::cells
