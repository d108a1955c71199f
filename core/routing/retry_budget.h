#pragma once

#include <algorithm>

namespace radishvane
{

/// Bounds retries to a fraction of first tries, so that retries cannot multiply an overload.
class RetryBudget
{
public:
    /// Retries earned by each first try.
    static constexpr double earnedPerFirstTry = 0.1;
    /// Most retries that can be saved up.
    static constexpr double mostSaved = 10.0;

    void noteFirstTry()
    {
        m_saved = std::min(m_saved + earnedPerFirstTry, mostSaved);
    }

    /// Spends one retry; false when none is left.
    bool spend()
    {
        if (m_saved < 1.0) {
            return false;
        }
        m_saved -= 1.0;
        return true;
    }

private:
    double m_saved = mostSaved;
};

} // namespace radishvane
