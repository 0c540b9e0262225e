/// The order in which TaskScheduler places waiting steps. Steps that can still be on time come first, those with the
/// least slack in front. Late steps follow, small jobs before large ones, so that an overload delays a few jobs by much
/// instead of all jobs by some. FeasibleOrder changes the key of deferred and promoted jobs.
#pragma once

#include "Decision/Job/JobState.h"

#include <tuple>

namespace Plantainpier {

/// Whether the occurrence of a step can still be completed in time.
enum class Timeliness {
    /// So long behind others that the step comes before them; see FeasibleOrder.
    Promoted,
    OnTime,
    /// On time now, but not all such jobs can be, and the deferral of this one loses the least; see FeasibleOrder.
    Deferred,
    Late,
    /// So late that its result is no longer expected to be of use.
    Overdue,
};

/// A job is late, but of use, while it can be completed within this multiple of its allowed time.
inline constexpr int lateFactor = 3;

/// Sort key of a step; lower values are placed first.
struct WorkPriority {
    int priority = 0;
    Timeliness timeliness = Timeliness::OnTime;
    /// Slack of a step that is on time; work of the whole job for late and deferred ones; time of acceptance for
    /// promoted ones.
    double rank = 0;

    bool operator<(const WorkPriority& other) const
    {
        return std::tie(priority, timeliness, rank) < std::tie(other.priority, other.timeliness, other.rank);
    }
};

/// Returns the sort key of an open step. Long-running steps come first within their priority.
inline WorkPriority workPriority(const JobState& job, const StepState& step, Instant now)
{
    const Duration allowedTime = job.due() - job.accepted();
    const Duration slack = step.due - step.remainingCriticalPath - now;
    WorkPriority key;
    key.priority = job.definition().priority;
    if (job.stepDefinition(step).longRunning) {
        key.rank = 0;
        return key;
    }
    if (slack >= Duration::zero()) {
        key.rank = static_cast<double>(slack.count());
        return key;
    }
    key.timeliness
        = slack + (lateFactor - 1) * allowedTime >= Duration::zero() ? Timeliness::Late : Timeliness::Overdue;
    key.rank = job.workCoreSeconds();
    return key;
}

} // namespace Plantainpier
