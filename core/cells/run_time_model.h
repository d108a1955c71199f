#pragma once

#include "core/cells/site.h"

#include <map>
#include <vector>

namespace radishvane::cells
{

/// Expected run time of one task of each step of a job.
using RunTimes = std::vector<Duration>;

/// Returns the declared run times of the steps of @p spec.
RunTimes declaredRunTimes(const GraphSpec &spec);

/// Learns the run times of each queue's tasks from completed runs.
///
/// Serves queues whose declared run times are far off, where jobs would be ranked, forecast and given up by numbers
/// that say little. A linear regression in logarithms predicts the run time from the declared one, so a queue's
/// declared times count as far as they have predicted its run times. Without completed runs the declared times are
/// used.
class RunTimeModel
{
public:
    /// Number of completed runs that count as much as the declared run time.
    static constexpr double declaredWeight = 20;
    /// Factor by which older runs count less with each new one, so that the model follows changes.
    static constexpr double retention = 0.998;
    /// Limit of the factor between declared and expected run time.
    static constexpr double maxCorrection = 20;

    /// Number of recorded runs after which the expectations change.
    static constexpr std::uint64_t runsPerGeneration = 50;

    void clear();
    void record(const QueueId &queue, Duration declared, Duration actual);
    Duration expected(const QueueId &queue, Duration declared) const;
    RunTimes expected(const QueueId &queue, const GraphSpec &spec) const;

    /// Mean run time in milliseconds of a queue's tasks, whose declared mean is @p declared.
    double mean(const QueueId &queue, double declared) const;
    /// Rises when the expectations change. Within a generation equal tasks have equal expectations, so that jobs can be
    /// ranked by them.
    std::uint64_t generation() const;

private:
    /// Weighted sums over the completed runs of a queue, of the logarithms of declared (x) and actual (y) run time.
    struct Sums
    {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;
    };

    /// Sums of @p queue in this generation, or nullptr if there are none.
    const Sums *sumsOf(const QueueId &queue) const;
    /// Returns how far the runs count against the declared time, from 0 to 1.
    static double learnedShare(const Sums &sums);
    /// Logarithm of the expected run time by the regression alone.
    static double predict(const Sums &sums, double x);

    std::map<QueueId, Sums> m_recorded;
    /// State of @c m_recorded at the begin of this generation.
    std::map<QueueId, Sums> m_expected;
    std::uint64_t m_records = 0;
};

} // namespace radishvane::cells
