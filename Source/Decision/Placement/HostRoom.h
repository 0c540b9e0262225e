/// What takes the room on a host that a waiting task needs. Logged by WaitLogger, so that tasks that wait for room can
/// be told from tasks that wait although there is room.
#pragma once

#include "Base/NameTable.h"
#include "Decision/Job/HostRegistry.h"

namespace Plantainpier {

/// The first of these without which the task would fit on the host.
enum class RoomTakenBy {
    /// The room is free, but the host is not eligible for another reason.
    Nothing,
    /// Runs that no list of the host has shown yet.
    UnlistedRuns,
    /// Runs that are being stopped.
    HaltingRuns,
    /// Less urgent runs, which may be stopped.
    LessUrgentRuns,
    /// Runs of the same urgency or above that end by themselves.
    ShortRuns,
    /// Long-running tasks, or the host is too small.
    LongRunningTasks,
};

constexpr std::array roomTakenByNames {
    NamedValue { RoomTakenBy::Nothing, "free" },
    NamedValue { RoomTakenBy::UnlistedRuns, "unlisted" },
    NamedValue { RoomTakenBy::HaltingRuns, "halting" },
    NamedValue { RoomTakenBy::LessUrgentRuns, "less_urgent" },
    NamedValue { RoomTakenBy::ShortRuns, "short_runs" },
    NamedValue { RoomTakenBy::LongRunningTasks, "lasting" },
};

/// Returns what takes the room of a task with the given demand and priority. Fillers need no processors.
RoomTakenBy roomTakenBy(const Host& host, const Wire::Resources& demand, bool filler, int priority);

} // namespace Plantainpier
