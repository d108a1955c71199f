#pragma once

#include <algorithm>

namespace radishvane
{

/// Token bucket that limits retries to a fraction of the first attempts, so that retries do not amplify an overload.
class RetryBudget
{
public:
    /// Retry tokens added by each first attempt.
    static constexpr double tokensPerFirstAttempt = 0.1;
    /// Capacity of the bucket, in retries.
    static constexpr double maxTokens = 10.0;

    void recordFirstAttempt()
    {
        m_tokens = std::min(m_tokens + tokensPerFirstAttempt, maxTokens);
    }

    /// Takes the token of one retry. @return false when less than one token is left.
    bool spend()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_tokens = maxTokens;
};

} // namespace radishvane
