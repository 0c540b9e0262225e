#include "Decision/Process/JobEntryCore.h"

#include "Base/NameTable.h"

#include <algorithm>
#include <array>

namespace Plantainpier {

namespace {

    /// Policy reads have call ids apart from those of the ownership.
    constexpr std::uint64_t firstPolicyCallId = std::uint64_t(1) << 40;
    constexpr const char* policyKey = "config";
    constexpr std::size_t jobIdLength = 16;

    bool isJobId(const std::string& text)
    {
        return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        });
    }

    constexpr std::array callNames {
        NamedValue { Wire::JobCallKind::Submit, "submit" },
        NamedValue { Wire::JobCallKind::Status, "status" },
        NamedValue { Wire::JobCallKind::Cancel, "cancel" },
        NamedValue { Wire::JobCallKind::Waiting, "waiting" },
    };

    constexpr std::array replyNames {
        NamedValue { Wire::JobReplyKind::Accepted, "accepted" },
        NamedValue { Wire::JobReplyKind::Refused, "refused" },
        NamedValue { Wire::JobReplyKind::Unknown, "unknown" },
        NamedValue { Wire::JobReplyKind::State, "state" },
        NamedValue { Wire::JobReplyKind::NoSuchJob, "no_such_job" },
        NamedValue { Wire::JobReplyKind::WaitingCount, "waiting_count" },
        NamedValue { Wire::JobReplyKind::NoSuchQueue, "no_such_queue" },
        NamedValue { Wire::JobReplyKind::Invalid, "invalid" },
    };

    WatchTiming operatorTopicTiming(const JobEntryTiming& timing)
    {
        WatchTiming result;
        result.readWait = timing.policyReadWait;
        result.maximumPageAge = ZoneClosures::maximumAnswerAge;
        return result;
    }

    void applyQueuePolicy(Wire::JobDefinition& job, const QueuePolicy& queue, const std::string& jobId)
    {
        job.jobId = jobId;
        job.queue = queue.name;
        job.serviceName = queue.service;
        job.priority = queue.priority;
        job.maximumAttempts = queue.maximumAttempts;
        job.stretch = queue.stretch;
        job.objectiveMilliseconds = toMilliseconds(queue.objective);
        job.adviceValidityMilliseconds = toMilliseconds(queue.adviceValidity);
    }

} // namespace

JobEntryCore::JobEntryCore(NodeIdentity identity, const OwnerRules& rules, const JobEntryTiming& timing,
    DecodePolicy decode, DecodeClosedZone decodeClosedZone)
    : m_identity(identity)
    , m_timing(timing)
    , m_decodePolicy(std::move(decode))
    , m_decodeClosedZone(std::move(decodeClosedZone))
    , m_ownership(std::move(identity), rules, OwnershipTiming {})
    , m_policyWatcher(StoreTopic::Policy, operatorTopicTiming(timing))
    , m_lastPolicyCallId(firstPolicyCallId)
{
    m_ownership.onChange = [this](Instant now, bool owns, Actions& actions) { onOwnershipChange(now, owns, actions); };
}

void JobEntryCore::onOwnershipChange(Instant now, bool owns, Actions& actions)
{
    if (owns) {
        m_ownerLink.disconnect(now, makeHello(), actions);
        m_ownership.owner()->setPolicy(m_policy);
        m_ownership.owner()->setZoneClosures(m_zoneClosures);
        // A greeting makes peers that connected during the take-over send their reports and calls again.
        for (const LinkId link : m_followers)
            actions.push_back(SendMessage { link, makeHello() });
        for (std::pair<const CallerToken, PendingCall>& entry : m_pending)
            forwardCall(now, entry.first, entry.second, actions);
        return;
    }
    // Followers find the new owner through the store and send their unanswered calls there again.
    for (const LinkId link : m_followers)
        actions.push_back(CloseLink { link });
    m_followers.clear();
    const CurrentOwner& current = m_ownership.currentOwner();
    if (current.term > 0 && current.claim.nodeId != m_identity.nodeId)
        m_ownerLink.setOwner(now, current.term, current.claim.address, current.claim.port, makeHello(), actions);
}

