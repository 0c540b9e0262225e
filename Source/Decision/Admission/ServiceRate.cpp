#include "Decision/Admission/ServiceRate.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Covers several waves of the more urgent load, so that a class is not judged by the worst of them.
    constexpr Duration memory = seconds(20);
    /// Hosts report progress in steps of a tenth of a run, so the rate over a shorter time is mostly noise.
    constexpr Duration window = seconds(2);
    constexpr Duration usualWindow = seconds(4);
    constexpr Duration minimumSaturatedTime = seconds(4);
    constexpr Duration maximumAge = seconds(1);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void ServiceRate::record(Instant from, Instant until, double coreSeconds, bool saturated)
{
    m_samples.push_back(Sample { from, until, coreSeconds, saturated });
    while (until - m_samples.front().from > memory)
        m_samples.pop_front();
}

RateEstimate ServiceRate::estimate(Instant now) const
{
    RateEstimate estimate;
    double usualWork = 0;
    Duration usualTime {};
    std::deque<Sample>::const_iterator first = m_samples.begin();
    double work = 0;
    for (std::deque<Sample>::const_iterator it = m_samples.begin(); it != m_samples.end(); ++it) {
        const bool continues = it != m_samples.begin() && (it - 1)->saturated && (it - 1)->until == it->from;
        if (!it->saturated)
            continue;
        if (!continues) {
            first = it;
            work = 0;
        }
        work += it->coreSeconds;
        // The window is the shortest run of samples that ends here and covers the required time.
        while (it->until - (first + 1 <= it ? (first + 1)->from : it->until) >= window) {
            work -= first->coreSeconds;
            ++first;
        }
        const Duration covered = it->until - first->from;
        if (covered >= window)
            estimate.highest = std::max(estimate.highest, work / inSeconds(covered));
        estimate.saturatedFor += it->until - it->from;
        if (now - it->from <= usualWindow) {
            usualWork += it->coreSeconds;
            usualTime += it->until - it->from;
        }
    }
    if (usualTime > Duration::zero())
        estimate.usual = std::max(0.0, usualWork / inSeconds(usualTime));
    estimate.certain = !m_samples.empty() && m_samples.back().saturated && now - m_samples.back().until <= maximumAge
        && estimate.saturatedFor >= minimumSaturatedTime && estimate.highest > 0 && estimate.usual > 0;
    return estimate;
}

} // namespace Plantainpier
