#include "Decision/Request/RequestCoordinator.h"

#include "Base/LogLine.h"
#include "Base/NameTable.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Limit on the dispatches of one request, retries included.
    constexpr int maximumDispatches = 4;
    /// Time between two queries about the same dispatch or key.
    constexpr Duration queryInterval = milliseconds(100);
    /// Delay before a contested claim is sent again.
    constexpr Duration contestRetryDelay = milliseconds(5);
    /// How long after the deadline the outcome of a request is still queried before its caller gets "unknown".
    constexpr Duration resolveGrace = milliseconds(300);
    /// How long a side gets no new request after its target refused a connection.
    constexpr Duration avoidAfterFailure = milliseconds(500);
    /// Deadline of a query by key.
    constexpr Duration keyQueryDeadline = seconds(2);
    /// Limit on the answers kept at the entry. Other answers are found through the witnesses and the side that ran the
    /// request.
    constexpr std::size_t maximumKeptAnswers = 2'000;
    /// Answers with a larger body are kept only by the side that ran the request.
    constexpr std::size_t maximumKeptBodyBytes = 4096;

    /// A dispatch that was fenced before it ran, or refused by a side that is shutting down, has put no load on a
    /// target. Its retry does not amplify load and does not count against the retry budget.
    bool addsNoLoad(ErrorCode refusal) { return refusal == ErrorCode::Fenced || refusal == ErrorCode::Leaving; }

    constexpr std::array requestStateTable {
        NamedValue { RequestState::Claiming, "claiming" },
        NamedValue { RequestState::Dispatched, "dispatched" },
        NamedValue { RequestState::Resolving, "resolving" },
        NamedValue { RequestState::FollowingHolder, "following_holder" },
        NamedValue { RequestState::AskingWitnesses, "asking_witnesses" },
    };

} // namespace

std::string_view name(RequestState state) { return nameIn(requestStateTable, state); }

RequestCoordinator::RequestCoordinator(
    std::string entryId, std::int64_t incarnation, Membership& membership, Router router, const BundleRegistry& bundles)
    : m_entryId(std::move(entryId))
    , m_incarnation(incarnation)
    , m_membership(membership)
    , m_router(std::move(router))
    , m_bundles(bundles)
    , m_keyClaimClient(membership)
{
}

RequestSession* RequestCoordinator::find(const std::string& requestId)
{
    std::unordered_map<std::string, RequestSession>::iterator it = m_sessions.find(requestId);
    return it == m_sessions.end() ? nullptr : &it->second;
}

// Arrival of requests and queries.

ErrorCode RequestCoordinator::refusalCode(const CallerRequest& request) const
{
    if (m_leaving)
        return ErrorCode::Leaving;
    const std::shared_ptr<const Bundle>& bundle = m_bundles.current();
    if (!bundle)
        return ErrorCode::NoBundle;
    const RequestClass* requestClass = bundle->findClass(request.className);
    return requestClass && requestClass->admitted ? ErrorCode::Ok : ErrorCode::NotAdmitted;
}

void RequestCoordinator::replyImmediately(
    CallerToken caller, Wire::Outcome::type outcome, ErrorCode code, Actions& actions)
{
    CallerAnswer answer;
    answer.outcome = outcome;
    answer.code = code;
    answer.bundleVersion = m_bundles.version();
    actions.push_back(ReplyToCaller { caller, code, encodeCallerAnswer(answer), {} });
    LogLine line("refuse");
    line.add("entry", m_entryId).add("outcome", name(outcome)).add("code", name(code));
    actions.push_back(WriteLog { line.add("bundle", answer.bundleVersion).text() });
}

RequestSession& RequestCoordinator::openSession(Instant now, CallerToken caller, CallerRequest request)
{
    const std::string requestId
        = m_entryId + "-" + std::to_string(m_incarnation) + "-" + std::to_string(++m_lastRequestNumber);
    RequestSession& session = m_sessions[requestId];
    session.requestId = requestId;
    session.request = std::move(request);
    session.callers.push_back(caller);
    session.bundle = m_bundles.current();
    session.arrivedAt = now;
    session.deadlineAt = now + session.request.deadline;
    session.resolveUntil = session.deadlineAt + resolveGrace;
    return session;
}

