#include "Decision/Request/SideRequests.h"

#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    /// How long the side waits for the target after the caller's deadline, so that a late answer can still be kept.
    constexpr Duration targetGrace = seconds(5);
    /// Retention of a refused or idempotent dispatch: only the entry that sent the dispatch queries its outcome.
    constexpr Duration shortRetention = seconds(10);
    /// Retention of other dispatches while no bundle sets it.
    constexpr Duration longRetentionWithoutBundle = seconds(600);

} // namespace

SideRequests::SideRequests(std::string sideId, std::int64_t incarnation)
    : m_sideId(std::move(sideId))
    , m_incarnation(incarnation)
{
}

void SideRequests::setBundle(std::shared_ptr<const Bundle> bundle)
{
    m_bundle = std::move(bundle);
    m_queue.setBundle(m_bundle);
}

void SideRequests::setSlots(Instant now, int slots, Actions& actions)
{
    m_queue.setSlots(slots);
    if (slots > 0 && m_bundle)
        advanceQueue(now, actions);
}

Wire::Load SideRequests::load() const
{
    Wire::Load load;
    load.inFlight = m_queue.runningCount();
    load.queued = m_queue.waitingCount();
    load.slots = m_queue.slots();
    load.latencyMicroseconds = m_queue.serviceTime().count();
    return load;
}

Wire::RunAnswer SideRequests::makeAnswer(
    const std::string& dispatchId, Wire::Outcome::type outcome, ErrorCode code) const
{
    Wire::RunAnswer answer;
    answer.dispatchId = dispatchId;
    answer.outcome = outcome;
    answer.code = static_cast<int>(code);
    answer.reason = std::string(name(code));
    answer.sideIncarnation = m_incarnation;
    answer.bundleVersion = m_bundle ? m_bundle->version() : 0;
    return answer;
}

void SideRequests::sendAnswer(LinkId link, Wire::RunAnswer answer, Actions& actions) const
{
    answer.load = load();
    actions.push_back(SendMessage { link, std::move(answer) });
}

ErrorCode SideRequests::refusalCode(const Wire::RunRequest& request) const
{
    if (request.sideIncarnation != m_incarnation)
        return ErrorCode::StaleIncarnation;
    if (!m_bundle)
        return ErrorCode::NoBundle;
    if (m_leaving)
        return ErrorCode::Leaving;
    if (m_queue.slots() == 0)
        return ErrorCode::NoTarget;
    if (request.workClass < 0 || request.workClass >= static_cast<int>(m_bundle->classes().size()))
        return ErrorCode::NotAdmitted;
    return ErrorCode::Ok;
}

void SideRequests::onRunRequest(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions)
{
    Dispatch* existing = m_dispatchTable.find(request.dispatchId);
    if (existing) {
        sendState(now, link, request.dispatchId, *existing, false, actions);
        return;
    }
    const ErrorCode code = refusalCode(request);
    if (code == ErrorCode::Ok) {
        admit(now, link, request, actions);
        return;
    }
    // The refusal is recorded so that a duplicate of the dispatch that arrives later does not run either.
    Dispatch& dispatch = m_dispatchTable.add(request.dispatchId);
    dispatch.replyLinks.insert(link);
    refuse(now, request.dispatchId, dispatch, code, Duration::zero(), actions);
}

void SideRequests::admit(Instant now, LinkId link, const Wire::RunRequest& request, Actions& actions)
{
    Dispatch& dispatch = m_dispatchTable.add(request.dispatchId);
    dispatch.classIndex = request.workClass;
    dispatch.deadline = now + Duration(request.budgetMicroseconds);
    dispatch.replyLinks.insert(link);
    dispatch.idempotent = request.idempotent;
    const AdmissionDecision admission = m_queue.offer(now, request.dispatchId, request.workClass, dispatch.deadline);
    LogLine line("admission");
    line.add("dispatch", request.dispatchId).add("side", m_sideId);
    line.add("class", m_bundle->classes()[static_cast<std::size_t>(request.workClass)].name);
    line.add("in_flight", m_queue.runningCount()).add("queued", m_queue.waitingCount()).add("slots", m_queue.slots());
    line.add("budget_us", request.budgetMicroseconds).add("bundle", m_bundle->version());
    switch (admission.kind) {
    case AdmissionDecision::Kind::Start:
        actions.push_back(WriteLog { line.add("decision", "start").text() });
        dispatch.body = request.body;
        callTarget(now, request.dispatchId, dispatch, actions);
        break;
    case AdmissionDecision::Kind::Wait:
        actions.push_back(WriteLog { line.add("decision", "wait").text() });
        dispatch.body = request.body;
        break;
    case AdmissionDecision::Kind::Refuse:
        line.add("decision", "refuse").add("code", name(admission.code));
        actions.push_back(WriteLog { line.text() });
        refuse(now, request.dispatchId, dispatch, admission.code, admission.retryAfter, actions);
        break;
    }
}

void SideRequests::callTarget(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions)
{
    dispatch.state = DispatchState::Running;
    dispatch.startedAt = now;
    const Duration timeout = dispatch.deadline - now + targetGrace;
    actions.push_back(CallTarget { dispatchId, dispatch.idempotent, std::move(dispatch.body), timeout });
    dispatch.body.clear();
}

void SideRequests::refuse(Instant now, const std::string& dispatchId, Dispatch& dispatch, ErrorCode code,
    Duration retryAfter, Actions& actions)
{
    dispatch.state = DispatchState::Refused;
    dispatch.answer = makeAnswer(dispatchId, Wire::Outcome::NotRun, code);
    dispatch.answer.retryAfterMicroseconds = retryAfter.count();
    finish(now, dispatchId, dispatch, actions);
}

