#include "Decision/Process/JobEntryCore.h"

#include "Base/NameTable.h"

#include <algorithm>
#include <array>

namespace Plantainpier {

namespace {

    /// Calls to the store are numbered apart from those of the ownership.
    constexpr std::uint64_t firstPolicyCall = std::uint64_t(1) << 40;
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

    void fillRules(Wire::JobDefinition& job, const QueuePolicy& queue, const std::string& jobId)
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

JobEntryCore::JobEntryCore(
    NodeIdentity identity, const OwnerRules& rules, const JobEntryTiming& timing, DecodePolicy decode)
    : m_identity(identity)
    , m_timing(timing)
    , m_decodePolicy(std::move(decode))
    , m_ownership(std::move(identity), rules, OwnershipTiming {})
    , m_policyWatch(StoreTopic::Policy, WatchTiming { timing.policyWait })
    , m_lastPolicyCall(firstPolicyCall)
{
    m_ownership.onChange = [this](Instant now, bool owns, Actions& actions) { onOwnershipChange(now, owns, actions); };
}

void JobEntryCore::onOwnershipChange(Instant now, bool owns, Actions& actions)
{
    if (owns) {
        m_ownerLink.clear(actions);
        m_ownership.owner()->setPolicy(m_policy);
        // Whoever came while this process took over is asked to begin anew.
        for (const LinkId link : m_followers)
            actions.push_back(SendMessage { link, makeHello() });
        for (std::pair<const CallerToken, Pending>& entry : m_pending)
            route(now, entry.first, entry.second, actions);
        return;
    }
    // Followers find the new owner through the store; what they wait for they ask there again.
    for (const LinkId link : m_followers)
        actions.push_back(CloseLink { link });
    m_followers.clear();
    const CurrentOwner& current = m_ownership.current();
    if (current.term > 0 && current.claim.nodeId != m_identity.nodeId)
        m_ownerLink.setOwner(now, current.term, current.claim.address, current.claim.port, actions);
}

void JobEntryCore::onClientCall(Instant now, CallerToken token, ClientCall call, Actions& actions)
{
    Wire::JobCall wire;
    wire.kind = call.kind;
    wire.callId = static_cast<std::int64_t>(token);
    if (!m_policy) {
        refuse(token, wire, "no_configuration", actions);
        return;
    }
    const QueuePolicy* queue = m_policy->match(call.hostName, call.path);
    Wire::JobReply reply;
    if (!queue) {
        reply.kind = Wire::JobReplyKind::NoSuchQueue;
        actions.push_back(WriteLog { LogLine("no_such_queue")
                                         .add("host", call.hostName)
                                         .add("path", call.path)
                                         .add("policy_version", m_policy->version)
                                         .text() });
        answer(token, reply, actions);
        return;
    }
    wire.queue = queue->name;
    wire.policyVersion = m_policy->version;
    wire.jobId = call.path.substr(queue->pathPrefix.size());
    if (wire.jobId.empty() && call.kind == Wire::JobCallKind::Status)
        wire.kind = Wire::JobCallKind::Waiting;
    if (wire.kind != Wire::JobCallKind::Waiting && !isJobId(wire.jobId))
        call.invalid = "the id of a job has 16 hexadecimal digits";
    if (!call.invalid.empty()) {
        reply.kind = Wire::JobReplyKind::Invalid;
        reply.reason = call.invalid;
        actions.push_back(WriteLog { LogLine("invalid_call").add("job", wire.jobId).add("why", call.invalid).text() });
        answer(token, reply, actions);
        return;
    }
    if (wire.kind == Wire::JobCallKind::Submit) {
        wire.job = std::move(call.job);
        fillRules(wire.job, *queue, wire.jobId);
    }
    const Duration wait = std::min(call.deadline, queue->timeout > Duration::zero() ? queue->timeout : call.deadline);
    Pending pending;
    pending.call = std::move(wire);
    pending.arrived = now;
    pending.answerBy = now + std::max(wait - m_timing.answerMargin, m_timing.answerMargin);
    Pending& kept = m_pending.insert_or_assign(token, std::move(pending)).first->second;
    const std::size_t from = actions.size();
    if (mayAsk())
        route(now, token, kept, actions);
    else
        refuse(token, kept.call, "leaving", actions);
    collectAnswers(now, from, actions);
}

bool JobEntryCore::mayAsk() const
{
    // A process that leaves claims no more, and what follows it is better reached elsewhere than waited for here.
    if (m_leaving)
        return !m_ending && (m_ownership.owner() || m_ownership.isTakingOver() || m_ownerLink.isUp());
    return true;
}

void JobEntryCore::route(Instant now, CallerToken token, Pending& pending, Actions& actions)
{
    if (JobOwner* owner = m_ownership.owner(); owner && m_ownership.isStoreAnswering(now)) {
        pending.asked = true;
        // The answer may come within this call and take the entry away: the call is copied.
        const Wire::JobCall call = pending.call;
        owner->onCall(now, CallOrigin { noLink, token }, call, actions);
    } else if (m_ownerLink.isUp()) {
        pending.asked = true;
        actions.push_back(SendMessage { m_ownerLink.link(), pending.call });
    }
}

void JobEntryCore::answer(CallerToken token, Wire::JobReply reply, Actions& actions)
{
    actions.push_back(AnswerJobCall { token, std::move(reply) });
}

void JobEntryCore::refuse(CallerToken token, const Wire::JobCall& call, const char* why, Actions& actions)
{
    Wire::JobReply reply;
    reply.kind = Wire::JobReplyKind::Refused;
    reply.reason = why;
    reply.retryAfterMilliseconds = toMilliseconds(m_timing.retryAfter);
    actions.push_back(WriteLog { LogLine("refuse")
                                     .add("call", nameIn(callNames, call.kind))
                                     .add("job", call.jobId)
                                     .add("why", why)
                                     .add("term", m_ownership.current().term)
                                     .text() });
    answer(token, std::move(reply), actions);
}

void JobEntryCore::collectAnswers(Instant now, std::size_t from, Actions& actions)
{
    for (std::size_t n = from; n < actions.size(); ++n) {
        const AnswerJobCall* done = std::get_if<AnswerJobCall>(&actions[n]);
        if (!done)
            continue;
        std::unordered_map<CallerToken, Pending>::iterator it = m_pending.find(done->token);
        if (it == m_pending.end())
            continue;
        const Wire::JobCall& call = it->second.call;
        const Wire::JobReplyKind::type kind = done->reply.kind;
        const Duration taken = now - it->second.arrived;
        // Looking at a job that is there changes nothing and touches nobody: only what went wrong or was slow is told.
        const bool quiet = kind == Wire::JobReplyKind::State || kind == Wire::JobReplyKind::WaitingCount;
        LogLine line("answer");
        line.add("call", nameIn(callNames, call.kind)).add("job", call.jobId).add("outcome", nameIn(replyNames, kind));
        line.add("reason", done->reply.reason).add("took_ms", toMilliseconds(taken));
        m_pending.erase(it);
        if (!quiet || taken > milliseconds(500))
            actions.push_back(WriteLog { line.text() });
    }
}

Wire::NodeHello JobEntryCore::makeHello() const
{
    Wire::NodeHello hello;
    hello.nodeId = m_identity.nodeId;
    hello.incarnation = m_identity.incarnation;
    hello.isSide = false;
    hello.term = m_ownership.current().term;
    hello.isOwner = m_ownership.owner() != nullptr;
    return hello;
}

void JobEntryCore::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    if (!m_ownerLink.onUp(now, link, makeHello(), actions)) {
        m_followers.insert(link);
        return;
    }
    actions.push_back(WriteLog { LogLine("owner_link_up").add("owner", m_ownership.current().claim.nodeId).text() });
    m_ownership.setLinkBroken(false);
    m_ownerSeenAt = now;
    for (std::pair<const CallerToken, Pending>& entry : m_pending)
        route(now, entry.first, entry.second, actions);
}

void JobEntryCore::onLinkDown(Instant now, LinkId link, Actions& actions)
{
    const bool wasUp = m_ownerLink.isUp();
    if (m_ownerLink.onDown(now, link)) {
        m_ownership.setLinkBroken(true);
        if (wasUp)
            actions.push_back(
                WriteLog { LogLine("owner_link_lost").add("owner", m_ownership.current().claim.nodeId).text() });
        return;
    }
    m_followers.erase(link);
    if (JobOwner* owner = m_ownership.owner())
        owner->onLinkDown(now, link);
}

void JobEntryCore::onHello(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions)
{
    if (link == m_ownerLink.link()) {
        // The owner has taken over: what it was asked before that is lost.
        for (std::pair<const CallerToken, Pending>& entry : m_pending)
            route(now, entry.first, entry.second, actions);
        return;
    }
    // Only the owner takes followers; others are told by the end of the connection.
    const bool owns = m_ownership.owner() || m_ownership.isTakingOver();
    if (!owns || hello.term > m_ownership.current().term)
        actions.push_back(CloseLink { link });
}

void JobEntryCore::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_ownerLink.onHeard(now, link);
    const std::size_t from = actions.size();
    JobOwner* owner = m_ownership.owner();
    if (const Wire::Ping* ping = std::get_if<Wire::Ping>(&message)) {
        Wire::Pong pong;
        pong.number = ping->number;
        actions.push_back(SendMessage { link, pong });
    } else if (const Wire::JobReply* reply = std::get_if<Wire::JobReply>(&message)) {
        const CallerToken token = static_cast<CallerToken>(reply->callId);
        if (m_pending.contains(token))
            actions.push_back(AnswerJobCall { token, *reply });
    } else if (const Wire::NodeHello* hello = std::get_if<Wire::NodeHello>(&message)) {
        onHello(now, link, *hello, actions);
    } else if (!owner) {
        // A follower of a process that still takes over is asked to begin anew when that is done.
        if (link != m_ownerLink.link() && !m_ownership.isTakingOver())
            actions.push_back(CloseLink { link });
    } else if (const Wire::HostReport* report = std::get_if<Wire::HostReport>(&message)) {
        owner->onReport(now, link, *report, actions);
    } else if (const Wire::JobCall* call = std::get_if<Wire::JobCall>(&message)) {
        owner->onCall(now, CallOrigin { link, static_cast<std::uint64_t>(call->callId) }, *call, actions);
    }
    collectAnswers(now, from, actions);
}

