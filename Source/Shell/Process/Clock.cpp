#include "Shell/Process/Clock.h"

#include <chrono>
#include <ctime>
#include <memory>
#include <random>

namespace Plantainpier {

Instant steadyNow()
{
    // CLOCK_BOOTTIME includes the time for which the machine was suspended; std::chrono::steady_clock does not.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t unixMilliseconds()
{
    const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
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
