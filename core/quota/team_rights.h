#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstdint>
#include <unordered_map>

namespace radishvane
{

/// Rights of the teams held by this entry host; work starts only under a right.
///
/// A team's ceiling is split into rights that sum to at most the ceiling over all entry hosts. Standing rights have no
/// expiry. Leased rights allow work to start before their expiry; whoever reuses them later waits until work that was
/// started before has ended.
class TeamRights
{
public:
    void setCeiling(const TeamId &team, std::uint32_t ceiling);
    void setAllowance(const TeamId &team, std::uint32_t standing, std::uint32_t leased, std::uint64_t generation);
    /// Leased rights of all teams allow work to start before @p until.
    void setLeasedUntil(TimePoint until);
    /// Drops teams that no configuration names; work of theirs that runs is still counted.
    void withdraw(const TeamId &team);

    bool mayTake(const TeamId &team, TimePoint now) const;
    /// Takes one right. @return false when none is free.
    bool take(const TeamId &team, TimePoint now);
    void release(const TeamId &team);

    std::uint32_t running(const TeamId &team) const;
    /// Rights usable at @p now, taken ones included.
    std::uint32_t usable(const TeamId &team, TimePoint now) const;
    std::uint32_t ceiling(const TeamId &team) const;
    /// Generation of the allowance in force.
    std::uint64_t generation(const TeamId &team) const;

private:
    struct Rights
    {
        std::uint32_t ceiling = 0;
        std::uint32_t standing = 0;
        std::uint32_t leased = 0;
        std::uint32_t running = 0;
        std::uint64_t generation = 0;
    };

    std::unordered_map<TeamId, Rights> m_teams;
    TimePoint m_leasedUntil;
};

} // namespace radishvane
