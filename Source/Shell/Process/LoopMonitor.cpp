#include "Shell/Process/LoopMonitor.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr Duration intervalLength = seconds(1);
    /// Waits and ticks below this length are not logged.
    constexpr Duration shortestLoggedWait = milliseconds(100);

} // namespace

LoopMonitor::LoopMonitor(Instant now)
    : m_since(now)
{
}

void LoopMonitor::onEvent(EventKind kind, Duration waited, Duration worked)
{
    Events& events = m_interval.events[static_cast<std::size_t>(kind)];
    ++events.count;
    events.longestWait = std::max(events.longestWait, waited);
    events.worked += worked;
}

void LoopMonitor::onTick(Duration worked, std::size_t queueLength)
{
    ++m_interval.ticks.count;
    m_interval.ticks.longest = std::max(m_interval.ticks.longest, worked);
    m_interval.ticks.worked += worked;
    m_interval.longestQueue = std::max(m_interval.longestQueue, queueLength);
}

std::optional<LogLine> LoopMonitor::endInterval(Instant now)
{
    if (now - m_since < intervalLength)
        return std::nullopt;
    const bool waitedLong = std::any_of(m_interval.events.begin(), m_interval.events.end(),
        [](const Events& events) { return events.longestWait >= shortestLoggedWait; });
    std::optional<LogLine> line;
    if (waitedLong || m_interval.ticks.longest >= shortestLoggedWait) {
        line.emplace("loop_busy");
        line->add("interval_ms", toMilliseconds(now - m_since)).add("longest_queue", m_interval.longestQueue);
        line->add("ticks", m_interval.ticks.count).add("tick_worked_ms", toMilliseconds(m_interval.ticks.worked));
        line->add("longest_tick_ms", toMilliseconds(m_interval.ticks.longest));
        for (const NamedValue<EventKind>& row : eventKindNames) {
            const Events& events = m_interval.events[static_cast<std::size_t>(row.value)];
            if (events.count == 0)
                continue;
            const std::string name(row.name);
            line->add(name + "_count", events.count).add(name + "_worked_ms", toMilliseconds(events.worked));
            line->add(name + "_longest_wait_ms", toMilliseconds(events.longestWait));
        }
    }
    m_since = now;
    m_lastInterval = m_interval;
    m_interval = Interval();
    return line;
}

} // namespace Plantainpier
