/// Handles latency-critical requests at an entry: routing, key claims, retries, and queries for the outcome of
/// dispatches whose answer was lost. Used by EntryCore.
#pragma once

#include "Decision/Request/KeyClaimClient.h"
#include "Decision/Request/RequestSession.h"
#include "Decision/Request/RetryBudget.h"
#include "Decision/Request/Router.h"
#include "Decision/Version/BundleRegistry.h"

#include <unordered_map>

namespace Plantainpier {

/// Counters since the process started, for /metrics.
struct RequestTotals {
    std::uint64_t requests = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t retries = 0;
    std::uint64_t resolutions = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

/// Owns all requests in progress at one entry. Lives for the process; a session lives for its request.
class RequestCoordinator {
public:
    /// Hook for metrics: called with each final answer and the time since the arrival of the request.
    using OnAnswered = std::function<void(const CallerAnswer&, Duration elapsed)>;

    RequestCoordinator(std::string entryId, std::int64_t incarnation, Membership& membership, Router router,
        const BundleRegistry& bundles);

    void setOnAnswered(OnAnswered hook) { m_onAnswered = std::move(hook); }
    /// Starts the shutdown: new requests are answered with "not run", requests in progress continue.
    void beginShutdown() { m_leaving = true; }

    void submit(Instant now, CallerToken caller, CallerRequest request, Actions& actions);
    /// Answers the caller with the outcome of the request that has this key. Does not fence the request or claim the
    /// key.
    void queryKey(Instant now, CallerToken caller, const std::string& key, Actions& actions);

    void onAnswer(Instant now, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions);
    void onClaimAnswer(Instant now, const Wire::ClaimAnswer& answer, Actions& actions);
    /// A data link to the side was established or re-established.
    void onLinkUp(Instant now, const std::string& sideId, Actions& actions);
    /// The data link to the side was lost or timed out.
    void onLinkLost(Instant now, const std::string& sideId, Actions& actions);
    /// Runs the timers that are due and removes expired answers.
    void tick(Instant now, Actions& actions);

    std::size_t inProgress() const { return m_sessions.size(); }
    const RequestTotals& totals() const { return m_totals; }

private:
    struct KeptAnswer {
        CallerAnswer answer;
        Instant keepUntil;
    };

    /// The reason to refuse the request on arrival; Ok if the request is accepted.
    ErrorCode refusalCode(const CallerRequest& request) const;
    RequestSession& openSession(Instant now, CallerToken caller, CallerRequest request);
    /// Handles a request whose key is in progress or was answered at this entry; returns false if the key is new.
    bool joinOrReplay(Instant now, CallerToken caller, const CallerRequest& request, Actions& actions);

    void beginDispatch(Instant now, RequestSession& session, std::string_view reason, Actions& actions);
    void claimKey(Instant now, RequestSession& session, Actions& actions);
    void sendDispatch(Instant now, RequestSession& session, Actions& actions);
    void retryElsewhere(Instant now, RequestSession& session, Actions& actions);
    void startResolving(Instant now, RequestSession& session, Actions& actions);
    void querySide(Instant now, RequestSession& session, bool fence, Actions& actions);
    void contactWitnesses(Instant now, RequestSession& session, Actions& actions);
    void followHolder(Instant now, RequestSession& session, const Wire::ClaimAnswer& holder, Actions& actions);

    void onDone(Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer,
        Actions& actions);
    void onNotRun(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onUnknown(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onFollowedAnswer(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onAnswerForSession(Instant now, RequestSession& session, const std::string& sideId,
        const Wire::RunAnswer& answer, Actions& actions);

    void onTimer(Instant now, RequestSession& session, Actions& actions);
    void scheduleTimer(const RequestSession& session, Instant at);
    void finish(Instant now, RequestSession& session, CallerAnswer answer, Actions& actions);
    void finishNotRun(Instant now, RequestSession& session, ErrorCode code, Actions& actions);
    void finishUnknown(Instant now, RequestSession& session, ErrorCode code, Actions& actions);
    /// Ends the request with "unknown" if a dispatch may have run, otherwise with "not run".
    void finishUnresolved(Instant now, RequestSession& session, Actions& actions);
    /// Removes the current dispatch from the in-flight count of its side.
    void removeFromInFlight(RequestSession& session);
    void replyImmediately(CallerToken caller, Wire::Outcome::type outcome, ErrorCode code, Actions& actions);
    void removeDispatch(const std::string& dispatchId, const std::string& requestId);
    RequestSession* find(const std::string& requestId);

    std::string m_entryId;
    std::int64_t m_incarnation;
    Membership& m_membership;
    Router m_router;
    const BundleRegistry& m_bundles;
    KeyClaimClient m_keyClaimClient;
    RetryBudget m_retryBudget;
    OnAnswered m_onAnswered;
    bool m_leaving = false;
    std::uint64_t m_lastRequestNumber = 0;
    RequestTotals m_totals;
    std::unordered_map<std::string, RequestSession> m_sessions;
    /// Request ids by the id of each dispatch whose answer may still end the request.
    std::unordered_multimap<std::string, std::string> m_requestIdsByDispatch;
    /// Ids of the non-idempotent requests in progress at this entry, by key.
    std::unordered_map<std::string, std::string> m_requestIdByKey;
    /// Final answers of non-idempotent requests, by key.
    std::unordered_map<std::string, KeptAnswer> m_keptAnswers;
    std::multimap<Instant, std::string> m_keptAnswerExpiries;
    /// Request ids by the time of their next timers.
    std::multimap<Instant, std::string> m_timers;
};

} // namespace Plantainpier
