/// The source of random numbers for decisions. The caller provides a seeded generator, so that runs can be repeated.
#pragma once

#include <cstddef>
#include <functional>

namespace Plantainpier {

/// Hook: returns a uniformly distributed integer in [0, bound). Daemons seed one std::mt19937_64 per process; tests use
/// a fixed seed.
using RandomBelow = std::function<std::size_t(std::size_t bound)>;

} // namespace Plantainpier
