#include "Decision/Job/JobLimits.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    bool isWithin(std::int64_t value, std::int64_t minimum, std::int64_t maximum)
    {
        return value >= minimum && value <= maximum;
    }

    /// Returns the name of the first member of the step that is out of range; empty if there is none.
    std::string firstInvalidMember(const Wire::StepDefinition& step, std::int32_t stepIndex)
    {
        if (!isWithin(step.count, 1, JobLimits::maximumTasksPerStep))
            return "count";
        const Wire::Resources& demand = step.demand;
        if (!isWithin(demand.milliProcessors, 0, JobLimits::maximumDemand)
            || !isWithin(demand.memoryMegabytes, 0, JobLimits::maximumDemand)
            || !isWithin(demand.accelerators, 0, JobLimits::maximumDemand))
            return "demand";
        if (!isWithin(step.estimateMilliseconds, 0, JobLimits::maximumMilliseconds))
            return "estimate";
        if (!isWithin(step.targetMilliseconds, 0, JobLimits::maximumMilliseconds))
            return "target";
        if (step.maximumPerHost < 0)
            return "maximum_per_host";
        if (step.mayMiss < 0)
            return "may_miss";
        const bool followsEarlierSteps = std::all_of(step.after.begin(), step.after.end(),
            [stepIndex](std::int32_t earlier) { return earlier >= 0 && earlier < stepIndex; });
        return followsEarlierSteps ? "" : "after";
    }

} // namespace

Result<Success> validateJob(const Wire::JobDefinition& job)
{
    if (job.steps.empty() || job.steps.size() > JobLimits::maximumSteps)
        return Error { ErrorCode::InvalidField,
            "/steps: the number of steps must be from 1 to " + std::to_string(JobLimits::maximumSteps) };
    std::int64_t tasks = 0;
    for (std::size_t n = 0; n < job.steps.size(); ++n) {
        const std::string member = firstInvalidMember(job.steps[n], static_cast<std::int32_t>(n));
        if (!member.empty())
            return Error { ErrorCode::InvalidField, "/steps/" + std::to_string(n) + "/" + member + ": out of range" };
        tasks += job.steps[n].count;
    }
    if (job.occurrences < 0 || tasks * std::max(job.occurrences, 1) > JobLimits::maximumTasks)
        return Error { ErrorCode::InvalidField,
            "the job may have at most " + std::to_string(JobLimits::maximumTasks) + " tasks over all occurrences" };
    if (!isWithin(job.firstDueUnixMilliseconds, 0, JobLimits::maximumUnixMilliseconds)
        || !isWithin(job.intervalMilliseconds, 0, JobLimits::maximumMilliseconds)
        || !isWithin(job.acceptedUnixMilliseconds, 0, JobLimits::maximumUnixMilliseconds))
        return Error { ErrorCode::InvalidField, "a due time, interval or acceptance time of the job is out of range" };
    if (!isWithin(job.objectiveMilliseconds, 0, JobLimits::maximumMilliseconds)
        || !(job.stretch >= 0 && job.stretch <= JobLimits::maximumStretch))
        return Error { ErrorCode::InvalidField, "the objective or stretch of the job is out of range" };
    return Success {};
}

} // namespace Plantainpier
