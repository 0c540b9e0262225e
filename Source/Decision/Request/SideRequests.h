/// Handles latency-critical requests at a side process: admission, calls to the target, and the outcome of each
/// dispatch. Used by SideCore.
#pragma once

#include "Decision/Process/Message.h"
#include "Decision/Request/AdmissionQueue.h"
#include "Decision/Request/DispatchTable.h"

namespace Plantainpier {

/// How a call to the target ended.
struct TargetResult {
    enum class Kind {
        /// A complete answer was received.
        Answered,
        /// No connection was made, or the target answered that the request was not started.
        NotStarted,
        /// The connection was lost, or the call timed out, after the request was sent.
        Uncertain,
    };
    Kind kind = Kind::Uncertain;
    int status = 0;
    std::string body;
};

/// Decides which requests the target beside this side process runs. Lives for the process.
class SideRequests {
public:
    SideRequests(std::string sideId, std::int64_t incarnation);

    /// Sets the bundle for all later decisions.
    void setBundle(std::shared_ptr<const Bundle> bundle);
    /// Sets the number of slots of the target; zero while no target is present.
    void setSlots(Instant now, int slots, Actions& actions);
    /// Starts the shutdown: new dispatches are refused with "not run".
    void beginShutdown() { m_leaving = true; }

    void onRunRequest(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions);
    void onResolveRequest(Instant now, LinkId link, const Wire::ResolveRequest& request, Actions& actions);
    void onTargetResult(Instant now, const std::string& dispatchId, const TargetResult& result, Actions& actions);
    void tick(Instant now, Actions& actions);

    Wire::Load load() const;
    int inProgress() const { return m_queue.runningCount() + m_queue.waitingCount(); }
    std::size_t dispatchesKept() const { return m_dispatchTable.size(); }

private:
    /// The reason to refuse the dispatch before admission; Ok if there is none.
    ErrorCode refusalCode(const Wire::RunRequest& request) const;
    Wire::RunAnswer makeAnswer(const std::string& dispatchId, Wire::Outcome::type outcome, ErrorCode code) const;
    void admit(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions);
    void callTarget(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions);
    void refuse(Instant now, const std::string& dispatchId, Dispatch& dispatch, ErrorCode code, Duration retryAfter,
        Actions& actions);
    void finish(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions);
    /// Retention of dispatches that other entries may query, or whose message may arrive late.
    Duration longRetention() const;
    /// Records a dispatch that has not arrived as refused.
    void fence(Instant now, const std::string& dispatchId);
    /// Sends the state or answer of a recorded dispatch. With fence set, a dispatch that is still queued is refused.
    void sendState(
        Instant now, LinkId link, const std::string& dispatchId, Dispatch& dispatch, bool fence, Actions& actions);
    void advanceQueue(Instant now, Actions& actions);
    void sendAnswer(LinkId link, Wire::RunAnswer answer, Actions& actions) const;

    std::string m_sideId;
    std::int64_t m_incarnation;
    std::shared_ptr<const Bundle> m_bundle;
    AdmissionQueue m_queue;
    DispatchTable m_dispatchTable;
    bool m_leaving = false;
};

} // namespace Plantainpier
