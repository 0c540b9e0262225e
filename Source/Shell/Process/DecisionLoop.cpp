#include "Shell/Process/DecisionLoop.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr std::size_t ringCapacity = 65'536;
    constexpr Duration busyTickInterval = milliseconds(5);
    constexpr Duration idleTickInterval = milliseconds(20);
    /// Longer than any interval of ticks.
    constexpr Duration longestSleep = seconds(1);

} // namespace

DecisionLoop::DecisionLoop(Event tick, PerformAction perform, IsBusy isBusy, WriteLine writeLine, Clock clock)
    : m_tick(std::move(tick))
    , m_perform(std::move(perform))
    , m_isBusy(std::move(isBusy))
    , m_writeLine(std::move(writeLine))
    , m_clock(std::move(clock))
    , m_ring(ringCapacity)
    , m_monitor(m_clock())
{
}

bool DecisionLoop::post(EventKind kind, Event event)
{
    QueuedEvent queued { kind, m_clock(), std::move(event) };
    return isUrgent(kind) ? m_ring.pushUrgent(std::move(queued)) : m_ring.push(std::move(queued));
}

bool DecisionLoop::postAwaited(EventKind kind, Event event)
{
    QueuedEvent queued { kind, m_clock(), std::move(event) };
    return isUrgent(kind) ? m_ring.pushUrgentBeyondCapacity(std::move(queued))
                          : m_ring.pushBeyondCapacity(std::move(queued));
}

void DecisionLoop::process(Instant now, const Event& event)
{
    Actions actions;
    event(now, actions);
    for (Action& action : actions)
        m_perform(std::move(action));
}

void DecisionLoop::processQueued(const QueuedEvent& queued)
{
    const Instant now = m_clock();
    process(now, queued.event);
    m_monitor.onEvent(queued.kind, now - queued.queuedAt, m_clock() - now);
    m_pacer.onEvent();
    if (sendSignsOfLife)
        process(m_clock(), sendSignsOfLife);
}

void DecisionLoop::processTick()
{
    if (sendSignsOfLife)
        process(m_clock(), sendSignsOfLife);
    const Instant now = m_clock();
    process(now, m_tick);
    const Instant end = m_clock();
    const std::size_t queueLength = m_ring.size();
    m_monitor.onTick(end - now, queueLength);
    m_pacer.onTickEnd(end, end - now, m_isBusy() ? busyTickInterval : idleTickInterval, queueLength);
    if (const std::optional<LogLine> line = m_monitor.endInterval(now))
        m_writeLine(*line);
}

void DecisionLoop::step(Duration longestWait)
{
    const Duration wait = m_pacer.nextTickAt() - m_clock();
    if (wait > Duration::zero()) {
        if (const std::optional<QueuedEvent> queued = m_ring.pop(std::min(wait, longestWait)))
            processQueued(*queued);
    }
    if (m_clock() >= m_pacer.nextTickAt())
        processTick();
}

void DecisionLoop::run()
{
    while (!m_stopping)
        step(longestSleep);
}

void DecisionLoop::stop()
{
    m_stopping = true;
    m_ring.close();
}

} // namespace Plantainpier
