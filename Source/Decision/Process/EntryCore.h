/// The complete decision logic of an entry process: takes events and returns actions. Used by EntryDaemon.
#pragma once

#include "Decision/Job/AppendQueue.h"
#include "Decision/Job/CellScheduler.h"
#include "Decision/Job/JobIntake.h"
#include "Decision/Request/RequestCoordinator.h"

namespace Plantainpier {

/// Identifies an entry process; set at its start.
struct EntryIdentity {
    std::string entryId;
    /// Increases with every start of the process.
    std::int64_t incarnation = 0;
    std::string zone;
    /// The cell whose jobs this entry accepts and may schedule.
    std::string cell;
};

/// One read of the log.
struct LogRead {
    Instant startedAt;
    std::vector<std::string> texts;
    /// Whether the texts are all records up to the newest.
    bool reachedEnd = false;
};

/// Runs one entry without a clock, threads or sockets. One object per process.
class EntryCore {
public:
    EntryCore(EntryIdentity identity, BundleRegistry bundles, RandomBelow randomBelow, Instant now);

    void onRequest(Instant now, CallerToken caller, CallerRequest request, Actions& actions);
    void onRequestQuery(Instant now, CallerToken caller, const std::string& key, Actions& actions);
    void onJobSubmission(Instant now, CallerToken caller, const JobSubmission& submission, Actions& actions);
    void onJobQuery(CallerToken caller, const std::string& jobId, Actions& actions) const;
    void onJobCancel(Instant now, CallerToken caller, const std::string& jobId, Actions& actions);
    void onRollOut(Instant now, CallerToken caller, const std::string& envelope, Actions& actions);
    void onStatus(Instant now, CallerToken caller, Actions& actions) const;

    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void onLogRead(Instant now, const LogRead& read, Actions& actions);
    void onAppendResult(Instant now, AppendResult result, Actions& actions);
    void tick(Instant now, Actions& actions);
    /// Starts a graceful shutdown: refuses new work and completes work in progress.
    void beginShutdown();

    bool isDrained() const;
    bool isReady(Instant now) const;
    bool isLogUnavailable(Instant now) const;
    const Membership& membership() const { return m_membership; }
    const BundleRegistry& bundles() const { return m_bundles; }
    const JobStateMachine& jobStateMachine() const { return m_jobStateMachine; }
    const CellScheduler& scheduler() const { return m_scheduler; }
    const AppendQueue& appendQueue() const { return m_appendQueue; }
    RequestCoordinator& requests() { return m_requests; }
    const RequestCoordinator& requests() const { return m_requests; }

private:
    struct RollOut {
        CallerToken caller = 0;
        std::int64_t version = 0;
        std::string envelope;
        Instant expiresAt;
    };

    void onAnnouncement(Instant now, LinkId link, const Wire::Announcement& message, Actions& actions);
    void openDataLink(Instant now, SideView& side, Actions& actions);
    void closeDataLink(Instant now, SideView& side, std::string_view reason, Actions& actions);
    void checkDataLink(Instant now, SideView& side, Actions& actions);
    void sendBundle(LinkId link, Actions& actions) const;
    void offerBundle(const std::string& envelope, std::string_view source, Actions& actions);
    void onBundleRecord(const BundleRecord& record, Actions& actions);
    void logBundle(std::string_view source, const Result<Success>& offered, Actions& actions) const;
    void answerRollOuts(std::int64_t version, Actions& actions);
    void applyLogText(Instant now, const std::string& text, Actions& actions);
    void appendQueued(Instant now, Actions& actions);
    void reply(CallerToken caller, ErrorCode code, const std::string& text, Actions& actions) const;

    EntryIdentity m_identity;
    BundleRegistry m_bundles;
    /// The bundle as of the last log record read; at the end of the log, this bundle is the one in force. Kept apart
    /// from m_bundles, so that an entry that reads an old log does not activate versions that are no longer in force.
    BundleRegistry m_loggedBundles;
    Membership m_membership;
    RequestCoordinator m_requests;
    JobStateMachine m_jobStateMachine;
    JobIntake m_jobIntake;
    CellScheduler m_scheduler;
    AppendQueue m_appendQueue;
    std::vector<RollOut> m_rollOuts;
    LinkId m_lastLinkId;
    std::optional<Instant> m_lastLogReadAt;
    bool m_startRecorded = false;
    bool m_leaving = false;
};

} // namespace Plantainpier
