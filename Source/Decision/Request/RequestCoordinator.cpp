#include "Decision/Request/RequestCoordinator.h"

#include "Base/LogLine.h"
#include "Base/NameTable.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Dispatches of one request, retries included.
    constexpr int maximumDispatches = 4;
    /// Between two questions about the same dispatch or key.
    constexpr Duration askInterval = milliseconds(100);
    /// Before a contested claim is sent again.
    constexpr Duration contestPause = milliseconds(5);
    /// How long past its deadline the truth about a request is looked for before its caller hears "unknown".
    constexpr Duration resolveGrace = milliseconds(300);
    /// A side whose target refused connections gets nothing new for this long.
    constexpr Duration avoidAfterFailure = milliseconds(500);
    /// Wait for the answer to a question by key.
    constexpr Duration questionDeadline = seconds(2);
    /// Answers kept at the entry; the witnesses and the side that ran it know the others.
    constexpr std::size_t maximumKeptAnswers = 2'000;
    /// Kept answers with a larger body are left to the side that ran it.
    constexpr std::size_t maximumKeptBody = 4096;

    /// A dispatch that its side never saw, or turned away because it leaves, has put no load on a target; trying again
    /// elsewhere amplifies nothing.
    bool costsNothing(ErrorCode refusal) { return refusal == ErrorCode::Fenced || refusal == ErrorCode::Leaving; }

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
    , m_claims(membership)
{
}

RequestSession* RequestCoordinator::find(const std::string& requestId)
{
    std::unordered_map<std::string, RequestSession>::iterator it = m_sessions.find(requestId);
    return it == m_sessions.end() ? nullptr : &it->second;
}

// Arrival.

ErrorCode RequestCoordinator::refusalOf(const CallerRequest& request) const
{
    if (m_leaving)
        return ErrorCode::Leaving;
    const std::shared_ptr<const Bundle>& bundle = m_bundles.current();
    if (!bundle)
        return ErrorCode::NoBundle;
    const RequestClass* rules = bundle->findClass(request.className);
    return rules && rules->admitted ? ErrorCode::Ok : ErrorCode::NotAdmitted;
}

void RequestCoordinator::replyAtOnce(CallerToken caller, Wire::Outcome::type outcome, ErrorCode code, Actions& actions)
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
        = m_entryId + "-" + std::to_string(m_incarnation) + "-" + std::to_string(++m_lastRequest);
    RequestSession& session = m_sessions[requestId];
    session.requestId = requestId;
    session.request = std::move(request);
    session.callers.push_back(caller);
    session.bundle = m_bundles.current();
    session.arrivedAt = now;
    session.deadlineAt = now + session.request.deadline;
    session.giveUpAt = session.deadlineAt + resolveGrace;
    return session;
}

