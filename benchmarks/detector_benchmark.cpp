// Failure detectors in virtual time: false suspicions under pauses and lost heartbeats, and the time to notice a host
// that has gone; the same figures on every run.

#include "benchmarks/bounds.h"
#include "core/base/enum_names.h"
#include "core/membership/failure_detector.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

namespace radishvane::benchmarks
{

namespace
{

constexpr Duration interval{1'000};
constexpr Duration look{50};

struct DetectorResult
{
    int falseSuspicions = 0;
    double detectionMilliseconds = 0;
};

/// One hour of heartbeats with jitter, 2 % lost, and a pause of up to 4 s each minute; then silence.
DetectorResult watch(DetectorKind kind, std::uint32_t seed, bool pauses)
{
    std::mt19937 random(seed);
    FailureDetector detector = makeDetector(kind, interval);
    std::uniform_real_distribution<double> part;
    DetectorResult result;
    TimePoint now = TimePoint(std::chrono::hours(1));
    const TimePoint end = now + std::chrono::hours(1);
    TimePoint nextHeartbeat = now;
    bool suspected = false;
    int heartbeats = 0;
    for (; now < end; now += look) {
        if (now >= nextHeartbeat) {
            constexpr int heartbeatsInAMinute = 60;
            constexpr double lostPart = 0.02;
            constexpr double jitterMilliseconds = 100;
            constexpr double longestPauseMilliseconds = 4'000;
            ++heartbeats;
            if (part(random) > lostPart) {
                recordHeartbeat(detector, now);
                suspected = false;
            }
            const bool pause = pauses && heartbeats % heartbeatsInAMinute == 0;
            const double late
                = part(random) * jitterMilliseconds + (pause ? part(random) * longestPauseMilliseconds : 0);
            nextHeartbeat = now + interval + std::chrono::milliseconds(static_cast<long>(late));
        }
        if (!suspected && isSuspected(detector, now)) {
            suspected = true;
            ++result.falseSuspicions;
        }
    }
    const TimePoint gone = now;
    while (!isSuspected(detector, now)) {
        now += look;
    }
    result.detectionMilliseconds = toMilliseconds(now - gone);
    return result;
}

void detector(benchmark::State &state)
{
    const auto kind = static_cast<DetectorKind>(state.range(0));
    const bool pauses = state.range(1) != 0;
    constexpr int seeds = 20;
    int suspicions = 0;
    double detection = 0;
    for (auto unused : state) {
        suspicions = 0;
        detection = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            const DetectorResult result = watch(kind, seed, pauses);
            suspicions += result.falseSuspicions;
            detection = std::max(detection, result.detectionMilliseconds);
        }
    }
    state.SetLabel(std::string(enumName(detectorKindNames, kind)) + (pauses ? ", pauses" : ", calm"));
    state.counters["false_per_hour"] = static_cast<double>(suspicions) / seeds;
    state.counters["worst_detection_ms"] = detection;
}

BENCHMARK(detector)->ArgsProduct({{0, 1}, {0, 1}})->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace radishvane::benchmarks

int main(int argumentCount, char **arguments)
{
    return radishvane::benchmarks::runWithBounds(argumentCount, arguments);
}
