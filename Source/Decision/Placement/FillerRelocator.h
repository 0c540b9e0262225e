/// Moves fillers that would take longer on their host than on another one, with the time for stopping and restoring
/// them included. A step ends with its last task, so one filler that stands nearly still holds up a whole job.
#pragma once

#include "Decision/Job/OwnerState.h"
#include "Decision/Job/RunTracker.h"
#include "Decision/Placement/FailedPlacements.h"
#include "Decision/Placement/PaceController.h"
#include "Decision/Placement/Placement.h"

namespace Plantainpier {

/// Parameters of moves.
struct RelocationRules {
    Duration passInterval = milliseconds(300);
    /// A run that began recently has no pace to judge it by.
    Duration minimumRunTime = milliseconds(1200);
    /// Time until a run continues elsewhere: its stop, the list with its end, and restoring its checkpoint.
    Duration moveDuration = milliseconds(1300);
    /// A move that gains less is not worth the work that it repeats.
    Duration minimumGain = milliseconds(400);
    /// A destination that allows less than this pace may soon allow none.
    int minimumDestinationPacePercent = 50;
    /// Whether the work since the newest checkpoint counts as repeated.
    bool countsRepeatedWork = false;
    static RelocationRules forFillers(FillerPlacement placement);
};

/// Chooses fillers to move and reserves their destinations. One instance serves one term; used by TaskScheduler.
class FillerRelocator {
public:
    FillerRelocator(OwnerState& state, RunTracker& runTracker, const PaceController& paceController,
        const Placement& placement, const RelocationRules& rules)
        : m_state(state)
        , m_runTracker(runTracker)
        , m_paceController(paceController)
        , m_placement(placement)
        , m_rules(rules)
    {
    }

    /// Halts fillers that another host is expected to finish earlier, at most one per host and pass. TaskScheduler
    /// places them again once their ends are listed.
    void relocate(Instant now, Actions& actions);

private:
    struct Candidate {
        Host* host;
        HostRun* run;
        JobState* job;
        StepState* step;
        const TaskState* task;
        /// By how much sooner the run would complete at full pace elsewhere, without the move itself.
        Duration gain;
        /// The pace at which another host must run the filler to make the move worthwhile.
        int requiredPacePercent;
    };
    /// A halted run that has not been placed again. Its destination is kept free from other moves.
    struct PendingMove {
        std::string destination;
        /// Stands for the next run of the task.
        HostRun reservation;
        Instant until;
    };

    std::vector<Candidate> collectCandidates(Instant now);
    std::optional<Candidate> makeCandidate(Instant now, Host& host, HostRun& run);
    /// The pace that makes a move worthwhile for a filler that needs the given times to complete on its host and, at
    /// full pace, elsewhere. Nothing if full pace does not.
    std::optional<int> requiredPacePercent(Duration here, Duration elsewhere) const;
    /// Adds the reservations of pending moves to their destinations, and removes moves that are no longer pending.
    void reserveDestinations(Instant now);
    void reserve(const PendingMove& move);
    /// Removes all reservations from the hosts.
    void releaseDestinations();

    OwnerState& m_state;
    RunTracker& m_runTracker;
    const PaceController& m_paceController;
    const Placement& m_placement;
    RelocationRules m_rules;
    std::vector<PendingMove> m_pendingMoves;
    /// Serving groups of hosts with reservations, as they were before.
    std::map<std::string, std::vector<ServingGroup>> m_savedGroups;
    Instant m_lastPass;
};

} // namespace Plantainpier
