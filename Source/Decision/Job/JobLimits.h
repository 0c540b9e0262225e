/// What a job may be, whoever wrote it: bounds that keep sums within 64 bits and the tasks within memory. Used where
/// clients' jobs are decoded and where the owner loads the store.
#pragma once

#include "Base/Result.h"
#include "Wire/Generated/plantainpier_types.h"

namespace Plantainpier {

namespace JobLimits {
    constexpr int steps = 1000;
    constexpr int tasksOfAStep = 100'000;
    /// Of all steps and occurrences: each takes an owner about a hundred bytes.
    constexpr std::int64_t tasks = 1'000'000;
    /// Thousandths of a core, megabytes or accelerators of one task.
    constexpr std::int64_t demand = 1'000'000'000;
    /// Ten years, for estimates, targets and intervals in milliseconds.
    constexpr std::int64_t milliseconds = 3650LL * 24 * 60 * 60 * 1000;
    /// The Unix time of the year 2100 in milliseconds.
    constexpr std::int64_t unixMilliseconds = 4'102'444'800'000;
    /// Largest factor on the longest chain of work within which a job is on time.
    constexpr double stretch = 1'000'000;
} // namespace JobLimits

/// The first thing that no job may be, with its place.
Result<Success> checkJob(const Wire::JobDefinition& job);

} // namespace Plantainpier
