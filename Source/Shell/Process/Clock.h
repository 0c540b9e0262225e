/// The only functions that read clocks and seed random generators. The daemons pass the values to the decision library.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>

namespace Plantainpier {

/// The monotonic time since an arbitrary start; includes the time for which the machine was suspended.
Instant steadyNow();

/// The time of day in milliseconds since 1970.
std::int64_t unixMilliseconds();

/// The incarnation of a process that starts now: the time of day in microseconds, so that later starts have greater
/// numbers.
std::int64_t makeIncarnation();

/// Creates a random generator that is seeded by the operating system.
RandomBelow makeRandom();

} // namespace Plantainpier