void JobEntryCore::takePolicy(const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        if (record.key != policyKey)
            continue;
        Result<PolicySnapshot> decoded = m_decodePolicy(record.value);
        if (!isOk(decoded)) {
            actions.push_back(WriteLog { LogLine("policy_unreadable")
                                             .add("offset", record.offset)
                                             .add("why", errorOf(decoded).message)
                                             .text() });
            continue;
        }
        if (m_policy && valueOf(decoded).version <= m_policy->version)
            continue;
        m_policy = std::make_shared<const PolicySnapshot>(takeValue(std::move(decoded)));
        actions.push_back(WriteLog { LogLine("policy")
                                         .add("version", m_policy->version)
                                         .add("queues", m_policy->queues.size())
                                         .add("offset", record.offset)
                                         .text() });
        if (JobOwner* owner = m_ownership.owner())
            owner->setPolicy(m_policy);
    }
}

void JobEntryCore::onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions)
{
    const std::size_t from = actions.size();
    m_ownership.onAppendResponse(now, callId, response, actions);
    collectAnswers(now, from, actions);
}

void JobEntryCore::onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId == m_policyCall)
        takePolicy(m_policyWatch.onRead(now, response), actions);
    else
        m_ownership.onRead(now, callId, response, actions);
}

void JobEntryCore::onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    const std::size_t from = actions.size();
    if (callId == m_policyCall)
        takePolicy(m_policyWatch.onNewest(now, response), actions);
    else
        m_ownership.onNewest(now, callId, response, actions);
    collectAnswers(now, from, actions);
}

