/// Admits requests to the slots of one target by class, with guaranteed shares, bounded queues and deadlines.
/// Used by SideRequests.
#pragma once

#include "Decision/Version/Bundle.h"

#include <deque>
#include <memory>
#include <optional>

namespace Plantainpier {

/// The decision on an offered request.
struct AdmissionDecision {
    enum class Kind {
        Start,
        Wait,
        Refuse,
    };
    Kind kind = Kind::Refuse;
    ErrorCode code = ErrorCode::Ok;
    /// Refuse: when the caller may retry. Wait: the expected time in the queue.
    Duration retryAfter {};
};

/// A request that left the queue.
struct DequeuedRequest {
    std::string dispatchId;
    /// True if the request starts now; false if it is refused because its deadline can no longer be met.
    bool shouldStart = false;
};

/// Allocates the slots of the target beside one side process. Lives for the process.
class AdmissionQueue {
public:
    /// Sets the number of slots of the target; zero while no target is present.
    void setSlots(int slots) { m_slots = slots; }
    /// Sets the class rules for all later decisions. Requests that are already queued stay in their queues.
    void setBundle(std::shared_ptr<const Bundle> bundle);

    /// Starts, queues or refuses a request. classIndex is an index into the bundle's classes.
    AdmissionDecision offer(Instant now, const std::string& dispatchId, int classIndex, Instant deadline);
    /// A started request has finished; service is the time that the target took.
    void onFinished(int classIndex, Duration service);
    /// A started request ended without an answer from the target, so the service time is not updated.
    void onAborted(int classIndex);
    /// Assigns free slots to queued requests and removes requests that can no longer meet their deadlines.
    std::vector<DequeuedRequest> fillFreeSlots(Instant now);
    /// Removes a request from its queue; returns false if the request is not queued.
    bool withdraw(const std::string& dispatchId);

    int runningCount() const { return m_running; }
    int waitingCount() const;
    int slots() const { return m_slots; }
    /// Exponentially weighted average of the time that the target takes for one request.
    Duration serviceTime() const { return m_serviceTime; }
    /// Estimated time that a new request of this class would spend in the queue.
    Duration expectedWait(int classIndex) const;

private:
    struct QueuedRequest {
        std::string dispatchId;
        Instant deadline;
    };
    struct ClassState {
        std::deque<QueuedRequest> queue;
        int running = 0;
        /// Slot grants that the class has accumulated through its guaranteed share and not yet used.
        double credit = 0;
    };

    ClassState& classState(int classIndex);
    const RequestClass& classRules(int classIndex) const;
    /// Whether a request that starts at this time would miss the deadline at the current service time.
    bool missesDeadline(Instant now, Instant deadline) const;
    /// Returns the class that gets the next free slot and charges its credit; -1 if all queues are empty.
    int selectClass();
    void rejectLate(Instant now, std::vector<DequeuedRequest>& exits);

    std::shared_ptr<const Bundle> m_bundle;
    std::vector<ClassState> m_classes;
    int m_slots = 0;
    int m_running = 0;
    Duration m_serviceTime {};
};

} // namespace Plantainpier
