#pragma once

#include "core/base/clock.h"
#include "core/messages/rows.h"

#include <map>
#include <string>

namespace radishvane
{

/// Estimates memory use and run time for each kind of job from ended runs, since declared values are far off.
class JobUsageEstimator
{
public:
    /// Number of ended jobs of a kind before its estimate is used.
    static constexpr int minSamples = 3;
    /// Memory reserved above the highest recent use, in percent of that use.
    static constexpr std::uint32_t headroomPercent = 25;

    void record(const std::string &kind, Duration ran, std::uint32_t usedMemoryGb);

    /// Resources to reserve: the declared ones, with the memory lowered to the observed use of the kind. The declared
    /// size stays the upper bound, so that a wrong estimate never reserves more than the submitter asked for.
    JobResources needs(const std::string &kind, const JobResources &declared) const;
    /// Expected run time; the declared one until the kind has enough samples.
    Duration runTime(const std::string &kind, Duration declared) const;

private:
    struct KindEstimate
    {
        int samples = 0;
        double runMs = 0;
        /// Highest memory use, which decays with each later sample.
        double memoryGb = 0;
    };

    std::map<std::string, KindEstimate> m_kinds;
};

} // namespace radishvane