void JobEntryCore::expire(Instant now, Actions& actions)
{
    const std::size_t from = actions.size();
    const bool mayAskLater = mayAsk();
    for (const std::pair<const CallerToken, Pending>& entry : m_pending) {
        const Pending& pending = entry.second;
        if (!pending.asked && !mayAskLater) {
            refuse(entry.first, pending.call, "leaving", actions);
        } else if (!pending.asked && now - pending.arrived >= m_timing.ownerWait) {
            refuse(entry.first, pending.call, "no_owner", actions);
        } else if (now >= pending.answerBy || m_ending) {
            Wire::JobReply reply;
            reply.kind = pending.asked ? Wire::JobReplyKind::Unknown : Wire::JobReplyKind::Refused;
            reply.reason = pending.asked ? "no_answer_from_owner" : "no_owner";
            reply.retryAfterMilliseconds = toMilliseconds(m_timing.retryAfter);
            actions.push_back(AnswerJobCall { entry.first, reply });
        }
    }
    collectAnswers(now, from, actions);
}

void JobEntryCore::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    const std::size_t from = actions.size();
    m_ownership.tick(now, unixMilliseconds, actions);
    if (!m_policyWatch.isReading()) {
        std::optional<Action> read = m_policyWatch.next(now, m_lastPolicyCall + 1);
        if (read) {
            m_policyCall = ++m_lastPolicyCall;
            actions.push_back(std::move(*read));
        }
    }
    const bool awaits = std::any_of(m_pending.begin(), m_pending.end(),
        [](const std::pair<const CallerToken, Pending>& entry) { return entry.second.asked; });
    if (m_ownerLink.tick(now, awaits, actions))
        m_ownership.setLinkBroken(true);
    if (m_ownership.owner() || m_ownerLink.isUp())
        m_ownerSeenAt = now;
    collectAnswers(now, from, actions);
    expire(now, actions);
}

void JobEntryCore::leave(Instant now, Actions& actions)
{
    m_leaving = true;
    m_ownership.resign(now, actions);
    expire(now, actions);
}

void JobEntryCore::end(Instant now, Actions& actions)
{
    m_leaving = true;
    m_ending = true;
    expire(now, actions);
}

bool JobEntryCore::isReady(Instant now) const
{
    // An owner that cannot reach the store accepts nothing and may have been replaced: other entries serve better.
    const JobOwner* owner = m_ownership.owner();
    if (owner && owner->isStoreAway(now))
        return false;
    return m_policy && !m_leaving && now - m_ownerSeenAt < m_timing.readyWithoutOwner;
}

} // namespace Plantainpier
