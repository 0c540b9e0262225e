/// Central component of the entry that owns the jobs; one entry owns them at a time. Handles clients' calls, persists
/// jobs and progress in the store, and coordinates scheduling, run tracking and pace control.
#pragma once

#include "Decision/Admission/OverloadControl.h"
#include "Decision/Job/OwnerState.h"
#include "Decision/Job/RunTracker.h"
#include "Decision/Job/TaskScheduler.h"
#include "Decision/Placement/PaceController.h"

namespace Plantainpier {

/// Where the reply to a call goes: to another entry over a link, or to a client of this process if the link is noLink.
struct CallOrigin {
    LinkId link = noLink;
    std::uint64_t callId = 0;
};

/// Makes the owner's decisions for one term. Created by Ownership.
class JobOwner {
public:
    JobOwner(std::string nodeId, std::int64_t term, const OwnerRules& rules, Instant now);

    /// Loads one page of records from the store. Call finishLoad() after the last page.
    void loadRecords(const std::vector<StoreRecord>& records);
    /// Completes the take-over. Leases that the earlier owner granted may last until leasesEnd.
    void finishLoad(Instant now, std::int64_t unixMilliseconds, Instant leasesEnd, Actions& actions);
    void setPolicy(std::shared_ptr<const PolicySnapshot> policy) { m_state.policy = std::move(policy); }

    /// Passes on the closed zones after each answered read. Starts in newly closed zones end with this call.
    void setZoneClosures(const ZoneClosures& closures);

    void onCall(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    void onLinkDown(Instant now, LinkId link);
    /// Handles the store's answer to the append that nextAppend() returned.
    void onAppendResponse(Instant now, const AppendResponse& response, Actions& actions);
    /// The store confirmed a pulse, the owner's heartbeat record, that was first sent at the one time and newly at the
    /// other. It may have been stored at any time since the first.
    void onPulseConfirmed(Instant firstSent, Instant sent);
    void onPulseConfirmed(Instant sent) { onPulseConfirmed(sent, sent); }
    /// Returns the next append to the store, if one is due.
    std::optional<AppendToStore> nextAppend(Instant now) { return m_state.storeWriter.nextAppend(now); }
    void tick(Instant now, std::int64_t unixMilliseconds, Actions& actions);
    /// Another entry owns the jobs or may own them, or this term has no further fences or no further run numbers of a
    /// task. This owner must not send further orders.
    bool isFenced() const
    {
        return m_fenced || m_runTracker.isFenced() || m_state.fencesUsedUp || m_state.runNumbersUsedUp;
    }
    /// Everything that was recorded before scheduling stopped is persisted and answered. Later progress needs no wait:
    /// an end of a run is not acknowledged before it is persisted, so its host lists it to the next owner again. So
    /// does the host of a run whose start was shown since.
    bool isReadyToHandOver() const
    {
        return m_lastWriteBeforeHandOver && *m_lastWriteBeforeHandOver <= m_state.storeWriter.storedSequenceNumber();
    }
    /// An append has been unanswered for so long that clients are refused rather than kept waiting.
    bool isStoreUnavailable(Instant now) const;
    /// Starts no more tasks, accepts no more jobs and writes the progress so far; first stage of a hand-over.
    void stopScheduling()
    {
        m_schedulingStopped = true;
        m_state.flushNow = true;
    }
    /// Stops granting leases for good. The store may show the resignation of this owner from then on.
    void handOver();

    const OwnerState& state() const { return m_state; }
    const OverloadControl& overloadControl() const { return m_overloadControl; }
    std::int64_t term() const { return m_state.term; }

private:
    /// A reply that is sent once a record is persisted.
    struct PendingReply {
        CallOrigin origin;
        /// Sequence number of the record's write.
        std::uint64_t sequenceNumber;
        Wire::JobReply reply;
        /// Job to open for scheduling once the record is persisted; empty for none.
        std::string jobId;
    };

    void loadProgress(const StoreRecord& record);
    void submitJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void cancelJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void replyStatus(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    void replyWaitingCount(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    /// Whether the store takes the record. It would refuse a larger one each time, and everything that waits behind it.
    bool fitsStore(const std::string& key, const std::string& value) const;
    /// Why a submission is refused now; empty if it is accepted.
    std::string refusalReason(Instant now, const Wire::JobCall& call) const;
    /// Replies that there is no such job, or refuses while another entry may own the jobs and have a record of this
    /// one.
    void replyNoSuchJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions);
    static void sendReply(const CallOrigin& origin, Wire::JobReply reply, Actions& actions);
    void sendRepliesOfStoredWrites(Actions& actions);
    /// Writes the progress of changed jobs to the store.
    void writeProgress(Instant now);
    /// Stores the interference that was learned, at its interval and before a hand-over.
    void writeInterference(Instant now);
    /// Assigns to each unpersisted run end the write after which the end may be acknowledged.
    void assignWritesToEnds();
    void acknowledgePersistedEnds();
    void grantLeases(Instant now);
    void sendOrders(Instant now, Actions& actions);
    /// Whether the progress of the job is stored, so that no later owner can revert its outcome.
    bool isOutcomeStored(const JobState& job) const;
    /// Whether tasks may be started now. Logs when starts are held back, and when they go on.
    bool mayStartTasks(Instant now, Actions& actions);
    /// Removes finished jobs whose retention period is over.
    void removeExpiredJobs(Instant now);

    OwnerState m_state;
    RunTracker m_runTracker;
    InterferenceModel m_interference;
    PaceController m_paceController;
    OverloadControl m_overloadControl;
    TaskScheduler m_scheduler;
    std::deque<PendingReply> m_pendingReplies;
    /// The progress of a job that was read from the store: the marks of all parts, and which parts other than part 0.
    struct LoadedProgress {
        LoadedProgress() { progress.outcome = Wire::JobOutcome::Open; }

        Wire::JobProgress progress;
        std::set<int> parts;
    };
    std::map<std::string, LoadedProgress> m_loadedProgress;
    std::set<std::string> m_loadedCancellations;
    /// Ids of hosts that had departed recently.
    std::vector<std::string> m_loadedDepartures;
    /// Keys of records that could not be loaded, with the error.
    std::vector<std::pair<std::string, std::string>> m_loadErrors;
    std::map<std::string, Instant> m_finishedAt;
    Instant m_lastSchedulingPass;
    Instant m_interferenceWrittenAt;
    std::string m_writtenInterference;
    Instant m_lastJobCleanup;
    bool m_fenced = false;
    bool m_schedulingStopped = false;
    bool m_startsPaused = false;
    /// Sequence number of the newest write when scheduling stopped; set by the next tick.
    std::optional<std::uint64_t> m_lastWriteBeforeHandOver;
};

} // namespace Plantainpier