bool RequestCoordinator::joinOrReplay(Instant now, CallerToken caller, const CallerRequest& request, Actions& actions)
{
    std::unordered_map<std::string, std::string>::iterator running = m_requestIdByKey.find(request.key);
    if (running != m_requestIdByKey.end()) {
        RequestSession& session = *find(running->second);
        if (session.request.body == request.body && session.request.caller == request.caller)
            session.callers.push_back(caller);
        else
            replyImmediately(caller, Wire::Outcome::NotRun, ErrorCode::KeyReused, actions);
        return true;
    }
    std::unordered_map<std::string, KeptAnswer>::iterator kept = m_keptAnswers.find(request.key);
    if (kept == m_keptAnswers.end() || kept->second.keepUntil <= now)
        return false;
    actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, encodeCallerAnswer(kept->second.answer), {} });
    return true;
}

void RequestCoordinator::submit(Instant now, CallerToken caller, CallerRequest request, Actions& actions)
{
    ++m_totals.requests;
    const ErrorCode refusal = refusalCode(request);
    if (refusal != ErrorCode::Ok) {
        replyImmediately(caller, Wire::Outcome::NotRun, refusal, actions);
        return;
    }
    if (!request.idempotent && joinOrReplay(now, caller, request, actions))
        return;
    RequestSession& session = openSession(now, caller, std::move(request));
    session.classIndex = session.bundle->indexOfClass(session.request.className);
    if (!session.request.idempotent)
        m_requestIdByKey[session.request.key] = session.requestId;
    beginDispatch(now, session, "first", actions);
}

void RequestCoordinator::queryKey(Instant now, CallerToken caller, const std::string& key, Actions& actions)
{
    if (!m_bundles.current()) {
        replyImmediately(caller, Wire::Outcome::Unknown, ErrorCode::NoBundle, actions);
        return;
    }
    CallerRequest query;
    query.key = key;
    query.idempotent = true;
    query.deadline = keyQueryDeadline;
    RequestSession& session = openSession(now, caller, std::move(query));
    session.state = RequestState::AskingWitnesses;
    session.mayHaveRun = true;
    contactWitnesses(now, session, actions);
}

// Dispatches and retries.

void RequestCoordinator::beginDispatch(Instant now, RequestSession& session, std::string_view reason, Actions& actions)
{
    const std::optional<RouteChoice> choice = m_router.chooseSide(m_membership, now, session.excludedSides);
    if (!choice) {
        // An earlier dispatch may have run, so its outcome is queried until resolveUntil.
        if (session.earlierMayHaveRun)
            startResolving(now, session, actions);
        else
            finishUnresolved(now, session, actions);
        return;
    }
    if (++session.dispatchCount == 1)
        m_retryBudget.onFirstDispatch(session.bundle->retryPercent());
    const SideView& side = *m_membership.find(choice->sideId);
    session.currentDispatch = DispatchRef { session.requestId + "." + std::to_string(session.dispatchCount),
        side.sideId, side.incarnation };
    m_requestIdsByDispatch.emplace(session.currentDispatch.dispatchId, session.requestId);
    LogLine line("route");
    line.add("request", session.requestId).add("dispatch", session.currentDispatch.dispatchId).add("side", side.sideId);
    line.add("why", reason).add("cost_us", choice->cost.count()).add("candidates", choice->candidates);
    line.add("compared", choice->compared).add("own_zone", choice->ownZone).add("in_flight", side.ownInFlight);
    line.add("others", side.othersInFlight).add("bundle", session.bundle->version());
    actions.push_back(WriteLog { line.text() });
    if (session.request.idempotent)
        sendDispatch(now, session, actions);
    else
        claimKey(now, session, actions);
}

void RequestCoordinator::claimKey(Instant now, RequestSession& session, Actions& actions)
{
    session.state = RequestState::Claiming;
    session.witnesses.clear();
    contactWitnesses(now, session, actions);
}

void RequestCoordinator::contactWitnesses(Instant now, RequestSession& session, Actions& actions)
{
    session.lastQueryAt = now;
    const bool isKeyQuery = session.state == RequestState::AskingWitnesses;
    scheduleTimer(session, std::min(now + queryInterval, isKeyQuery ? session.resolveUntil : session.deadlineAt));
    m_keyClaimClient.sendToWitnesses(now, session, actions);
}

