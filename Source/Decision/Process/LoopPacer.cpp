#include "Decision/Process/LoopPacer.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Time that events get between two ticks, if that many wait: as long as the tick took, within these limits. The
    /// upper one is well below every time after which a peer takes this process for silent.
    constexpr Duration shortestTickDelay = milliseconds(100);
    constexpr Duration longestTickDelay = milliseconds(300);

} // namespace

void LoopPacer::onTickEnd(Instant now, Duration worked, Duration interval, std::size_t queueLength)
{
    m_earliestTickAt = now + interval;
    m_latestTickAt = now + std::max(interval, std::clamp<Duration>(worked, shortestTickDelay, longestTickDelay));
    m_backlog = queueLength;
}

void LoopPacer::onEvent()
{
    if (m_backlog > 0)
        --m_backlog;
}

} // namespace Plantainpier
