/// Decides at submission whether a job is accepted. JobOwner asks once for each submitted job.
#pragma once

#include "Decision/Admission/AdmissionRules.h"
#include "Decision/Admission/WorkMonitor.h"

namespace Plantainpier {

struct AdmissionDecision {
    bool accepted = true;
    /// Lower bound of the time in which the job could be completed, and the time after which its result is of no use.
    Duration expected {};
    Duration limit {};
    /// Core-seconds of the job and of the work that is served before it.
    double backlog = 0;
    /// Highest rate in cores that the hosts are credited with.
    double rate = 0;
    /// For a rejected job, in whole seconds: when there is room for a job like this one.
    Duration retryAfter {};
};

/// Rejects the jobs that cannot be completed even late. The estimate is a lower bound: it counts only work that is
/// served before the job for certain, assumes that no further job arrives, and uses the highest recent rate with a
/// margin. A job is accepted while the rate is not known.
class AdmissionController {
public:
    AdmissionController(AdmissionMode mode, const WorkMonitor& monitor)
        : m_mode(mode)
        , m_monitor(monitor)
    {
    }

    AdmissionDecision decide(Instant now, const JobState& job);

private:
    using ClassName = std::pair<std::string, int>;

    Duration chooseRetryDelay(Instant now, const ClassName& name, const AdmissionDecision& decision, Duration ownTime);

    AdmissionMode m_mode;
    const WorkMonitor& m_monitor;
    /// Earliest retry time for the next rejected job of each class. Each rejected job is given the time in which the
    /// hosts complete its work, so that the jobs return one after the other in the order of their rejection.
    std::map<ClassName, Instant> m_nextRetryAt;
};

} // namespace Plantainpier
