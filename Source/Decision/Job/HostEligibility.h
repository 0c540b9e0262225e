/// What placement says of a host for one task, and how many hosts it says that of.
#pragma once

#include "Base/NameTable.h"

#include <array>
#include <cstddef>

namespace Plantainpier {

/// Why a host gets a task or does not: the first reason that was found.
enum class HostEligibility {
    Eligible,
    OtherService,
    /// It has not listed its runs since this owner took over.
    NotListed,
    Draining,
    NoLink,
    Silent,
    Quarantined,
    /// One task at a time until one completes there.
    OnTrial,
    OtherRack,
    NoLabel,
    NoProcessors,
    NoMemory,
    NoAccelerators,
    /// Nothing is left of its processors for a filler.
    NoIdleProcessors,
    /// Its serving tasks do not bear the filler.
    FillerNotBorne,
    /// It runs the task itself, as another copy.
    RunsTheTask,
    /// It runs as many tasks of the step as it may.
    StepAtMaximum,
};

constexpr std::array hostEligibilityNames {
    NamedValue { HostEligibility::Eligible, "eligible" },
    NamedValue { HostEligibility::OtherService, "other_service" },
    NamedValue { HostEligibility::NotListed, "not_listed" },
    NamedValue { HostEligibility::Draining, "draining" },
    NamedValue { HostEligibility::NoLink, "no_link" },
    NamedValue { HostEligibility::Silent, "silent" },
    NamedValue { HostEligibility::Quarantined, "quarantined" },
    NamedValue { HostEligibility::OnTrial, "on_trial" },
    NamedValue { HostEligibility::OtherRack, "other_rack" },
    NamedValue { HostEligibility::NoLabel, "no_label" },
    NamedValue { HostEligibility::NoProcessors, "no_processors" },
    NamedValue { HostEligibility::NoMemory, "no_memory" },
    NamedValue { HostEligibility::NoAccelerators, "no_accelerators" },
    NamedValue { HostEligibility::NoIdleProcessors, "no_idle_processors" },
    NamedValue { HostEligibility::FillerNotBorne, "filler_not_borne" },
    NamedValue { HostEligibility::RunsTheTask, "runs_the_task" },
    NamedValue { HostEligibility::StepAtMaximum, "step_at_maximum" },
};

/// Hosts by verdict. Filled by Placement, read by WaitLogger.
class HostEligibilityCounts {
public:
    void clear() { m_counts.fill(0); }
    void add(HostEligibility verdict) { ++m_counts[static_cast<std::size_t>(verdict)]; }
    int of(HostEligibility verdict) const { return m_counts[static_cast<std::size_t>(verdict)]; }

private:
    std::array<int, hostEligibilityNames.size()> m_counts {};
};

} // namespace Plantainpier
