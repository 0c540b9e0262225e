/// The decisions of an entry: takes calls of clients, gives them to the owner of the jobs, and owns them when it is its
/// turn.
#pragma once

#include "Decision/Process/Ownership.h"
#include "Decision/Process/PeerLink.h"

#include <functional>
#include <unordered_map>

namespace Plantainpier {

/// A client's call, decoded from the request.
struct ClientCall {
    Wire::JobCallKind::type kind = Wire::JobCallKind::Status;
    std::string hostName;
    std::string path;
    /// For a submission; the queue's rules are filled in here.
    Wire::JobDefinition job;
    /// The body is no job; the text says why.
    std::string invalid;
    /// How long the client waits.
    Duration deadline = seconds(3);
};

/// Times of an entry.
struct JobEntryTiming {
    /// A call that nobody has been asked yet waits this long for an owner: a hand-over takes less.
    Duration ownerWait = milliseconds(1500);
    /// An answer leaves this long before the client's deadline.
    Duration answerMargin = milliseconds(150);
    /// Ready again at most this long after the owner was last connected.
    Duration readyWithoutOwner = milliseconds(1200);
    Duration retryAfter = seconds(1);
    /// News of the configuration are at most this late: well below the two seconds within which it must be in force.
    Duration policyWait = milliseconds(700);
};

/// One entry. Lives for the process; no clock, thread or socket.
class JobEntryCore {
public:
    /// Hook: reads the operator's configuration out of a record's value.
    using DecodePolicy = std::function<Result<PolicySnapshot>(const std::string& value)>;

    JobEntryCore(NodeIdentity identity, const OwnerRules& rules, const JobEntryTiming& timing, DecodePolicy decode);

    void onClientCall(Instant now, CallerToken token, ClientCall call, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions);
    void onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    void onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);
    /// Graceful end: hands the ownership over, finishes what is in progress, refuses what nobody can be asked any more.
    void leave(Instant now, Actions& actions);
    /// The process ends: whoever still waits is answered, and nobody is asked any more.
    void end(Instant now, Actions& actions);
    bool isDrained() const { return m_pending.empty() && (m_ownership.hasResigned() && !m_ownership.owner()); }
    bool isReady(Instant now) const;

    const Ownership& ownership() const { return m_ownership; }
    std::int64_t policyVersion() const { return m_policy ? m_policy->version : 0; }
    std::size_t pendingCalls() const { return m_pending.size(); }

private:
    /// A call that waits for its answer.
    struct Pending {
        Wire::JobCall call;
        Instant arrived;
        Instant answerBy;
        /// Whether an owner was asked: then only it can say that nothing was accepted.
        bool asked = false;
    };

    Wire::NodeHello makeHello() const;
    void onHello(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions);
    /// Whether an owner can be asked now or is worth waiting for.
    bool mayAsk() const;
    void route(Instant now, CallerToken token, Pending& pending, Actions& actions);
    void answer(CallerToken token, Wire::JobReply reply, Actions& actions);
    void refuse(CallerToken token, const Wire::JobCall& call, const char* why, Actions& actions);
    void expire(Instant now, Actions& actions);
    void takePolicy(const std::vector<StoreRecord>& records, Actions& actions);
    void onOwnershipChange(Instant now, bool owns, Actions& actions);
    /// Answers of this process's own owner are final here.
    void collectAnswers(Instant now, std::size_t from, Actions& actions);

    NodeIdentity m_identity;
    JobEntryTiming m_timing;
    DecodePolicy m_decodePolicy;
    Ownership m_ownership;
    PeerLink m_ownerLink;
    StoreTopicWatcher m_policyWatch;
    std::uint64_t m_policyCall = 0;
    std::uint64_t m_lastPolicyCall;
    std::shared_ptr<const PolicySnapshot> m_policy;
    std::unordered_map<CallerToken, Pending> m_pending;
    /// Links of sides and of other entries to this owner.
    std::set<LinkId> m_followers;
    Instant m_ownerSeenAt;
    bool m_leaving = false;
    bool m_ending = false;
};

} // namespace Plantainpier
