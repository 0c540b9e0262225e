#include "Decision/Request/Router.h"

#include <algorithm>

namespace Plantainpier {

Router::Router(const RouterSettings& settings, std::string zone, RandomBelow randomBelow)
    : m_settings(settings)
    , m_zone(std::move(zone))
    , m_randomBelow(std::move(randomBelow))
{
}

std::vector<const SideView*> Router::availableSides(
    const Membership& membership, Instant now, const std::set<std::string>& excluded) const
{
    std::vector<const SideView*> available;
    for (const std::pair<const std::string, SideView>& entry : membership.sides()) {
        const SideView& side = entry.second;
        if (!side.targetPresent || !side.isLinkUp() || now < side.avoidUntil)
            continue;
        if (membership.isPresent(side, now) && !excluded.contains(side.sideId))
            available.push_back(&side);
    }
    return available;
}

Duration Router::costOf(const SideView& side) const
{
    const int slots = std::max(1, side.load.slots);
    const Duration service
        = side.load.latencyMicroseconds > 0 ? Duration(side.load.latencyMicroseconds) : m_settings.assumedLatency;
    const Duration queued = service * side.expectedInFlight() / slots;
    const Duration hop = side.zone == m_zone ? Duration::zero() : m_settings.zoneHop;
    return service + queued + hop;
}

std::optional<RouteChoice> Router::chooseSide(
    const Membership& membership, Instant now, const std::set<std::string>& excluded) const
{
    std::vector<const SideView*> available = availableSides(membership, now, excluded);
    if (available.empty())
        return std::nullopt;
    const std::size_t compared = std::min(m_settings.comparedSides, available.size());
    const SideView* best = nullptr;
    for (std::size_t n = 0; n < compared; ++n) {
        std::swap(available[n], available[n + m_randomBelow(available.size() - n)]);
        if (!best || costOf(*available[n]) < costOf(*best))
            best = available[n];
    }
    return RouteChoice { best->sideId, costOf(*best), available.size(), compared, best->zone == m_zone };
}

} // namespace Plantainpier
