/// The thread that decides: takes events from a bounded ring, runs the decision logic, hands its actions on.
#pragma once

#include "Base/BoundedRing.h"
#include "Decision/Process/Message.h"

#include <atomic>
#include <functional>

namespace Plantainpier {

/// One thread around a decision core. Events are closures over typed calls of the core. Lives for the process.
class DecisionLoop {
public:
    using Event = std::function<void(Instant now, Actions& actions)>;
    /// Hook: carries one action out; called on the loop's thread.
    using Perform = std::function<void(Action&& action)>;

    /// Hook: whether somebody waits for an answer, so that time must be looked at often.
    using IsBusy = std::function<bool()>;

    DecisionLoop(Event tick, Perform perform, IsBusy isBusy);

    /// False when the ring is full: the caller must say so to whoever waits.
    bool post(Event event);
    /// Runs until stop().
    void run();
    void stop();

private:
    void decide(const Event& event);

    Event m_tick;
    Perform m_perform;
    IsBusy m_isBusy;
    BoundedRing<Event> m_ring;
    std::atomic<bool> m_stopping { false };
};

} // namespace Plantainpier
