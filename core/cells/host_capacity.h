#pragma once

#include <algorithm>

namespace radishvane::cells
{

/// Resources that an entry host has for this process.
struct HostCapacity
{
    /// Processor time, in cores.
    double cores = 1;
    /// Rate of the host's network link in each direction, in megabits per second.
    double linkMbps = 1'000;

    /// Part of the resources that the owner of a busy cell needs, from 0 to 1; limited by the scarcer resource.
    double ownerFitness() const
    {
        // docs/CAPACITY.md works out what an owner needs.
        constexpr double ownerCores = 0.25;
        constexpr double ownerLinkMbps = 100;
        return std::min({1.0, cores / ownerCores, linkMbps / ownerLinkMbps});
    }
};

} // namespace radishvane::cells
