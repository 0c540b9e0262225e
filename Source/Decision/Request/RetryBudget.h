/// Bounds what retries may add to the load: each first dispatch earns a part of a retry.
#pragma once

#include <algorithm>

namespace Plantainpier {

/// A token bucket of retries. Used by the entry for all its requests together; lives for the process.
class RetryBudget {
public:
    /// A request is dispatched for the first time: earns percent/100 of a retry.
    void onFirstDispatch(int percent) { m_hundredths = std::min(maximumHundredths, m_hundredths + percent); }

    /// Takes one retry if there is one.
    bool take()
    {
        if (m_hundredths < hundredthsPerRetry)
            return false;
        m_hundredths -= hundredthsPerRetry;
        return true;
    }

private:
    static constexpr int hundredthsPerRetry = 100;
    /// Retries that can be saved up in quiet times.
    static constexpr int maximumHundredths = 10 * hundredthsPerRetry;

    int m_hundredths = 0;
};

} // namespace Plantainpier