void RequestCoordinator::sendDispatch(Instant now, RequestSession& session, Actions& actions)
{
    SideView* side = m_membership.find(session.currentDispatch.sideId);
    const Duration budget = session.deadlineAt - now;
    if (!side || !side->isLinkUp() || budget <= Duration::zero()) {
        session.lastRefusal = budget <= Duration::zero() ? ErrorCode::DeadlineTooShort : ErrorCode::NoTarget;
        retryElsewhere(now, session, actions);
        return;
    }
    session.state = RequestState::Dispatched;
    session.mayHaveRun = true;
    ++side->ownInFlight;
    ++m_totals.dispatches;
    Wire::RunRequest message;
    message.dispatchId = session.currentDispatch.dispatchId;
    message.key = session.request.key;
    message.caller = session.request.caller;
    message.workClass = session.classIndex;
    message.idempotent = session.request.idempotent;
    message.budgetMicroseconds = budget.count();
    message.bundleVersion = session.bundle->version();
    message.body = session.request.body;
    message.sideIncarnation = session.currentDispatch.sideIncarnation;
    actions.push_back(SendMessage { side->dataLink, std::move(message) });
    scheduleTimer(session, session.deadlineAt);
}

void RequestCoordinator::retryElsewhere(Instant now, RequestSession& session, Actions& actions)
{
    session.excludedSides.insert(session.currentDispatch.sideId);
    const bool canRetry = now < session.deadlineAt && session.dispatchCount < maximumDispatches;
    if (canRetry && (addsNoLoad(session.lastRefusal) || m_retryBudget.tryConsume())) {
        ++m_totals.retries;
        beginDispatch(now, session, "retry", actions);
        return;
    }
    if (canRetry)
        actions.push_back(WriteLog { LogLine("retry_budget_spent").add("request", session.requestId).text() });
    if (session.earlierMayHaveRun)
        startResolving(now, session, actions);
    else
        finishUnresolved(now, session, actions);
}

void RequestCoordinator::removeFromInFlight(RequestSession& session)
{
    if (session.state != RequestState::Dispatched)
        return;
    SideView* side = m_membership.find(session.currentDispatch.sideId);
    if (side && side->ownInFlight > 0)
        --side->ownInFlight;
}

// Queries for the outcome of a dispatch.

void RequestCoordinator::startResolving(Instant now, RequestSession& session, Actions& actions)
{
    removeFromInFlight(session);
    session.state = RequestState::Resolving;
    ++m_totals.resolutions;
    LogLine line("resolve");
    line.add("request", session.requestId).add("dispatch", session.currentDispatch.dispatchId);
    line.add("side", session.currentDispatch.sideId).add("past_deadline", now >= session.deadlineAt);
    actions.push_back(WriteLog { line.text() });
    querySide(now, session, true, actions);
}

void RequestCoordinator::querySide(Instant now, RequestSession& session, bool fence, Actions& actions)
{
    session.lastQueryAt = now;
    scheduleTimer(session, std::min(now + queryInterval, session.resolveUntil));
    const SideView* side = m_membership.expectAnswerFrom(now, session.currentDispatch.sideId);
    if (!side)
        return;
    Wire::ResolveRequest message;
    message.dispatchId = session.currentDispatch.dispatchId;
    message.sideIncarnation = session.currentDispatch.sideIncarnation;
    message.fence = fence;
    actions.push_back(SendMessage { side->dataLink, std::move(message) });
}

void RequestCoordinator::followHolder(
    Instant now, RequestSession& session, const Wire::ClaimAnswer& holder, Actions& actions)
{
    const bool isKeyQuery = session.state == RequestState::AskingWitnesses;
    session.state = RequestState::FollowingHolder;
    session.currentDispatch
        = DispatchRef { holder.holderDispatchId, holder.holderSideId, holder.holderSideIncarnation };
    session.witnesses.clear();
    session.earlierMayHaveRun = true;
    m_requestIdsByDispatch.emplace(session.currentDispatch.dispatchId, session.requestId);
    LogLine line("follow");
    line.add("request", session.requestId).add("key", session.request.key).add("holder", holder.holderDispatchId);
    line.add("side", holder.holderSideId).add("witness", holder.witnessId).add("question", isKeyQuery);
    actions.push_back(WriteLog { line.text() });
    // The holder may be about to send its dispatch, so the first query does not fence it.
    querySide(now, session, false, actions);
}

