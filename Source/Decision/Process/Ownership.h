/// Decides which entry owns the jobs: claims in the store, owner pulses, hand-over. A claim is appended only if the
/// claim log still ends where it was last read, so that one of several claims wins; the offset of the claim gives the
/// owner's term. Used by JobEntryCore.
#pragma once

#include "Decision/Job/JobOwner.h"
#include "Decision/Process/StoreTopicWatcher.h"

#include <functional>

namespace Plantainpier {

/// Identifies this process to its peers.
struct NodeIdentity {
    std::string nodeId;
    std::int64_t incarnation = 0;
    std::string address;
    int port = 0;
    /// Number of processor cores that this process may use; may be a fraction.
    double processorShare = 1;
};

/// The claim with the highest term that this process has read or won.
struct CurrentOwner {
    std::int64_t term = 0;
    Wire::OwnerClaim claim;
};

/// Interval of owner pulses, and timeouts after which an entry claims the ownership.
struct OwnershipTiming {
    /// Interval at which the owner appends a pulse, its heartbeat record, to the store.
    Duration pulseInterval = milliseconds(500);
    /// Time without a pulse after which an entry claims the ownership. Well below the platform's limit on the time
    /// without contact.
    Duration silenceTimeout = milliseconds(1300);
    /// Shorter timeout while the owner's end has closed or refused the connection as well.
    Duration silenceTimeoutWhenDisconnected = milliseconds(700);
    /// Timeout of one append. The store answers within milliseconds; a slow answer takes hundreds of milliseconds.
    Duration appendTimeout = milliseconds(900);
    Duration retryDelay = milliseconds(100);
    /// Longest time that an owner which shuts down waits for its writes before it resigns. Nothing is scheduled
    /// meanwhile, and clients repeat calls without an answer at the next owner.
    Duration handOverTimeout = milliseconds(1000);
    /// Delay of a claim for each halving of the processor share below the largest one known, so that entries with more
    /// processors claim first. Longer than an entry on a busy machine takes to handle an answer of the store.
    Duration claimDelayPerHalving = milliseconds(320);
};

/// Claims the ownership for one entry and holds the JobOwner while this entry owns. One object per process.
class Ownership {
public:
    Ownership(NodeIdentity identity, const OwnerRules& rules, const OwnershipTiming& timing);

    /// Returns true if this object made the call.
    bool onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions);
    bool onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    bool onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);
    /// Sends the owner's pulse if it is due. Cheap; called between any two events, so that the work of events and ticks
    /// delays no pulse by more than the length of one of them.
    void sendDuePulse(Instant now, Actions& actions);

    /// Sets whether the owner's end has closed or refused the connection.
    void setLinkBroken(bool broken);
    /// This process has closed a silent connection to the owner. A busy owner is slow, so this does not shorten the
    /// timeout after which this process claims the ownership.
    void setLinkSilent() { m_linkSilent = true; }
    /// A peer has read a claim of this term. An owner of an earlier term ends its ownership.
    void onTermReported(Instant now, std::int64_t term, Actions& actions);
    /// Prevents further claims and hands the ownership over if this process has it.
    void resign(Instant now, Actions& actions);
    bool hasResigned() const { return m_resigned; }

    /// Null unless this process owns the jobs and has loaded the records from the store.
    JobOwner* owner() { return m_stage == Stage::Owning ? m_owner.get() : nullptr; }
    const JobOwner* owner() const { return m_stage == Stage::Owning ? m_owner.get() : nullptr; }
    /// This process has won the ownership and has not yet finished the take-over.
    bool isTakingOver() const { return m_stage == Stage::Fencing || m_stage == Stage::Loading; }
    const CurrentOwner& currentOwner() const { return m_current; }

    /// Called when the ownership changes; `owns` says whether this process is the owner now.
    std::function<void(Instant now, bool owns, Actions& actions)> onChange;

