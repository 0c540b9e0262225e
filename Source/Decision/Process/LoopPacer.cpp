#include "Decision/Process/LoopPacer.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Longest time between two ticks while events wait. Well below every interval at which ticks send heartbeats.
    constexpr Duration maximumTickDelay = milliseconds(100);

} // namespace

void LoopPacer::onTickEnd(Instant now, Duration interval, std::size_t queueLength)
{
    m_earliestTickAt = now + interval;
    m_latestTickAt = now + std::max(interval, maximumTickDelay);
    m_backlog = queueLength;
}

void LoopPacer::onEvent()
{
    if (m_backlog > 0)
        --m_backlog;
}

} // namespace Plantainpier
