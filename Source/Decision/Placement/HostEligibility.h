/// Whether a host is eligible for a task, and the number of hosts by eligibility. Set by Placement, logged by
/// WaitLogger.
#pragma once

#include "Base/NameTable.h"

#include <array>
#include <cstddef>

namespace Plantainpier {

/// Whether a host can run a task; if not, the first reason that applies.
enum class HostEligibility {
    Eligible,
    OtherService,
    /// The host has not listed its runs since this owner took over or last raised the host's fence.
    NotListed,
    Draining,
    /// Operators have closed the host's availability zone.
    ZoneClosed,
    NoLink,
    /// The host accepted no new connection when its side last tried.
    RefusesConnections,
    /// The last report of the host is too old.
    Silent,
    /// As many starts as the host's side takes in at a time have been ordered and are not confirmed.
    StartsPending,
    /// The host has as many runs as a report can list.
    TooManyRuns,
    Quarantined,
    /// The host is on probation after a quarantine: it gets one task at a time until one completes.
    OnProbation,
    /// The host may forget the end of the run, which must not start again.
    MayForgetEnds,
    OtherRack,
    NoLabel,
    NoProcessors,
    NoMemory,
    NoAccelerators,
    /// The host has too few idle processors for the filler.
    NoIdleProcessors,
    /// The host's serving tasks do not tolerate the filler at the requested pace.
    FillerNotTolerated,
    /// The host already runs a duplicate of the same task.
    RunsTheTask,
    /// The host runs the maximum number of tasks of the step.
    StepAtMaximum,
    /// The host could run the task, but the store has not persisted its record.
    NotPersisted,
};

constexpr std::array hostEligibilityNames {
    NamedValue { HostEligibility::Eligible, "eligible" },
    NamedValue { HostEligibility::OtherService, "other_service" },
    NamedValue { HostEligibility::NotListed, "not_listed" },
    NamedValue { HostEligibility::Draining, "draining" },
    NamedValue { HostEligibility::ZoneClosed, "zone_closed" },
    NamedValue { HostEligibility::NoLink, "no_link" },
    NamedValue { HostEligibility::RefusesConnections, "refuses_connections" },
    NamedValue { HostEligibility::Silent, "silent" },
    NamedValue { HostEligibility::StartsPending, "starts_pending" },
    NamedValue { HostEligibility::TooManyRuns, "too_many_runs" },
    NamedValue { HostEligibility::Quarantined, "quarantined" },
    NamedValue { HostEligibility::OnProbation, "on_trial" },
    NamedValue { HostEligibility::MayForgetEnds, "may_forget_ends" },
    NamedValue { HostEligibility::OtherRack, "other_rack" },
    NamedValue { HostEligibility::NoLabel, "no_label" },
    NamedValue { HostEligibility::NoProcessors, "no_processors" },
    NamedValue { HostEligibility::NoMemory, "no_memory" },
    NamedValue { HostEligibility::NoAccelerators, "no_accelerators" },
    NamedValue { HostEligibility::NoIdleProcessors, "no_idle_processors" },
    NamedValue { HostEligibility::FillerNotTolerated, "filler_not_borne" },
    NamedValue { HostEligibility::RunsTheTask, "runs_the_task" },
    NamedValue { HostEligibility::StepAtMaximum, "step_at_maximum" },
    NamedValue { HostEligibility::NotPersisted, "not_stored" },
};

/// Number of hosts by eligibility.
class HostEligibilityCounts {
public:
    void clear() { m_counts.fill(0); }
    void add(HostEligibility eligibility, int hosts = 1) { m_counts[static_cast<std::size_t>(eligibility)] += hosts; }
    int count(HostEligibility eligibility) const { return m_counts[static_cast<std::size_t>(eligibility)]; }

private:
    std::array<int, hostEligibilityNames.size()> m_counts {};
};

} // namespace Plantainpier
