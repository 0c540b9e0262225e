/// Starts waiting tasks on hosts: takes the order of work and the choice of hosts together, pass by pass.
#pragma once

#include "Decision/Job/OwnerState.h"
#include "Decision/Job/PaceController.h"
#include "Decision/Job/Placement.h"
#include "Decision/Job/RunTracker.h"
#include "Decision/Job/WaitLogger.h"
#include "Decision/Job/WorkPriority.h"

namespace Plantainpier {

/// The scheduling pass of the owner. Lives as long as the term.
class TaskScheduler {
public:
    TaskScheduler(OwnerState& state, RunTracker& ledger, const PaceController& paces, const PlacementRules& rules)
        : m_state(state)
        , m_ledger(ledger)
        , m_paces(paces)
        , m_placement(rules, paces)
        , m_waitingLog(state)
    {
    }

    /// Places what can be placed now.
    void pass(Instant now, Actions& actions);

private:
    struct Candidate {
        WorkPriority key;
        JobState* job;
        std::size_t step;
    };

    std::vector<Candidate> collect(Instant now);
    void placeStep(Instant now, JobState& job, StepState& step, bool accounted, Actions& actions);
    void placeGang(Instant now, JobState& job, StepState& step, Actions& actions);
    /// Starts the whole gang, or says why it waits.
    std::optional<WaitReason> startGang(
        Instant now, JobState& job, StepState& step, HostEligibilityCounts& hosts, Actions& actions);
    bool makeRoom(JobState& job, StepState& step, Actions& actions);
    void start(Instant now, JobState& job, StepState& step, std::size_t index, int run, Host& host, Actions& actions);
    void moveStuckFillers(Instant now, Actions& actions);
    bool moveIfStuck(Instant now, Host& host, HostRun& run, Actions& actions);
    int nextRun(const JobState& job, const TaskState& task) const;
    /// A successor that this owner does not know of yet may have reached the host that was given up, and go on with
    /// the run there.
    bool mayBeTakenOver(Instant now, const TaskState& task) const;
    PlacementRequest request(const JobState& job, const StepState& step, const TaskState& task) const;

    OwnerState& m_state;
    RunTracker& m_ledger;
    const PaceController& m_paces;
    Placement m_placement;
    WaitLogger m_waitingLog;
    Instant m_lastMoves;
};

} // namespace Plantainpier
