/// Slows down fillers that push co-located serving tasks towards their latency target. The headroom of the serving
/// tasks on a host is divided among its fillers, low-pressure fillers first. A task that exceeds its target by its own
/// load is recognized by a probe, a short stop of all fillers; such a task does not slow down any filler. A list is a
/// host's report of its running tasks and their usage.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Placement/FillerPlacement.h"
#include "Decision/Placement/InterferenceModel.h"

namespace Plantainpier {

/// Parameters of the control loop of one host. Headroom 1 means that the tail latency equals the target.
struct PaceRules {
    /// Headroom that fillers must leave; the part above 1 covers a rise of the load before the next list.
    double reservedHeadroom = 1.35;
    /// Fillers whose pressure on every serving image of the host is below this run at full pace. Measured pairs of
    /// images have a pressure either below 1.2 or above 4 (docs/design/0006-interference.md).
    double highPressureThreshold = 1.8;
    /// Below this headroom, high-pressure fillers stop until the next list.
    double minimumHeadroom = 1.05;
    /// When a task has been over its target for this long, a probe stops all fillers of its host. Together with the age
    /// of a list and the latency of an order, this stays well within an interference bound of 4 s.
    Duration probeDelay = milliseconds(1500);
    /// Length of a probe: an order takes effect after 0.1 s, usage figures cover 0.5 s, and a list can be 0.5 s old.
    Duration probeDuration = milliseconds(1600);
    /// If a task is still over its target after a probe, it is ignored for this long when paces are set. Its own load
    /// may fall meanwhile, so this duration and the age of a list together stay below the interference bound.
    Duration exemptionDuration = milliseconds(2800);
    /// Returns the rules under which fillers may keep a task over its target for at most this long without a break.
    static PaceRules forInterferenceBound(Duration interferenceBound);
    static PaceRules forOwner(Duration interferenceBound, FillerPlacement placement);

    /// Smaller changes are not ordered, so that noise in the usage figures causes no orders.
    int minimumPaceChangePercent = 8;
    /// A filler at a lower pace would not finish in time: it is stopped instead and may be moved.
    int minimumPacePercent = 15;
    /// Time between two raises on a host: usage figures cover 0.5 s and an order takes effect after 0.1 s.
    Duration raiseInterval = milliseconds(650);
    /// Largest single raise of the pace of one filler, in percentage points.
    int maximumRaisePercent = 50;
    /// A pace that the host has not acknowledged for this long is ordered again. The side repeats an order that the
    /// host refused or did not answer, so this covers an order that the side does not have.
    Duration acknowledgementTimeout = seconds(1);
    /// Time constant of the smoothed pace of a filler.
    Duration paceSmoothingTime = milliseconds(700);
};

/// Sets the paces of a host's fillers. JobOwner calls adjustPaces() after each report of a host; TaskScheduler and
/// Placement use tolerablePace().
class PaceController {
public:
    PaceController(const PaceRules& rules, const InterferenceModel& model)
        : m_rules(rules)
        , m_model(model)
    {
    }

    /// Adds pace orders to the host's orders and returns the number of orders added.
    int adjustPaces(Instant now, Host& host, Actions& actions) const;
    /// The pace in percent at which a further filler could run on the host, given the paces already ordered there.
    int tolerablePace(const Host& host, const std::string& image, std::int64_t milliCores) const;
    /// The lowest headroom of the host's serving tasks once a further filler runs there at full pace.
    double expectedHeadroom(const Host& host, const std::string& image, std::int64_t milliCores) const;
    /// Recomputes the serving groups of the host from its newest list. Call after adjustPaces().
    void refreshServingGroups(Instant now, Host& host) const { host.servingGroups = m_model.servingGroups(now, host); }
    /// Adds the headroom cost of a filler that is being started on the host to the host's serving groups.
    void addOrderedFiller(Host& host, const HostRun& run) const;

private:
    /// Orders the pace unless the change is too small. Returns the number of orders added, 0 or 1.
    int orderPace(Instant now, Host& host, HostRun& run, int percent) const;
    /// Repeats the newest order if it is overdue. Returns the number of orders added, 0 or 1.
    int repeatPaceOrder(Instant now, Host& host, HostRun& run) const;
    static void addPaceOrder(Instant now, Host& host, HostRun& run, int percent);
    /// The host has not acknowledged the newest order in time.
    bool isOrderOverdue(Instant now, const HostRun& run) const;
    /// Adds the pace that was in effect since the last call to the smoothed pace of the filler.
    void samplePace(Instant now, HostRun& run, bool probing) const;
    /// Tracks how long tasks have been over their target, and begins and ends probes. True while a probe is in
    /// progress.
    bool updateProbe(Instant now, Host& host, Actions& actions) const;
    /// The pace in percent at which the filler uses no more than the remaining headroom of any group.
    int allottedPace(const Host& host, const HostRun& run, const std::vector<ServingGroup>& groups) const;
    /// The highest pressure of the filler image on any serving image of the host.
    double maximumPressure(const std::vector<ServingGroup>& groups, const std::string& image) const;

    PaceRules m_rules;
    const InterferenceModel& m_model;
};

} // namespace Plantainpier
