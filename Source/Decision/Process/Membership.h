/// What an entry knows of the sides: who is there, how loaded, over which connection.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Process/Message.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Plantainpier {

/// One side as this entry sees it. Everything here is an estimate; the side itself has the last word.
struct SideView {
    std::string sideId;
    std::string address;
    int port = 0;
    std::string zone;
    std::string rack;
    std::int64_t incarnation = 0;
    bool targetPresent = false;
    bool leaving = false;
    std::int64_t bundleVersion = 0;
    /// The most present sides that an entry told this side of.
    int sidesReported = 0;
    Wire::Load load;
    Wire::Resources capacity;
    Wire::Resources free;
    Instant lastHeard;
    /// Requests of this entry that are dispatched and unanswered.
    int ownInFlight = 0;
    /// Requests of other entries there, as of the last report.
    int othersInFlight = 0;
    /// Until then an answer that is given at once is awaited on the data link.
    Instant awaitedUntil;
    /// Until then the side gets no new request because a dispatch to it just failed.
    Instant avoidUntil;
    /// The connection that the side announces itself on.
    LinkId announcementLink = noLink;
    /// The data link; noLink while there is none.
    LinkId link = noLink;
    std::optional<LinkMonitor> monitor;

    /// When the next data link is dialled at the earliest.
    Instant nextDial;

    /// A report of the side's load; own is how many of this entry's requests it counts in.
    void setLoad(const Wire::Load& reported, int own)
    {
        load = reported;
        othersInFlight = std::max(0, reported.inFlight + reported.queued - own);
    }
    int expectedInFlight() const { return ownInFlight + othersInFlight; }
    /// Silence of the data link means something now.
    bool isAwaited(Instant now) const { return ownInFlight > 0 || now < awaitedUntil; }
    bool isLinkUp() const { return monitor && monitor->isUp(); }
};

/// How long a silent side counts as present.
struct MembershipTiming {
    /// Silence on the announcement link after which a side gets nothing new.
    Duration suspectAfter = milliseconds(1500);
    /// Silence after which a side is no witness any more. Long, so that the entries' choices of witnesses stay alike
    /// while connections come and go.
    Duration witnessAfter = seconds(5);
    /// Silence after which a side is forgotten.
    Duration forgetAfter = seconds(60);
    /// Time after the start in which every living side has announced itself.
    Duration settle = milliseconds(1500);
    /// So many sides fewer than another entry sees may be missing from a view that decides about keys.
    int missingSides = 2;
};

/// What an announcement changed.
enum class AnnouncementEffect {
    Refreshed,
    Joined,
    Restarted,
    Left,
    /// From an incarnation that has been replaced; ignored.
    Stale,
};

/// The sides known to one entry. Lives for the process; holds no decision beyond who is present.
class Membership {
public:
    Membership(const MembershipTiming& timing, Instant now);

    AnnouncementEffect onAnnouncement(Instant now, LinkId link, const Wire::Announcement& message);
    /// Sides to forget; the caller closes their links before it removes them.
    std::vector<std::string> expired(Instant now) const;
    void remove(const std::string& sideId);

    SideView* find(const std::string& sideId);
    const SideView* find(const std::string& sideId) const;
    /// The side that this connection leads to, as data or announcement link.
    SideView* findByLink(LinkId link);
    /// The side, if a message can be sent to it now whose answer it gives at once; its silence counts from then on.
    SideView* awaitAnswerFrom(Instant now, const std::string& sideId);
    /// Present, not leaving and heard of lately. Says nothing about its data link.
    bool isPresent(const SideView& side, Instant now) const;
    /// Whether the side is among those that witnesses of keys are chosen from.
    bool isWitness(const SideView& side, Instant now) const;
    int witnessSides(Instant now) const;
    /// Whether this view is near enough to what other entries see for witnesses to be chosen from it.
    bool isViewComplete(Instant now) const;
    std::map<std::string, SideView>& sides() { return m_sides; }
    const std::map<std::string, SideView>& sides() const { return m_sides; }

private:
    MembershipTiming m_timing;
    Instant m_startedAt;
    std::map<std::string, SideView> m_sides;
};

} // namespace Plantainpier
