#pragma once

#include "core/cells/site.h"

#include <map>

namespace radishvane::cells
{

/// Resource usage of each team's tasks on the workers of one cell, checked against the cell's part of the team's
/// ceiling.
class TeamLedger
{
public:
    void clear();
    void allocate(const TeamId &team, const Resources &needs);
    void release(const TeamId &team, const Resources &needs);
    /// Sets what the teams may use in addition, in runs that are not known.
    void reserve(std::map<TeamId, Resources> reserved);
    /// Whether @p team stays within its ceiling with its reservation and @p needs added. Jobs without a known team have
    /// no ceiling.
    bool mayAllocate(const SiteConfig &config, const TeamId &team, const Resources &needs) const;

private:
    std::map<TeamId, Resources> m_used;
    std::map<TeamId, Resources> m_reserved;
};

} // namespace radishvane::cells