void JobEntryCore::onClientCall(Instant now, CallerToken token, ClientCall call, Actions& actions)
{
    Wire::JobCall wireCall;
    wireCall.kind = call.kind;
    if (!m_policy) {
        refuseCall(token, wireCall, "no_configuration", actions);
        return;
    }
    const QueuePolicy* queue = m_policy->findQueue(call.hostName, call.path);
    Wire::JobReply reply;
    if (!queue) {
        reply.kind = Wire::JobReplyKind::NoSuchQueue;
        actions.push_back(WriteLog { LogLine("no_such_queue")
                                         .add("host", call.hostName)
                                         .add("path", call.path)
                                         .add("policy_version", m_policy->version)
                                         .text() });
        sendAnswer(token, reply, actions);
        return;
    }
    wireCall.queue = queue->name;
    wireCall.policyVersion = m_policy->version;
    wireCall.jobId = call.path.substr(queue->pathPrefix.size());
    if (wireCall.jobId.empty() && call.kind == Wire::JobCallKind::Status)
        wireCall.kind = Wire::JobCallKind::Waiting;
    if (wireCall.kind != Wire::JobCallKind::Waiting && !isJobId(wireCall.jobId))
        call.invalidReason = "a job id must have 16 hexadecimal digits";
    if (!call.invalidReason.empty()) {
        reply.kind = Wire::JobReplyKind::Invalid;
        reply.reason = call.invalidReason;
        actions.push_back(
            WriteLog { LogLine("invalid_call").add("job", wireCall.jobId).add("why", call.invalidReason).text() });
        sendAnswer(token, reply, actions);
        return;
    }
    if (wireCall.kind == Wire::JobCallKind::Submit) {
        wireCall.job = std::move(call.job);
        applyQueuePolicy(wireCall.job, *queue, wireCall.jobId);
    }
    const Duration wait = std::min(call.timeout, queue->timeout > Duration::zero() ? queue->timeout : call.timeout);
    PendingCall pending;
    pending.call = std::move(wireCall);
    pending.arrived = now;
    pending.answerBy = now + std::max(wait - m_timing.answerMargin, m_timing.answerMargin);
    PendingCall& stored = m_pending.insert_or_assign(token, std::move(pending)).first->second;
    const std::size_t firstAction = actions.size();
    if (mayForwardCalls())
        forwardCall(now, token, stored, actions);
    else
        refuseCall(token, stored.call, "leaving", actions);
    completeAnsweredCalls(now, firstAction, actions);
}

bool JobEntryCore::mayForwardCalls() const
{
    // A process that shuts down makes no more claims, and clients reach the next owner sooner through another entry.
    if (m_leaving)
        return !m_isFinishingShutdown && (m_ownership.owner() || m_ownership.isTakingOver() || m_ownerLink.isUp());
    return true;
}

void JobEntryCore::forwardCall(Instant now, CallerToken token, PendingCall& pending, Actions& actions)
{
    JobOwner* owner = m_ownership.owner();
    // During a take-over the connection still leads to the former owner, whose writes the store no longer accepts.
    if (!owner && (m_ownership.isTakingOver() || !m_ownerLink.isUp()))
        return;
    Wire::JobCall copy = pending.call;
    copy.callId = ++m_lastForwardedCallId;
    m_forwardedCopies.emplace(copy.callId, token);
    if (owner) {
        pending.forwards.add(copy.callId, owner->term(), noLink);
        // The owner may answer within onCall(), which may remove the pending call.
        owner->onCall(now, CallOrigin { noLink, token }, copy, actions);
    } else {
        pending.forwards.add(copy.callId, m_ownership.currentOwner().term, m_ownerLink.link());
        actions.push_back(SendMessage { m_ownerLink.link(), std::move(copy) });
    }
}

void JobEntryCore::onReply(const Wire::JobReply& reply, Actions& actions)
{
    const std::unordered_map<std::int64_t, CallerToken>::const_iterator copy = m_forwardedCopies.find(reply.callId);
    // A copy without a record belongs to a call that has been answered.
    if (copy == m_forwardedCopies.end())
        return;
    const CallerToken token = copy->second;
    m_forwardedCopies.erase(copy);
    PendingCall& pending = m_pending.at(token);
    const CallForwards::Verdict verdict = pending.forwards.onReply(reply.callId, reply.kind);
    if (verdict == CallForwards::Verdict::Final) {
        sendAnswer(token, reply, actions);
        return;
    }
    actions.push_back(WriteLog { LogLine("reply_passed_over")
                                     .add("job", pending.call.jobId)
                                     .add("outcome", nameIn(replyNames, reply.kind))
                                     .add("reason", reply.reason)
                                     .add("term", m_ownership.currentOwner().term)
                                     .text() });
    if (verdict == CallForwards::Verdict::Superseded)
        return;
    Wire::JobReply unknown;
    unknown.kind = Wire::JobReplyKind::Unknown;
    unknown.reason = "one_of_several_copies_refused";
    unknown.retryAfterMilliseconds = toMilliseconds(m_timing.retryAfter);
    sendAnswer(token, std::move(unknown), actions);
}

