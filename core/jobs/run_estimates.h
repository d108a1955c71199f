#pragma once

#include "core/base/clock.h"
#include "core/messages/rows.h"

#include <map>
#include <string>

namespace radishvane
{

/// What jobs of each kind were seen to need, since declared sizes and run times are far off.
class RunEstimates
{
public:
    /// Ended jobs of a kind before its estimate is used.
    static constexpr int leastSamples = 3;
    /// Room kept above the largest recent use, in percent of it.
    static constexpr std::uint32_t headroomPercent = 25;

    void note(const std::string &kind, Duration ran, std::uint32_t usedMemoryGb);

    /// Needs to reserve: the declared ones, lowered to what the kind was seen to use. The declared size stays the
    /// bound, so that a wrong estimate never takes more than the submitter asked for.
    JobResources needs(const std::string &kind, const JobResources &declared) const;
    /// Expected run time; the declared one until the kind is known.
    Duration run(const std::string &kind, Duration declared) const;

private:
    struct Seen
    {
        int samples = 0;
        double run = 0;
        /// Largest use, which decays slowly.
        double memory = 0;
    };

    std::map<std::string, Seen> m_kinds;
};

} // namespace radishvane
