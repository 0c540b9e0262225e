/// What the owner of jobs holds in memory; the parts of JobOwner work on it together.
#pragma once

#include "Base/LogLine.h"
#include "Decision/Job/HostRegistry.h"
#include "Decision/Job/JobState.h"
#include "Decision/Job/StoreWriter.h"
#include "Decision/Version/QueuePolicy.h"

#include <functional>
#include <memory>

namespace Plantainpier {

/// Bounds of the deployment, from its settings, and the owner's own times.
struct OwnerRules {
    /// Lease of what runs on a host, from the newest reading of the host's clock; below the platform's longest hold.
    Duration lease = seconds(5);
    /// The platform's longest lease: what a host may hold by an order to an earlier life of it.
    Duration longestLease = seconds(10);
    /// An owner that has not reached the store for this long grants nothing any more; its successor waits it out.
    Duration ownershipHold = seconds(9);
    /// Hosts' clocks may be this share slow.
    double clockSlowness = 0.02;
    /// A serving task may be over its target by others' doing for this long on end.
    Duration harmBound = seconds(4);
    /// Finished jobs are remembered this long.
    Duration statusMemory = seconds(120);
    /// The store counts as away when an append has been tried for this long; a refusal is then quicker than a wait.
    Duration storeAway = milliseconds(700);
    /// An owner whose signs of life the store has not confirmed for this long may have been replaced; a successor
    /// claims no sooner.
    Duration certainFor = milliseconds(700);
    /// Told to callers that are refused while the store is away or no owner is known.
    Duration storeRetryAfter = seconds(1);
    /// A task that failed by itself is tried again after this, so that a broken host does not use up its attempts.
    Duration failurePause = milliseconds(50);

    /// How long something that another clock measures must be waited for, by this process's clock.
    Duration stretched(Duration duration) const
    {
        return std::chrono::duration_cast<Duration>(duration * (1 + 1.5 * clockSlowness)) + milliseconds(20);
    }
};

/// Counters and latencies that the owner collects; the shell turns them into metrics.
struct OwnerCounters {
    std::int64_t accepted = 0;
    std::int64_t refused = 0;
    std::int64_t started = 0;
    std::int64_t completedTasks = 0;
    std::int64_t failedTasks = 0;
    std::int64_t lostRuns = 0;
    std::int64_t lapsedRuns = 0;
    std::int64_t haltedRuns = 0;
    std::int64_t completedJobs = 0;
    std::int64_t failedJobs = 0;
    std::int64_t pacesSent = 0;
    /// Listed ends that changed nothing although their job is not finished.
    std::int64_t endsWithoutEffect = 0;
    /// Reports over an earlier connection and lists under a lower fence.
    std::int64_t reportsOutOfDate = 0;
    /// Orders that were never carried out, known by a list under a higher fence.
    std::int64_t voidOrders = 0;
    /// Runs that were listed and then neither listed nor ended.
    std::int64_t vanishedRuns = 0;
};

/// Jobs, hosts and the journal of one term.
struct OwnerState {
    OwnerState(std::string owner, std::int64_t ownTerm, const OwnerRules& ownRules, Instant now)
        : nodeId(std::move(owner))
        , term(ownTerm)
        , rules(ownRules)
        , ownedSince(now)
        , lastFence(ownTerm * fencesOfATerm)
        , journal(StoreTopic::Jobs, ownTerm, StoreWriterTiming {})
    {
    }

    std::string nodeId;
    std::int64_t term;
    OwnerRules rules;
    Instant ownedSince;
    /// The highest fence that was given to any host.
    std::int64_t lastFence;
    /// Wall clock at the newest event.
    std::int64_t unixMilliseconds = 0;
    std::shared_ptr<const PolicySnapshot> policy;
    std::map<std::string, std::unique_ptr<JobState>> jobs;
    /// Jobs whose acceptance is stored and that are not finished.
    std::map<std::string, JobState*> openJobs;
    HostRegistry hosts;
    /// Hosts that have ended lately, and when.
    std::map<std::string, Instant> departedHosts;
    StoreWriter journal;
    /// Jobs with progress that is not in the journal yet.
    std::set<std::string> dirtyJobs;
    Instant dirtySince;
    bool flushNow = false;
    /// Something changed that may let a task start.
    bool scheduleDue = true;
    /// When this process last knew that nobody else owned: the start of the newest append or sign of life that the
    /// store confirmed.
    Instant confirmedAt;
    /// The same for signs of life alone: others claim when these fail to come, whatever else is stored.
    Instant pulseConfirmedAt;
    /// The store may show that this owner has resigned: a successor waits for its leases from then on.
    bool handedOver = false;
    OwnerCounters counters;

    /// Nobody else owns as far as the store has confirmed lately.
    bool isCertain(Instant now) const { return !handedOver && now - pulseConfirmedAt <= rules.certainFor; }
    /// Leases may be granted and extended.
    bool mayGrant(Instant now) const { return !handedOver && now < confirmedAt + rules.ownershipHold; }

    /// Makes the host refuse every order that was sent to it before, once it has been listed again: orders may be
    /// carried out late, over another connection or by a later life. Until then nothing is started on it.
    void raiseFence(Host& host)
    {
        lastFence = std::min(lastFence + fencesOfASide, (term + 1) * fencesOfATerm - fencesOfASide);
        host.fence = lastFence;
        host.listed = false;
        host.acknowledgeDue = true;
        host.orders.starts.clear();
        host.orders.halts.clear();
        host.orders.paces.clear();
    }

    JobState* findJob(const std::string& jobId)
    {
        std::map<std::string, std::unique_ptr<JobState>>::iterator it = jobs.find(jobId);
        return it == jobs.end() ? nullptr : it->second.get();
    }

    void markDirty(Instant now, const std::string& jobId, bool waited)
    {
        if (dirtyJobs.empty())
            dirtySince = now;
        dirtyJobs.insert(jobId);
        flushNow = flushNow || waited;
    }

    /// Hosts that may run what this owner does not know of: not heard yet, with a lease that is not over.
    int hostsUnheard(Instant now) const
    {
        int count = 0;
        for (const std::pair<const std::string, Host>& entry : hosts.hosts())
            count += !entry.second.listed && now < entry.second.lapsesAt ? 1 : 0;
        return count;
    }

    /// Everything that this owner or an earlier one may have started is known or over.
    bool hostsAccounted(Instant now) const { return hostsUnheard(now) == 0; }

    /// How long whoever was granted a lease must be waited for, by this process's clock.
    Duration stretched(Duration duration) const { return rules.stretched(duration); }
};

/// Keys of the records in the store.
namespace StoreKey {
    inline std::string job(const std::string& jobId) { return "j/" + jobId; }
    inline std::string progress(const std::string& jobId) { return "p/" + jobId; }
    inline std::string cancellation(const std::string& jobId) { return "c/" + jobId; }
    inline std::string host(const std::string& hostId) { return "h/" + hostId; }
}

} // namespace Plantainpier
