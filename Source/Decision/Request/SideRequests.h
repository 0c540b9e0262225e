/// Latency-critical requests at a side process: admission, calls to the target, and the truth about each dispatch.
#pragma once

#include "Decision/Process/Message.h"
#include "Decision/Request/AdmissionQueue.h"
#include "Decision/Request/DispatchTable.h"

namespace Plantainpier {

/// How a call to the target ended.
struct TargetResult {
    enum class Kind {
        /// A whole answer came.
        Answered,
        /// No connection was made, or the target said that it started nothing.
        NotStarted,
        /// The connection broke or the wait ran out after the request was sent.
        Uncertain,
    };
    Kind kind = Kind::Uncertain;
    int status = 0;
    std::string body;
};

/// The authority on what the target beside this side process runs. Lives for the process.
class SideRequests {
public:
    SideRequests(std::string sideId, std::int64_t incarnation);

    /// The rules in force from now on.
    void setBundle(std::shared_ptr<const Bundle> bundle);
    /// Slots of the target; zero while none is present.
    void setSlots(Instant now, int slots, Actions& actions);
    /// From now on everything new is refused as not run.
    void leave() { m_leaving = true; }

    void onRun(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions);
    void onResolve(Instant now, LinkId link, const Wire::ResolveRequest& request, Actions& actions);
    void onTargetResult(Instant now, const std::string& dispatchId, const TargetResult& result, Actions& actions);
    void tick(Instant now, Actions& actions);

    Wire::Load load() const;
    int inProgress() const { return m_queue.running() + m_queue.waiting(); }
    std::size_t dispatchesKept() const { return m_ledger.size(); }

private:
    ErrorCode refusalOf(const Wire::RunRequest& request) const;
    Wire::RunAnswer makeAnswer(const std::string& dispatchId, Wire::Outcome::type outcome, ErrorCode code) const;
    void admit(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions);
    void callTarget(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions);
    void refuse(Instant now, const std::string& dispatchId, Dispatch& dispatch, ErrorCode code, Duration retryAfter,
        Actions& actions);
    void finish(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions);
    Duration longKeep() const;
    void fence(Instant now, const std::string& dispatchId);
    void answerState(
        Instant now, LinkId link, const std::string& dispatchId, Dispatch& dispatch, bool fence, Actions& actions);
    void advanceQueue(Instant now, Actions& actions);
    void send(LinkId link, Wire::RunAnswer answer, Actions& actions) const;

    std::string m_sideId;
    std::int64_t m_incarnation;
    std::shared_ptr<const Bundle> m_bundle;
    AdmissionQueue m_queue;
    DispatchTable m_ledger;
    bool m_leaving = false;
};

} // namespace Plantainpier
