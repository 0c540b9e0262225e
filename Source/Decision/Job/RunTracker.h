/// Keeps jobs and hosts in step: takes reports of hosts in, ends runs, and decides what a run that is over means for
/// its task. Answers the pattern "late, lost and repeated news": every report may come twice, late or from an earlier
/// life.
#pragma once

#include "Decision/Job/OwnerState.h"

namespace Plantainpier {

/// The owner's bookkeeping of runs. Lives as long as the term.
class RunTracker {
public:
    explicit RunTracker(OwnerState& state)
        : m_state(state)
    {
    }

    void onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    void onLinkDown(Instant now, LinkId link);
    /// Gives up what ran on hosts whose lease is over, forgets hosts that stay away.
    void tick(Instant now, Actions& actions);
    /// What a run of the step's tasks asks of its host, by the job's definition.
    static void describe(HostRun& run, const JobState& job, const StepState& step);
    /// Orders the end of every run of a job.
    void haltJob(const std::string& jobId, Actions& actions);
    void halt(Host& host, HostRun& run, const char* why, Actions& actions);
    /// Finishes a job as completed, failed or cancelled.
    void finish(Instant now, JobState& job, Wire::JobOutcome::type outcome, const std::string& why, Actions& actions);
    /// A fence refused this owner's orders: a later owner has been there.
    bool isFenced() const { return m_fenced; }

    /// What the listed end of a run changes.
    enum class EndMeaning {
        Completion,
        Failure,
        /// A failure that has been counted before.
        FailureKnown,
        /// Stopped, lapsed or broken, or a task that lasts: it is started again.
        Interruption,
        TaskCompleted,
        JobFinished,
        UnknownTask,
        OtherRunUnderWay,
    };

private:
    Host& enter(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions);
    /// A host that is not known, or not in this life.
    Host& add(Instant now, const Wire::HostReport& report, Actions& actions);
    void onGone(Instant now, Host& host, Actions& actions);
    void takeList(Instant now, Host& host, const Wire::HostReport& report, Actions& actions);
    /// Hosts list runs of occurrences that an earlier owner has seen due and this one has not yet.
    void addOccurrences(Instant now, const Wire::HostReport& report);
    void onResult(Instant now, Host& host, const Wire::OrderResult& result, Actions& actions);
    void onRunning(Instant now, Host& host, const Wire::RunningTask& row, Actions& actions);
    void adopt(Instant now, Host& host, const Wire::RunningTask& row, Actions& actions);
    void onEnded(Instant now, Host& host, const Wire::EndedTask& row, Actions& actions);
    /// Changes nothing; known says whether the run was on the books of its host.
    EndMeaning meaningOf(const Wire::EndedTask& row, bool known);
    void onCompletion(Instant now, JobState& job, TaskState& task, const Wire::EndedTask& row, Actions& actions);
    void onFailure(Instant now, JobState& job, const StepState& step, TaskState& task, int run, const Host& host,
        Actions& actions);
    void learn(Instant now, Host& host, const HostRun& run, Wire::RunEnd::type how, Actions& actions);
    /// Settles what the list neither shows as running nor as ended.
    void settleUnlisted(Instant now, Host& host, const Wire::HostReport& report, Actions& actions);
    /// Gives up all runs of a host whose lease is over: it has not been heard to end.
    void loseLeasedRuns(Instant now, Host& host, Actions& actions);
    /// Gives up what ended with a life of the host. What may still begin is kept.
    void loseLife(Instant now, Host& host, const char* why, Actions& actions);
    void logLoss(Instant now, const Host& host, std::size_t runs, const char* why, Actions& actions) const;
    void giveUp(Instant now, Host& host, const RunKey& key, bool leaseOver);
    void drain(Instant now, Host& host, Actions& actions);
    /// Takes the run away from its task. The task waits again if it has no other.
    void release(Instant now, const Wire::TaskName& name, int run, const std::string& checkpoint);

    OwnerState& m_state;
    bool m_fenced = false;
};

} // namespace Plantainpier
