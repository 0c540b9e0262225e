/// The loop of the decision thread: takes events from a bounded queue, passes them to the decision core and carries out
/// the resulting actions. Used by DecisionProcess.
#pragma once

#include "Base/BoundedRing.h"
#include "Decision/Process/Message.h"

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

    DecisionLoop(Event tick, PerformAction perform, IsBusy isBusy);

    /// Queues an event. Returns false if the queue is full; the caller must then report the overload.
    bool post(Event event);
    /// Queues an event that the decision core waits for or cannot learn in another way: the outcome of its own call, or
    /// the beginning or end of a link. Such events are queued even if the queue is full, since their number is limited
    /// by the calls and links of the process. Returns false after stop().
    bool postAwaited(Event event);
    /// Runs until stop().
    void run();
    void stop();

private:
    void process(const Event& event);

    Event m_tick;
    PerformAction m_perform;
    IsBusy m_isBusy;
    BoundedRing<Event> m_ring;
    std::atomic<bool> m_stopping { false };
};

} // namespace Plantainpier
