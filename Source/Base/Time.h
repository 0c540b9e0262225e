/// Time types of the decision library. Points in time are passed in by the caller; the library does not read clocks.
#pragma once

#include <chrono>

namespace Plantainpier {

using Duration = std::chrono::microseconds;

/// Tag for the time line of a process or a test. It has no now(), so that the decision library cannot read a clock.
struct ProcessTimeline {
    using duration = Duration;
};

/// A point in time, relative to an arbitrary start that is the same throughout a process.
using Instant = std::chrono::time_point<ProcessTimeline, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A duration in whole milliseconds, for logs and JSON.
constexpr long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace Plantainpier
