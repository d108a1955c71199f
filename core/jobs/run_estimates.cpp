#include "core/jobs/run_estimates.h"

#include <algorithm>
#include <cmath>

namespace radishvane
{

namespace
{

/// Weight of the newest run time.
constexpr double runWeight = 0.2;
/// Part of the largest memory use that is kept with each smaller one.
constexpr double memoryDecay = 0.98;
/// Kinds remembered; callers choose the names, so the number is bounded.
constexpr std::size_t mostKinds = 1'000;

} // namespace

void RunEstimates::note(const std::string &kind, Duration ran, std::uint32_t usedMemoryGb)
{
    if (!m_kinds.contains(kind) && m_kinds.size() >= mostKinds) {
        return;
    }
    Seen &seen = m_kinds[kind];
    const auto milliseconds = static_cast<double>(ran.count());
    seen.run = seen.samples == 0 ? milliseconds : seen.run + runWeight * (milliseconds - seen.run);
    seen.memory = std::max(static_cast<double>(usedMemoryGb), seen.memory * memoryDecay);
    ++seen.samples;
}

JobResources RunEstimates::needs(const std::string &kind, const JobResources &declared) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.samples < leastSamples || found->second.memory <= 0) {
        return declared;
    }
    constexpr double percent = 100.0;
    const double room = found->second.memory * (percent + headroomPercent) / percent;
    JobResources needs = declared;
    needs.memoryGb = std::min(declared.memoryGb, static_cast<std::uint32_t>(std::ceil(room)));
    return needs;
}

Duration RunEstimates::run(const std::string &kind, Duration declared) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.samples < leastSamples) {
        return declared;
    }
    return Duration(static_cast<Duration::rep>(found->second.run));
}

} // namespace radishvane
