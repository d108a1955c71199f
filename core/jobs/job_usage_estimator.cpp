#include "core/jobs/job_usage_estimator.h"

#include <algorithm>
#include <cmath>

namespace radishvane
{

namespace
{

/// Weight of the newest sample in the moving average of the run time.
constexpr double runTimeWeight = 0.2;
/// Factor by which the highest memory use decays with each sample.
constexpr double memoryDecay = 0.98;
/// Maximum number of kinds tracked. Callers choose the names, so the map needs a bound.
constexpr std::size_t maxKinds = 1'000;

} // namespace

void JobUsageEstimator::record(const std::string &kind, Duration ran, std::uint32_t usedMemoryGb)
{
    if (!m_kinds.contains(kind) && m_kinds.size() >= maxKinds) {
        return;
    }
    KindEstimate &estimate = m_kinds[kind];
    const auto milliseconds = static_cast<double>(ran.count());
    estimate.runMs
        = estimate.samples == 0 ? milliseconds : estimate.runMs + runTimeWeight * (milliseconds - estimate.runMs);
    estimate.memoryGb = std::max(static_cast<double>(usedMemoryGb), estimate.memoryGb * memoryDecay);
    ++estimate.samples;
}

JobResources JobUsageEstimator::needs(const std::string &kind, const JobResources &declared) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.samples < minSamples || found->second.memoryGb <= 0) {
        return declared;
    }
    constexpr double percent = 100.0;
    const double room = found->second.memoryGb * (percent + headroomPercent) / percent;
    JobResources needs = declared;
    needs.memoryGb = std::min(declared.memoryGb, static_cast<std::uint32_t>(std::ceil(room)));
    return needs;
}

Duration JobUsageEstimator::runTime(const std::string &kind, Duration declared) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.samples < minSamples) {
        return declared;
    }
    return Duration(static_cast<Duration::rep>(found->second.runMs));
}

} // namespace radishvane
