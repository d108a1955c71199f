#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstdint>
#include <unordered_map>

namespace radishvane
{

/// Quota of each team on this entry host, with the rights in use; work starts only under a right.
///
/// The rights of a team sum to at most its ceiling over all entry hosts. Standing rights do not expire. Work may start
/// under leased rights until they expire; a host that reclaims them waits until the work started before has ended.
class TeamRights
{
public:
    void setCeiling(const TeamId &team, std::uint32_t ceiling);
    void setAllowance(const TeamId &team, std::uint32_t standing, std::uint32_t leased, std::uint64_t generation);
    /// Work may start under the leased rights of all teams until @p until.
    void setLeasedUntil(TimePoint until);
    /// Sets the ceiling of a team that the configuration no longer contains to zero; its running work still counts.
    void withdraw(const TeamId &team);

    bool mayTake(const TeamId &team, TimePoint now) const;
    /// Takes one right. @return false when no right is free.
    bool take(const TeamId &team, TimePoint now);
    void release(const TeamId &team);

    std::uint32_t running(const TeamId &team) const;
    /// Rights usable at @p now, including those already taken.
    std::uint32_t usable(const TeamId &team, TimePoint now) const;
    std::uint32_t ceiling(const TeamId &team) const;
    /// Generation of the allowance that is applied.
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
