#include "drivers/metrics_page.h"

#include <sstream>

namespace radishvane::drivers
{

void MetricsPage::count(const std::string &name, const std::string &labels, std::uint64_t more)
{
    m_counters[name][labels] += more;
}

void MetricsPage::gauge(const std::string &name, double value)
{
    m_gauges[name] = value;
}

void MetricsPage::observe(const std::string &name, double milliseconds)
{
    Histogram &histogram = m_histograms[name];
    for (std::size_t index = 0; index < bounds.size(); ++index) {
        histogram.buckets[index] += milliseconds <= bounds[index] ? 1 : 0;
    }
    histogram.all(milliseconds);
}

std::string MetricsPage::text() const
{
    std::ostringstream page;
    for (const auto &[name, series] : m_counters) {
        page << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : series) {
            page << name << (labels.empty() ? std::string() : '{' + labels + '}') << ' ' << value << '\n';
        }
    }
    for (const auto &[name, value] : m_gauges) {
        page << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }
    for (const auto &[name, histogram] : m_histograms) {
        page << "# TYPE " << name << " histogram\n";
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            page << name << "_bucket{le=\"" << bounds[index] << "\"} " << histogram.buckets[index] << '\n';
        }
        page << name << "_bucket{le=\"+Inf\"} " << boost::accumulators::count(histogram.all) << '\n';
        page << name << "_sum " << boost::accumulators::sum(histogram.all) << '\n'
             << name << "_count " << boost::accumulators::count(histogram.all) << '\n';
    }
    return page.str();
}

} // namespace radishvane::drivers
