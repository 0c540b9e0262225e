#include "Shell/Process/Clock.h"

#include <chrono>
#include <memory>
#include <random>

namespace Plantainpier {

Instant steadyNow()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t makeIncarnation()
{
    const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(sinceEpoch).count();
}

RandomBelow makeRandom()
{
    std::random_device device;
    const std::shared_ptr<std::mt19937_64> engine = std::make_shared<std::mt19937_64>(device());
    return [engine](std::size_t bound) { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(*engine); };
}

} // namespace Plantainpier
