/// Shares the time of a decision thread between events and ticks. Used by DecisionLoop.
#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace Plantainpier {

/// Decides when the next tick is due. A tick that takes longer than the interval of ticks must not leave the events
/// only what remains of that interval: events that waited when a tick ended are handled before the next one, within a
/// limit.
class LoopPacer {
public:
    /// worked: length of the tick. interval: shortest time until the next one. queueLength: number of events that wait.
    void onTickEnd(Instant now, Duration worked, Duration interval, std::size_t queueLength);
    /// An event has been handled.
    void onEvent();
    /// Time from which a tick is due; it becomes earlier once the events that waited at the last tick are handled.
    Instant nextTickAt() const { return m_backlog > 0 ? m_latestTickAt : m_earliestTickAt; }

private:
    Instant m_earliestTickAt;
    Instant m_latestTickAt;
    /// Number of events that waited when the last tick ended and are not handled yet.
    std::size_t m_backlog = 0;
};

} // namespace Plantainpier
