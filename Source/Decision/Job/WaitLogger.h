/// Logs why steps wait. The number of lines is bounded however many steps wait: the interval between the lines of one
/// step grows, so that other steps are logged too.
#pragma once

#include "Decision/Job/OwnerState.h"
#include "Decision/Placement/HostEligibility.h"

#include <map>
#include <string>
#include <tuple>

namespace Plantainpier {

/// Why a scheduling pass did not start a waiting task.
enum class WaitReason {
    /// Hosts known from an earlier owner have not reported yet and may run the task.
    HostsNotReported,
    /// The outcome of the task's last run has not been reported, and a successor of this owner may continue the run.
    EndNotReported,
    /// The task failed recently and is retried after a pause.
    Paused,
    /// No host is eligible; WaitingTask::hostCounts shows why.
    NoHost,
    /// The store record of the chosen host is not yet persisted.
    HostNotPersisted,
    /// Other members of the task's gang still run.
    GangIncomplete,
    /// The task has no further run number within the term.
    NoRunNumber,
    /// The task waits for a place near its data or group; see LocalityWait.
    LocalPlace,
};

/// A task that a scheduling pass did not start.
struct WaitingTask {
    const JobState& job;
    const StepState& step;
    const TaskState& task;
    WaitReason reason = WaitReason::NoHost;
    /// Result of the last search for a host in this pass.
    const HostEligibilityCounts& hostCounts;
};

/// Writes the `task_waits` log lines of one term. Used by TaskScheduler; has no influence on scheduling.
class WaitLogger {
public:
    explicit WaitLogger(const OwnerState& state)
        : m_state(state)
    {
    }

    /// Adds a log line if one is due for the step of the task.
    void logIfDue(Instant now, const WaitingTask& wait, Actions& actions);

private:
    using StepKey = std::tuple<std::string, int, int>;
    struct LoggedStep {
        Instant loggedAt;
        Duration interval;
    };

    bool mayLog(Instant now);
    void removeOldSteps(Instant now);

    const OwnerState& m_state;
    std::map<StepKey, LoggedStep> m_loggedSteps;
    /// Time of the scheduling pass that may add lines, and the number of lines added in this pass, in all and about
    /// steps that had been logged before.
    Instant m_loggingPass;
    int m_linesInPass = 0;
    int m_repeatsInPass = 0;
};

} // namespace Plantainpier
