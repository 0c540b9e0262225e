/// The owner's records of hosts: their runs, committed resources, health and leases.
#pragma once

#include "Decision/Process/Message.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace Plantainpier {

/// Identifies one run of one task: job, occurrence, step, task index and run number.
using RunKey = std::tuple<std::string, int, int, int, int>;
inline RunKey runKey(const Wire::TaskName& task, int run)
{
    return { task.jobId, task.occurrence, task.step, task.index, run };
}

/// Number of fences reserved for each term, so that the fences of two terms never overlap.
constexpr std::int64_t fencesPerTerm = 1 << 24;
/// Number of fences reserved for each fence that the owner assigns. The host's side raises the fence within this range
/// when the side loses contact with the host.
constexpr std::int64_t fencesPerOwnerFence = 1 << 8;

constexpr int fullPacePercent = 100;
constexpr int unknownPacePercent = -1;

enum class RunPhase {
    /// The start was ordered but has not been confirmed.
    Ordered,
    Running,
    /// A halt was ordered. The run keeps its resources until its end is listed.
    Halting,
};

/// A run that is active on a host or may still start there.
struct HostRun {
    Wire::TaskName task;
    int run = 0;
    RunPhase phase = RunPhase::Ordered;
    /// Fence under which the run was ordered or last listed. The run can no longer start once the host has been listed
    /// under a higher fence.
    std::int64_t fence = 0;
    Wire::Resources demand;
    /// A best-effort task that uses idle processors. Its processor demand is not committed on the host.
    bool filler = false;
    bool longRunning = false;
    /// The run began under an earlier owner; placedAt is when this owner learned of it.
    bool adopted = false;
    /// Nothing is wrong if the task starts again after an end that nobody has read.
    bool mayRunTwice = false;
    /// The run was ordered on an earlier incarnation, and this one has not listed it.
    bool ofEarlierIncarnation = false;
    int priority = 0;
    std::string image;
    std::int64_t targetMilliseconds = 0;
    std::int64_t estimateMilliseconds = 0;
    /// When the run was ordered or adopted.
    Instant placedAt;
    /// Whether the run is away from the data of its step or from its gang; unset if another owner ordered it.
    std::optional<bool> isAway;
    /// When the host first reported the run as started; the epoch before that.
    Instant startConfirmedAt;
    /// Progress of the run. A serving task reports 100 while it is ready to serve.
    int progressPercent = 0;
    /// Pace of the newest order over the current connection. Before the first one, the acknowledged pace.
    int orderedPacePercent = fullPacePercent;
    /// Pace that the host acknowledged last, as its side reports it. Sides of earlier versions report none; the ordered
    /// pace then counts as in force.
    std::optional<int> acknowledgedPacePercent;
    Instant paceOrderedAt;
    /// Smoothed pace of a filler, from 0 to 1, without probes; see PaceController::adjustPaces().
    double recentPace = 1;
    Instant paceSampledAt;
    /// As listed: tail latency in milliseconds for a serving task, processors in thousandths of a core otherwise.
    std::int64_t usage = 0;
    /// A list of the host has shown the run since it was ordered.
    bool listed = false;
    /// Number of the newest list with a row for the run; see Host::listNumber.
    std::uint64_t listNumber = 0;
    /// When the serving task began to exceed its target; the epoch while the target is met.
    Instant overTargetSince;
    /// Until then fillers are not slowed down for this task, because its own load exceeds its target.
    Instant slowdownExemptUntil;
    /// Newest checkpoint that the host has listed.
    std::string checkpoint;
    /// Progress of the run when the host first listed that checkpoint; the work after it is repeated if the run stops.
    int checkpointPercent = 0;

    /// The run has not been reported as started, but may have started or may still start.
    bool isStartUnconfirmed() const { return startConfirmedAt == Instant(); }
    /// The pace at which the run works as far as known, or unknownPacePercent.
    int knownPacePercent() const { return acknowledgedPacePercent.value_or(orderedPacePercent); }
    /// The highest pace at which the run may be working, whether or not the newest order is in force.
    int highestPacePercent() const;
};

/// Processors that the runs of a host request, in thousandths of a core.
struct ProcessorUse {
    std::int64_t longRunning = 0;
    std::int64_t batch = 0;
    /// At the highest paces that may be in force.
    std::int64_t fillers = 0;
};

/// Interference that the serving tasks of one image on a host tolerate, as headroom.
struct ServingGroup {
    std::string image;
    /// Ratio of target to tail latency of the worst task, as listed: 1 at the target, 3 when the tail is a third of it.
    double headroom = 0;
    /// Headroom that fillers use now, derived from their processor usage.
    double headroomUsed = 0;
    /// Headroom that fillers may use at the highest paces that may be in force.
    double headroomOrdered = 0;
    /// Headroom still available to fillers; see PaceController::adjustPaces().
    double headroomLeft = 0;
};

/// Health of a host, derived from the ends of its runs.
struct HostHealth {
    /// Jobs whose tasks have failed on this host since the last task completed.
    std::set<std::string> failedJobs;
    /// No task is started on the host before this time; the host is on probation afterwards.
    Instant quarantinedUntil;
    /// Until a task has shown that the host works, one task at a time is started there.
    bool onProbation = false;
    /// Smoothed ratio of run time to estimate; 1 is as expected.
    double slowness = 1;
};

