/// In which order waiting work gets room. Answers the pattern "more plans than the hosts can carry": what can still be
/// on time goes first, shortest remaining chain against the time that is left; what is late already waits behind it,
/// small before large, so that a flood delays few jobs by much instead of all by some.
#pragma once

#include "Decision/Job/JobState.h"

#include <tuple>

namespace Plantainpier {

/// How promising a step is now.
enum class Timeliness {
    OnTime,
    Late,
    /// Beyond even the time up to which late work is of use.
    Overdue,
};

/// Sorts steps; less is sooner.
struct WorkPriority {
    int priority = 0;
    Timeliness prospect = Timeliness::OnTime;
    double measure = 0;

    bool operator<(const WorkPriority& other) const
    {
        return std::tie(priority, prospect, measure) < std::tie(other.priority, other.prospect, other.measure);
    }
};

/// The key of an open step of a job. Work counts as late up to this many times its allowed time.
inline WorkPriority workPriority(const JobState& job, const StepState& step, Instant now)
{
    constexpr int lateFactor = 3;
    const Duration allowed = job.due() - job.accepted();
    const Duration slack = step.due - step.remainingChain - now;
    WorkPriority key;
    key.priority = job.definition().priority;
    if (job.stepDefinition(step).longRunning) {
        key.measure = 0;
        return key;
    }
    if (slack >= Duration::zero()) {
        key.measure = static_cast<double>(slack.count());
        return key;
    }
    key.prospect = slack + (lateFactor - 1) * allowed >= Duration::zero() ? Timeliness::Late : Timeliness::Overdue;
    key.measure = job.workCoreSeconds();
    return key;
}

} // namespace Plantainpier
