/// Measures how long events wait for the decision thread and how long the thread works on them. Used by DecisionLoop.
#pragma once

#include "Base/LogLine.h"
#include "Base/NameTable.h"
#include "Base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Plantainpier {

/// What an event of the decision loop is about.
enum class EventKind {
    /// The outcome of this process's own call to the store.
    StoreAnswer,
    /// A question whether this process runs, or the answer to one: a heartbeat of a peer or a health check.
    SignOfLife,
    /// The outcome of another call of this process, such as one to a host.
    OtherAnswer,
    /// A message of a peer.
    Message,
    /// A link to a peer began or ended.
    Link,
    /// A call of a client, a host or the platform.
    Call,
    /// A request of this process's own shell, such as the start of a shutdown.
    Control,
};

constexpr std::array eventKindNames {
    NamedValue { EventKind::StoreAnswer, "store_answer" },
    NamedValue { EventKind::SignOfLife, "sign_of_life" },
    NamedValue { EventKind::OtherAnswer, "other_answer" },
    NamedValue { EventKind::Message, "message" },
    NamedValue { EventKind::Link, "link" },
    NamedValue { EventKind::Call, "call" },
    NamedValue { EventKind::Control, "control" },
};

/// Whether events of this kind are handled before all others: peers conclude from late ones that this process has ended
/// or is cut off, so their delay must not depend on the amount of work. Handling them is cheap.
constexpr bool isUrgent(EventKind kind) { return kind == EventKind::StoreAnswer || kind == EventKind::SignOfLife; }

/// Figures of the current interval, and a log line about each interval in which events waited long. Used on the
/// decision thread only.
class LoopMonitor {
public:
    /// Events of one kind.
    struct Events {
        std::int64_t count = 0;
        Duration longestWait {};
        Duration worked {};
    };

    /// Ticks of the decision core.
    struct Ticks {
        std::int64_t count = 0;
        Duration longest {};
        Duration worked {};
    };

    struct Interval {
        std::array<Events, eventKindNames.size()> events {};
        Ticks ticks;
        std::size_t longestQueue = 0;
    };

    explicit LoopMonitor(Instant now);

    void onEvent(EventKind kind, Duration waited, Duration worked);
    /// queueLength: number of events that wait at the end of the tick.
    void onTick(Duration worked, std::size_t queueLength);
    /// Ends the interval once it has lasted a second. Returns a line if an event waited, or a tick worked, for long.
    std::optional<LogLine> endInterval(Instant now);
    /// The newest interval that has ended.
    const Interval& lastInterval() const { return m_lastInterval; }

private:
    Instant m_since;
    Interval m_interval;
    Interval m_lastInterval;
};

} // namespace Plantainpier
