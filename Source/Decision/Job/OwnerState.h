/// In-memory state of the owner of jobs. Shared by the components of JobOwner.
#pragma once

#include "Base/LogLine.h"
#include "Decision/Admission/AdmissionRules.h"
#include "Decision/Job/ClockMargin.h"
#include "Decision/Job/HostRegistry.h"
#include "Decision/Job/JobState.h"
#include "Decision/Job/StoreWriter.h"
#include "Decision/Locality/LocalityWait.h"
#include "Decision/Placement/FillerPlacement.h"
#include "Decision/Version/QueuePolicy.h"
#include "Decision/Zone/ZoneClosures.h"

#include <functional>
#include <memory>

namespace Plantainpier {

/// Limits of the deployment, from its settings, and the owner's timing.
struct OwnerRules {
    /// Length of a host's lease from the newest reading of the host's clock; below the platform's longest lease.
    Duration lease = seconds(5);
    /// The platform's longest lease. A host may hold one this long by an order to an earlier incarnation.
    Duration longestLease = seconds(10);
    /// An owner grants no leases if the store has not confirmed its ownership for this time. A successor waits this
    /// long, so that no earlier owner can still be granting leases.
    Duration ownershipHold = seconds(9);
    /// Longest uninterrupted time for which co-located tasks may push a serving task over its target.
    Duration interferenceBound = seconds(4);
    /// Longest time that a host takes to stop a run.
    Duration longestHalt = milliseconds(900);
    /// Finished jobs are kept for this time, so that clients can query their outcome.
    Duration finishedJobRetention = seconds(120);
    /// Submissions are refused once an append has been unanswered for this time: a client is then served sooner by
    /// retrying than by waiting.
    Duration storeUnavailableAfter = milliseconds(700);
    /// For this long after a confirmed pulse was sent, no successor claims the ownership. After that, without a newer
    /// pulse, the owner may have been replaced.
    Duration ownershipCertainFor = milliseconds(700);
    /// The largest record that the store takes, with its key.
    std::size_t maximumRecordBytes = 262'144;
    /// Retry delay sent to callers that are refused, such as while the store is unavailable or ownership is uncertain.
    Duration storeRetryAfter = seconds(1);
    /// An owner starts nothing if it has not learned of closed zones for this time. Unset: no start is held back.
    std::optional<Duration> zoneClosureBound;
    FillerPlacement fillerPlacement = FillerPlacement::Pace;
    /// Part of the bound that is left for the delivery of an order to its host.
    Duration startDeliveryMargin = seconds(1);
    /// Interval at which the owner stores the interference that it has learned, for its successors. Unset: not stored.
    std::optional<Duration> interferenceRecordInterval;
    /// Delay before a task is retried after a failure or a refused start, so that a broken host does not use up the
    /// task's attempts.
    Duration retryDelayAfterFailure = milliseconds(50);
    /// Waits of tasks for a place near their data or group.
    LocalityRules locality;
    AdmissionMode admission = AdmissionMode::Off;
    OverloadOrder overloadOrder = OverloadOrder::LeastSlack;
};

/// Counters of the owner. The shell publishes them as metrics.
struct OwnerCounters {
    std::int64_t accepted = 0;
    std::int64_t refused = 0;
    /// Starts that were ordered, those that hosts have confirmed, and those that hosts or sides have refused.
    std::int64_t orderedStarts = 0;
    std::int64_t started = 0;
    std::int64_t refusedStarts = 0;
    std::int64_t completedTasks = 0;
    std::int64_t failedTasks = 0;
    std::int64_t lostRuns = 0;
    std::int64_t lapsedRuns = 0;
    std::int64_t haltedRuns = 0;
    std::int64_t completedJobs = 0;
    std::int64_t failedJobs = 0;
    std::int64_t pacesSent = 0;
    /// Fillers that were stopped to continue on another host.
    std::int64_t fillerMoves = 0;
    /// Listed run ends of unknown tasks and of runs that another run had replaced.
    std::int64_t endsWithoutEffect = 0;
    /// Reports of an earlier incarnation or connection, and lists under an earlier fence.
    std::int64_t outdatedReports = 0;
    /// Orders that a list under a higher fence showed to have never been carried out.
    std::int64_t voidOrders = 0;
    /// Searches for a host over all open hosts.
    std::int64_t hostSearches = 0;
    /// Hosts examined in these searches and in those for less urgent runs to stop.
    std::int64_t hostEvaluations = 0;
    /// Scheduling passes, and the steps with waiting tasks that they went through.
    std::int64_t passes = 0;
    std::int64_t waitingStepsExamined = 0;
    /// Searches for less urgent runs to stop, each over all open hosts.
    std::int64_t preemptionSearches = 0;
    /// Runs that were listed as running and later missing without a listed end.
    std::int64_t vanishedRuns = 0;
};

/// Jobs, hosts and store writes of one term.
struct OwnerState {
    OwnerState(std::string owner, std::int64_t ownTerm, const OwnerRules& ownRules, Instant now)
        : nodeId(std::move(owner))
        , term(ownTerm)
        , rules(ownRules)
        , ownedSince(now)
        , highestFence(ownTerm * fencesPerTerm)
        , locality(rules.locality)
        , storeWriter(StoreTopic::Jobs, ownTerm, StoreWriterTiming {})
    {
    }