bool RequestCoordinator::joinOrReplay(Instant now, CallerToken caller, const CallerRequest& request, Actions& actions)
{
    std::unordered_map<std::string, std::string>::iterator running = m_byKey.find(request.key);
    if (running != m_byKey.end()) {
        RequestSession& session = *find(running->second);
        if (session.request.body == request.body && session.request.caller == request.caller)
            session.callers.push_back(caller);
        else
            replyAtOnce(caller, Wire::Outcome::NotRun, ErrorCode::KeyReused, actions);
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
    const ErrorCode refusal = refusalOf(request);
    if (refusal != ErrorCode::Ok) {
        replyAtOnce(caller, Wire::Outcome::NotRun, refusal, actions);
        return;
    }
    if (!request.idempotent && joinOrReplay(now, caller, request, actions))
        return;
    RequestSession& session = openSession(now, caller, std::move(request));
    session.classIndex = session.bundle->indexOfClass(session.request.className);
    if (!session.request.idempotent)
        m_byKey[session.request.key] = session.requestId;
    beginDispatch(now, session, "first", actions);
}

void RequestCoordinator::ask(Instant now, CallerToken caller, const std::string& key, Actions& actions)
{
    if (!m_bundles.current()) {
        replyAtOnce(caller, Wire::Outcome::Unknown, ErrorCode::NoBundle, actions);
        return;
    }
    CallerRequest question;
    question.key = key;
    question.idempotent = true;
    question.deadline = questionDeadline;
    RequestSession& session = openSession(now, caller, std::move(question));
    session.state = RequestState::AskingWitnesses;
    session.mayHaveRun = true;
    askWitnesses(now, session, actions);
}

// Dispatch.

void RequestCoordinator::beginDispatch(Instant now, RequestSession& session, std::string_view why, Actions& actions)
{
    const std::optional<RouteChoice> choice = m_router.choose(m_membership, now, session.excluded);
    if (!choice) {
        // A dispatch that may have run is worth asking about until the deadline.
        if (session.earlierMayHaveRun)
            resolve(now, session, actions);
        else
            giveUp(now, session, actions);
        return;
    }
    if (++session.dispatches == 1)
        m_retryBudget.onFirstDispatch(session.bundle->retryPercent());
    const SideView& side = *m_membership.find(choice->sideId);
    session.place
        = DispatchPlace { session.requestId + "." + std::to_string(session.dispatches), side.sideId, side.incarnation };
    m_byDispatch.emplace(session.place.dispatchId, session.requestId);
    LogLine line("route");
    line.add("request", session.requestId).add("dispatch", session.place.dispatchId).add("side", side.sideId);
    line.add("why", why).add("cost_us", choice->cost.count()).add("candidates", choice->candidates);
    line.add("compared", choice->compared).add("own_zone", choice->ownZone).add("in_flight", side.ownInFlight);
    line.add("others", side.othersInFlight).add("bundle", session.bundle->version());
    actions.push_back(WriteLog { line.text() });
    if (session.request.idempotent)
        sendDispatch(now, session, actions);
    else
        claim(now, session, actions);
}

void RequestCoordinator::claim(Instant now, RequestSession& session, Actions& actions)
{
    session.state = RequestState::Claiming;
    session.witnesses.clear();
    askWitnesses(now, session, actions);
}

void RequestCoordinator::askWitnesses(Instant now, RequestSession& session, Actions& actions)
{
    session.lastAsked = now;
    const bool isQuestion = session.state == RequestState::AskingWitnesses;
    schedule(session, std::min(now + askInterval, isQuestion ? session.giveUpAt : session.deadlineAt));
    m_claims.ask(now, session, actions);
}

void RequestCoordinator::sendDispatch(Instant now, RequestSession& session, Actions& actions)
{
    SideView* side = m_membership.find(session.place.sideId);
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
    message.dispatchId = session.place.dispatchId;
    message.key = session.request.key;
    message.caller = session.request.caller;
    message.workClass = session.classIndex;
    message.idempotent = session.request.idempotent;
    message.budgetMicroseconds = budget.count();
    message.bundleVersion = session.bundle->version();
    message.body = session.request.body;
    message.sideIncarnation = session.place.sideIncarnation;
    actions.push_back(SendMessage { side->link, std::move(message) });
    schedule(session, session.deadlineAt);
}

void RequestCoordinator::retryElsewhere(Instant now, RequestSession& session, Actions& actions)
{
    session.excluded.insert(session.place.sideId);
    const bool possible = now < session.deadlineAt && session.dispatches < maximumDispatches;
    if (possible && (costsNothing(session.lastRefusal) || m_retryBudget.take())) {
        ++m_totals.retries;
        beginDispatch(now, session, "retry", actions);
        return;
    }
    if (possible)
        actions.push_back(WriteLog { LogLine("retry_budget_spent").add("request", session.requestId).text() });
    if (session.earlierMayHaveRun)
        resolve(now, session, actions);
    else
        giveUp(now, session, actions);
}

void RequestCoordinator::leaveFlight(RequestSession& session)
{
    if (session.state != RequestState::Dispatched)
        return;
    SideView* side = m_membership.find(session.place.sideId);
    if (side && side->ownInFlight > 0)
        --side->ownInFlight;
}

// Finding out what became of a dispatch.

void RequestCoordinator::resolve(Instant now, RequestSession& session, Actions& actions)
{
    leaveFlight(session);
    session.state = RequestState::Resolving;
    ++m_totals.resolutions;
    LogLine line("resolve");
    line.add("request", session.requestId).add("dispatch", session.place.dispatchId);
    line.add("side", session.place.sideId).add("past_deadline", now >= session.deadlineAt);
    actions.push_back(WriteLog { line.text() });
    askSide(now, session, true, actions);
}

void RequestCoordinator::askSide(Instant now, RequestSession& session, bool fence, Actions& actions)
{
    session.lastAsked = now;
    schedule(session, std::min(now + askInterval, session.giveUpAt));
    const SideView* side = m_membership.awaitAnswerFrom(now, session.place.sideId);
    if (!side)
        return;
    Wire::ResolveRequest message;
    message.dispatchId = session.place.dispatchId;
    message.sideIncarnation = session.place.sideIncarnation;
    message.fence = fence;
    actions.push_back(SendMessage { side->link, std::move(message) });
}

void RequestCoordinator::follow(Instant now, RequestSession& session, const Wire::ClaimAnswer& holder, Actions& actions)
{
    const bool isQuestion = session.state == RequestState::AskingWitnesses;
    session.state = RequestState::FollowingHolder;
    session.place = DispatchPlace { holder.holderDispatchId, holder.holderSideId, holder.holderSideIncarnation };
    session.witnesses.clear();
    session.earlierMayHaveRun = true;
    m_byDispatch.emplace(session.place.dispatchId, session.requestId);
    LogLine line("follow");
    line.add("request", session.requestId).add("key", session.request.key).add("holder", holder.holderDispatchId);
    line.add("side", holder.holderSideId).add("witness", holder.witnessId).add("question", isQuestion);
    actions.push_back(WriteLog { line.text() });
    // The holder may be about to send its dispatch, so the first question does not fence it.
    askSide(now, session, false, actions);
}

void RequestCoordinator::onClaimAnswer(Instant now, const Wire::ClaimAnswer& answer, Actions& actions)
{
    RequestSession* session = find(answer.claimId);
    if (!session)
        return;
    switch (m_claims.onAnswer(*session, answer)) {
    case ClaimResult::Pending:
        break;
    case ClaimResult::Granted:
        sendDispatch(now, *session, actions);
        break;
    case ClaimResult::Unvouched:
        finishUnknown(now, *session, ErrorCode::OutcomeUnknown, actions);
        break;
    case ClaimResult::Taken:
        if (session->state == RequestState::Claiming)
            m_claims.release(*session, actions);
        follow(now, *session, answer, actions);
        break;
    case ClaimResult::Contested:
        session->lastAsked = now + contestPause - askInterval;
        schedule(*session, now + contestPause);
        break;
    case ClaimResult::Full:
        finishNotRun(now, *session, ErrorCode::Overloaded, actions);
        break;
    case ClaimResult::NobodyKnows:
        finishUnknown(now, *session, ErrorCode::KeyUnknown, actions);
        break;
    }
}

// Answers.

void RequestCoordinator::onAnswer(
    Instant now, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions)
{
    SideView* side = m_membership.find(sideId);
    if (side && side->incarnation == answer.sideIncarnation) {
        // The dispatch that is answered here is no longer counted by the side, but still by this entry.
        const bool ends = answer.outcome != Wire::Outcome::Running;
        side->setLoad(answer.load, side->ownInFlight - (ends ? 1 : 0));
        if (answer.code == static_cast<int>(ErrorCode::TargetUnreachable))
            side->avoidUntil = now + avoidAfterFailure;
        if (answer.code == static_cast<int>(ErrorCode::Leaving))
            side->leaving = true;
    }
    using Iterator = std::unordered_multimap<std::string, std::string>::iterator;
    const std::pair<Iterator, Iterator> range = m_byDispatch.equal_range(answer.dispatchId);
    std::vector<std::string> requestIds;
    for (Iterator it = range.first; it != range.second; ++it)
        requestIds.push_back(it->second);
    for (const std::string& requestId : requestIds) {
        RequestSession* session = find(requestId);
        if (session)
            onAnswerTo(now, *session, sideId, answer, actions);
    }
}

void RequestCoordinator::onAnswerTo(
    Instant now, RequestSession& session, const std::string& sideId, const Wire::RunAnswer& answer, Actions& actions)
{
    if (answer.outcome == Wire::Outcome::Done) {
        onDone(now, session, sideId, answer, actions);
        return;
    }
    if (answer.dispatchId != session.place.dispatchId)
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
    leaveFlight(session);
    session.state = RequestState::Resolving;
    session.lastRefusal = errorCodeFromNumber(answer.code);
    session.retryAfter = Duration(answer.retryAfterMicroseconds);
    session.mayHaveRun = session.earlierMayHaveRun;
    forgetDispatch(answer.dispatchId, session.requestId);
    if (session.lastRefusal == ErrorCode::NotAdmitted)
        giveUp(now, session, actions);
    else
        retryElsewhere(now, session, actions);
}

void RequestCoordinator::onUnknown(
    Instant now, RequestSession& session, const Wire::RunAnswer& answer, Actions& actions)
{
    leaveFlight(session);
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
    const bool isQuestion = session.request.idempotent;
    const ErrorCode code = errorCodeFromNumber(answer.code);
    switch (answer.outcome) {
    case Wire::Outcome::Running:
        if (isQuestion) {
            CallerAnswer interim;
            interim.outcome = Wire::Outcome::Running;
            finish(now, session, std::move(interim), actions);
        }
        return;
    case Wire::Outcome::NotRun:
        if (isQuestion) {
            finishNotRun(now, session, code, actions);
            return;
        }
        // The holder's dispatch is fenced for good, so the key is free for whoever takes over from exactly it.
        session.replacesDispatchId = answer.dispatchId;
        session.earlierMayHaveRun = false;
        forgetDispatch(answer.dispatchId, session.requestId);
        if (now < session.deadlineAt)
            beginDispatch(now, session, "takeover", actions);
        else
            giveUp(now, session, actions);
        return;
    default:
        // Not seen by its side yet: the next question, after a pause, fences it.
        if (code == ErrorCode::KeyUnknown && !isQuestion)
            session.fenceHolder = true;
        else
            finishUnknown(now, session, code, actions);
    }
}

// Connections and time.

void RequestCoordinator::onLinkUp(Instant now, const std::string& sideId, Actions& actions)
{
    for (std::pair<const std::string, RequestSession>& entry : m_sessions) {
        RequestSession& session = entry.second;
        const bool asks = session.state == RequestState::Resolving || session.state == RequestState::FollowingHolder;
        if (asks && session.place.sideId == sideId)
            askSide(now, session, session.state == RequestState::Resolving, actions);
        else if (session.state == RequestState::Claiming && session.witnesses.contains(sideId))
            askWitnesses(now, session, actions);
    }
}

void RequestCoordinator::onLinkLost(Instant now, const std::string& sideId, Actions& actions)
{
    std::vector<std::string> affected;
    for (const std::pair<const std::string, RequestSession>& entry : m_sessions) {
        if (entry.second.state == RequestState::Dispatched && entry.second.place.sideId == sideId)
            affected.push_back(entry.first);
    }
    for (const std::string& requestId : affected) {
        RequestSession& session = *find(requestId);
        if (!session.request.idempotent) {
            resolve(now, session, actions);
            continue;
        }
        leaveFlight(session);
        session.state = RequestState::Resolving;
        session.earlierMayHaveRun = true;
        session.lastRefusal = ErrorCode::OutcomeUnknown;
        retryElsewhere(now, session, actions);
    }
}

void RequestCoordinator::schedule(const RequestSession& session, Instant at)
{
    m_wakeups.emplace(at, session.requestId);
}

void RequestCoordinator::wake(Instant now, RequestSession& session, Actions& actions)
{
    const Instant nextQuestion = session.lastAsked + askInterval;
    if (now >= session.giveUpAt) {
        giveUp(now, session, actions);
        return;
    }
    switch (session.state) {
    case RequestState::Dispatched:
        if (now >= session.deadlineAt)
            resolve(now, session, actions);
        break;
    case RequestState::Resolving:
        if (now >= nextQuestion)
            askSide(now, session, true, actions);
        break;
    case RequestState::FollowingHolder:
        if (now >= nextQuestion)
            askSide(now, session, session.fenceHolder, actions);
        break;
    case RequestState::Claiming:
        if (now >= session.deadlineAt)
            finishNotRun(now, session, ErrorCode::WitnessUnreachable, actions);
        else if (now >= nextQuestion)
            askWitnesses(now, session, actions);
        break;
    case RequestState::AskingWitnesses:
        if (now >= nextQuestion)
            askWitnesses(now, session, actions);
        break;
    }
}

void RequestCoordinator::tick(Instant now, Actions& actions)
{
    while (!m_wakeups.empty() && m_wakeups.begin()->first <= now) {
        const std::string requestId = m_wakeups.begin()->second;
        m_wakeups.erase(m_wakeups.begin());
        RequestSession* session = find(requestId);
        if (session)
            wake(now, *session, actions);
    }
    while (!m_keptUntil.empty() && (m_keptUntil.begin()->first <= now || m_keptUntil.size() > maximumKeptAnswers)) {
        m_keptAnswers.erase(m_keptUntil.begin()->second);
        m_keptUntil.erase(m_keptUntil.begin());
    }
}

// The end.

void RequestCoordinator::giveUp(Instant now, RequestSession& session, Actions& actions)
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

void RequestCoordinator::forgetDispatch(const std::string& dispatchId, const std::string& requestId)
{
    using Iterator = std::unordered_multimap<std::string, std::string>::iterator;
    const std::pair<Iterator, Iterator> range = m_byDispatch.equal_range(dispatchId);
    for (Iterator it = range.first; it != range.second; ++it) {
        if (it->second != requestId)
            continue;
        m_byDispatch.erase(it);
        return;
    }
}

void RequestCoordinator::finish(Instant now, RequestSession& session, CallerAnswer answer, Actions& actions)
{
    leaveFlight(session);
    answer.requestId = session.requestId;
    answer.bundleVersion = session.bundle->version();
    const std::string body = encodeCallerAnswer(answer);
    for (CallerToken caller : session.callers)
        actions.push_back(ReplyToCaller { caller, answer.code, body, answer.retryAfter });
    LogLine line("finish");
    line.add("request", session.requestId).add("outcome", name(answer.outcome)).add("code", name(answer.code));
    line.add("side", answer.sideId).add("dispatches", session.dispatches);
    line.add("elapsed_us", (now - session.arrivedAt).count()).add("bundle", answer.bundleVersion);
    actions.push_back(WriteLog { line.text() });
    m_totals.done += answer.outcome == Wire::Outcome::Done ? 1 : 0;
    m_totals.notRun += answer.outcome == Wire::Outcome::NotRun ? 1 : 0;
    m_totals.unknown += answer.outcome == Wire::Outcome::Unknown ? 1 : 0;
    if (m_onAnswered)
        m_onAnswered(answer, now - session.arrivedAt);

    for (int n = 1; n <= session.dispatches; ++n)
        forgetDispatch(session.requestId + "." + std::to_string(n), session.requestId);
    forgetDispatch(session.place.dispatchId, session.requestId);
    if (!session.request.idempotent) {
        m_byKey.erase(session.request.key);
        if (answer.outcome == Wire::Outcome::Done && answer.body.size() <= maximumKeptBody) {
            const Instant keepUntil = now + session.bundle->keepAnswers();
            m_keptUntil.emplace(keepUntil, session.request.key);
            m_keptAnswers[session.request.key] = KeptAnswer { std::move(answer), keepUntil };
        }
    }
    m_sessions.erase(std::string(session.requestId));
}

} // namespace Plantainpier
