#pragma once

#include "drivers/time_histogram.h"

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
    void gauge(const std::string &name, const std::string &labels, double value);
    void observe(const std::string &name, double milliseconds);
    void observe(const std::string &name, const std::string &labels, const TimeHistogram &times);
    std::string text() const;

private:
    /// Values by name and labels.
    template<typename Value>
    using Series = std::map<std::string, std::map<std::string, Value>>;

    Series<std::uint64_t> m_counters;
    Series<double> m_gauges;
    Series<TimeHistogram> m_histograms;
};

} // namespace radishvane::drivers