void RequestCoordinator::onClaimAnswer(Instant now, const Wire::ClaimAnswer& answer, Actions& actions)
{
    RequestSession* session = find(answer.claimId);
    if (!session)
        return;
    switch (m_keyClaimClient.onAnswer(*session, answer)) {
    case ClaimResult::Pending:
        break;
    case ClaimResult::Granted:
        sendDispatch(now, *session, actions);
        break;
    case ClaimResult::Unattested:
        finishUnknown(now, *session, ErrorCode::OutcomeUnknown, actions);
        break;
    case ClaimResult::HeldByOther:
        if (session->state == RequestState::Claiming)
            m_keyClaimClient.release(*session, actions);
        followHolder(now, *session, answer, actions);
        break;
    case ClaimResult::Contested:
        session->lastQueryAt = now + contestRetryDelay - queryInterval;
        scheduleTimer(*session, now + contestRetryDelay);
        break;
    case ClaimResult::WitnessFull:
        finishNotRun(now, *session, ErrorCode::Overloaded, actions);
        break;
    case ClaimResult::NoRecord:
        finishUnknown(now, *session, ErrorCode::KeyUnknown, actions);
        break;
    }
}

// Answers from sides.

void RequestCoordinator::onAnswer(
    Instant now, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions)
{
    SideView* side = m_membership.find(sideId);
    if (side && side->incarnation == answer.sideIncarnation) {
        // A final answer: the side no longer counts this dispatch in its load, but the entry still does.
        const bool isFinal = answer.outcome != Wire::Outcome::Running;
        side->setLoad(answer.load, side->ownInFlight - (isFinal ? 1 : 0));
        if (answer.code == static_cast<int>(ErrorCode::TargetUnreachable))
            side->avoidUntil = now + avoidAfterFailure;
        if (answer.code == static_cast<int>(ErrorCode::Leaving))
            side->leaving = true;
    }
    using Iterator = std::unordered_multimap<std::string, std::string>::iterator;
    const std::pair<Iterator, Iterator> range = m_requestIdsByDispatch.equal_range(answer.dispatchId);
    std::vector<std::string> requestIds;
    for (Iterator it = range.first; it != range.second; ++it)
        requestIds.push_back(it->second);
    for (const std::string& requestId : requestIds) {
        RequestSession* session = find(requestId);
        if (session)
            onAnswerForSession(now, *session, sideId, answer, actions);
    }
}

void RequestCoordinator::onAnswerForSession(
    Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions)
{
    if (answer.outcome == Wire::Outcome::Done) {
        onDone(now, session, sideId, answer, actions);
        return;
    }
    if (answer.dispatchId != session.currentDispatch.dispatchId)
        return;
    switch (session.state) {
    case RequestState::FollowingHolder:
        onFollowedAnswer(now, session, answer, actions);
        return;
    case RequestState::Dispatched:
    case RequestState::Resolving:
        break;
    case RequestState::Claiming:
    case RequestState::AskingWitnesses:
        return;
    }
    if (answer.outcome == Wire::Outcome::NotRun)
        onNotRun(now, session, answer, actions);
    else if (answer.outcome == Wire::Outcome::Unknown)
        onUnknown(now, session, answer, actions);
}

void RequestCoordinator::onDone(
    Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions)
{
    CallerAnswer final;
    final.outcome = Wire::Outcome::Done;
    final.sideId = sideId;
    final.status = answer.status;
    final.body = answer.body;
    finish(now, session, std::move(final), actions);
}

void RequestCoordinator::onNotRun(Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions)
{
    removeFromInFlight(session);
    session.state = RequestState::Resolving;
    session.lastRefusal = errorCodeFromNumber(answer.code);
    session.retryAfter = Duration(answer.retryAfterMicroseconds);
    session.mayHaveRun = session.earlierMayHaveRun;
    removeDispatch(answer.dispatchId, session.requestId);
    if (session.lastRefusal == ErrorCode::NotAdmitted)
        finishUnresolved(now, session, actions);
    else
        retryElsewhere(now, session, actions);
}

