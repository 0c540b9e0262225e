/// Random numbers for decisions: a seeded engine handed in from outside, so that a run can be repeated.
#pragma once

#include <cstddef>
#include <functional>

namespace Plantainpier {

/// Hook: a uniform whole number in [0, bound). Shells seed a std::mt19937_64 per process; tests use a fixed seed.
using RandomBelow = std::function<std::size_t(std::size_t bound)>;

} // namespace Plantainpier