void JobEntryCore::sendAnswer(CallerToken token, Wire::JobReply reply, Actions& actions)
{
    actions.push_back(AnswerJobCall { token, std::move(reply) });
}

void JobEntryCore::refuseCall(CallerToken token, const Wire::JobCall& call, const char* reason, Actions& actions)
{
    Wire::JobReply reply;
    reply.kind = Wire::JobReplyKind::Refused;
    reply.reason = reason;
    reply.retryAfterMilliseconds = toMilliseconds(m_timing.retryAfter);
    actions.push_back(WriteLog { LogLine("refuse")
                                     .add("call", nameIn(callNames, call.kind))
                                     .add("job", call.jobId)
                                     .add("why", reason)
                                     .add("term", m_ownership.currentOwner().term)
                                     .text() });
    sendAnswer(token, std::move(reply), actions);
}

void JobEntryCore::completeAnsweredCalls(Instant now, std::size_t firstAction, Actions& actions)
{
    for (std::size_t n = firstAction; n < actions.size(); ++n) {
        const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&actions[n]);
        if (!answer)
            continue;
        std::unordered_map<CallerToken, PendingCall>::iterator it = m_pending.find(answer->token);
        if (it == m_pending.end())
            continue;
        const Wire::JobCall& call = it->second.call;
        const Wire::JobReplyKind::type kind = answer->reply.kind;
        const Duration elapsed = now - it->second.arrived;
        // Queries about an existing job or queue change nothing, so they are logged only if they were slow.
        const bool isRoutine = kind == Wire::JobReplyKind::State || kind == Wire::JobReplyKind::WaitingCount;
        LogLine line("answer");
        line.add("call", nameIn(callNames, call.kind)).add("job", call.jobId).add("outcome", nameIn(replyNames, kind));
        line.add("reason", answer->reply.reason).add("took_ms", toMilliseconds(elapsed));
        for (const std::int64_t callId : it->second.forwards.callIds())
            m_forwardedCopies.erase(callId);
        m_pending.erase(it);
        if (!isRoutine || elapsed > milliseconds(500))
            actions.push_back(WriteLog { line.text() });
    }
}

Wire::NodeHello JobEntryCore::makeHello() const
{
    Wire::NodeHello hello;
    hello.nodeId = m_identity.nodeId;
    hello.incarnation = m_identity.incarnation;
    hello.isSide = false;
    hello.term = m_ownership.currentOwner().term;
    hello.isOwner = m_ownership.owner() != nullptr;
    return hello;
}

void JobEntryCore::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    if (!m_ownerLink.onUp(now, link, makeHello(), actions)) {
        m_followers.insert(link);
        return;
    }
    actions.push_back(
        WriteLog { LogLine("owner_link_up").add("owner", m_ownership.currentOwner().claim.nodeId).text() });
    m_ownership.setLinkBroken(false);
    m_ownerLastConnectedAt = now;
    for (std::pair<const CallerToken, PendingCall>& entry : m_pending)
        forwardCall(now, entry.first, entry.second, actions);
}

void JobEntryCore::onLinkDown(Instant now, LinkId link, Actions& actions)
{
    const bool wasUp = m_ownerLink.isUp();
    if (m_ownerLink.onDown(now, link)) {
        m_ownership.setLinkBroken(true);
        if (wasUp)
            actions.push_back(
                WriteLog { LogLine("owner_link_lost").add("owner", m_ownership.currentOwner().claim.nodeId).text() });
        return;
    }
    m_followers.erase(link);
    if (JobOwner* owner = m_ownership.owner())
        owner->onLinkDown(now, link);
}

