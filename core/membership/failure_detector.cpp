#include "core/membership/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace radishvane
{

namespace
{

/// Heartbeats that may be missed before the fixed wait ends.
constexpr int missedHeartbeats = 5;

} // namespace

FixedWaitDetector::FixedWaitDetector(Duration wait) : m_wait(wait)
{
}

void FixedWaitDetector::heard(TimePoint now)
{
    m_lastHeard = now;
    m_everHeard = true;
}

bool FixedWaitDetector::suspects(TimePoint now) const
{
    return !m_everHeard || now - m_lastHeard > m_wait;
}

AccrualDetector::AccrualDetector(Duration expected) : m_expected(toMilliseconds(expected))
{
}

void AccrualDetector::heard(TimePoint now)
{
    if (m_everHeard) {
        m_intervals[m_count % windowSize] = toMilliseconds(now - m_lastHeard);
        ++m_count;
    }
    m_lastHeard = now;
    m_everHeard = true;
}

bool AccrualDetector::suspects(TimePoint now) const
{
    return !m_everHeard || phi(now) > threshold;
}

double AccrualDetector::phi(TimePoint now) const
{
    const std::size_t known = std::min(m_count, windowSize);
    double mean = m_expected;
    double variance = 0;
    if (known > 0) {
        double sum = 0;
        for (std::size_t index = 0; index < known; ++index) {
            sum += m_intervals[index];
        }
        mean = sum / static_cast<double>(known);
        for (std::size_t index = 0; index < known; ++index) {
            variance += (m_intervals[index] - mean) * (m_intervals[index] - mean);
        }
        variance /= static_cast<double>(known);
    }
    const double deviation = std::max(std::sqrt(variance), mean * leastDeviationPart);
    const double late = (toMilliseconds(now - m_lastHeard) - mean) / deviation;
    const double probability = 0.5 * std::erfc(late / std::sqrt(2.0));
    constexpr double leastProbability = 1e-300;
    return -std::log10(std::max(probability, leastProbability));
}

FailureDetector makeDetector(DetectorKind kind, Duration interval)
{
    switch (kind) {
    case DetectorKind::FixedWait:
        return FixedWaitDetector(interval * missedHeartbeats);
    case DetectorKind::Accrual:
        return AccrualDetector(interval);
    }
    return FixedWaitDetector(interval * missedHeartbeats);
}

void recordHeartbeat(FailureDetector &detector, TimePoint now)
{
    std::visit([now](auto &alternative) { alternative.heard(now); }, detector);
}

bool isSuspected(const FailureDetector &detector, TimePoint now)
{
    return std::visit([now](const auto &alternative) { return alternative.suspects(now); }, detector);
}

} // namespace radishvane
