/// The only reader of clocks: turns them into the values that the decision library is handed.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>

namespace Plantainpier {

/// Time since an arbitrary start; it never goes back and counts suspensions.
Instant steadyNow();

/// The time of day in milliseconds since 1970.
std::int64_t unixMilliseconds();

/// A number that grows with every start of a process, from the wall clock in microseconds.
std::int64_t makeIncarnation();

/// A random source of this process, seeded from the system.
RandomBelow makeRandom();

} // namespace Plantainpier
