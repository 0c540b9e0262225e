/// Batch attempts at a side process: reservations, starts, leases on the worker, and reports to the leader.
#pragma once

#include "Decision/Job/HostCommitments.h"
#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// One task as the worker lists it.
struct WorkerTask {
    AttemptId id;
    Wire::AttemptState::type state = Wire::AttemptState::Absent;
    Wire::Resources demand;
    std::string result;
    std::string checkpoint;
};

/// The worker's answer to ListTasks. Usage lags; state and clock do not.
struct WorkerListing {
    std::int64_t clockMilliseconds = 0;
    std::vector<WorkerTask> tasks;
};

/// Bounds on leases. The worker stops a task by itself at the end of its lease.
struct LeaseTiming {
    /// Length of a lease on the worker's clock, and the start's validity with it.
    Duration lease = seconds(3);
    Duration renewEvery = seconds(1);
    Duration listEvery = milliseconds(500);
    /// How long a report is repeated to the leader.
    Duration reportEvery = seconds(1);
};

/// The side's authority over the worker beside it. Lives for the process.
/// Hold: how long the leader lets an attempt run without hearing from it. Lease: how long the worker does without the
/// side. A lease never outlives the hold that it rests on.
class AttemptManager {
public:
    AttemptManager(std::string sideId, std::int64_t incarnation, const LeaseTiming& timing);

    /// The host's capacity and the part of it for batch.
    void setLimit(const Wire::Resources& limit) { m_ledger.setLimit(limit); }
    /// False until the worker has been asked what runs there: nothing is reserved before.
    bool isReady() const { return m_clock.has_value(); }
    /// No new reservations from now on.
    void leave() { m_leaving = true; }

    void onReserve(Instant now, LinkId link, const Wire::ReserveRequest& request, Actions& actions);
    void onStart(Instant now, LinkId link, const Wire::StartRequest& request, Actions& actions);
    void onHold(Instant now, LinkId link, const Wire::HoldRequest& request, Actions& actions);
    void onStop(Instant now, LinkId link, const Wire::StopRequest& request, Actions& actions);
    void onListing(Instant now, const WorkerListing& listing, Actions& actions);
    void tick(Instant now, Actions& actions);

    Wire::Resources free() const { return m_ledger.free(); }
    std::size_t attempts() const { return m_attempts.size(); }

private:
    struct Attempt {
        Wire::AttemptState::type state = Wire::AttemptState::Absent;
        /// When the reservation or the leader's hold ends.
        Instant heldUntil;
        Instant lastRenewed;
        Instant lastReported;
        /// The connection of the leader that asked last.
        LinkId link = noLink;
        std::string result;
        std::string checkpoint;
        /// When a start was last sent that the worker has not listed yet.
        std::optional<Instant> startSentAt;
    };
    /// The worker's clock at a time of ours.
    struct WorkerClock {
        std::int64_t milliseconds = 0;
        Instant at;
    };

    bool acceptTerm(std::int64_t term);
    /// The attempt; one that is not here is recorded as absent, so that it never starts here later.
    Attempt& findOrFence(Instant now, LinkId link, const AttemptId& id);
    std::int64_t leaseEnd(Instant now, const Attempt& attempt) const;
    void renew(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions);
    void report(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions);
    void end(Instant now, const AttemptId& id, Attempt& attempt, Wire::AttemptState::type state, Actions& actions);
    void adopt(Instant now, const WorkerTask& task, Actions& actions);
    void observe(Instant now, const WorkerTask& task, Actions& actions);
    void endUnlisted(Instant now, const WorkerListing& listing, Actions& actions);

    std::string m_sideId;
    std::int64_t m_incarnation;
    LeaseTiming m_timing;
    HostCommitments m_ledger;
    std::map<AttemptId, Attempt> m_attempts;
    std::optional<WorkerClock> m_clock;
    std::int64_t m_newestTerm = 0;
    Instant m_lastListed;
    bool m_leaving = false;
};

} // namespace Plantainpier
