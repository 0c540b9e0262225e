/// Admits requests to the slots of one target: classes with guaranteed shares, bounded queues, known deadlines.
#pragma once

#include "Decision/Version/Bundle.h"

#include <deque>
#include <memory>
#include <optional>

namespace Plantainpier {

/// What became of an offered request.
struct AdmissionAnswer {
    enum class Kind {
        Start,
        Wait,
        Refuse,
    };
    Kind kind = Kind::Refuse;
    ErrorCode code = ErrorCode::Ok;
    Duration retryAfter {};
};

/// A request that left the queue.
struct QueueExit {
    std::string dispatchId;
    /// False: its deadline can no longer be met, it is refused.
    bool start = false;
};

/// The authority on the slots of the target beside one side process. Lives for the process.
class AdmissionQueue {
public:
    /// Slots of the target; zero while there is none.
    void setSlots(int slots) { m_slots = slots; }
    /// The rules that decide from now on; what already waits keeps its place.
    void setBundle(std::shared_ptr<const Bundle> bundle);

    /// classIndex is an index into the bundle's classes.
    AdmissionAnswer offer(Instant now, const std::string& dispatchId, int classIndex, Instant deadline);
    /// A started request is over; service is how long the target took.
    void onFinished(int classIndex, Duration service);
    /// A started request never reached the target, so it says nothing about the service time.
    void onAborted(int classIndex);
    /// Fills free slots from the queues, and drops what is too late.
    std::vector<QueueExit> advance(Instant now);
    /// Takes a waiting request out; false when it does not wait.
    bool withdraw(const std::string& dispatchId);

    int running() const { return m_running; }
    int waiting() const;
    int slots() const { return m_slots; }
    /// Smoothed time the target takes for one request.
    Duration serviceTime() const { return m_serviceTime; }
    /// Smoothed time a request of this class would wait.
    Duration expectedWait(int classIndex) const;

private:
    struct Waiting {
        std::string dispatchId;
        Instant deadline;
    };
    struct ClassState {
        std::deque<Waiting> queue;
        int running = 0;
        /// Slot grants owed to the class by its guaranteed share.
        double credit = 0;
    };

    ClassState& classState(int classIndex);
    const RequestClass& rules(int classIndex) const;
    bool isTooLate(Instant now, Instant deadline) const;
    /// The class that gets the next free slot; -1 when none waits.
    int pickClass();
    void dropLate(Instant now, std::vector<QueueExit>& exits);

    std::shared_ptr<const Bundle> m_bundle;
    std::vector<ClassState> m_classes;
    int m_slots = 0;
    int m_running = 0;
    Duration m_serviceTime {};
};

} // namespace Plantainpier
