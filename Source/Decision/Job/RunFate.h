/// Why a run no longer counts as a run of its task. Set by RunTracker, logged with the next start of the task.
#pragma once

#include "Base/NameTable.h"

#include <array>

namespace Plantainpier {

enum class RunFate {
    /// The task has had no run under this owner.
    None,
    /// The host or its side refused the start.
    StartRefused,
    /// A stop was carried out, and a complete list after it showed no such run.
    Absent,
    /// The host listed the end of the run.
    EndListed,
    /// The host listed the run as running before, and neither the run nor its end later.
    Vanished,
    /// A list under a higher fence did not show the run, whose start had not been confirmed.
    OrderVoid,
    /// The side reported that the incarnation of the host has ended.
    HostGone,
    /// The side reported another incarnation of the host.
    HostRestarted,
    /// Every lease that the host may hold has expired.
    LeaseOver,
};

inline constexpr std::array runFateNames {
    NamedValue { RunFate::None, "none" },
    NamedValue { RunFate::StartRefused, "start_refused" },
    NamedValue { RunFate::Absent, "absent" },
    NamedValue { RunFate::EndListed, "end_listed" },
    NamedValue { RunFate::Vanished, "run_vanished" },
    NamedValue { RunFate::OrderVoid, "order_void" },
    NamedValue { RunFate::HostGone, "host_gone" },
    NamedValue { RunFate::HostRestarted, "host_restarted" },
    NamedValue { RunFate::LeaseOver, "lease_over" },
};

} // namespace Plantainpier
