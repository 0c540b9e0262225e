/// Starts waiting tasks on hosts. Each pass takes the waiting steps in order of priority and places their tasks.
#pragma once

#include "Decision/Admission/FeasibleOrder.h"
#include "Decision/Job/CapacityLogger.h"
#include "Decision/Job/OwnerState.h"
#include "Decision/Job/RunTracker.h"
#include "Decision/Job/WaitLogger.h"
#include "Decision/Job/WorkPriority.h"
#include "Decision/Placement/FailedPlacements.h"
#include "Decision/Placement/FailedPreemptions.h"
#include "Decision/Placement/FillerRelocator.h"
#include "Decision/Placement/PaceController.h"
#include "Decision/Placement/Placement.h"

namespace Plantainpier {

/// The owner's scheduler; used by JobOwner. One instance serves one term.
class TaskScheduler {
public:
    TaskScheduler(OwnerState& state, RunTracker& runTracker, const PaceController& paceController,
        const FeasibleOrder& feasibleOrder, const PlacementRules& rules)
        : m_state(state)
        , m_runTracker(runTracker)
        , m_paceController(paceController)
        , m_feasibleOrder(feasibleOrder)
        , m_placement(rules, paceController)
        , m_fillerRelocator(
              state, runTracker, paceController, m_placement, RelocationRules::forFillers(state.rules.fillerPlacement))
        , m_waitLogger(state)
        , m_capacityLogger(state)
    {
    }

    /// Runs one scheduling pass: starts every waiting task that can be placed now.
    void schedule(Instant now, Actions& actions);

private:
    struct Candidate {
        WorkPriority sortKey;
        JobState* job;
        std::size_t step;
    };

    std::vector<Candidate> collectCandidates(Instant now);
    /// Returns whether a task that may start now has no host. The same for placeGang().
    bool placeStep(Instant now, JobState& job, StepState& step, bool earlierRunsKnown, Actions& actions);
    bool placeGang(Instant now, JobState& job, StepState& step, Actions& actions);
    /// Starts all tasks of the gang, or returns the reason why the gang waits.
    std::optional<WaitReason> tryStartGang(
        Instant now, JobState& job, StepState& step, HostEligibilityCounts& hostCounts, Actions& actions);
    /// Starts a waiting task on each host that may forget ends, one at a time. RunTracker halts the run once its start
    /// is confirmed; the end is listed unless the host forgets it. Either way the task has not completed and starts
    /// again.
    void startEndTrials(Instant now, const std::vector<Candidate>& candidates, Actions& actions);
    bool tryStartEndTrial(Instant now, const std::vector<Candidate>& candidates, Host& host, Actions& actions);
    /// Stops less urgent runs on one host so that a task of the step fits there, unless such room is expected for each
    /// waiting task of the step already. False when no run was stopped.
    bool preemptRuns(Instant now, JobState& job, StepState& step, Actions& actions);
    void startRun(
        Instant now, JobState& job, StepState& step, std::size_t index, int run, Host& host, Actions& actions);
    /// Returns nothing if the task has no further run number within the term.
    std::optional<int> nextRunNumber(const JobState& job, const TaskState& task);
    /// Whether the task's last run may still be executing under a new owner: the run was abandoned here, but a
    /// successor that this owner has not yet observed may have reached the host and adopted the run.
    bool mayContinueUnderSuccessor(Instant now, const TaskState& task) const;
    /// Returns the host for the request, or null. Requests that a failed one of the same pass rules out are not
    /// searched for.
    Host* findHost(Instant now, const PlacementRequest& request, HostEligibilityCounts& hostCounts);
    /// Whether the task waits for a host of its data's rack. host is the best one of any rack, or null before the
    /// search, which is saved where an earlier one of the pass has shown that the rack is full.
    bool waitsForData(Instant now, const LocalityRequest& locality, const PlacementRequest& request, const Host* host,
        const HostEligibilityCounts& hostCounts, Actions& actions);
    Host* searchHosts(Instant now, const PlacementRequest& request, HostEligibilityCounts& hostCounts);

    OwnerState& m_state;
    RunTracker& m_runTracker;
    const PaceController& m_paceController;
    const FeasibleOrder& m_feasibleOrder;
    Placement m_placement;
    FillerRelocator m_fillerRelocator;
    FailedPlacements m_failedPlacements;
    FailedPreemptions m_failedPreemptions;
    /// By rack, requests for which the pass has found a host elsewhere only.
    std::map<std::string, FailedPlacements> m_fullRacks;
    WaitLogger m_waitLogger;
    CapacityLogger m_capacityLogger;
    /// As of the start of the pass.
    OpenHosts m_openHosts;
    /// OwnerState::countUnlistedHosts() at the start of the pass.
    int m_unlistedHosts = 0;
};

} // namespace Plantainpier
