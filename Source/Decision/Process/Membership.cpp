#include "Decision/Process/Membership.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// How long an immediate answer of a side is expected.
    constexpr Duration answerTimeout = seconds(1);

} // namespace

Membership::Membership(const MembershipTiming& timing, Instant now)
    : m_timing(timing)
    , m_startedAt(now)
{
}

AnnouncementEffect Membership::onAnnouncement(Instant now, LinkId link, const Wire::Announcement& message)
{
    std::map<std::string, SideView>::iterator it = m_sides.find(message.sideId);
    const bool isNew = it == m_sides.end();
    if (isNew)
        it = m_sides.emplace(message.sideId, SideView {}).first;
    SideView& side = it->second;
    if (!isNew && message.incarnation < side.incarnation)
        return AnnouncementEffect::Stale;
    const bool restarted = !isNew && message.incarnation > side.incarnation;
    const bool isNewlyLeaving = message.leaving && !side.leaving;
    if (restarted)
        side.avoidUntil = Instant {};
    side.announcementLink = link;
    side.sideId = message.sideId;
    side.address = message.address;
    side.port = message.port;
    side.zone = message.zone;
    side.rack = message.rack;
    side.incarnation = message.incarnation;
    side.targetPresent = message.targetPresent;
    side.leaving = message.leaving;
    side.bundleVersion = message.bundleVersion;
    side.sidesReported = message.sidesReported;
    side.setLoad(message.load, side.ownInFlight);
    side.capacity = message.capacity;
    side.free = message.free;
    side.lastAnnouncedAt = now;
    if (isNew)
        return AnnouncementEffect::Joined;
    if (restarted)
        return AnnouncementEffect::Restarted;
    return isNewlyLeaving ? AnnouncementEffect::Left : AnnouncementEffect::Refreshed;
}

std::vector<std::string> Membership::expiredSides(Instant now) const
{
    std::vector<std::string> ids;
    for (const std::pair<const std::string, SideView>& entry : m_sides) {
        if (now - entry.second.lastAnnouncedAt > m_timing.removalTimeout)
            ids.push_back(entry.first);
    }
    return ids;
}

void Membership::remove(const std::string& sideId) { m_sides.erase(sideId); }

SideView* Membership::find(const std::string& sideId)
{
    std::map<std::string, SideView>::iterator it = m_sides.find(sideId);
    return it == m_sides.end() ? nullptr : &it->second;
}

const SideView* Membership::find(const std::string& sideId) const
{
    std::map<std::string, SideView>::const_iterator it = m_sides.find(sideId);
    return it == m_sides.end() ? nullptr : &it->second;
}

SideView* Membership::findByLink(LinkId link)
{
    for (std::pair<const std::string, SideView>& entry : m_sides) {
        if (entry.second.dataLink == link || entry.second.announcementLink == link)
            return &entry.second;
    }
    return nullptr;
}

bool Membership::isWitnessCandidate(const SideView& side, Instant now) const
{
    return !side.leaving && now - side.lastAnnouncedAt <= m_timing.witnessTimeout;
}

int Membership::countWitnessCandidates(Instant now) const
{
    int count = 0;
    for (const std::pair<const std::string, SideView>& entry : m_sides)
        count += isWitnessCandidate(entry.second, now) ? 1 : 0;
    return count;
}

bool Membership::isViewComplete(Instant now) const
{
    if (now - m_startedAt < m_timing.startupDelay)
        return false;
    int reported = 0;
    for (const std::pair<const std::string, SideView>& entry : m_sides) {
        if (isWitnessCandidate(entry.second, now))
            reported = std::max(reported, entry.second.sidesReported);
    }
    return countWitnessCandidates(now) + m_timing.toleratedMissingSides >= reported;
}

SideView* Membership::expectAnswerFrom(Instant now, const std::string& sideId)
{
    SideView* side = find(sideId);
    if (!side || !side->isLinkUp())
        return nullptr;
    side->answerExpectedUntil = now + answerTimeout;
    return side;
}

bool Membership::isPresent(const SideView& side, Instant now) const
{
    return !side.leaving && now - side.lastAnnouncedAt <= m_timing.presenceTimeout;
}

} // namespace Plantainpier