void JobEntryCore::onHello(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions)
{
    if (link == m_ownerLink.link()) {
        // The greeting means that the owner has just taken over. Calls forwarded before that are lost.
        for (std::pair<const CallerToken, PendingCall>& entry : m_pending)
            forwardCall(now, entry.first, entry.second, actions);
        return;
    }
    m_ownership.onTermReported(now, hello.term, actions);
    // Only the owner accepts followers. Any other process closes the connection to signal that it is not the owner.
    const bool owns = m_ownership.owner() || m_ownership.isTakingOver();
    if (!owns || hello.term > m_ownership.currentOwner().term)
        actions.push_back(CloseLink { link });
}

void JobEntryCore::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_ownerLink.onMessageReceived(now, link);
    const std::size_t firstAction = actions.size();
    JobOwner* owner = m_ownership.owner();
    if (const Wire::Ping* ping = std::get_if<Wire::Ping>(&message)) {
        Wire::Pong pong;
        pong.number = ping->number;
        if (owner)
            pong.__set_ownershipAgeMilliseconds(toMilliseconds(owner->state().ownershipAge(now)));
        actions.push_back(SendMessage { link, pong });
    } else if (const Wire::JobReply* reply = std::get_if<Wire::JobReply>(&message)) {
        onReply(*reply, actions);
    } else if (const Wire::NodeHello* hello = std::get_if<Wire::NodeHello>(&message)) {
        onHello(now, link, *hello, actions);
    } else if (!owner) {
        // Messages that arrive during the take-over are dropped: a greeting after the take-over makes the followers
        // send them again.
        if (link != m_ownerLink.link() && !m_ownership.isTakingOver())
            actions.push_back(CloseLink { link });
    } else if (const Wire::HostReport* report = std::get_if<Wire::HostReport>(&message)) {
        owner->onReport(now, link, *report, actions);
    } else if (const Wire::JobCall* call = std::get_if<Wire::JobCall>(&message)) {
        owner->onCall(now, CallOrigin { link, static_cast<std::uint64_t>(call->callId) }, *call, actions);
    }
    completeAnsweredCalls(now, firstAction, actions);
}

void JobEntryCore::applyOperatorRecords(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        if (record.key == policyKey)
            applyPolicy(record, actions);
        else if (const std::optional<std::string> zone = m_decodeClosedZone(record.key))
            applyZoneClosure(now, *zone, record, actions);
    }
    if (const std::optional<Instant> startedAt = m_policyWatcher.takeCompleteRead()) {
        for (const ZoneChange& change : m_zoneClosures.applyCompleteRead(*startedAt))
            logZoneChange(change, actions);
    }
    if (const std::optional<Instant> asOf = m_policyWatcher.knownAsOf())
        m_zoneClosures.setKnownAsOf(*asOf);
    if (JobOwner* owner = m_ownership.owner())
        owner->setZoneClosures(m_zoneClosures);
}

void JobEntryCore::applyPolicy(const StoreRecord& record, Actions& actions)
{
    Result<PolicySnapshot> decoded = m_decodePolicy(record.value);
    if (!isOk(decoded)) {
        actions.push_back(WriteLog {
            LogLine("policy_unreadable").add("offset", record.offset).add("why", errorOf(decoded).message).text() });
        return;
    }
    if (m_policy && valueOf(decoded).version <= m_policy->version)
        return;
    m_policy = std::make_shared<const PolicySnapshot>(takeValue(std::move(decoded)));
    actions.push_back(WriteLog { LogLine("policy")
                                     .add("version", m_policy->version)
                                     .add("queues", m_policy->queues.size())
                                     .add("offset", record.offset)
                                     .text() });
    if (JobOwner* owner = m_ownership.owner())
        owner->setPolicy(m_policy);
}

void JobEntryCore::applyZoneClosure(Instant now, const std::string& zone, const StoreRecord& record, Actions& actions)
{
    if (zone.empty()) {
        actions.push_back(WriteLog { LogLine("zone_request_unreadable")
                                         .add("key", record.key)
                                         .add("offset", record.offset)
                                         .add("why", "the key names no zone")
                                         .text() });
        return;
    }
    // Any value closes the zone: the key alone says what the operator asks for. A record without a value removes the
    // request.
    const std::optional<ZoneChange> change
        = m_zoneClosures.applyRecord(now, zone, !record.value.empty(), record.offset);
    if (change)
        logZoneChange(*change, actions);
}

