#include "Decision/Placement/HostRoom.h"

#include "Decision/Job/ResourceMath.h"

namespace Plantainpier {

namespace {

    RoomTakenBy kindOf(const HostRun& run, int priority)
    {
        if (!run.listed)
            return RoomTakenBy::UnlistedRuns;
        if (run.phase == RunPhase::Halting)
            return RoomTakenBy::HaltingRuns;
        if (run.longRunning)
            return RoomTakenBy::LongRunningTasks;
        return run.priority > priority ? RoomTakenBy::LessUrgentRuns : RoomTakenBy::ShortRuns;
    }

} // namespace

RoomTakenBy roomTakenBy(const Host& host, const Wire::Resources& demand, bool filler, int priority)
{
    std::array<Wire::Resources, roomTakenByNames.size()> taken;
    for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
        Wire::Resources& sum = taken[static_cast<std::size_t>(kindOf(entry.second, priority))];
        Wire::Resources runDemand = entry.second.demand;
        if (entry.second.filler)
            runDemand.milliProcessors = 0;
        sum = plus(sum, runDemand);
    }
    Wire::Resources needed = demand;
    if (filler)
        needed.milliProcessors = 0;
    Wire::Resources room = minus(host.capacity, host.committed);
    for (const NamedValue<RoomTakenBy>& row : roomTakenByNames) {
        room = plus(room, taken[static_cast<std::size_t>(row.value)]);
        if (row.value == RoomTakenBy::LongRunningTasks || fits(needed, room))
            return row.value;
    }
    return RoomTakenBy::LongRunningTasks;
}

} // namespace Plantainpier
