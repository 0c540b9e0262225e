/// Chooses the side for one dispatch: the better of a few random ones by load, latency and availability zone.
#pragma once

#include "Base/Random.h"
#include "Decision/Process/Membership.h"

#include <set>

namespace Plantainpier {

/// How a dispatch is weighed.
struct RouterSettings {
    /// Sides compared for one dispatch.
    std::size_t choices = 3;
    /// What a hop to another availability zone costs.
    Duration zoneHop = milliseconds(1);
    /// Assumed service time of a target that has answered nothing yet.
    Duration assumedLatency = milliseconds(10);
};

/// A choice and the reasons, for the decision log.
struct RouteChoice {
    std::string sideId;
    /// Expected time to an answer.
    Duration cost {};
    std::size_t candidates = 0;
    std::size_t compared = 0;
    bool ownZone = false;
};

/// Power-of-d choices over the sides that can take a request now. Stateless; lives for the process.
class Router {
public:
    Router(const RouterSettings& settings, std::string zone, RandomBelow randomBelow);

    /// Nothing when no side is able; excluded sides are never taken.
    std::optional<RouteChoice> choose(
        const Membership& membership, Instant now, const std::set<std::string>& excluded) const;
    /// Expected time from dispatch to answer, from requests in flight first and latency second.
    Duration costOf(const SideView& side) const;

private:
    std::vector<const SideView*> candidates(
        const Membership& membership, Instant now, const std::set<std::string>& excluded) const;

    RouterSettings m_settings;
    std::string m_zone;
    RandomBelow m_randomBelow;
};

} // namespace Plantainpier
