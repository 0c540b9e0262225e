/// Matches the runs that hosts report with the tasks of jobs. Used by JobOwner and TaskScheduler. Reports may arrive
/// late, more than once, or from an earlier incarnation of a host.
#pragma once

#include "Decision/Job/OwnerState.h"

namespace Plantainpier {

/// Processes the reports of hosts, ends runs and applies their outcome to their tasks. Lives as long as the term.
class RunTracker {
public:
    /// Time from the end of a run until its owner has read it: the pause of the side between two lists, the list, and
    /// the way to the owner.
    static constexpr Duration timeToListAnEnd = milliseconds(300);

    explicit RunTracker(OwnerState& state)
        : m_state(state)
    {
    }

    void onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    void onLinkDown(Instant now, LinkId link);
    /// Abandons runs on hosts whose lease has expired and removes hosts that have been disconnected too long.
    void tick(Instant now, Actions& actions);
    /// Copies what the run requires of its host from the definition of the step.
    static void setRunRequirements(HostRun& run, const JobState& job, const StepState& step);
    /// Sends a halt order for every run of a job.
    void haltRunsOfJob(const std::string& jobId, Actions& actions);
    void haltRun(Host& host, HostRun& run, const char* reason, Actions& actions);
    /// Finishes a job as completed, failed or cancelled.
    void finishJob(
        Instant now, JobState& job, Wire::JobOutcome::type outcome, const std::string& reason, Actions& actions);
    /// A host refused an order because of its fence, or reported a higher term: a later owner exists.
    bool isFenced() const { return m_fenced; }

    /// Effect of a listed run end on its task.
    enum class RunEndEffect {
        Completion,
        Failure,
        FailureAlreadyCounted,
        /// The run was stopped, its lease lapsed, its gang broke, or its task is long-running. The task starts again.
        Interruption,
        TaskAlreadyCompleted,
        JobAlreadyFinished,
        UnknownTask,
        /// The run is not tracked, for example because it was abandoned, and another run of the task is active.
        SupersededRun,
    };

    /// How a host shows that a run started.
    enum class StartEvidence {
        /// The answer to the order.
        Answer,
        /// A row of a running task.
        List,
        /// A row of an ended task, without any evidence before.
        End,
    };

private:
    /// Finds or adds the incarnation that sent the report and updates its description.
    Host& updateHost(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    /// Adds a host that is unknown or that has a new incarnation.
    Host& addIncarnation(Instant now, const Wire::HostReport& report, Actions& actions);
    void onHostDeparted(Instant now, Host& host, Actions& actions);
    /// Removes a host without runs. Its record stays for a while, since its id may be used again.
    /// A side has one host at a time, and this one has just answered a list under a fence of this owner. Ends every
    /// host that an earlier owner recorded for the same side and that has not reported to this one: it would be waited
    /// for until the longest lease is over, as after a loss of power, when sides forget their hosts.
    void endPredecessors(Instant now, const Host& host, Actions& actions);
    void removeHost(Instant now, Host& host);
    /// Returns the sequence number of the write.
    std::uint64_t storeHostRecord(Instant now, const Host& host, Urgency urgency);
    void haltIfEndMayBeLost(Host& host, HostRun& run, Actions& actions);
    /// Allows more trials at once after the run of a trial has ended without a listed end.
    static void noteForgottenEnd(Host& host, const HostRun& run);
    void processRunList(Instant now, Host& host, const Wire::HostReport& report, Actions& actions);
    /// Adds the occurrences of the listed runs. An earlier owner may have seen an occurrence due before this owner
    /// does.
    void addListedOccurrences(Instant now, const Wire::HostReport& report);
    /// Records the acknowledged paces in a report without a list.
    static void recordAcknowledgedPaces(Host& host, const Wire::HostReport& report);
    void onOrderResult(Instant now, Host& host, const Wire::OrderResult& result, Actions& actions);
    /// Records that the host has shown the start of a run. This is the only place where a run or its job becomes
    /// started: the order alone may be lost, refused or never carried out. run is null for a run that is not tracked.
    void recordStart(Instant now, const Host& host, const Wire::TaskName& task, HostRun* run, StartEvidence evidence,
        Actions& actions);
    void onRunningTask(Instant now, Host& host, const Wire::RunningTask& listedRun, Actions& actions);
    void adoptRun(Instant now, Host& host, const Wire::RunningTask& listedRun, Actions& actions);
    void onEndedTask(Instant now, Host& host, const Wire::EndedTask& listedRun, Actions& actions);
    /// Determines the effect of a run end without applying it. wasTracked: the run was recorded on its host.
    RunEndEffect effectOfEnd(const Wire::EndedTask& listedRun, bool wasTracked);
    void onTaskCompleted(Instant now, const Host& host, JobState& job, TaskState& task,
        const Wire::EndedTask& listedRun, Actions& actions);
    /// Logs how long the step took and when its last run was started. The host ran its last task.
    static void logCompletedStep(
        Instant now, const JobState& job, const StepState& step, const Host& host, Actions& actions);
    void onTaskFailed(Instant now, JobState& job, const StepState& step, TaskState& task, int run, const Host& host,
        Actions& actions);
    void updateHostHealth(Instant now, Host& host, const HostRun& run, Wire::RunEnd::type runEnd, Actions& actions);
    /// Abandons runs that the host lists neither as running nor as ended and that can no longer start.
    void abandonUnlistedRuns(Instant now, Host& host, Actions& actions);
    /// The same for a report of changes, which names the runs that the previous list showed and the newest does not.
    void abandonRemovedRuns(Instant now, Host& host, const Wire::HostReport& report, Actions& actions);
    /// Abandons a run that a list under the host's current fence does not show.
    void abandonMissingRun(Instant now, Host& host, const RunKey& key, Actions& actions);
    /// Abandons all runs of a host whose lease has expired. Their ends have not been reported.
    void abandonRunsAfterLeaseExpiry(Instant now, Host& host, Actions& actions);
    /// Abandons the runs that ended with an incarnation of the host. Runs with an unconfirmed start are kept, because a
    /// later incarnation may still start them, and runs of an earlier incarnation, if this one never listed anything.
    void abandonConfirmedRuns(Instant now, Host& host, RunFate fate, Actions& actions);
    void logLostRuns(Instant now, const Host& host, std::size_t runs, RunFate fate, Actions& actions) const;
    void abandonRun(Instant now, Host& host, const RunKey& key, RunFate fate);
    /// Halts the runs that are not expected to end in time before the host shuts down.
    void haltRunsForDrain(Instant now, Host& host, Actions& actions);
    /// Removes the host's run from its task. The task returns to waiting if it has no other run.
    void removeRunFromTask(Instant now, const Host& host, const Wire::TaskName& name, int run, RunFate fate,
        const std::string& checkpoint);

    OwnerState& m_state;
    bool m_fenced = false;
};

} // namespace Plantainpier
