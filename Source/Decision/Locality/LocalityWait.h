/// Decides whether a task that could start away from its data, or a gang that could start over several racks, starts
/// there now or waits for a place in the rack where it takes less time. Used by TaskScheduler.
#pragma once

#include "Base/NameTable.h"
#include "Decision/Job/JobState.h"
#include "Decision/Locality/PlaceTurnover.h"
#include "Decision/Locality/RunDurations.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace Plantainpier {

enum class LocalityWaitMode {
    Off,
    ExpectedCost,
};

inline constexpr std::array localityWaitModeNames {
    NamedValue { LocalityWaitMode::Off, "off" },
    NamedValue { LocalityWaitMode::ExpectedCost, "expected_cost" },
};

enum class LocalityOutcome {
    GotPlace,
    /// The task may start anywhere from now on.
    GaveUp,
    /// The rack has no host left that takes tasks.
    PlaceGone,
};

/// What is known when a task could start away from its data or group.
struct LocalityOffer {
    /// Time that a run near the data or group saves.
    Duration gain {};
    /// Since the task first passed over such a start.
    Duration waited {};
    bool isWaiting = false;
    /// Until the last start away from the data or group that is still on time; negative if it is past.
    Duration slack {};
    /// Unset if nothing is known about the rack.
    std::optional<PlaceForecast> forecast;
};

struct LocalityRules {
    LocalityWaitMode mode = LocalityWaitMode::Off;
    /// A run away from its data or group takes this many times as long. Unset: no wait.
    std::optional<double> remoteFactor;
    /// Returns for how long in all the task may wait.
    std::function<Duration(const LocalityOffer&)> longestWait;
};

/// The longest wait that is expected to pay off: none, or the gain.
Duration longestWaitByExpectedCost(const LocalityOffer& offer);

/// Counters of one term. The shell publishes them as metrics.
struct LocalityCounters {
    std::int64_t gotPlace = 0;
    std::int64_t gaveUp = 0;
    std::int64_t placeGone = 0;
    std::int64_t waitedMilliseconds = 0;
    /// Starts of tasks with a place near their data or group, and those of them that were elsewhere.
    std::int64_t starts = 0;
    std::int64_t startsAway = 0;
};

/// A task or gang with room away from its data or group.
struct LocalityRequest {
    const JobState& job;
    const StepState& step;
    /// A gang is represented by its first task.
    std::size_t task = 0;
};

/// The waits of one term. A new owner waits for nothing until it has observed the racks.
class LocalityWait {
public:
    explicit LocalityWait(const LocalityRules& rules);

    bool isEnabled() const { return m_rules.mode != LocalityWaitMode::Off && m_rules.remoteFactor.has_value(); }
    /// Takes note of the room of hosts; see PlaceTurnover::observe().
    void beginPass(Instant now, const HostRegistry& hosts, const PlaceTurnover::RoomOfHost& room);
    /// Whether the task, or the gang, waits rather than starts away from its data or group.
    bool shouldWait(Instant now, const LocalityRequest& request, Actions& actions);
    /// Records an ordered start and ends the wait of the task or gang.
    void recordStart(Instant now, const LocalityRequest& request, bool isAway, Actions& actions);
    /// Records that a run ended. isFullRun: it completed and did not resume from a checkpoint.
    void recordEnd(Instant now, const Host& host, const HostRun& run, bool isFullRun);
    /// Whether the step has a place that it runs faster in.
    static bool hasPreference(const Wire::StepDefinition& step) { return !step.dataRack.empty() || step.sameRack; }
    static bool isAwayFromData(const Wire::StepDefinition& step, const Host& host)
    {
        return !step.dataRack.empty() && host.rack != step.dataRack;
    }
    const LocalityCounters& counters() const { return m_counters; }
    std::size_t waitingTasks() const { return m_waits.size(); }

private:
    using TaskKey = std::tuple<std::string, int, int, std::size_t>;
    /// Service and rack; the rack is empty for gangs.
    using RackKey = std::pair<std::string, std::string>;
    struct Wait {
        Instant since;
        /// No wait lasts longer, whatever is learned later.
        Instant until;
        /// When the wait was last decided on.
        Instant decidedAt;
        Duration gain {};
        Duration expectedWait {};
        bool gaveUp = false;
    };
    /// What recent waits for places of a rack have gained and cost, in seconds that fade.
    struct Balance {
        double gained = 0;
        double waited = 0;
        Instant at;

        void fade(Instant now);
    };

    LocalityOffer makeOffer(Instant now, const LocalityRequest& request);
    /// The soonest forecast of the racks that the task or gang may wait for.
    std::optional<PlaceForecast> forecast(Instant now, const LocalityRequest& request);
    /// Whether recent waits for the rack cost more than they gained.
    bool isUnprofitable(Instant now, const RackKey& rack, Duration gain);
    bool hasOpenRack(const LocalityRequest& request);
    void endWait(Instant now, const LocalityRequest& request, Wait& wait, LocalityOutcome outcome, Actions& actions);
    static TaskKey taskKey(const LocalityRequest& request);
    static RackKey rackKey(const LocalityRequest& request);

    LocalityRules m_rules;
    RunDurations m_durations;
    PlaceTurnover m_turnover;
    std::map<TaskKey, Wait> m_waits;
    /// Millicores of the tasks that wait in front in this pass, by rack.
    std::map<RackKey, std::int64_t> m_waitingInFront;
    std::map<RackKey, Balance> m_balances;
    LocalityCounters m_counters;
};

} // namespace Plantainpier
