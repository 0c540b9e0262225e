/// The owner of jobs: one entry at a time. Takes calls of clients, keeps what must last in the store, and lets the
/// scheduler, the ledger of runs and the pace control work on the hosts.
#pragma once

#include "Decision/Job/OwnerState.h"
#include "Decision/Job/PaceController.h"
#include "Decision/Job/RunTracker.h"
#include "Decision/Job/TaskScheduler.h"

namespace Plantainpier {

/// Who waits for a reply: an entry behind a link, or a client of this process when the link is noLink.
struct CallOrigin {
    LinkId link = noLink;
    std::uint64_t callId = 0;
};

/// Everything that the owner decides, for one term.
class JobOwner {
public:
    JobOwner(std::string nodeId, std::int64_t term, const OwnerRules& rules, Instant now);

    /// Takes over what the store holds; a page at a time, then finishLoad().
    void load(const std::vector<StoreRecord>& records);
    /// The earlier owner may have granted leases until leasesEnd.
    void finishLoad(Instant now, std::int64_t unixMilliseconds, Instant leasesEnd, Actions& actions);
    void setPolicy(std::shared_ptr<const PolicySnapshot> policy) { m_state.policy = std::move(policy); }

    void onCall(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    void onLinkDown(Instant now, LinkId link);
    /// The store answered the append that takeAppend() handed out.
    void onAppendResponse(Instant now, const AppendResponse& response, Actions& actions);
    /// The store confirmed a sign of life that was sent at this time.
    void onPulseConfirmed(Instant sent);
    /// The next append, if one is due.
    std::optional<AppendToStore> takeAppend(Instant now) { return m_state.journal.next(now); }
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);
    /// Somebody else owns, or may: nothing more may be ordered.
    bool isFenced() const { return m_fenced || m_ledger.isFenced(); }
    /// Nothing waits to be stored.
    bool isSettled() const { return m_state.journal.isIdle() && m_state.dirtyJobs.empty() && m_waiting.empty(); }
    /// An append has been tried for so long that refusing is quicker than waiting.
    bool isStoreAway(Instant now) const;
    /// Starts nothing more; for a graceful hand-over.
    void rest() { m_resting = true; }
    /// Grants nothing more, for good: a successor may be told that this owner has resigned.
    void handOver();

    const OwnerState& state() const { return m_state; }
    std::int64_t term() const { return m_state.term; }

private:
    /// A reply that waits for a record to be stored.
    struct WaitingReply {
        CallOrigin origin;
        std::uint64_t ticket;
        Wire::JobReply reply;
        /// The job becomes open for work with the same record; empty for none.
        std::string jobId;
    };

    void submit(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void cancel(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void status(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void countWaiting(const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    /// Why a submission is turned away now; empty when it is not.
    std::string refusal(Instant now, const Wire::JobCall& call) const;
    /// The owner knows no such job; the answer is only certain while nobody else can own.
    void denyJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    static void reply(const CallOrigin& origin, Wire::JobReply reply, Actions& actions);
    void completeWaiting(Actions& actions);
    void flushProgress(Instant now);
    /// Notes which record of the journal stands for each end that waits for its acknowledgement.
    void coverEnds();
    void acknowledgeEnds();
    void grantLeases(Instant now);
    void sendOrders(Actions& actions);
    void forgetOldJobs(Instant now);

    OwnerState m_state;
    RunTracker m_ledger;
    InterferenceModel m_interference;
    PaceController m_paces;
    TaskScheduler m_scheduler;
    std::deque<WaitingReply> m_waiting;
    std::map<std::string, Wire::JobProgress> m_loadedProgress;
    std::set<std::string> m_loadedCancellations;
    /// Keys that could not be read while loading, and why.
    std::vector<std::pair<std::string, std::string>> m_loadFaults;
    std::map<std::string, Instant> m_finishedAt;
    Instant m_lastPass;
    Instant m_lastForgotten;
    bool m_fenced = false;
    bool m_resting = false;
};

} // namespace Plantainpier
