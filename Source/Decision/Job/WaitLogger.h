/// Tells in the log why steps wait. Lines are few, however much waits: a step is told about less and less often, so
/// that the others get their turn.
#pragma once

#include "Decision/Job/HostEligibility.h"
#include "Decision/Job/OwnerState.h"

#include <map>
#include <string>
#include <tuple>

namespace Plantainpier {

/// Why a scheduling pass passed a waiting task over.
enum class WaitReason {
    /// Hosts of an earlier owner have not been heard: they may run it.
    HostsUnheard,
    /// How its last run ended is not known, and a successor may go on with it.
    EndUnheard,
    /// It failed a moment ago.
    Paused,
    /// No host is eligible; the verdicts say why.
    NoHost,
    /// The record of the chosen host is not stored yet.
    HostNotStored,
    /// Members of its gang still run.
    GangNotWhole,
};

/// A task that was passed over.
struct WaitingTask {
    const JobState& job;
    const StepState& step;
    const TaskState& task;
    WaitReason cause = WaitReason::NoHost;
    /// Of the last search for a host in this pass.
    const HostEligibilityCounts& hosts;
};

/// The lines `task_waits` of one term. Used by TaskScheduler; decides nothing.
class WaitLogger {
public:
    explicit WaitLogger(const OwnerState& state)
        : m_state(state)
    {
    }

    /// Adds a line, if one is due for the step.
    void note(Instant now, const WaitingTask& wait, Actions& actions);

private:
    using StepKey = std::tuple<std::string, int, int>;
    struct Told {
        Instant last;
        Duration interval;
    };

    bool mayTell(Instant now);
    void forget(Instant now);

    const OwnerState& m_state;
    std::map<StepKey, Told> m_told;
    /// The pass that may add lines now, and how many it has added.
    Instant m_pass;
    int m_lines = 0;
};

} // namespace Plantainpier
