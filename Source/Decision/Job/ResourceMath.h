/// Arithmetic on Wire::Resources.
#pragma once

#include "Wire/Generated/plantainpier_types.h"

namespace Plantainpier {

inline Wire::Resources makeResources(
    std::int64_t milliProcessors, std::int64_t memoryMegabytes, std::int32_t accelerators)
{
    Wire::Resources resources;
    resources.milliProcessors = milliProcessors;
    resources.memoryMegabytes = memoryMegabytes;
    resources.accelerators = accelerators;
    return resources;
}

inline Wire::Resources plus(const Wire::Resources& a, const Wire::Resources& b)
{
    return makeResources(
        a.milliProcessors + b.milliProcessors, a.memoryMegabytes + b.memoryMegabytes, a.accelerators + b.accelerators);
}

inline Wire::Resources minus(const Wire::Resources& a, const Wire::Resources& b)
{
    return makeResources(
        a.milliProcessors - b.milliProcessors, a.memoryMegabytes - b.memoryMegabytes, a.accelerators - b.accelerators);
}

/// Whether the demand is at most the free amount of every resource.
inline bool fits(const Wire::Resources& demand, const Wire::Resources& free)
{
    return demand.milliProcessors <= free.milliProcessors && demand.memoryMegabytes <= free.memoryMegabytes
        && demand.accelerators <= free.accelerators;
}

/// Returns a percentage of the processors and memory. Accelerators are indivisible and stay whole.
inline Wire::Resources percentOf(const Wire::Resources& whole, int percent)
{
    return makeResources(
        whole.milliProcessors * percent / 100, whole.memoryMegabytes * percent / 100, whole.accelerators);
}

} // namespace Plantainpier