    std::string nodeId;
    std::int64_t term;
    OwnerRules rules;
    Instant ownedSince;
    /// Highest fence that has been assigned to any host.
    std::int64_t highestFence;
    /// A fence could not be raised within the term, so only the owner of a later term can void earlier orders.
    bool fencesUsedUp = false;
    /// A task has no further run number within the term, so only the owner of a later term can start it.
    bool runNumbersUsedUp = false;
    /// Wall-clock time of the last tick.
    std::int64_t unixMilliseconds = 0;
    std::shared_ptr<const PolicySnapshot> policy;
    ZoneClosures zoneClosures;
    std::map<std::string, std::unique_ptr<JobState>> jobs;
    /// Unfinished jobs whose acceptance is persisted.
    std::map<std::string, JobState*> openJobs;
    HostRegistry hosts;
    LocalityWait locality;
    /// Hosts that departed recently, and when.
    std::map<std::string, Instant> departedHosts;
    StoreWriter storeWriter;
    /// Jobs with progress that has not been passed to the store writer.
    std::set<std::string> dirtyJobs;
    Instant dirtySince;
    /// The progress of dirty jobs is to be written on the next tick.
    bool flushNow = false;
    /// A change may allow a waiting task to start.
    bool scheduleDue = true;
    /// Last time at which no other entry can have owned the jobs: when the newest append or pulse that the store
    /// confirmed was sent.
    Instant ownershipConfirmedAt;
    /// When the newest pulse in the store was first sent. A pulse is the owner's heartbeat record in the store; other
    /// entries claim ownership when pulses stop, even if other records still arrive.
    Instant pulseConfirmedAt;
    /// This owner has handed over. From then on the store may show its resignation, and a successor waits only until
    /// this owner's leases have ended.
    bool handedOver = false;
    OwnerCounters counters;

    /// No other entry can own the jobs, according to a recent confirmation by the store.
    bool isOwnershipCertain(Instant now) const { return !handedOver && ownershipAge(now) <= rules.ownershipCertainFor; }
    /// Time since the newest pulse that the store has confirmed was sent: no later owner can have followed before that.
    Duration ownershipAge(Instant now) const { return now - pulseConfirmedAt; }
    bool mayGrantLeases(Instant now) const { return !handedOver && now < ownershipConfirmedAt + rules.ownershipHold; }

    /// Whether the closed zones are known as of a time that is recent enough for starts.
    bool areZoneClosuresKnown(Instant now) const
    {
        if (!rules.zoneClosureBound)
            return true;
        const std::optional<Instant> asOf = zoneClosures.knownAsOf();
        return asOf && now - *asOf <= *rules.zoneClosureBound - rules.startDeliveryMargin;
    }

    /// Raises the host's fence. Once the host has been listed under the new fence, the host refuses every earlier
    /// order. Such an order could otherwise be carried out late, over another connection or by a later incarnation. No
    /// run is started on the host until that list is received.
    void raiseFence(Host& host)
    {
        if (highestFence + fencesPerOwnerFence < (term + 1) * fencesPerTerm)
            highestFence += fencesPerOwnerFence;
        else
            fencesUsedUp = true;
        host.fence = highestFence;
        host.listed = false;
        host.acknowledgementDue = true;
        host.orders.starts.clear();
        host.orders.halts.clear();
        host.orders.paces.clear();
        HostRegistry::forgetPaces(host);
    }

    JobState* findJob(const std::string& jobId)
    {
        std::map<std::string, std::unique_ptr<JobState>>::iterator it = jobs.find(jobId);
        return it == jobs.end() ? nullptr : it->second.get();
    }

    /// Schedules a write of the job's progress: on the next tick if urgent, within a short delay otherwise.
    void markDirty(Instant now, const std::string& jobId, bool urgent)
    {
        if (dirtyJobs.empty())
            dirtySince = now;
        dirtyJobs.insert(jobId);
        flushNow = flushNow || urgent;
    }

    /// Number of open jobs of which no host has shown a start.
    int countJobsWithoutStart() const
    {
        int count = 0;
        for (const std::pair<const std::string, JobState*>& entry : openJobs)
            count += entry.second->hasStarted() ? 0 : 1;
        return count;
    }

    /// Number of hosts with an unexpired lease that have not been listed in this term. Such a host may have runs that
    /// this owner has no record of.
    int countUnlistedHosts(Instant now) const
    {
        int count = 0;
        for (const std::pair<const std::string, Host>& entry : hosts.hosts())
            count += !entry.second.listedInTerm && now < entry.second.leaseExpiresAt ? 1 : 0;
        return count;
    }

    /// Every run that this owner or an earlier one may have started is recorded or has ended.
    bool areAllHostsAccountedFor(Instant now) const { return countUnlistedHosts(now) == 0; }
};

/// Keys of the owner's records in the store.
namespace StoreKey {
    inline std::string job(const std::string& jobId) { return "j/" + jobId; }
    /// Part 0 of a job's progress has the key that the whole progress has in earlier versions.
    inline std::string progress(const std::string& jobId, int part = 0)
    {
        return "p/" + jobId + (part == 0 ? std::string() : "/" + std::to_string(part));
    }
    inline std::string cancellation(const std::string& jobId) { return "c/" + jobId; }
    inline std::string host(const std::string& hostId) { return "h/" + hostId; }
    inline std::string interference() { return "i/pressures"; }
}

} // namespace Plantainpier