/// One incarnation of a host.
struct Host {
    std::string hostId;
    std::int64_t incarnation = 0;
    LinkId link = noLink;
    /// Newest connection over which the host has reported. Reports over an earlier one are outdated.
    LinkId newestLink = noLink;
    /// Fence of the host's orders and lists; see OwnerState::raiseFence().
    std::int64_t fence = 0;
    /// Node id and address of the host's side; empty if unknown. A side has one host at a time.
    std::string sideId;
    std::string service;
    std::string zone;
    /// Operators have closed the zone, so nothing is started on the host; see ZoneClosures.
    bool zoneClosed = false;
    std::string rack;
    std::vector<std::string> labels;
    Wire::Resources capacity;
    bool draining = false;
    /// Earliest time at which the draining host shuts down.
    Instant shutdownAt;
    /// The host accepted no new connection when its side last tried. Its runs may continue, so they are kept, but
    /// nothing is placed on the host.
    bool refusesConnections = false;
    /// A complete list of the host's runs under the current fence has been received.
    bool listed = false;
    /// A complete list under any fence of this term has been received. From then on the host refuses every order of an
    /// earlier owner, so all of its runs are recorded, also while the next list under a raised fence is awaited.
    bool listedInTerm = false;
    /// Number of lists of this incarnation that were processed.
    std::uint64_t listNumber = 0;
    /// Orders to an earlier incarnation may have reached this one; false once a list has been processed.
    bool hasEarlierIncarnation = false;
    /// An acknowledgement to an earlier incarnation may have reached this one, which then forgets as many of its first
    /// ends unlisted. False once an end of this incarnation has been listed: numbers of ends rise, so all later ends
    /// are listed. Until then only runs that may start again are placed; see TaskScheduler::startEndTrials().
    bool mayForgetEnds = false;
    /// Number of trials at the same time. Doubles when the end of one is forgotten, since many may be.
    std::size_t endTrials = 1;
    /// The incarnation has shut down. Only runs that a later incarnation may still start are kept.
    bool departed = false;
    /// Sequence number of the write of the host's record; no run is ordered before that write is persisted.
    std::uint64_t recordSequenceNumber = 0;
    /// Whether that write was persisted at the start of the newest scheduling pass.
    bool isRecordPersisted = true;
    /// Time of the last report, or of the loss of the connection after that.
    Instant lastContactAt;
    /// Newest reading of the host's clock, and when it was received.
    std::int64_t clockMilliseconds = 0;
    Instant clockReadAt;
    /// End of the lease by the host's clock.
    std::int64_t leaseUntilMilliseconds = 0;
    /// No run that was ordered on the host continues after this time of this process's clock.
    Instant leaseExpiresAt;
    /// Number of the newest run end that has been processed.
    std::int64_t lastEndNumber = 0;
    /// Number of the newest run end that is persisted and may be acknowledged.
    std::int64_t acknowledgedNumber = 0;
    bool acknowledgementDue = false;
    /// Run ends that are not yet persisted: the number of the end, and the sequence number of the write that persists
    /// it, or 0 until that write is assigned.
    std::deque<std::pair<std::int64_t, std::uint64_t>> unpersistedEnds;
    std::map<RunKey, HostRun> runs;
    /// Number of runs in the phase Ordered.
    std::size_t unconfirmedStarts = 0;
    /// Sum of all runs; fillers commit memory and accelerators only.
    Wire::Resources committed;
    ProcessorUse processorUse;
    HostHealth health;
    /// Orders that have not been sent yet.
    Wire::HostOrders orders;
    /// All fillers are stopped until then, to test whether fillers push a serving task over its target.
    Instant probeUntil;
    Instant paceRaisedAt;
    /// Serving tasks by image, as of the newest list and the orders since; see InterferenceModel.
    std::vector<ServingGroup> servingGroups;

    std::int64_t freeMilliCores() const { return capacity.milliProcessors - committed.milliProcessors; }
    std::int64_t freeMegabytes() const { return capacity.memoryMegabytes - committed.memoryMegabytes; }
    std::int32_t freeAccelerators() const { return capacity.accelerators - committed.accelerators; }
};

/// All hosts of the owner, by id. Used by JobOwner and Placement.
class HostRegistry {
public:
    std::map<std::string, Host>& hosts() { return m_hosts; }
    const std::map<std::string, Host>& hosts() const { return m_hosts; }
    Host* find(const std::string& hostId);
    std::size_t countInClosedZones() const;

    /// Adds a run and commits the run's demand.
    static HostRun& addRun(Host& host, HostRun run);
    /// Removes a run and frees the run's demand. Returns nothing if there is no such run.
    static std::optional<HostRun> removeRun(Host& host, const RunKey& key);
    static void setPhase(Host& host, HostRun& run, RunPhase phase);
    /// Records the ordered pace of a run of the host.
    static void setOrderedPace(Host& host, HostRun& run, int percent);
    /// Records what the side of the host reports of a run's pace.
    static void setAcknowledgedPace(Host& host, HostRun& run, std::optional<int> percent);
    /// Makes the paces of all runs unknown: orders of an earlier connection may be lost, or may still be carried out.
    static void forgetPaces(Host& host);
    /// Whether the end of the run may stay unknown although the task must not run twice.
    static bool mayLoseEndOf(const Host& host, const HostRun& run) { return host.mayForgetEnds && !run.mayRunTwice; }
    /// Long-running tasks start again however they end.
    static bool mayRunTwice(const Wire::StepDefinition& step) { return step.longRunning || step.allowDuplicates; }
    /// Number of runs of a step on the host.
    static int countRunsOfStep(const Host& host, const std::string& jobId, int occurrence, int step);

private:
    static void changePace(Host& host, HostRun& run, int orderedPercent, std::optional<int> acknowledgedPercent);

    std::map<std::string, Host> m_hosts;
};

} // namespace Plantainpier
