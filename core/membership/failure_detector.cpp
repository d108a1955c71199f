#include "core/membership/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace radishvane
{

namespace
{

/// Length of the fixed wait in heartbeat intervals.
constexpr int maxMissedHeartbeats = 5;

} // namespace

FixedWaitDetector::FixedWaitDetector(Duration wait) : m_wait(wait)
{
}

void FixedWaitDetector::recordHeartbeat(TimePoint now)
{
    m_lastHeartbeat = now;
    m_hasHeartbeat = true;
}

bool FixedWaitDetector::suspects(TimePoint now) const
{
    return !m_hasHeartbeat || now - m_lastHeartbeat > m_wait;
}

AccrualDetector::AccrualDetector(Duration expected) : m_expected(toMilliseconds(expected))
{
}

void AccrualDetector::recordHeartbeat(TimePoint now)
{
    if (m_hasHeartbeat) {
        m_intervals[m_count % windowSize] = toMilliseconds(now - m_lastHeartbeat);
        ++m_count;
    }
    m_lastHeartbeat = now;
    m_hasHeartbeat = true;
}

bool AccrualDetector::suspects(TimePoint now) const
{
    return !m_hasHeartbeat || phi(now) > threshold;
}

double AccrualDetector::phi(TimePoint now) const
{
    const std::size_t sampleCount = std::min(m_count, windowSize);
    double mean = m_expected;
    double variance = 0;
    if (sampleCount > 0) {
        double sum = 0;
        for (std::size_t index = 0; index < sampleCount; ++index) {
            sum += m_intervals[index];
        }
        mean = sum / static_cast<double>(sampleCount);
        for (std::size_t index = 0; index < sampleCount; ++index) {
            variance += (m_intervals[index] - mean) * (m_intervals[index] - mean);
        }
        variance /= static_cast<double>(sampleCount);
    }
    const double deviation = std::max(std::sqrt(variance), mean * minDeviationRatio);
    const double lateness = (toMilliseconds(now - m_lastHeartbeat) - mean) / deviation;
    const double probability = 0.5 * std::erfc(lateness / std::sqrt(2.0));
    constexpr double minProbability = 1e-300;
    return -std::log10(std::max(probability, minProbability));
}

FailureDetector makeDetector(DetectorKind kind, Duration interval)
{
    switch (kind) {
    case DetectorKind::FixedWait:
        return FixedWaitDetector(interval * maxMissedHeartbeats);
    case DetectorKind::Accrual:
        return AccrualDetector(interval);
    }
    return FixedWaitDetector(interval * maxMissedHeartbeats);
}

void recordHeartbeat(FailureDetector &detector, TimePoint now)
{
    std::visit([now](auto &alternative) { alternative.recordHeartbeat(now); }, detector);
}

bool isSuspected(const FailureDetector &detector, TimePoint now)
{
    return std::visit([now](const auto &alternative) { return alternative.suspects(now); }, detector);
}

} // namespace radishvane
