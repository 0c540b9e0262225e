/// Time as the decision library sees it: values handed in from outside, never read from a clock.
#pragma once

#include <chrono>

namespace Plantainpier {

using Duration = std::chrono::microseconds;

/// Names the time line of one process (or of a test); it has no now() on purpose.
struct ProcessTimeline {
    using duration = Duration;
};

/// A point in time since an arbitrary start that is the same for the whole process.
using Instant = std::chrono::time_point<ProcessTimeline, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Milliseconds of a duration, for logs and JSON.
constexpr long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace Plantainpier
