/// Leads a cell when it is this entry's turn: places queued jobs, holds running attempts, and stands by otherwise.
#pragma once

#include "Decision/Job/JobStateMachine.h"
#include "Decision/Process/Membership.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// Bounds on leading and holding.
struct SchedulerTiming {
    Duration heartbeat = seconds(2);
    /// Silence of a leader in a readable log after which another entry claims the next term.
    Duration leaderSilence = seconds(6);
    /// How long a side lets an attempt run without hearing from its leader.
    Duration hold = seconds(30);
    /// Between two holds of the same attempt.
    Duration holdEvery = seconds(5);
    /// How long a reservation stands while its attempt is being recorded.
    Duration reservation = seconds(10);
    /// Wait for the answer to a reservation.
    Duration reserveAnswer = seconds(2);
    /// How long a leader that cannot read the log goes on holding what runs.
    Duration detached = seconds(900);
    /// Reservations asked for and attempts being recorded at once.
    std::size_t placementsAtOnce = 512;
};

/// Totals since the process started, for /metrics.
struct SchedulerTotals {
    std::uint64_t placements = 0;
    std::uint64_t refusals = 0;
    std::uint64_t starts = 0;
    std::uint64_t completions = 0;
    std::uint64_t losses = 0;
};

/// The scheduling duty of one entry for one cell. Lives for the process.
class CellScheduler {
public:
    CellScheduler(std::string cell, std::string entryId, std::int64_t incarnation, Membership& membership,
        const BundleRegistry& bundles, const SchedulerTiming& timing);

    /// A record was read; effect is what it changed in the book.
    void onRecord(
        Instant now, const LogRecord& record, RecordEffect effect, const JobStateMachine& book, Actions& actions);
    /// All records up to the newest have been read.
    void onLogContact(Instant now);
    void onReserveAnswer(Instant now, const std::string& sideId, const Wire::ReserveAnswer& answer,
        const JobStateMachine& book, Actions& actions);
    void onReport(Instant now, const Wire::AttemptReport& report, const JobStateMachine& book, Actions& actions);
    void tick(Instant now, const JobStateMachine& book, Actions& actions);

    bool isLeader(const JobStateMachine& book) const;
    const SchedulerTotals& totals() const { return m_totals; }

private:
    /// A job between its choice of side and its recorded attempt.
    struct Placement {
        std::string sideId;
        int attempt = 0;
        bool granted = false;
        Instant since;
        /// The side's clock in its grant, and when that was received.
        std::int64_t basisMicroseconds = 0;
        Instant basisAt;
    };
    /// What this leader knows of a running attempt.
    struct Holding {
        std::int64_t basisMicroseconds = 0;
        /// When the newest basis was received; the hold ends at the latest one hold after it.
        Instant basisAt;
        Instant lastSent;
        bool endRecorded = false;
    };

    void claimIfSilent(Instant now, const JobStateMachine& book, Actions& actions);
    void takeOver(Instant now, const JobStateMachine& book, Actions& actions);
    void lead(Instant now, const JobStateMachine& book, Actions& actions);
    void placeQueued(Instant now, const JobStateMachine& book, Actions& actions);
    void reserve(Instant now, const Job& job, Actions& actions);
    bool isWithinQuota(const Job& job, const JobStateMachine& book) const;
    const SideView* bestSide(Instant now, const Job& job) const;
    void dropStalePlacements(Instant now);
    void startRecorded(Instant now, const Job& job, Actions& actions);
    void holdRunning(Instant now, const JobStateMachine& book, Actions& actions);
    void recordEnd(
        const Job& job, Holding& holding, AttemptEnd end, const Wire::AttemptReport& report, Actions& actions);
    Instant lostAt(const Holding& holding) const;
    bool maySend(Instant now) const;

    std::string m_cell;
    std::string m_entryId;
    std::int64_t m_incarnation;
    Membership& m_membership;
    const BundleRegistry& m_bundles;
    SchedulerTiming m_timing;
    /// Last record of the current leader, and last contact with the log.
    std::optional<Instant> m_leaderHeard;
    std::optional<Instant> m_logContact;
    std::optional<Instant> m_claimedAt;
    Instant m_lastHeartbeat;
    std::int64_t m_heartbeats = 0;
    /// Who led before this entry did: until it is known gone it may still hold attempts on its own.
    Leader m_previous;
    bool m_previousGone = true;
    Instant m_tookOverAt;
    /// The term that this entry leads in.
    std::int64_t m_term = 0;
    std::map<std::string, Placement> m_placements;
    std::map<std::string, Holding> m_holdings;
    SchedulerTotals m_totals;
};

} // namespace Plantainpier
