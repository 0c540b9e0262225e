/// Conversion of a duration on a host's clock to this process's clock. Used by the owner and the sides for leases.
#pragma once

#include "Base/Time.h"

namespace Plantainpier {

/// Largest share by which a host's clock may run slow.
constexpr double maximumClockDrift = 0.02;

/// Returns how long to wait by this process's clock until the duration has certainly passed on a host's clock.
inline Duration withClockMargin(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration * (1 + 1.5 * maximumClockDrift)) + milliseconds(20);
}

} // namespace Plantainpier
