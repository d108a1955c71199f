#include "core/cells/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace radishvane::cells
{

RunTimes declaredRunTimes(const GraphSpec &spec)
{
    RunTimes times;
    times.reserve(spec.steps.size());
    for (const StepSpec &step : spec.steps) {
        times.push_back(step.estimate);
    }
    return times;
}

void RunTimeModel::clear()
{
    *this = RunTimeModel{};
}

void RunTimeModel::record(const QueueId &queue, Duration declared, Duration actual)
{
    if (declared <= Duration{0} || actual <= Duration{0}) {
        return;
    }
    const double x = std::log(toMilliseconds(declared));
    // Bounds the influence of a run on a stalled worker.
    const double limit = std::log(maxCorrection);
    const double y = std::clamp(std::log(toMilliseconds(actual)), x - limit, x + limit);
    Sums &sums = m_recorded[queue];
    for (double *sum : {&sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy, &sums.yy}) {
        *sum *= retention;
    }
    sums.weight += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
    sums.yy += y * y;
    if (++m_records % runsPerGeneration == 0) {
        m_expected = m_recorded;
    }
}

Duration RunTimeModel::expected(const QueueId &queue, Duration declared) const
{
    const Sums *sums = sumsOf(queue);
    if (sums == nullptr || declared <= Duration{0}) {
        return declared;
    }
    const double x = std::log(toMilliseconds(declared));
    const double limit = std::log(maxCorrection);
    const double correction = std::clamp(learnedShare(*sums) * (predict(*sums, x) - x), -limit, limit);
    return Duration(static_cast<Duration::rep>(std::ceil(std::exp(x + correction))));
}

double RunTimeModel::mean(const QueueId &queue, double declared) const
{
    const Sums *sums = sumsOf(queue);
    if (sums == nullptr || declared <= 0) {
        return declared;
    }
    const double meanY = sums->y / sums->weight;
    const double varianceY = std::max(0.0, sums->yy / sums->weight - meanY * meanY);
    const double x = std::log(declared);
    return std::exp(x + learnedShare(*sums) * (meanY + varianceY / 2 - x));
}

RunTimes RunTimeModel::expected(const QueueId &queue, const GraphSpec &spec) const
{
    RunTimes times = declaredRunTimes(spec);
    for (Duration &time : times) {
        time = expected(queue, time);
    }
    return times;
}

std::uint64_t RunTimeModel::generation() const
{
    return m_records / runsPerGeneration;
}

const RunTimeModel::Sums *RunTimeModel::sumsOf(const QueueId &queue) const
{
    const auto found = m_expected.find(queue);
    return found == m_expected.end() ? nullptr : &found->second;
}

double RunTimeModel::learnedShare(const Sums &sums)
{
    return sums.weight / (sums.weight + declaredWeight);
}

double RunTimeModel::predict(const Sums &sums, double x)
{
    const double meanX = sums.x / sums.weight;
    const double meanY = sums.y / sums.weight;
    const double varianceX = std::max(0.0, sums.xx / sums.weight - meanX * meanX);
    const double varianceY = std::max(0.0, sums.yy / sums.weight - meanY * meanY);
    const double covariance = sums.xy / sums.weight - meanX * meanY;
    // Without a spread of declared times the runs say nothing about the slope.
    constexpr double minVariance = 1e-4;
    const double slope = varianceX < minVariance ? 1 : std::clamp(covariance / varianceX, 0.0, 1.0);
    const double residual = std::max(0.0, varianceY - 2 * slope * covariance + slope * slope * varianceX);
    // The mean of a logarithmic normal distribution lies above its median.
    return meanY + slope * (x - meanX) + residual / 2;
}

} // namespace radishvane::cells
