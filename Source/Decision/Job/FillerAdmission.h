/// Whether a job of fillers is taken. Answers the pattern "a burst of more plans than the hosts carry in time": taking all of
/// them makes all of them late, so that nobody is served; what cannot be on time is refused at once and told when to come
/// back.
#pragma once

#include "Decision/Job/HostBook.h"
#include "Decision/Job/JobState.h"

namespace Plantainpier {

/// Figures of the admission.
struct FillerAdmissionRules {
    /// Share of the processors that others leave which fillers get at least; the rest is lost to interference and
    /// placement (docs/design/0006-interference.md). More is believed as soon as it is seen.
    double leastShare = 0.4;
    /// Share of a serving task's processors that it uses on average.
    double servingLoad = 0.5;
    /// Share of the time that a job has to spare which the work before it may take: it is a mean, and tasks fail.
    double spareShare = 2.5;
    /// Bounds of what callers are told to wait.
    Duration shortestBackOff = seconds(1);
    Duration longestBackOff = seconds(4);
    /// Between two looks at the hosts.
    Duration interval = milliseconds(250);
    /// Share of a new observation in the smoothed rate.
    double smoothing = 0.1;
};

/// Compares the open work of fillers with the rate at which it gets done. Used by JobOwner.
class FillerAdmission {
public:
    explicit FillerAdmission(const FillerAdmissionRules& rules)
        : m_rules(rules)
    {
    }

    /// Whether it is time to look again; the work is in core-seconds by estimate.
    bool isDue(Instant now) const { return now - m_observedAt >= m_rules.interval; }
    void observe(Instant now, const HostBook& hosts, double openCoreSeconds);
    /// Counts a job that was just taken.
    void add(double coreSeconds) { m_openCoreSeconds += coreSeconds; }
    /// Zero when a job with this chain of work and this time for it is taken, else how long to stay away.
    Duration backOff(Duration chain, Duration allowed) const;
    /// How long the open work takes at the rate that was seen last.
    Duration drainTime() const;

private:
    FillerAdmissionRules m_rules;
    Instant m_observedAt;
    double m_openCoreSeconds = 0;
    /// Cores that fillers get; zero before any host was seen.
    double m_rate = 0;
};

} // namespace Plantainpier
