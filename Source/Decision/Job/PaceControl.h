/// Slows fillers down where they push tasks that serve towards their target. Answers the pattern "noisy neighbours that
/// change within seconds": what the serving tasks of a host can bear is shared out, quiet fillers first, and what is
/// measured overrules what was learned.
#pragma once

#include "Decision/Job/HostBook.h"
#include "Decision/Job/InterferenceModel.h"

namespace Plantainpier {

/// The feedback of one host.
struct PaceRules {
    /// Headroom that is kept: 1 is the target itself.
    double keptHeadroom = 1.25;
    /// Below this whatever is known to push stands still until the next figures.
    double alarmHeadroom = 1.05;
    /// Fillers whose pressure on all that serves on the host is below this run at full pace unless an alarm lasts.
    double quietPressure = 1.0;
    /// An alarm that lasts this long stops quiet fillers too; well within the platform's bound of harm.
    Duration alarmPatience = milliseconds(1300);
    /// Pace that a change must exceed, in percent, so that figures that tremble cost no orders.
    int smallestChange = 8;
    /// Between two raises on a host: figures are for half a second and a pace works after a tenth.
    Duration raiseInterval = milliseconds(650);
    /// Largest raise of one filler at a time, in percent.
    int largestRaise = 50;
};

/// Sets the paces of a host's fillers. Used by JobOwner on each list of a host, and by placement.
class PaceControl {
public:
    PaceControl(const PaceRules& rules, const InterferenceModel& model)
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
    /// The largest pressure of the image on what serves on the host.
    double loudness(const std::vector<ServingGroup>& groups, const std::string& image) const;

    PaceRules m_rules;
    const InterferenceModel& m_model;
};

} // namespace Plantainpier
