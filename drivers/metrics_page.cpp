#include "drivers/metrics_page.h"

#include <sstream>

namespace radishvane::drivers
{

namespace
{

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : '{' + labels + '}';
}

} // namespace

void MetricsPage::count(const std::string &name, const std::string &labels, std::uint64_t more)
{
    m_counters[name][labels] += more;
}

void MetricsPage::gauge(const std::string &name, double value)
{
    gauge(name, {}, value);
}

void MetricsPage::gauge(const std::string &name, const std::string &labels, double value)
{
    m_gauges[name][labels] = value;
}

void MetricsPage::observe(const std::string &name, double milliseconds)
{
    m_histograms[name][{}].add(milliseconds);
}

void MetricsPage::observe(const std::string &name, const std::string &labels, const TimeHistogram &times)
{
    m_histograms[name][labels].add(times);
}

std::string MetricsPage::text() const
{
    std::ostringstream page;
    for (const auto &[name, series] : m_counters) {
        page << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : series) {
            page << name << inBraces(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, series] : m_gauges) {
        page << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : series) {
            page << name << inBraces(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, series] : m_histograms) {
        page << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, times] : series) {
            const std::string prefix = labels.empty() ? std::string() : labels + ',';
            for (std::size_t index = 0; index < TimeHistogram::bounds.size(); ++index) {
                page << name << "_bucket{" << prefix << "le=\"" << TimeHistogram::bounds[index] << "\"} "
                     << times.countUpTo(index) << '\n';
            }
            page << name << "_bucket{" << prefix << "le=\"+Inf\"} " << times.count() << '\n'
                 << name << "_sum" << inBraces(labels) << ' ' << times.sum() << '\n'
                 << name << "_count" << inBraces(labels) << ' ' << times.count() << '\n';
        }
    }
    return page.str();
}

} // namespace radishvane::drivers
