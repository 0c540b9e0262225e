/// What placement says of a host for one task, and how many hosts it says that of.
#pragma once

#include "Base/NameTable.h"

#include <array>
#include <cstddef>

namespace Plantainpier {

/// Why a host gets a task or does not: the first reason that was found.
enum class HostVerdict {
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

constexpr std::array hostVerdictNames {
    NamedValue { HostVerdict::Eligible, "eligible" },
    NamedValue { HostVerdict::OtherService, "other_service" },
    NamedValue { HostVerdict::NotListed, "not_listed" },
    NamedValue { HostVerdict::Draining, "draining" },
    NamedValue { HostVerdict::NoLink, "no_link" },
    NamedValue { HostVerdict::Silent, "silent" },
    NamedValue { HostVerdict::Quarantined, "quarantined" },
    NamedValue { HostVerdict::OnTrial, "on_trial" },
    NamedValue { HostVerdict::OtherRack, "other_rack" },
    NamedValue { HostVerdict::NoLabel, "no_label" },
    NamedValue { HostVerdict::NoProcessors, "no_processors" },
    NamedValue { HostVerdict::NoMemory, "no_memory" },
    NamedValue { HostVerdict::NoAccelerators, "no_accelerators" },
    NamedValue { HostVerdict::NoIdleProcessors, "no_idle_processors" },
    NamedValue { HostVerdict::FillerNotBorne, "filler_not_borne" },
    NamedValue { HostVerdict::RunsTheTask, "runs_the_task" },
    NamedValue { HostVerdict::StepAtMaximum, "step_at_maximum" },
};

/// Hosts by verdict. Filled by Placement, read by WaitingLog.
class HostCounts {
public:
    void clear() { m_counts.fill(0); }
    void add(HostVerdict verdict) { ++m_counts[static_cast<std::size_t>(verdict)]; }
    int of(HostVerdict verdict) const { return m_counts[static_cast<std::size_t>(verdict)]; }

private:
    std::array<int, hostVerdictNames.size()> m_counts {};
};

} // namespace Plantainpier
