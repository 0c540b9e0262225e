/// One measured figure with its bound; the benchmarks print figures and fail if one is out of bound.
#pragma once

#include <string>

namespace Plantainpier {

/// Bounds are upper bounds, taken from the stated performance targets.
struct Figure {
    std::string name;
    double value = 0;
    std::string unit;
    double bound = 0;

    bool isOk() const { return value <= bound; }
};

/// Prints the figure as one JSON line.
void print(const Figure& figure);

/// Prints the figures that are the same in every run: counts, bytes and virtual time. Returns false if one is out of
/// bound.
bool runDeterministicBenchmarks(const std::string& selectedFigure);
/// Prints the figures that depend on the wall clock, from the decision library and from real processes. Returns false
/// if one is out of bound.
bool runClockBenchmarks(const std::string& selectedFigure);

} // namespace Plantainpier
