/// Limits the load that retries add: each first dispatch adds a fraction of a retry to the budget.
#pragma once

#include <algorithm>

namespace Plantainpier {

/// A token bucket of retries, shared by all requests of an entry. Used by RequestCoordinator; lives for the process.
class RetryBudget {
public:
    /// A request is dispatched for the first time: adds percent/100 of a retry.
    void onFirstDispatch(int percent) { m_hundredths = std::min(maximumHundredths, m_hundredths + percent); }

    /// Consumes one retry; returns false if the budget holds less than one.
    bool tryConsume()
    {
        if (m_hundredths < hundredthsPerRetry)
            return false;
        m_hundredths -= hundredthsPerRetry;
        return true;
    }

private:
    static constexpr int hundredthsPerRetry = 100;
    /// Capacity of the bucket: retries that can accumulate while few are needed.
    static constexpr int maximumHundredths = 10 * hundredthsPerRetry;

    int m_hundredths = 0;
};

} // namespace Plantainpier
