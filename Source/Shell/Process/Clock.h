/// The only reader of clocks: turns them into the values that the decision library is handed.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>

namespace Plantainpier {

/// Steady time since an arbitrary start.
Instant steadyNow();

/// A number that grows with every start of a process, from the wall clock in microseconds.
std::int64_t makeIncarnation();

/// A random source of this process, seeded from the system.
RandomBelow makeRandom();

} // namespace Plantainpier
