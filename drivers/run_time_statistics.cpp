#include "drivers/run_time_statistics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace radishvane::drivers
{

namespace accumulators = boost::accumulators;

struct RunTimeStatistics::Accumulators
{
    using Quantile = accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::p_square_quantile>>;

    Quantile median{accumulators::quantile_probability = 0.5};
    Quantile p99{accumulators::quantile_probability = 0.99};
};

RunTimeStatistics::RunTimeStatistics() : m_accumulators(std::make_unique<Accumulators>())
{
}

RunTimeStatistics::~RunTimeStatistics() = default;

RunTimeStatistics::RunTimeStatistics(RunTimeStatistics &&other) noexcept = default;

RunTimeStatistics &RunTimeStatistics::operator=(RunTimeStatistics &&other) noexcept = default;

void RunTimeStatistics::add(double milliseconds)
{
    m_accumulators->median(milliseconds);
    m_accumulators->p99(milliseconds);
}

std::size_t RunTimeStatistics::count() const
{
    return accumulators::count(m_accumulators->median);
}

double RunTimeStatistics::median() const
{
    return count() == 0 ? 0 : accumulators::p_square_quantile(m_accumulators->median);
}

double RunTimeStatistics::p99() const
{
    return count() == 0 ? 0 : accumulators::p_square_quantile(m_accumulators->p99);
}

} // namespace radishvane::drivers
