#pragma once

#include <cstddef>
#include <memory>

namespace radishvane::drivers
{

/// Running quantiles of a time, without keeping the samples.
class RunTimeStatistics
{
public:
    RunTimeStatistics();
    ~RunTimeStatistics();
    RunTimeStatistics(RunTimeStatistics &&other) noexcept;
    RunTimeStatistics &operator=(RunTimeStatistics &&other) noexcept;

    void add(double milliseconds);
    std::size_t count() const;
    double median() const;
    double p99() const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
};

} // namespace radishvane::drivers
