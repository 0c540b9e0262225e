/// Slows fillers down where they push tasks that serve over their target. Answers the pattern "noisy neighbours that
/// change within seconds": fast down, slow up, a host at a time, from the newest tail figures.
#pragma once

#include "Decision/Job/HostBook.h"

namespace Plantainpier {

/// The feedback of one host.
struct PaceRules {
    /// Share of the target above which fillers are slowed down, and below which they may go faster.
    double high = 0.85;
    double low = 0.6;
    /// Factor down, step up, in percent of full pace.
    double downFactor = 0.5;
    std::int64_t upStep = 10;
    /// A pace works after the platform's delay and shows in figures of half a second.
    Duration settle = milliseconds(650);
};

/// Sets the pace of a host's fillers. Used by JobOwner on each list of a host.
class PaceControl {
public:
    explicit PaceControl(const PaceRules& rules)
        : m_rules(rules)
    {
    }

    /// Adds pace orders to the host's orders; the number of them is returned.
    int adjust(Instant now, Host& host) const;

private:
    PaceRules m_rules;
};

} // namespace Plantainpier
