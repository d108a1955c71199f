#pragma once

#include "core/base/clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace radishvane::drivers
{

/// Counters, gauges and latency histograms of one process, as text in the usual exposition format.
class MetricsPage
{
public:
    /// Adds to a counter; @p labels is written as in outcome="accepted".
    void count(const std::string &name, const std::string &labels, std::uint64_t more = 1);
    void gauge(const std::string &name, double value);
    void observe(const std::string &name, double milliseconds);
    std::string text() const;

private:
    /// Upper bounds of the buckets, in milliseconds.
    static constexpr std::array<double, 12> bounds{1, 2, 5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 10'000};

    struct Histogram
    {
        std::array<std::uint64_t, bounds.size()> buckets{};
        boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>
            all;
    };

    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, Histogram> m_histograms;
};

} // namespace radishvane::drivers
