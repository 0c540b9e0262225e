#include "Decision/Request/Router.h"

#include <algorithm>

namespace Plantainpier {

Router::Router(const RouterSettings& settings, std::string zone, RandomBelow randomBelow)
    : m_settings(settings)
    , m_zone(std::move(zone))
    , m_randomBelow(std::move(randomBelow))
{
}

std::vector<const SideView*> Router::candidates(
    const Membership& membership, Instant now, const std::set<std::string>& excluded) const
{
    std::vector<const SideView*> able;
    for (const std::pair<const std::string, SideView>& entry : membership.sides()) {
        const SideView& side = entry.second;
        if (!side.targetPresent || !side.isLinkUp() || now < side.avoidUntil)
            continue;
        if (membership.isPresent(side, now) && !excluded.contains(side.sideId))
            able.push_back(&side);
    }
    return able;
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

std::optional<RouteChoice> Router::choose(
    const Membership& membership, Instant now, const std::set<std::string>& excluded) const
{
    std::vector<const SideView*> able = candidates(membership, now, excluded);
    if (able.empty())
        return std::nullopt;
    const std::size_t compared = std::min(m_settings.choices, able.size());
    const SideView* best = nullptr;
    for (std::size_t n = 0; n < compared; ++n) {
        std::swap(able[n], able[n + m_randomBelow(able.size() - n)]);
        if (!best || costOf(*able[n]) < costOf(*best))
            best = able[n];
    }
    return RouteChoice { best->sideId, costOf(*best), able.size(), compared, best->zone == m_zone };
}

} // namespace Plantainpier