void RequestCoordinator::onUnknown(
    Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions)
{
    removeFromInFlight(session);
    session.state = RequestState::Resolving;
    session.earlierMayHaveRun = true;
    session.lastRefusal = errorCodeFromNumber(answer.code);
    if (session.request.idempotent)
        retryElsewhere(now, session, actions);
    else
        finishUnknown(now, session, session.lastRefusal, actions);
}

void RequestCoordinator::onFollowedAnswer(
    Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions)
{
    const bool isKeyQuery = session.request.idempotent;
    const ErrorCode code = errorCodeFromNumber(answer.code);
    switch (answer.outcome) {
    case Wire::Outcome::Running:
        if (isKeyQuery) {
            CallerAnswer interim;
            interim.outcome = Wire::Outcome::Running;
            finish(now, session, std::move(interim), actions);
        }
        return;
    case Wire::Outcome::NotRun:
        if (isKeyQuery) {
            finishNotRun(now, session, code, actions);
            return;
        }
        // The holder's dispatch is permanently fenced, so a claim that names this dispatch may take over the key.
        session.replacesDispatchId = answer.dispatchId;
        session.earlierMayHaveRun = false;
        removeDispatch(answer.dispatchId, session.requestId);
        if (now < session.deadlineAt)
            beginDispatch(now, session, "takeover", actions);
        else
            finishUnresolved(now, session, actions);
        return;
    default:
        // The side has no record of the dispatch yet. The next query, after queryInterval, fences the dispatch.
        if (code == ErrorCode::KeyUnknown && !isKeyQuery)
            session.fenceHolder = true;
        else
            finishUnknown(now, session, code, actions);
    }
}

// Connections and timers.

void RequestCoordinator::onLinkUp(Instant now, const std::string& sideId, Actions& actions)
{
    for (std::pair<const std::string, RequestSession>& entry : m_sessions) {
        RequestSession& session = entry.second;
        const bool isQuerying
            = session.state == RequestState::Resolving || session.state == RequestState::FollowingHolder;
        if (isQuerying && session.currentDispatch.sideId == sideId)
            querySide(now, session, session.state == RequestState::Resolving, actions);
        else if (session.state == RequestState::Claiming && session.witnesses.contains(sideId))
            contactWitnesses(now, session, actions);
    }
}

void RequestCoordinator::onLinkLost(Instant now, const std::string& sideId, Actions& actions)
{
    std::vector<std::string> affected;
    for (const std::pair<const std::string, RequestSession>& entry : m_sessions) {
        if (entry.second.state == RequestState::Dispatched && entry.second.currentDispatch.sideId == sideId)
            affected.push_back(entry.first);
    }
    for (const std::string& requestId : affected) {
        RequestSession& session = *find(requestId);
        if (!session.request.idempotent) {
            startResolving(now, session, actions);
            continue;
        }
        removeFromInFlight(session);
        session.state = RequestState::Resolving;
        session.earlierMayHaveRun = true;
        session.lastRefusal = ErrorCode::OutcomeUnknown;
        retryElsewhere(now, session, actions);
    }
}

void RequestCoordinator::scheduleTimer(const RequestSession& session, Instant at)
{
    m_timers.emplace(at, session.requestId);
}

void RequestCoordinator::onTimer(Instant now, RequestSession& session, Actions& actions)
{
    const Instant nextQueryAt = session.lastQueryAt + queryInterval;
    if (now >= session.resolveUntil) {
        finishUnresolved(now, session, actions);
        return;
    }
    switch (session.state) {
    case RequestState::Dispatched:
        if (now >= session.deadlineAt)
            startResolving(now, session, actions);
        break;
    case RequestState::Resolving:
        if (now >= nextQueryAt)
            querySide(now, session, true, actions);
        break;
    case RequestState::FollowingHolder:
        if (now >= nextQueryAt)
            querySide(now, session, session.fenceHolder, actions);
        break;
    case RequestState::Claiming:
        if (now >= session.deadlineAt)
            finishNotRun(now, session, ErrorCode::WitnessUnreachable, actions);
        else if (now >= nextQueryAt)
            contactWitnesses(now, session, actions);
        break;
    case RequestState::AskingWitnesses:
        if (now >= nextQueryAt)
            contactWitnesses(now, session, actions);
        break;
    }
}

