/// Slows fillers down where they push tasks that serve towards their target. Answers the pattern "noisy neighbours that
/// change within seconds": what the host's serving tasks can bear is shared out, quiet images first, and what is
/// measured overrules what was learned.
#pragma once

#include "Decision/Job/HostBook.h"
#include "Decision/Job/InterferenceModel.h"

namespace Plantainpier {

/// The feedback of one host.
struct PaceRules {
    /// Headroom that is kept: 1 is the target itself.
    double keptHeadroom = 1.25;
    /// Below this everything that pushes stands still until the next figures.
    double alarmHeadroom = 1.05;
    /// Images whose pressure is below this run at full pace unless an alarm lasts.
    double quietPressure = 0.6;
    /// An alarm that lasts this long stops quiet images too; well within the platform's bound of harm.
    Duration alarmPatience = milliseconds(1300);
    /// Pace that a change must exceed, in percent, so that figures that tremble cost no orders.
    int smallestChange = 8;
};

/// Sets the paces of a host's fillers. Used by JobOwner on each list of a host.
class PaceControl {
public:
    explicit PaceControl(const PaceRules& rules)
        : m_rules(rules)
    {
    }

    /// Adds pace orders to the host's orders; the number of them is returned.
    int adjust(Instant now, Host& host, const InterferenceModel& model, Actions& actions) const;

private:
    int order(Host& host, HostRun& run, int percent) const;

    PaceRules m_rules;
};

} // namespace Plantainpier
