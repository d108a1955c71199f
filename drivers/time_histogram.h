#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace radishvane::drivers
{

/// Distribution of times over fixed buckets. Histograms of two intervals add up to that of both.
class TimeHistogram
{
public:
    /// Upper bounds of the buckets, in milliseconds.
    static constexpr std::array<double, 12> bounds{1, 2, 5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 10'000};

    void add(double milliseconds)
    {
        const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), milliseconds);
        ++m_buckets[static_cast<std::size_t>(bucket - bounds.begin())];
        m_sum += milliseconds;
        m_longest = std::max(m_longest, milliseconds);
    }

    void add(const TimeHistogram &other)
    {
        for (std::size_t index = 0; index < m_buckets.size(); ++index) {
            m_buckets[index] += other.m_buckets[index];
        }
        m_sum += other.m_sum;
        m_longest = std::max(m_longest, other.m_longest);
    }

    /// Number of times up to the bound with this index; bounds.size() counts all.
    std::uint64_t countUpTo(std::size_t index) const
    {
        std::uint64_t count = 0;
        for (std::size_t bucket = 0; bucket <= index && bucket < m_buckets.size(); ++bucket) {
            count += m_buckets[bucket];
        }
        return count;
    }

    std::uint64_t count() const
    {
        return countUpTo(bounds.size());
    }

    double sum() const
    {
        return m_sum;
    }

    /// 0 if there are no times.
    double longest() const
    {
        return m_longest;
    }

private:
    /// The last bucket holds the times above all bounds.
    std::array<std::uint64_t, bounds.size() + 1> m_buckets{};
    double m_sum = 0;
    double m_longest = 0;
};

} // namespace radishvane::drivers
