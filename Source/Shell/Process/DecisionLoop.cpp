#include "Shell/Process/DecisionLoop.h"

#include "Shell/Process/Clock.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t ringCapacity = 65'536;
    constexpr Duration busyTickInterval = milliseconds(5);
    constexpr Duration idleTickInterval = milliseconds(20);

} // namespace

DecisionLoop::DecisionLoop(Event tick, PerformAction perform, IsBusy isBusy)
    : m_tick(std::move(tick))
    , m_perform(std::move(perform))
    , m_isBusy(std::move(isBusy))
    , m_ring(ringCapacity)
{
}

bool DecisionLoop::post(Event event) { return m_ring.push(std::move(event)); }

bool DecisionLoop::postAwaited(Event event) { return m_ring.pushBeyondCapacity(std::move(event)); }

void DecisionLoop::process(const Event& event)
{
    Actions actions;
    event(steadyNow(), actions);
    for (Action& action : actions)
        m_perform(std::move(action));
}

void DecisionLoop::run()
{
    Instant nextTick = steadyNow();
    while (!m_stopping) {
        const Duration wait = nextTick - steadyNow();
        const std::optional<Event> event = wait > Duration::zero() ? m_ring.pop(wait) : std::nullopt;
        if (event)
            process(*event);
        if (steadyNow() < nextTick)
            continue;
        process(m_tick);
        nextTick = steadyNow() + (m_isBusy() ? busyTickInterval : idleTickInterval);
    }
}

void DecisionLoop::stop()
{
    m_stopping = true;
    m_ring.close();
}

} // namespace Plantainpier
