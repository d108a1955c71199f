#pragma once

#include "core/base/clock.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>

namespace radishvane
{

/// Method by which missing heartbeats lead to suspicion.
enum class DetectorKind {
    FixedWait,
    Accrual,
};

/// Settings names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> detectorKindNames{"fixed-wait", "accrual"};

/// Suspects a peer after a fixed time without a heartbeat.
class FixedWaitDetector
{
public:
    explicit FixedWaitDetector(Duration wait);

    void recordHeartbeat(TimePoint now);
    bool suspects(TimePoint now) const;

private:
    Duration m_wait;
    TimePoint m_lastHeartbeat;
    bool m_hasHeartbeat = false;
};

/// Phi accrual failure detector: suspects a peer when the time since its last heartbeat is improbable for the recent
/// heartbeat intervals, which are assumed to be normally distributed.
class AccrualDetector
{
public:
    static constexpr std::size_t windowSize = 32;
    /// Suspicion level: the negative decimal logarithm of the probability that the peer is only late.
    static constexpr double threshold = 8.0;
    /// Lower bound of the standard deviation as a part of the mean interval. Without it, very regular heartbeats would
    /// make a slightly late one look like a failure.
    static constexpr double minDeviationRatio = 0.25;

    /// @param expected interval assumed until one has been observed.
    explicit AccrualDetector(Duration expected);

    void recordHeartbeat(TimePoint now);
    bool suspects(TimePoint now) const;
    double phi(TimePoint now) const;

private:
    double m_expected;
    std::array<double, windowSize> m_intervals{};
    std::size_t m_count = 0;
    TimePoint m_lastHeartbeat;
    bool m_hasHeartbeat = false;
};

using FailureDetector = std::variant<FixedWaitDetector, AccrualDetector>;

/// @param interval between heartbeats.
FailureDetector makeDetector(DetectorKind kind, Duration interval);
void recordHeartbeat(FailureDetector &detector, TimePoint now);
bool isSuspected(const FailureDetector &detector, TimePoint now);

} // namespace radishvane
