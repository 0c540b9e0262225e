/// One measured figure against its bound.
#pragma once

#include <string>

namespace Plantainpier {

/// Bounds are upper bounds and come from the stated targets.
struct Figure {
    std::string name;
    double value = 0;
    std::string unit;
    double bound = 0;

    bool isOk() const { return value <= bound; }
};

/// Prints the figure as one JSON line.
void print(const Figure& figure);

/// Prints figures that are the same in every run: counts, bytes, virtual time. False if one is out of bound.
bool runDeterministicBenchmarks(const std::string& only);
/// Prints figures by the wall clock, from the decision library and from real processes.
bool runClockBenchmarks(const std::string& only);

} // namespace Plantainpier