void JobEntryCore::logZoneChange(const ZoneChange& change, Actions& actions) const
{
    LogLine line(change.closed ? "zone_closed" : "zone_reopened");
    line.add("zone", change.zone).add("offset", change.offset);
    if (const JobOwner* owner = m_ownership.owner()) {
        std::size_t hosts = 0;
        std::size_t runs = 0;
        for (const std::pair<const std::string, Host>& entry : owner->state().hosts.hosts()) {
            if (entry.second.zone != change.zone)
                continue;
            ++hosts;
            runs += entry.second.runs.size();
        }
        line.add("hosts", hosts).add("runs", runs);
    }
    actions.push_back(WriteLog { line.text() });
}

void JobEntryCore::onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions)
{
    const std::size_t firstAction = actions.size();
    m_ownership.onAppendResponse(now, callId, response, actions);
    completeAnsweredCalls(now, firstAction, actions);
}

void JobEntryCore::onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId == m_policyReadCall)
        applyOperatorRecords(now, m_policyWatcher.onReadResponse(now, response), actions);
    else
        m_ownership.onReadResponse(now, callId, response, actions);
}

void JobEntryCore::onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    const std::size_t firstAction = actions.size();
    if (callId == m_policyReadCall)
        applyOperatorRecords(now, m_policyWatcher.onNewestResponse(now, response), actions);
    else
        m_ownership.onNewestResponse(now, callId, response, actions);
    completeAnsweredCalls(now, firstAction, actions);
}

void JobEntryCore::expirePendingCalls(Instant now, Actions& actions)
{
    const std::size_t firstAction = actions.size();
    const bool canForwardLater = mayForwardCalls();
    for (const std::pair<const CallerToken, PendingCall>& entry : m_pending) {
        const PendingCall& pending = entry.second;
        if (pending.forwards.isEmpty() && !canForwardLater) {
            refuseCall(entry.first, pending.call, "leaving", actions);
        } else if (pending.forwards.isEmpty() && now - pending.arrived >= m_timing.ownerTimeout) {
            refuseCall(entry.first, pending.call, "no_owner", actions);
        } else if (now >= pending.answerBy || m_isFinishingShutdown) {
            Wire::JobReply reply;
            const bool isForwarded = !pending.forwards.isEmpty();
            reply.kind = isForwarded ? Wire::JobReplyKind::Unknown : Wire::JobReplyKind::Refused;
            reply.reason = isForwarded ? "no_answer_from_owner" : "no_owner";
            reply.retryAfterMilliseconds = toMilliseconds(m_timing.retryAfter);
            actions.push_back(AnswerJobCall { entry.first, reply });
        }
    }
    completeAnsweredCalls(now, firstAction, actions);
}

void JobEntryCore::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    const std::size_t firstAction = actions.size();
    m_ownership.tick(now, unixMilliseconds, actions);
    if (!m_policyWatcher.isReadInFlight()) {
        std::optional<Action> read = m_policyWatcher.nextRead(now, m_lastPolicyCallId + 1);
        if (read) {
            m_policyReadCall = ++m_lastPolicyCallId;
            actions.push_back(std::move(*read));
        }
    }
    const bool awaitsAnswer = std::any_of(m_pending.begin(), m_pending.end(),
        [](const std::pair<const CallerToken, PendingCall>& entry) { return !entry.second.forwards.isEmpty(); });
    if (m_ownerLink.tick(now, awaitsAnswer, actions))
        m_ownership.setLinkSilent();
    if (m_ownership.owner() || m_ownerLink.isUp())
        m_ownerLastConnectedAt = now;
    completeAnsweredCalls(now, firstAction, actions);
    expirePendingCalls(now, actions);
}

void JobEntryCore::beginShutdown(Instant now, Actions& actions)
{
    m_leaving = true;
    m_ownership.resign(now, actions);
    expirePendingCalls(now, actions);
}

void JobEntryCore::finishShutdown(Instant now, Actions& actions)
{
    m_leaving = true;
    m_isFinishingShutdown = true;
    expirePendingCalls(now, actions);
}

bool JobEntryCore::isReady(Instant now) const
{
    // An owner that cannot reach the store accepts nothing and may have been replaced, so clients are better served by
    // other entries.
    const JobOwner* owner = m_ownership.owner();
    if (owner && owner->isStoreUnavailable(now))
        return false;
    return m_policy && !m_leaving && now - m_ownerLastConnectedAt < m_timing.readinessGrace;
}

} // namespace Plantainpier
