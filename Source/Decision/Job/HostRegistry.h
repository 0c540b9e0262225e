/// The hosts as the owner knows them: what runs on each, what is committed, and until when its lease lasts.
#pragma once

#include "Decision/Process/Message.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace Plantainpier {

/// Names one run of one task.
using RunKey = std::tuple<std::string, int, int, int, int>;
inline RunKey runKey(const Wire::TaskName& task, int run)
{
    return { task.jobId, task.occurrence, task.step, task.index, run };
}

/// Fences of one term; terms do not overlap.
constexpr std::int64_t fencesOfATerm = 1 << 24;
/// Fences that a side may use for one that the owner gave: it raises its own when it loses contact with the host.
constexpr std::int64_t fencesOfASide = 1 << 8;

enum class RunPhase {
    /// Ordered; whether it runs is not known yet.
    Ordered,
    Running,
    /// Told to stop; it counts until its end is listed.
    Halting,
};

/// A run that is on a host or may come to be there.
struct HostRun {
    Wire::TaskName task;
    int run = 0;
    RunPhase phase = RunPhase::Ordered;
    /// Under which it was ordered or adopted: once the host has been listed under a higher one it cannot begin any
    /// more.
    std::int64_t fence = 0;
    Wire::Resources demand;
    /// Its processors are not counted against the host; it gets what the others leave.
    bool filler = false;
    bool longRunning = false;
    int priority = 0;
    std::string image;
    std::int64_t targetMilliseconds = 0;
    std::int64_t estimateMilliseconds = 0;
    Instant since;
    /// When the host was first heard to have begun it; the epoch before that.
    Instant confirmedAt;
    /// Share of the run that is done; for a task that serves, 100 says that it is at work.
    int progressPercent = 0;
    /// The pace that was ordered last. Hosts do not list it.
    int orderedPercent = 100;
    std::int64_t usage = 0;
    /// Whether the list of a report has shown it since it was ordered.
    bool listed = false;
    /// Since when a task that serves has been over its target; the epoch when it is not.
    Instant overSince;
    /// Until then it counts as over its target by its own load.
    Instant acquittedUntil;
    /// The newest saved progress that the host has listed.
    std::string checkpoint;

    /// It may not have begun yet and may still do so.
    bool isUnresolved() const { return confirmedAt == Instant(); }
};

/// What the serving tasks of one image on a host can bear.
struct ServingGroup {
    std::string image;
    /// Target over tail of the worst of them, as listed: 1 at the target, 3 when the tail is a third of it.
    double headroom = 0;
    /// Headroom that fillers take from it now, by the processors that they use.
    double exerted = 0;
    /// Headroom that fillers take once the paces that were ordered show.
    double ordered = 0;
    /// Headroom that may still be given to fillers; see PaceController::adjust().
    double left = 0;
};

/// What the results of a host say about it.
struct HostHealth {
    /// Jobs whose tasks failed here since the last success.
    std::set<std::string> failedJobs;
    /// No new work before this; one task is tried afterwards.
    Instant quarantinedUntil;
    bool onTrial = false;
    /// Smoothed ratio of the time taken to the estimate; 1 is as expected.
    double slowness = 1;
};

/// One incarnation of a host.
struct Host {
    std::string hostId;
    std::int64_t incarnation = 0;
    LinkId link = noLink;
    /// The newest connection that it was heard over. What comes over an earlier one is out of date.
    LinkId newestLink = noLink;
    /// Under which it is ordered and listed; see OwnerState::raiseFence().
    std::int64_t fence = 0;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Wire::Resources capacity;
    bool draining = false;
    Duration remaining {};
    /// A list of its runs has come that was asked for under the present fence.
    bool listed = false;
    /// Orders to an earlier life under this id may have reached it; false once it has been listed.
    bool hasEarlierLife = false;
    /// This life has ended; only what a later life under the same id may still begin is kept.
    bool departed = false;
    /// Ticket of its record; nothing is ordered before that is stored.
    std::uint64_t recordTicket = 0;
    Instant heardAt;
    std::int64_t clockMilliseconds = 0;
    Instant clockReadAt;
    std::int64_t leaseUntilMilliseconds = 0;
    /// Nothing that was ordered here runs after this, by this process's clock.
    Instant lapsesAt;
    std::int64_t seenNumber = 0;
    std::int64_t acknowledgedNumber = 0;
    bool acknowledgeDue = false;
    /// Ends up to a number that are stored once a ticket of the journal is.
    std::deque<std::pair<std::int64_t, std::uint64_t>> unstoredEnds;
    std::map<RunKey, HostRun> runs;
    /// Committed by all runs; fillers commit memory and accelerators only.
    Wire::Resources committed;
    HostHealth health;
    /// Orders to send.
    Wire::HostOrders orders;
    /// All fillers stand still until then, to see whether they keep a serving task over its target.
    Instant probeUntil;
    Instant paceRaisedAt;
    /// Its serving tasks as of the newest list and the orders since; see InterferenceModel.
    std::vector<ServingGroup> servingGroups;

    std::int64_t freeMilliCores() const { return capacity.milliProcessors - committed.milliProcessors; }
    std::int64_t freeMegabytes() const { return capacity.memoryMegabytes - committed.memoryMegabytes; }
    std::int32_t freeAccelerators() const { return capacity.accelerators - committed.accelerators; }
};

/// All hosts of the owner. Used by JobOwner and Placement.
class HostRegistry {
public:
    std::map<std::string, Host>& hosts() { return m_hosts; }
    const std::map<std::string, Host>& hosts() const { return m_hosts; }
    Host* find(const std::string& hostId);

    /// Adds a run and commits its demand.
    static HostRun& addRun(Host& host, HostRun run);
    /// Removes a run and frees its demand; nothing when it is not there.
    static std::optional<HostRun> removeRun(Host& host, const RunKey& key);
    /// Runs of a step that are on the host.
    static int runsOfStep(const Host& host, const std::string& jobId, int occurrence, int step);

private:
    std::map<std::string, Host> m_hosts;
};

} // namespace Plantainpier
