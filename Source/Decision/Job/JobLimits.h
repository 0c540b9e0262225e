/// Limits on job definitions that keep sums within 64 bits and tasks within memory. Used when a client's job is decoded
/// and when the owner loads jobs from the store.
#pragma once

#include "Base/Result.h"
#include "Wire/Generated/plantainpier_types.h"

namespace Plantainpier {

namespace JobLimits {
    constexpr int maximumSteps = 1000;
    constexpr int maximumTasksPerStep = 100'000;
    /// Over all steps and occurrences. Each task takes about a hundred bytes of the owner's memory.
    constexpr std::int64_t maximumTasks = 1'000'000;
    /// For one task: thousandths of a core, megabytes of memory, or accelerators.
    constexpr std::int64_t maximumDemand = 1'000'000'000;
    /// Ten years, for estimates, targets, intervals and objectives.
    constexpr std::int64_t maximumMilliseconds = 3650LL * 24 * 60 * 60 * 1000;
    /// Start of the year 2100.
    constexpr std::int64_t maximumUnixMilliseconds = 4'102'444'800'000;
    /// Largest factor on a job's critical path that may count as on time.
    constexpr double maximumStretch = 1'000'000;
} // namespace JobLimits

/// Returns an error for the first field of the job that is outside these limits.
Result<Success> validateJob(const Wire::JobDefinition& job);

} // namespace Plantainpier
