/// Decision logic of an entry: accepts clients' calls about jobs, forwards them to the owner of the jobs, and acts as
/// the owner while this process holds the ownership.
#pragma once

#include "Decision/Process/CallForwards.h"
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
    /// The submitted job. JobEntryCore adds the queue's rules.
    Wire::JobDefinition job;
    /// Why the request is invalid; empty if it is valid.
    std::string invalidReason;
    /// How long the client waits.
    Duration timeout = seconds(3);
};

/// Time limits of an entry.
struct JobEntryTiming {
    /// How long a call that was not forwarded yet waits for an owner. A hand-over takes less time.
    Duration ownerTimeout = milliseconds(1500);
    /// An answer is sent at least this long before the client's deadline.
    Duration answerMargin = milliseconds(150);
    /// How long an entry remains ready after its last connection to an owner.
    Duration readinessGrace = milliseconds(1200);
    Duration retryAfter = seconds(1);
    /// Longest wait of a read of the configuration, which bounds how late a change is read. Well below the two seconds
    /// within which a new configuration must be in force.
    Duration policyReadWait = milliseconds(700);
};

/// Runs one entry without a clock, threads or sockets. One object per process.
class JobEntryCore {
public:
    /// Decodes the operator's configuration from a record's value.
    using DecodePolicy = std::function<Result<PolicySnapshot>(const std::string& value)>;
    /// Returns the zone that records with this key close; nothing for other keys.
    using DecodeClosedZone = std::function<std::optional<std::string>(const std::string& key)>;

    JobEntryCore(NodeIdentity identity, const OwnerRules& rules, const JobEntryTiming& timing, DecodePolicy decode,
        DecodeClosedZone decodeClosedZone);

    void onClientCall(Instant now, CallerToken token, ClientCall call, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions);
    void onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    void onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);
    /// Cheap; called between any two events.
    void sendSignsOfLife(Instant now, Actions& actions) { m_ownership.sendDuePulse(now, actions); }
    /// Starts a graceful shutdown: hands the ownership over, completes calls in progress and refuses calls that can no
    /// longer be forwarded.
    void beginShutdown(Instant now, Actions& actions);
    /// Finishes the shutdown: answers all waiting clients and forwards no more calls.
    void finishShutdown(Instant now, Actions& actions);
    bool isDrained() const { return m_pending.empty() && (m_ownership.hasResigned() && !m_ownership.owner()); }
    bool isReady(Instant now) const;

    const Ownership& ownership() const { return m_ownership; }
    const ZoneClosures& zoneClosures() const { return m_zoneClosures; }
    std::int64_t policyVersion() const { return m_policy ? m_policy->version : 0; }
    std::size_t pendingCalls() const { return m_pending.size(); }

private:
    /// A call that waits for its answer.
    struct PendingCall {
        Wire::JobCall call;
        Instant arrived;
        Instant answerBy;
        /// After the call was forwarded, only an owner can state that nothing was accepted.
        CallForwards forwards;
    };

    Wire::NodeHello makeHello() const;
    void onHello(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions);
    /// Whether calls can be forwarded to an owner now or may wait for one.
    bool mayForwardCalls() const;
    void forwardCall(Instant now, CallerToken token, PendingCall& pending, Actions& actions);
    void onReply(const Wire::JobReply& reply, Actions& actions);
    void sendAnswer(CallerToken token, Wire::JobReply reply, Actions& actions);
    void refuseCall(CallerToken token, const Wire::JobCall& call, const char* reason, Actions& actions);
    void expirePendingCalls(Instant now, Actions& actions);
    /// Applies records of the operator's topic.
    void applyOperatorRecords(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    void applyPolicy(const StoreRecord& record, Actions& actions);
    void applyZoneClosure(Instant now, const std::string& zone, const StoreRecord& record, Actions& actions);
    void logZoneChange(const ZoneChange& change, Actions& actions) const;
    void onOwnershipChange(Instant now, bool owns, Actions& actions);
    /// Completes the pending calls that are answered by the actions from index firstAction on.
    void completeAnsweredCalls(Instant now, std::size_t firstAction, Actions& actions);

    NodeIdentity m_identity;
    JobEntryTiming m_timing;
    DecodePolicy m_decodePolicy;
    DecodeClosedZone m_decodeClosedZone;
    Ownership m_ownership;
    PeerLink m_ownerLink;
    StoreTopicWatcher m_policyWatcher;
    std::uint64_t m_policyReadCall = 0;
    std::uint64_t m_lastPolicyCallId;
    std::shared_ptr<const PolicySnapshot> m_policy;
    ZoneClosures m_zoneClosures;
    std::unordered_map<CallerToken, PendingCall> m_pending;
    /// The calls whose copies were forwarded, by the copy's call id.
    std::unordered_map<std::int64_t, CallerToken> m_forwardedCopies;
    std::int64_t m_lastForwardedCallId = 0;
    /// Links of sides and other entries to this process.
    std::set<LinkId> m_followers;
    Instant m_ownerLastConnectedAt;
    bool m_leaving = false;
    bool m_isFinishingShutdown = false;
};

} // namespace Plantainpier
