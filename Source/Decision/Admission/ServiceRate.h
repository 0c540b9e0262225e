/// Rate at which the hosts of a service complete the work of a class of jobs. Measured by WorkMonitor.
#pragma once

#include "Base/Time.h"

#include <deque>

namespace Plantainpier {

/// A rate in cores: core-seconds of work, by the steps' estimates, that are completed in a second.
struct RateEstimate {
    /// Mean of the last few seconds in which the class was saturated.
    double usual = 0;
    /// Highest mean over a window of saturated time.
    double highest = 0;
    /// Saturated time that the figures are based on.
    Duration saturatedFor {};
    /// The class is saturated now and has been for long enough. Otherwise the hosts may be able to do more than shown.
    bool certain = false;
};

/// Keeps the work that was completed recently. While a class is not saturated, its completed work shows how much was
/// asked for and not how much the hosts can do, so only saturated time counts.
class ServiceRate {
public:
    /// Adds the work that was completed in an interval. It is negative if stopped runs lost more than others completed.
    void record(Instant from, Instant until, double coreSeconds, bool saturated);
    RateEstimate estimate(Instant now) const;

private:
    struct Sample {
        Instant from;
        Instant until;
        double coreSeconds;
        bool saturated;
    };

    std::deque<Sample> m_samples;
};

} // namespace Plantainpier
