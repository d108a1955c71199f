#pragma once

#include "core/base/clock.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>

namespace radishvane
{

/// How silence is judged.
enum class DetectorKind {
    FixedWait,
    Accrual,
};

/// Settings names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> detectorKindNames{"fixed-wait", "accrual"};

/// Suspects a peer after a fixed time of silence.
class FixedWaitDetector
{
public:
    explicit FixedWaitDetector(Duration wait);

    void heard(TimePoint now);
    bool suspects(TimePoint now) const;

private:
    Duration m_wait;
    TimePoint m_lastHeard;
    bool m_everHeard = false;
};

/// Suspects a peer when its silence is improbable after the intervals seen so far (phi accrual, with a normal
/// distribution of intervals).
class AccrualDetector
{
public:
    static constexpr std::size_t windowSize = 32;
    /// Suspicion level: the negative decimal logarithm of the probability that the peer is only late.
    static constexpr double threshold = 8.0;
    /// Least deviation assumed, so that regular intervals do not make the detector jumpy.
    static constexpr double leastDeviationPart = 0.25;

    /// @param expected interval assumed before any was seen.
    explicit AccrualDetector(Duration expected);

    void heard(TimePoint now);
    bool suspects(TimePoint now) const;
    double phi(TimePoint now) const;

private:
    double m_expected;
    std::array<double, windowSize> m_intervals{};
    std::size_t m_count = 0;
    TimePoint m_lastHeard;
    bool m_everHeard = false;
};

using FailureDetector = std::variant<FixedWaitDetector, AccrualDetector>;

/// @param interval between heartbeats.
FailureDetector makeDetector(DetectorKind kind, Duration interval);
void recordHeartbeat(FailureDetector &detector, TimePoint now);
bool isSuspected(const FailureDetector &detector, TimePoint now);

} // namespace radishvane
