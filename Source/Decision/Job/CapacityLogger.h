/// Logs what the processors of all hosts are requested and used for, and how many fillers and long-running tasks wait,
/// once per second while there are fillers or long-running tasks wait. Shows whether tasks wait because processors are
/// busy, because fillers are slowed down, or because idle processors are not offered to them.
#pragma once

#include "Decision/Job/OwnerState.h"

namespace Plantainpier {

/// Totals over all hosts and open steps. Processors are in thousandths of a core.
struct CapacityTotals {
    int hosts = 0;
    std::int64_t capacity = 0;
    std::int64_t longRunning = 0;
    std::int64_t batch = 0;
    /// Of the two sums above: requested by runs that are being stopped, and by runs that no list has shown yet.
    std::int64_t halting = 0;
    std::int64_t unlisted = 0;
    int fillers = 0;
    /// Requested by fillers at full pace, at the highest paces that may be in force, and used according to the newest
    /// lists.
    std::int64_t fillerDemand = 0;
    std::int64_t fillerPaced = 0;
    std::int64_t fillerUsage = 0;
    int stoppedFillers = 0;
    int slowedFillers = 0;
    int probingHosts = 0;
    int tasksOverTarget = 0;
    int tasksNearTarget = 0;
    /// Waiting tasks of fillers, by whether the step can still end in time.
    int waitingInTime = 0;
    int waitingLate = 0;
    /// Long-running tasks that should run and have no run, and the longest wait of one.
    int waitingLongRunning = 0;
    Duration longestLongRunningWait {};
};

/// Writes the `capacity` log lines of one term. Used by TaskScheduler; has no influence on scheduling.
class CapacityLogger {
public:
    explicit CapacityLogger(const OwnerState& state)
        : m_state(state)
    {
    }

    /// Adds a log line if one is due.
    void logIfDue(Instant now, Actions& actions);
    static CapacityTotals totals(Instant now, const OwnerState& state);

private:
    const OwnerState& m_state;
    Instant m_loggedAt;
};

} // namespace Plantainpier