void SideRequests::finish(Instant now, const std::string& dispatchId, Dispatch& dispatch, Actions& actions)
{
    for (LinkId link : dispatch.replyLinks)
        sendAnswer(link, dispatch.answer, actions);
    // The outcome of a refused or idempotent dispatch is queried only by the entry that sent the dispatch.
    const bool mayBeQueriedLater = dispatch.state == DispatchState::Finished && !dispatch.idempotent;
    m_dispatchTable.close(dispatchId, now + (mayBeQueriedLater ? longRetention() : shortRetention));
}

Duration SideRequests::longRetention() const
{
    return m_bundle ? m_bundle->answerRetention() : longRetentionWithoutBundle;
}

void SideRequests::fence(Instant now, const std::string& dispatchId)
{
    Dispatch& dispatch = m_dispatchTable.add(dispatchId);
    dispatch.state = DispatchState::Refused;
    dispatch.answer = makeAnswer(dispatchId, Wire::Outcome::NotRun, ErrorCode::Fenced);
    // The fenced message may still be buffered in a stalled connection and arrive much later.
    m_dispatchTable.close(dispatchId, now + longRetention());
}

void SideRequests::onResolveRequest(Instant now, LinkId link, const Wire::ResolveRequest& request, Actions& actions)
{
    if (request.sideIncarnation != m_incarnation) {
        sendAnswer(link, makeAnswer(request.dispatchId, Wire::Outcome::Unknown, ErrorCode::StaleIncarnation), actions);
        return;
    }
    Dispatch* existing = m_dispatchTable.find(request.dispatchId);
    if (existing) {
        sendState(now, link, request.dispatchId, *existing, request.fence, actions);
        return;
    }
    if (!request.fence) {
        sendAnswer(link, makeAnswer(request.dispatchId, Wire::Outcome::Unknown, ErrorCode::KeyUnknown), actions);
        return;
    }
    fence(now, request.dispatchId);
    actions.push_back(WriteLog { LogLine("fence").add("dispatch", request.dispatchId).add("side", m_sideId).text() });
    sendAnswer(link, makeAnswer(request.dispatchId, Wire::Outcome::NotRun, ErrorCode::Fenced), actions);
}

void SideRequests::sendState(
    Instant now, LinkId link, const std::string& dispatchId, Dispatch& dispatch, bool fence, Actions& actions)
{
    switch (dispatch.state) {
    case DispatchState::Waiting:
        dispatch.replyLinks.insert(link);
        if (fence && m_queue.withdraw(dispatchId))
            refuse(now, dispatchId, dispatch, ErrorCode::Fenced, Duration::zero(), actions);
        else
            sendAnswer(link, makeAnswer(dispatchId, Wire::Outcome::Running, ErrorCode::Ok), actions);
        break;
    case DispatchState::Running:
        dispatch.replyLinks.insert(link);
        sendAnswer(link, makeAnswer(dispatchId, Wire::Outcome::Running, ErrorCode::Ok), actions);
        break;
    case DispatchState::Finished:
    case DispatchState::Refused:
        sendAnswer(link, dispatch.answer, actions);
        break;
    case DispatchState::AnswerDropped:
        sendAnswer(link, makeAnswer(dispatchId, Wire::Outcome::Unknown, ErrorCode::OutcomeUnknown), actions);
        break;
    }
}

void SideRequests::onTargetResult(
    Instant now, const std::string& dispatchId, const TargetResult& result, Actions& actions)
{
    Dispatch* dispatch = m_dispatchTable.find(dispatchId);
    if (!dispatch || dispatch->state != DispatchState::Running)
        return;
    switch (result.kind) {
    case TargetResult::Kind::Answered:
        m_queue.onFinished(dispatch->classIndex, now - dispatch->startedAt);
        dispatch->state = DispatchState::Finished;
        dispatch->answer = makeAnswer(dispatchId, Wire::Outcome::Done, ErrorCode::Ok);
        dispatch->answer.body = result.body;
        dispatch->answer.status = result.status;
        finish(now, dispatchId, *dispatch, actions);
        break;
    case TargetResult::Kind::NotStarted:
        m_queue.onAborted(dispatch->classIndex);
        refuse(now, dispatchId, *dispatch, ErrorCode::TargetUnreachable, Duration::zero(), actions);
        break;
    case TargetResult::Kind::Uncertain:
        m_queue.onAborted(dispatch->classIndex);
        dispatch->state = DispatchState::Finished;
        dispatch->answer = makeAnswer(dispatchId, Wire::Outcome::Unknown, ErrorCode::OutcomeUnknown);
        finish(now, dispatchId, *dispatch, actions);
        break;
    }
    advanceQueue(now, actions);
}

void SideRequests::advanceQueue(Instant now, Actions& actions)
{
    for (const DequeuedRequest& exit : m_queue.fillFreeSlots(now)) {
        Dispatch* dispatch = m_dispatchTable.find(exit.dispatchId);
        if (exit.shouldStart)
            callTarget(now, exit.dispatchId, *dispatch, actions);
        else
            refuse(now, exit.dispatchId, *dispatch, ErrorCode::DeadlineTooShort, m_queue.serviceTime(), actions);
    }
}

void SideRequests::tick(Instant now, Actions& actions)
{
    if (m_bundle)
        advanceQueue(now, actions);
    m_dispatchTable.removeExpired(now);
}

} // namespace Plantainpier