void RequestCoordinator::tick(Instant now, Actions& actions)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const std::string requestId = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        RequestSession* session = find(requestId);
        if (session)
            onTimer(now, *session, actions);
    }
    while (!m_keptAnswerExpiries.empty()
        && (m_keptAnswerExpiries.begin()->first <= now || m_keptAnswerExpiries.size() > maximumKeptAnswers)) {
        m_keptAnswers.erase(m_keptAnswerExpiries.begin()->second);
        m_keptAnswerExpiries.erase(m_keptAnswerExpiries.begin());
    }
}

// Final answers.

void RequestCoordinator::finishUnresolved(Instant now, RequestSession& session, Actions& actions)
{
    if (session.mayHaveRun || session.earlierMayHaveRun)
        finishUnknown(now, session, ErrorCode::OutcomeUnknown, actions);
    else
        finishNotRun(now, session, session.lastRefusal, actions);
}

void RequestCoordinator::finishNotRun(Instant now, RequestSession& session, ErrorCode code, Actions& actions)
{
    CallerAnswer answer;
    answer.outcome = Wire::Outcome::NotRun;
    answer.code = code;
    answer.retryAfter = session.retryAfter;
    finish(now, session, std::move(answer), actions);
}

void RequestCoordinator::finishUnknown(Instant now, RequestSession& session, ErrorCode code, Actions& actions)
{
    CallerAnswer answer;
    answer.outcome = Wire::Outcome::Unknown;
    answer.code = code;
    finish(now, session, std::move(answer), actions);
}

void RequestCoordinator::removeDispatch(const std::string& dispatchId, const std::string& requestId)
{
    using Iterator = std::unordered_multimap<std::string, std::string>::iterator;
    const std::pair<Iterator, Iterator> range = m_requestIdsByDispatch.equal_range(dispatchId);
    for (Iterator it = range.first; it != range.second; ++it) {
        if (it->second != requestId)
            continue;
        m_requestIdsByDispatch.erase(it);
        return;
    }
}

void RequestCoordinator::finish(Instant now, RequestSession& session, CallerAnswer answer, Actions& actions)
{
    removeFromInFlight(session);
    answer.requestId = session.requestId;
    answer.bundleVersion = session.bundle->version();
    const std::string body = encodeCallerAnswer(answer);
    for (CallerToken caller : session.callers)
        actions.push_back(ReplyToCaller { caller, answer.code, body, answer.retryAfter });
    LogLine line("finish");
    line.add("request", session.requestId).add("outcome", name(answer.outcome)).add("code", name(answer.code));
    line.add("side", answer.sideId).add("dispatches", session.dispatchCount);
    line.add("elapsed_us", (now - session.arrivedAt).count()).add("bundle", answer.bundleVersion);
    actions.push_back(WriteLog { line.text() });
    m_totals.done += answer.outcome == Wire::Outcome::Done ? 1 : 0;
    m_totals.notRun += answer.outcome == Wire::Outcome::NotRun ? 1 : 0;
    m_totals.unknown += answer.outcome == Wire::Outcome::Unknown ? 1 : 0;
    if (m_onAnswered)
        m_onAnswered(answer, now - session.arrivedAt);

    for (int n = 1; n <= session.dispatchCount; ++n)
        removeDispatch(session.requestId + "." + std::to_string(n), session.requestId);
    removeDispatch(session.currentDispatch.dispatchId, session.requestId);
    if (!session.request.idempotent) {
        m_requestIdByKey.erase(session.request.key);
        if (answer.outcome == Wire::Outcome::Done && answer.body.size() <= maximumKeptBodyBytes) {
            const Instant keepUntil = now + session.bundle->answerRetention();
            m_keptAnswerExpiries.emplace(keepUntil, session.request.key);
            m_keptAnswers[session.request.key] = KeptAnswer { std::move(answer), keepUntil };
        }
    }
    m_sessions.erase(std::string(session.requestId));
}

} // namespace Plantainpier