private:
    /// How long earlier owners may grant leases, as reported by a later owner's pulse.
    struct PredecessorHold {
        /// Term of the owner that wrote the pulse.
        std::int64_t term = 0;
        /// Earlier owners grant no leases after this time.
        Instant holdUntil;
    };

    /// How long leases of earlier owners may last.
    struct LeaseWait {
        Duration wait {};
        const char* reason = nullptr;
    };

    enum class Stage {
        Following,
        Claiming,
        Fencing,
        Loading,
        Owning,
    };

    void readClaims(Instant now, Actions& actions);
    void applyClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    LeaseWait formerLeaseWait(Instant now) const;
    void finishTakeOver(Instant now, Actions& actions);
    void applyPulses(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    /// This entry's processor share in thousandths of a core.
    std::int32_t milliProcessors() const;
    /// Number of halvings that lead from the largest processor share of a claimant so far to this entry's; none for
    /// half a core and more.
    double halvingsOfLargestShare() const;
    /// Plans a claim for this entry's delay after `since`, or for now if that is later.
    void scheduleClaim(Instant now, Instant since, const char* reason);
    /// The time from which the delay of a claim counts after a read without pulses.
    Instant silenceShownAt() const;
    void appendClaim(Instant now, const char* reason, Actions& actions);
    void startTakeOver(Instant now, std::int64_t term, Actions& actions);
    void stepDown(Instant now, const char* reason, Actions& actions);
    void sendPulse(Instant now, bool resigning, Actions& actions);
    void onPulseResponse(Instant now, const AppendResponse& response, Actions& actions);
    void runOwner(Instant now, Actions& actions);
    /// Sends the owner's next append, and steps down if the owner is fenced.
    void sendOwnerRecords(Instant now, Actions& actions);
    std::uint64_t nextCallId() { return ++m_lastCallId; }

    NodeIdentity m_identity;
    OwnerRules m_rules;
    OwnershipTiming m_timing;
    StoreTopicWatcher m_claimWatcher;
    StoreTopicWatcher m_pulseWatcher;
    Stage m_stage = Stage::Following;
    CurrentOwner m_current;
    std::unique_ptr<JobOwner> m_owner;
    std::int64_t m_unixMilliseconds = 0;
    bool m_linkBroken = false;
    bool m_linkSilent = false;
    bool m_resigning = false;
    /// An owner that is to resign waits for its writes until then.
    Instant m_resignBy;
    bool m_resigned = false;
    /// A resignation for the current term was sent and may be stored. It is never revoked.
    bool m_resignationSent = false;
    bool m_formerOwnerEnded = false;
    PredecessorHold m_predecessorHold;
    /// The last claim may be stored, or may be stored later: the store has not answered it, and no newer claim was
    /// read.
    bool m_claimUncertain = false;
    /// The newest term at the time of this process's last claim.
    std::int64_t m_formerTerm = 0;
    /// Time at which all leases of earlier owners have ended.
    Instant m_formerLeasesEnd;
    Instant m_lastPulseReadAt;
    Instant m_pulseReadSentAt;
    /// How long the store was asked to wait for a pulse.
    Duration m_pulseReadWait {};
    /// A later term than the newest claim read was reported, so the next read of the claims does not wait and is made
    /// on a new connection.
    bool m_claimCheckDue = false;
    /// Reason and time of the next claim; the reason is null while no claim is planned.
    const char* m_claimReason = nullptr;
    Instant m_claimAt;
    Instant m_nextStoreCallAt;
    std::int64_t m_pulseNumber = 0;
    Instant m_pulseSentAt;
    /// When the newest pulse was first sent. A repeat is answered like the first append and stores nothing if that was
    /// stored.
    Instant m_pulseFirstSentAt;
    bool m_pulseInFlight = false;
    /// A pulse with an unknown outcome may be stored under the next pulse's number.
    bool m_pulseUncertain = false;
    bool m_pulseConfirmed = false;
    bool m_fenceConfirmed = false;
    std::string m_loadAfterKey;
    bool m_loadInFlight = false;
    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_claimCall = 0;
    std::uint64_t m_pulseCall = 0;
    std::uint64_t m_fenceCall = 0;
    std::uint64_t m_loadCall = 0;
    std::uint64_t m_ownerAppendCall = 0;
    std::uint64_t m_claimReadCall = 0;
    std::uint64_t m_pulseReadCall = 0;
};

} // namespace Plantainpier
