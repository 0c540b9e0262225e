#include "Decision/Zone/ZoneClosures.h"

namespace Plantainpier {

std::optional<ZoneChange> ZoneClosures::applyRecord(
    Instant now, const std::string& zone, bool closed, std::int64_t offset)
{
    std::map<std::string, Request>::iterator it = m_requests.find(zone);
    if (it == m_requests.end())
        it = m_requests.emplace(zone, Request { false, -1, now, now }).first;
    Request& request = it->second;
    if (offset < request.offset)
        return std::nullopt;
    if (offset > request.offset)
        request.firstShownAt = now;
    request.offset = offset;
    request.lastShownAt = now;
    if (request.closed == closed)
        return std::nullopt;
    request.closed = closed;
    return ZoneChange { zone, closed, offset };
}

std::vector<ZoneChange> ZoneClosures::applyCompleteRead(Instant startedAt)
{
    std::vector<ZoneChange> reopened;
    for (std::pair<const std::string, Request>& entry : m_requests) {
        Request& request = entry.second;
        const bool isShown = request.lastShownAt >= startedAt;
        // The record was stored by the time of the first answer that contained it, which later answers do not change.
        if (!request.closed || isShown || startedAt - request.firstShownAt < maximumAnswerAge)
            continue;
        request.closed = false;
        reopened.push_back(ZoneChange { entry.first, false, request.offset });
    }
    return reopened;
}

bool ZoneClosures::isClosed(const std::string& zone) const
{
    const std::map<std::string, Request>::const_iterator it = m_requests.find(zone);
    return it != m_requests.end() && it->second.closed;
}

std::vector<std::string> ZoneClosures::closedZones() const
{
    std::vector<std::string> zones;
    for (const std::pair<const std::string, Request>& entry : m_requests) {
        if (entry.second.closed)
            zones.push_back(entry.first);
    }
    return zones;
}

} // namespace Plantainpier
