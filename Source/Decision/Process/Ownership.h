/// Which entry owns the jobs: claims through the store, signs of life, hand-over. A claim is a record appended where
/// the log of claims ended when it was read, so that one of several wins; its place in the log is the owner's term.
#pragma once

#include "Decision/Job/JobOwner.h"
#include "Decision/Process/StoreTopicWatcher.h"

#include <functional>

namespace Plantainpier {

/// Who this process is to the others.
struct NodeIdentity {
    std::string nodeId;
    std::int64_t incarnation = 0;
    std::string address;
    int port = 0;
    /// Cores of the machine that this process may use.
    double processorShare = 1;
};

/// A claim that won.
struct CurrentOwner {
    std::int64_t term = 0;
    Wire::OwnerClaim claim;
};

/// When an owner is taken for gone.
struct OwnershipTiming {
    /// The owner shows itself in the store this often.
    Duration pulse = milliseconds(500);
    /// The store has shown no sign of life for this long: well within the platform's bound of contact.
    Duration lapse = milliseconds(1300);
    /// The same when the connection to the owner has broken as well.
    Duration lapseWhenBroken = milliseconds(700);
    /// Longest wait for one append; the store answers in milliseconds, slow ones in hundreds.
    Duration appendTimeout = milliseconds(900);
    Duration pause = milliseconds(100);
    /// Head start of the machine with the most processors: a claim waits this long for each halving below half a core.
    Duration claimDelay = milliseconds(40);
};

/// The claim of one entry, and the JobOwner while it lasts. Lives for the process.
class Ownership {
public:
    Ownership(NodeIdentity identity, const OwnerRules& rules, const OwnershipTiming& timing);

    /// True when the call was one of this object's.
    bool onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions);
    bool onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    bool onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);

    /// The connection to the owner broke, or stands again.
    void setLinkBroken(bool broken) { m_linkBroken = broken; }
    /// Lets no further claim happen and hands the ownership over.
    void resign(Instant now, Actions& actions);
    bool hasResigned() const { return m_resigned; }

    /// Null while another entry owns or nobody does, and until what the store holds has been taken over.
    JobOwner* owner() { return m_stage == Stage::Owning ? m_owner.get() : nullptr; }
    const JobOwner* owner() const { return m_stage == Stage::Owning ? m_owner.get() : nullptr; }
    /// This process has won the ownership and takes over.
    bool isTakingOver() const { return m_stage == Stage::Fencing || m_stage == Stage::Loading; }
    const CurrentOwner& current() const { return m_current; }
    bool isStoreAnswering(Instant now) const;

    /// Hook: the ownership has changed; the argument says whether this process owns now.
    std::function<void(Instant now, bool owns, Actions& actions)> onChange;

private:
    /// What an owner's sign of life says of the owners before it.
    struct Predecessors {
        /// Term of the owner that said it.
        std::int64_t term = 0;
        /// They grant nothing after this.
        Instant holdUntil;
    };

    /// How long leases from before this process owned may last.
    struct LeaseWait {
        Duration wait {};
        const char* why = nullptr;
    };

    enum class Stage {
        Following,
        Claiming,
        Fencing,
        Loading,
        Owning,
    };

    void takeClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    LeaseWait formerLeases(Instant now) const;
    void finishTakeOver(Instant now, Actions& actions);
    void takePulses(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    void wantOwnership(Instant now, const char* why);
    void claim(Instant now, const char* why, Actions& actions);
    void begin(Instant now, std::int64_t term, Actions& actions);
    void stepDown(Instant now, const char* why, Actions& actions);
    void sendPulse(Instant now, bool resigning, Actions& actions);
    void onPulseResponse(Instant now, const AppendResponse& response, Actions& actions);
    void runOwner(Instant now, Actions& actions);
    std::uint64_t newCall() { return ++m_lastCall; }

    NodeIdentity m_identity;
    OwnerRules m_rules;
    OwnershipTiming m_timing;
    StoreTopicWatcher m_claims;
    StoreTopicWatcher m_pulses;
    Stage m_stage = Stage::Following;
    CurrentOwner m_current;
    std::unique_ptr<JobOwner> m_owner;
    std::int64_t m_unixMilliseconds = 0;
    bool m_linkBroken = false;
    bool m_resigning = false;
    bool m_resigned = false;
    /// The store may hold that the owner of this term has resigned; this is never taken back.
    bool m_resignationSent = false;
    bool m_oldOwnerEnded = false;
    Predecessors m_predecessors;
    /// The newest term when this process claimed last.
    std::int64_t m_formerTerm = 0;
    /// Leases from before this process owned are over.
    Instant m_formerLeasesEnd;
    Instant m_lastPulseSeen;
    Instant m_pulsesSentAt;
    /// How long the store was asked to wait for a sign of life.
    Duration m_pulsesWait {};
    /// Why and when this process will claim; null when it does not intend to.
    const char* m_claimWhy = nullptr;
    Instant m_claimAt;
    Instant m_notBefore;
    std::int64_t m_pulseNumber = 0;
    Instant m_pulseSentAt;
    bool m_pulseInFlight = false;
    /// A sign of life may be stored under the number of the next one.
    bool m_pulseUncertain = false;
    bool m_pulseConfirmed = false;
    bool m_fenceConfirmed = false;
    std::string m_loadAfter;
    bool m_loading = false;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_claimCall = 0;
    std::uint64_t m_pulseCall = 0;
    std::uint64_t m_fenceCall = 0;
    std::uint64_t m_loadCall = 0;
    std::uint64_t m_journalCall = 0;
    std::uint64_t m_claimsCall = 0;
    std::uint64_t m_pulsesCall = 0;
};

} // namespace Plantainpier
