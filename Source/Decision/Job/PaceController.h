/// Slows fillers down where they push tasks that serve towards their target. Answers the patterns "noisy neighbours
/// that change within seconds": what the serving tasks of a host can bear is shared out, quiet fillers first; and "a
/// task that is over its target by its own load": nothing is slowed down for it, which a short stop of all fillers
/// proves.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Job/InterferenceModel.h"

namespace Plantainpier {

/// The feedback of one host.
struct PaceRules {
    /// Headroom that is kept: 1 is the target itself; the rest covers what the load rises until the next list.
    double keptHeadroom = 1.35;
    /// Fillers whose pressure on all that serves on the host is below this run at full pace. Measured pairs are either
    /// below 1.2 or above 4 (docs/design/0006-interference.md).
    double quietPressure = 1.8;
    /// Below this whatever is known to push stands still until the next figures.
    double alarmHeadroom = 1.05;
    /// A task over its target for this long has all fillers of its host stopped for a probe: with the age of a list and
    /// the time that an order takes, well within a bound of harm of 4 s.
    Duration alarmPatience = milliseconds(1500);
    /// Length of a probe: an order works after a tenth of a second, figures are for half a second, and lists are as
    /// old.
    Duration probe = milliseconds(1600);
    /// A task that a probe did not bring under its target is left alone for this long; its load may fall meanwhile, so
    /// this and a list stay below the bound of harm.
    Duration acquittal = milliseconds(2800);
    /// The rules where a task may be over its target by others' doing for this long on end.
    static PaceRules within(Duration harmBound);

    /// Pace that a change must exceed, in percent, so that figures that tremble cost no orders.
    int smallestChange = 8;
    /// A pace below this finishes nothing in time: the filler stands still, and may be moved.
    int leastPace = 15;
    /// Between two raises on a host: figures are for half a second and a pace works after a tenth.
    Duration raiseInterval = milliseconds(650);
    /// Largest raise of one filler at a time, in percent.
    int largestRaise = 50;
};

/// Sets the paces of a host's fillers. Used by JobOwner on each list of a host, and by placement.
class PaceController {
public:
    PaceController(const PaceRules& rules, const InterferenceModel& model)
        : m_rules(rules)
        , m_model(model)
    {
    }

    /// Adds pace orders to the host's orders; the number of them is returned.
    int adjust(Instant now, Host& host, Actions& actions) const;
    /// The pace in percent at which a filler could run on the host beside what is ordered there.
    int bearablePace(const Host& host, const std::string& image, std::int64_t milliCores) const;
    /// Takes the newest list of a host in; adjust() comes first.
    void refresh(Instant now, Host& host) const { host.servingGroups = m_model.groups(now, host); }
    /// Counts a filler that is being ordered to the host.
    void addOrdered(Host& host, const HostRun& run) const;

private:
    int order(Host& host, HostRun& run, int percent) const;
    /// Follows how long tasks are over their target. True while all fillers of the host have to stand still.
    bool probes(Instant now, Host& host, Actions& actions) const;
    /// The pace in percent at which a filler takes no more from any group than what is left of it.
    int allot(const Host& host, const HostRun& run, const std::vector<ServingGroup>& groups) const;
    /// The largest pressure of the image on what serves on the host.
    double loudness(const std::vector<ServingGroup>& groups, const std::string& image) const;

    PaceRules m_rules;
    const InterferenceModel& m_model;
};

} // namespace Plantainpier
