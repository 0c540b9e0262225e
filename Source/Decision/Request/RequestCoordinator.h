/// Latency-critical requests at an entry: routing, retries, and finding out the truth about lost answers.
#pragma once

#include "Decision/Request/KeyClaimClient.h"
#include "Decision/Request/RequestSession.h"
#include "Decision/Request/RetryBudget.h"
#include "Decision/Request/Router.h"
#include "Decision/Version/BundleRegistry.h"

#include <unordered_map>

namespace Plantainpier {

/// Totals since the process started, for /metrics.
struct RequestTotals {
    std::uint64_t requests = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t retries = 0;
    std::uint64_t resolutions = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

/// All requests in progress at one entry. Lives for the process; a session lives for its request.
class RequestCoordinator {
public:
    /// Hook: called with each final answer and the time since arrival, for metrics.
    using OnAnswered = std::function<void(const CallerAnswer&, Duration elapsed)>;

    RequestCoordinator(std::string entryId, std::int64_t incarnation, Membership& membership, Router router,
        const BundleRegistry& bundles);

    void setOnAnswered(OnAnswered hook) { m_onAnswered = std::move(hook); }
    /// From now on new requests are answered "not run"; those in progress go on.
    void leave() { m_leaving = true; }

    void submit(Instant now, CallerToken caller, CallerRequest request, Actions& actions);
    /// What became of the request with this key? Changes nothing.
    void ask(Instant now, CallerToken caller, const std::string& key, Actions& actions);

    void onAnswer(Instant now, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions);
    void onClaimAnswer(Instant now, const Wire::ClaimAnswer& answer, Actions& actions);
    /// A data link to the side works (again).
    void onLinkUp(Instant now, const std::string& sideId, Actions& actions);
    /// The data link to the side broke or went silent.
    void onLinkLost(Instant now, const std::string& sideId, Actions& actions);
    void tick(Instant now, Actions& actions);

    std::size_t inProgress() const { return m_sessions.size(); }
    const RequestTotals& totals() const { return m_totals; }

private:
    struct KeptAnswer {
        CallerAnswer answer;
        Instant keepUntil;
    };

    ErrorCode refusalOf(const CallerRequest& request) const;
    RequestSession& openSession(Instant now, CallerToken caller, CallerRequest request);
    bool joinOrReplay(Instant now, CallerToken caller, const CallerRequest& request, Actions& actions);

    void beginDispatch(Instant now, RequestSession& session, std::string_view why, Actions& actions);
    void claim(Instant now, RequestSession& session, Actions& actions);
    void sendDispatch(Instant now, RequestSession& session, Actions& actions);
    void retryElsewhere(Instant now, RequestSession& session, Actions& actions);
    void resolve(Instant now, RequestSession& session, Actions& actions);
    void askSide(Instant now, RequestSession& session, bool fence, Actions& actions);
    void askWitnesses(Instant now, RequestSession& session, Actions& actions);
    void follow(Instant now, RequestSession& session, const Wire::ClaimAnswer& holder, Actions& actions);

    void onDone(Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer,
        Actions& actions);
    void onNotRun(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onUnknown(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onFollowedAnswer(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions);
    void onAnswerTo(Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer,
        Actions& actions);

    void wake(Instant now, RequestSession& session, Actions& actions);
    void schedule(const RequestSession& session, Instant at);
    void finish(Instant now, RequestSession& session, CallerAnswer answer, Actions& actions);
    void finishNotRun(Instant now, RequestSession& session, ErrorCode code, Actions& actions);
    void finishUnknown(Instant now, RequestSession& session, ErrorCode code, Actions& actions);
    void giveUp(Instant now, RequestSession& session, Actions& actions);
    void leaveFlight(RequestSession& session);
    void replyAtOnce(CallerToken caller, Wire::Outcome::type outcome, ErrorCode code, Actions& actions);
    void forgetDispatch(const std::string& dispatchId, const std::string& requestId);
    RequestSession* find(const std::string& requestId);

    std::string m_entryId;
    std::int64_t m_incarnation;
    Membership& m_membership;
    Router m_router;
    const BundleRegistry& m_bundles;
    KeyClaimClient m_claims;
    RetryBudget m_retryBudget;
    OnAnswered m_onAnswered;
    bool m_leaving = false;
    std::uint64_t m_lastRequest = 0;
    RequestTotals m_totals;
    std::unordered_map<std::string, RequestSession> m_sessions;
    /// Requests by each dispatch that may still answer for them.
    std::unordered_multimap<std::string, std::string> m_byDispatch;
    /// Non-idempotent requests in progress here, by key.
    std::unordered_map<std::string, std::string> m_byKey;
    std::unordered_map<std::string, KeptAnswer> m_keptAnswers;
    std::multimap<Instant, std::string> m_keptUntil;
    std::multimap<Instant, std::string> m_wakeups;
};

} // namespace Plantainpier
