/// The loop of the decision thread: takes events from a bounded queue, passes them to the decision core and carries out
/// the resulting actions. Used by DecisionProcess.
#pragma once

#include "Base/BoundedRing.h"
#include "Decision/Process/LoopPacer.h"
#include "Decision/Process/Message.h"
#include "Shell/Process/LoopMonitor.h"

#include <atomic>
#include <functional>

namespace Plantainpier {

/// Serializes all calls of a decision core on one thread. Events are closures that call the core. Lives for the
/// process.
class DecisionLoop {
public:
    using Event = std::function<void(Instant now, Actions& actions)>;
    /// Hook: carries out one action; called on the loop's thread.
    using PerformAction = std::function<void(Action&& action)>;

    /// Hook: whether requests are in progress, so that ticks must be frequent.
    using IsBusy = std::function<bool()>;
    /// Hook: receives a line about each interval in which events waited long; called on the loop's thread.
    using WriteLine = std::function<void(const LogLine& line)>;
    /// Hook: the current time; called on any thread.
    using Clock = std::function<Instant()>;

    DecisionLoop(Event tick, PerformAction perform, IsBusy isBusy, WriteLine writeLine, Clock clock);

    /// Queues an event, before all other events if its kind is urgent. Returns false if the queue of urgent or of other
    /// events is full; the caller must then report the overload.
    bool post(EventKind kind, Event event);
    /// Queues an event that the decision core waits for or cannot learn in another way: the outcome of its own call, or
    /// the beginning or end of a link. Such events are queued even if the queue is full, since their number is limited
    /// by the calls and links of the process. Returns false after stop().
    bool postAwaited(EventKind kind, Event event);
    /// Runs until stop().
    void run();
    /// Handles one event, or a tick that is due. Waits for an event until the next tick is due, but not longer than the
    /// given time.
    void step(Duration longestWait);
    void stop();

    /// Hook: cheap; called after each event and before each tick, and its actions are carried out before the tick
    /// begins. Set before run(), if at all.
    Event sendSignsOfLife;

    /// Number of events that wait.
    std::size_t queueLength() const { return m_ring.size(); }
    /// Used on the loop's thread only.
    const LoopMonitor& monitor() const { return m_monitor; }

private:
    struct QueuedEvent {
        EventKind kind;
        Instant queuedAt;
        Event event;
    };

    void process(Instant now, const Event& event);
    void processQueued(const QueuedEvent& queued);
    void processTick();

    Event m_tick;
    PerformAction m_perform;
    IsBusy m_isBusy;
    WriteLine m_writeLine;
    Clock m_clock;
    BoundedRing<QueuedEvent> m_ring;
    LoopMonitor m_monitor;
    LoopPacer m_pacer;
    std::atomic<bool> m_stopping { false };
};

} // namespace Plantainpier
