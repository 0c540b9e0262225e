/// Chooses the side for one dispatch: the best of a few random sides by load, latency and availability zone. Used by
/// RequestCoordinator.
#pragma once

#include "Base/Random.h"
#include "Decision/Process/Membership.h"

#include <set>

namespace Plantainpier {

/// Parameters of the cost estimate.
struct RouterSettings {
    /// Number of sides that are compared for one dispatch.
    std::size_t comparedSides = 3;
    /// Cost of a hop to another availability zone.
    Duration zoneHop = milliseconds(1);
    /// Assumed service time of a target that has not answered any request yet.
    Duration assumedLatency = milliseconds(10);
};

/// The chosen side and the values behind the choice, for the decision log.
struct RouteChoice {
    std::string sideId;
    /// Expected time to an answer.
    Duration cost {};
    std::size_t candidates = 0;
    std::size_t compared = 0;
    bool ownZone = false;
};

/// Power-of-d-choices load balancing over the available sides. Stateless; lives for the process.
class Router {
public:
    Router(const RouterSettings& settings, std::string zone, RandomBelow randomBelow);

    /// Returns nothing if no side is available. Excluded sides are not considered.
    std::optional<RouteChoice> chooseSide(
        const Membership& membership, Instant now, const std::set<std::string>& excluded) const;
    /// Expected time from dispatch to answer: service time, queueing time from requests in flight, and zone hop.
    Duration costOf(const SideView& side) const;

private:
    /// The sides with a present target and a working data link that are neither excluded nor avoided.
    std::vector<const SideView*> availableSides(
        const Membership& membership, Instant now, const std::set<std::string>& excluded) const;

    RouterSettings m_settings;
    std::string m_zone;
    RandomBelow m_randomBelow;
};

} // namespace Plantainpier
