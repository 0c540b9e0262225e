#include "Shell/Process/DecisionLoop.h"

#include "Shell/Process/Clock.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t ringCapacity = 65'536;
    constexpr Duration busyTickInterval = milliseconds(5);
    constexpr Duration idleTickInterval = milliseconds(20);

} // namespace

DecisionLoop::DecisionLoop(Event tick, PerformAction perform, IsBusy isBusy, WriteLine writeLine)
    : m_tick(std::move(tick))
    , m_perform(std::move(perform))
    , m_isBusy(std::move(isBusy))
    , m_writeLine(std::move(writeLine))
    , m_ring(ringCapacity)
    , m_monitor(steadyNow())
{
}

bool DecisionLoop::post(EventKind kind, Event event)
{
    return m_ring.push(QueuedEvent { kind, steadyNow(), std::move(event) });
}

bool DecisionLoop::postAwaited(EventKind kind, Event event)
{
    return m_ring.pushBeyondCapacity(QueuedEvent { kind, steadyNow(), std::move(event) });
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
    const Instant now = steadyNow();
    process(now, queued.event);
    m_monitor.onEvent(queued.kind, now - queued.queuedAt, steadyNow() - now);
}

void DecisionLoop::processTick()
{
    const Instant now = steadyNow();
    process(now, m_tick);
    m_monitor.onTick(steadyNow() - now, m_ring.size());
    if (const std::optional<LogLine> line = m_monitor.endInterval(now))
        m_writeLine(*line);
}

void DecisionLoop::run()
{
    Instant nextTick = steadyNow();
    while (!m_stopping) {
        const Duration wait = nextTick - steadyNow();
        const std::optional<QueuedEvent> queued = wait > Duration::zero() ? m_ring.pop(wait) : std::nullopt;
        if (queued)
            processQueued(*queued);
        if (steadyNow() < nextTick)
            continue;
        processTick();
        nextTick = steadyNow() + (m_isBusy() ? busyTickInterval : idleTickInterval);
    }
}

void DecisionLoop::stop()
{
    m_stopping = true;
    m_ring.close();
}

} // namespace Plantainpier
