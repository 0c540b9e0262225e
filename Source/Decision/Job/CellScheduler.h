/// Schedules the jobs of one cell while this entry is the cell's leader: places queued jobs and holds running attempts.
/// On other entries the scheduler watches the leader and claims the next term when the leader fails. Used by EntryCore.
#pragma once

#include "Decision/Job/JobStateMachine.h"
#include "Decision/Process/Membership.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// Intervals and limits of leadership and of holds on running attempts.
struct SchedulerTiming {
    Duration heartbeatInterval = seconds(2);
    /// Time without a record of the leader in a readable log after which another entry claims the next term.
    Duration leaderTimeout = seconds(6);
    /// Time for which a side lets an attempt run without a new hold from the leader.
    Duration holdDuration = seconds(30);
    /// Time between two hold requests for the same attempt.
    Duration holdInterval = seconds(5);
    /// Validity of a reservation while its attempt is being recorded.
    Duration reservationTimeout = seconds(10);
    Duration reserveAnswerTimeout = seconds(2);
    /// Time for which a leader that cannot read the log continues to hold running attempts.
    Duration detachedHoldLimit = seconds(900);
    /// Maximum number of pending reservations and of attempts that are being recorded.
    std::size_t maximumPlacements = 512;
};

/// Counters since the process started, for /metrics.
struct SchedulerTotals {
    std::uint64_t placements = 0;
    std::uint64_t refusedReservations = 0;
    std::uint64_t startedAttempts = 0;
    std::uint64_t completedAttempts = 0;
    std::uint64_t lostAttempts = 0;
};

/// The scheduler of one cell on one entry. Lives for the process.
class CellScheduler {
public:
    CellScheduler(std::string cell, std::string entryId, std::int64_t incarnation, Membership& membership,
        const BundleRegistry& bundles, const SchedulerTiming& timing);

    /// Called for every record that is read from the log; effect is what the record changed in the state machine.
    void onRecord(Instant now, const LogRecord& record, RecordEffect effect, const JobStateMachine& stateMachine,
        Actions& actions);
    /// Called when all records up to the newest one have been read.
    void onLogReadToEnd(Instant now);
    void onReserveAnswer(Instant now, const std::string& sideId, const Wire::ReserveAnswer& answer,
        const JobStateMachine& stateMachine, Actions& actions);
    void onReport(
        Instant now, const Wire::AttemptReport& report, const JobStateMachine& stateMachine, Actions& actions);
    void tick(Instant now, const JobStateMachine& stateMachine, Actions& actions);

    bool isLeader(const JobStateMachine& stateMachine) const;
    const SchedulerTotals& totals() const { return m_totals; }

private:
    /// A queued job for which a side is chosen and whose attempt is not recorded yet.
    struct PendingPlacement {
        std::string sideId;
        int attempt = 0;
        bool granted = false;
        Instant since;
        /// The side's clock reading from its grant, and the time at which the grant was received.
        std::int64_t basisMicroseconds = 0;
        Instant basisAt;
    };
    /// A running attempt that this leader holds.
    struct HeldAttempt {
        std::int64_t basisMicroseconds = 0;
        /// When the newest basis was received. The hold ends at most one hold duration after this time.
        Instant basisAt;
        Instant lastSentAt;
        bool endRecorded = false;
    };

    void claimLeadershipIfDue(Instant now, const JobStateMachine& stateMachine, Actions& actions);
    void becomeLeader(Instant now, const JobStateMachine& stateMachine, Actions& actions);
    void performLeaderDuties(Instant now, const JobStateMachine& stateMachine, Actions& actions);
    void placeQueued(Instant now, const JobStateMachine& stateMachine, Actions& actions);
    void reserveSide(Instant now, const Job& job, Actions& actions);
    bool isWithinQuota(const Job& job, const JobStateMachine& stateMachine) const;
    const SideView* findBestSide(Instant now, const Job& job) const;
    void dropExpiredPlacements(Instant now);
    void startRecordedAttempt(Instant now, const Job& job, Actions& actions);
    void sendStart(const Job& job, const HeldAttempt& heldAttempt, const SideView& side, Actions& actions) const;
    /// Sends the start of a recorded attempt again, unless the job is to be cancelled. The side starts an attempt once.
    void repeatStart(Instant now, const Job& job, const HeldAttempt& heldAttempt, Actions& actions) const;
    void holdRunningAttempts(Instant now, const JobStateMachine& stateMachine, Actions& actions);
    void recordAttemptEnd(
        const Job& job, HeldAttempt& heldAttempt, AttemptEnd end, const Wire::AttemptReport& report, Actions& actions);
    Instant lossDeadline(const HeldAttempt& heldAttempt) const;
    bool maySendToSides(Instant now) const;

    std::string m_cell;
    std::string m_entryId;
    std::int64_t m_incarnation;
    Membership& m_membership;
    const BundleRegistry& m_bundles;
    SchedulerTiming m_timing;
    /// Newest record of the current leader; set to the current time when the log becomes readable again.
    std::optional<Instant> m_leaderSeenAt;
    /// When the log was last read up to its newest record.
    std::optional<Instant> m_logReadAt;
    std::optional<Instant> m_lastClaimAt;
    Instant m_lastHeartbeatAt;
    std::int64_t m_heartbeatCount = 0;
    /// The leader before this entry. Until this process is known to have stopped, it may still hold attempts.
    Leader m_previousLeader;
    bool m_previousLeaderStopped = true;
    /// Start of the time in which attempts may still run under holds of the previous leader: the time of the take-over
    /// or the later time at which the restart of the previous leader's process was read.
    Instant m_previousHoldsSince;
    /// The newest term in which this entry is the leader.
    std::int64_t m_term = 0;
    std::map<std::string, PendingPlacement> m_placements;
    std::map<std::string, HeldAttempt> m_heldAttempts;
    SchedulerTotals m_totals;
};

} // namespace Plantainpier
