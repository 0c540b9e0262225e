/// The latest time at which runs of a host can still be active without contact to the host. Used by HostAgent, which
/// declares the runs of an unreachable host ended only after that time.
#pragma once

#include "Decision/Job/ClockMargin.h"

#include <algorithm>
#include <cstdint>

namespace Plantainpier {

/// Follows the leases of one incarnation of a host. Leases are absolute times of the host's clock.
class LeaseBound {
public:
    /// The host was found at this time. An earlier process of the side may have passed on a lease of up to longestLease
    /// before that.
    LeaseBound(Instant found, Duration longestLease)
        : m_earlierLeasesEnd(found + withClockMargin(longestLease))
    {
    }

    void onClockReading(Instant now, std::int64_t clockMilliseconds)
    {
        m_clockMilliseconds = clockMilliseconds;
        m_clockReadAt = now;
    }
    void onLeaseGranted(std::int64_t untilMilliseconds)
    {
        m_leaseUntilMilliseconds = std::max(m_leaseUntilMilliseconds, untilMilliseconds);
    }

    /// Whether every lease that the host may hold has expired.
    bool isOver(Instant now) const
    {
        if (now < m_earlierLeasesEnd)
            return false;
        // Owners compute leases from readings of the host's clock. Without a reading, only an earlier process of the
        // side can have passed on a lease.
        if (m_clockReadAt == Instant())
            return true;
        const std::int64_t left = std::max(std::int64_t(0), m_leaseUntilMilliseconds - m_clockMilliseconds);
        return now >= m_clockReadAt + withClockMargin(milliseconds(left));
    }

private:
    Instant m_earlierLeasesEnd;
    /// Newest reading of the host's clock, and when it was received.
    std::int64_t m_clockMilliseconds = 0;
    Instant m_clockReadAt;
    std::int64_t m_leaseUntilMilliseconds = 0;
};

} // namespace Plantainpier
