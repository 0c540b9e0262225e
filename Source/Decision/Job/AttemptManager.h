/// Manages the batch attempts of one worker on its side process: reservations, starts, leases on the worker, and
/// reports to the leader. Used by SideCore.
#pragma once

#include "Decision/Job/HostCommitments.h"
#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// One row of a worker's task list.
struct WorkerTask {
    AttemptId id;
    Wire::AttemptState::type state = Wire::AttemptState::Absent;
    Wire::Resources demand;
    std::string result;
    std::string checkpoint;
};

/// The worker's answer to ListTasks. State and clock are current; usage figures lag behind.
struct WorkerListing {
    std::int64_t clockMilliseconds = 0;
    std::vector<WorkerTask> tasks;
};

/// Timing of leases and reports. The worker itself stops a task whose lease has ended.
struct LeaseTiming {
    /// Length of a lease by the worker's clock. A start order is valid for the same time.
    Duration lease = seconds(3);
    Duration renewInterval = seconds(1);
    Duration listInterval = milliseconds(500);
    /// Not used: reports are sent in answer to requests and when an attempt ends.
    Duration reportInterval = seconds(1);
};

/// Decides for the side which attempts run on its worker. Lives for the process.
/// A hold is the time for which the leader lets an attempt run without a further message from the leader. A lease is
/// the time for which the worker lets it run without a renewal by the side. A lease never ends later than the hold that
/// it is based on.
class AttemptManager {
public:
    AttemptManager(std::string sideId, std::int64_t incarnation, const LeaseTiming& timing);

    /// Sets the part of the host's capacity that batch attempts may use.
    void setLimit(const Wire::Resources& limit) { m_commitments.setLimit(limit); }
    /// False until the worker has listed its tasks. No resources are reserved before that.
    bool isReady() const { return m_clock.has_value(); }
    /// Rejects new reservations from now on.
    void stopReserving() { m_leaving = true; }

    void onReserve(Instant now, LinkId link, const Wire::ReserveRequest& request, Actions& actions);
    void onStart(Instant now, LinkId link, const Wire::StartRequest& request, Actions& actions);
    void onHold(Instant now, LinkId link, const Wire::HoldRequest& request, Actions& actions);
    void onStop(Instant now, LinkId link, const Wire::StopRequest& request, Actions& actions);
    void onListing(Instant now, const WorkerListing& listing, Actions& actions);
    void tick(Instant now, Actions& actions);

    Wire::Resources freeResources() const { return m_commitments.freeResources(); }
    std::size_t attemptCount() const { return m_attempts.size(); }

private:
    struct Attempt {
        Wire::AttemptState::type state = Wire::AttemptState::Absent;
        /// When the reservation or the leader's hold ends; for an attempt that is over, when its entry is removed.
        Instant heldUntil;
        Instant lastRenewed;
        Instant lastReported;
        /// The connection of the newest request for this attempt.
        LinkId link = noLink;
        std::string result;
        std::string checkpoint;
        /// When the start was sent, until the worker lists the attempt.
        std::optional<Instant> startSentAt;
    };
    /// A reading of the worker's clock and this process's time of the reading.
    struct WorkerClock {
        std::int64_t milliseconds = 0;
        Instant at;
    };

    bool acceptTerm(std::int64_t term);
    /// Returns the attempt. An unknown attempt is recorded as absent, so that a late start of it is refused.
    Attempt& findOrFence(Instant now, LinkId link, const AttemptId& id);
    std::int64_t leaseEnd(Instant now, const Attempt& attempt) const;
    void renewIfDue(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions);
    void sendReport(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions);
    void endAttempt(
        Instant now, const AttemptId& id, Attempt& attempt, Wire::AttemptState::type state, Actions& actions);
    void adoptTask(Instant now, const WorkerTask& task, Actions& actions);
    void updateFromTask(Instant now, const WorkerTask& task, Actions& actions);
    void endUnlisted(Instant now, const WorkerListing& listing, Actions& actions);

    std::string m_sideId;
    std::int64_t m_incarnation;
    LeaseTiming m_timing;
    HostCommitments m_commitments;
    std::map<AttemptId, Attempt> m_attempts;
    std::optional<WorkerClock> m_clock;
    std::int64_t m_newestTerm = 0;
    Instant m_lastListed;
    bool m_leaving = false;
};

} // namespace Plantainpier
