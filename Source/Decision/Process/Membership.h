/// The sides of which an entry has a record: presence, load and connections. Used by the routing of requests, the
/// choice of witnesses and the placement of jobs.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Process/Message.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Plantainpier {

/// The state of one side as last observed by this entry. All values are estimates: the side itself decides what it
/// accepts.
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
    /// The highest number of present sides that any entry has reported to this side.
    int sidesReported = 0;
    Wire::Load load;
    Wire::Resources capacity;
    Wire::Resources free;
    Instant lastAnnouncedAt;
    /// Requests of this entry that are dispatched and unanswered.
    int ownInFlight = 0;
    /// Requests of other entries at this side, as of its last load report.
    int othersInFlight = 0;
    /// Until this time, an immediate answer is expected on the data link.
    Instant answerExpectedUntil;
    /// Until this time, the side gets no new request because a dispatch to it failed recently.
    Instant avoidUntil;
    /// The connection on which the side announces itself.
    LinkId announcementLink = noLink;
    /// The data link; noLink while there is none.
    LinkId dataLink = noLink;
    std::optional<LinkMonitor> dataLinkMonitor;

    /// Earliest time to dial the next data link.
    Instant nextDialAt;

    /// Applies a report of the side's load; `own` is the number of this entry's requests that the report includes.
    void setLoad(const Wire::Load& reported, int own)
    {
        load = reported;
        othersInFlight = std::max(0, reported.inFlight + reported.queued - own);
    }
    int expectedInFlight() const { return ownInFlight + othersInFlight; }
    /// Whether an answer is expected on the data link, so that its silence indicates a failure.
    bool isAnswerExpected(Instant now) const { return ownInFlight > 0 || now < answerExpectedUntil; }
    bool isLinkUp() const { return dataLinkMonitor && dataLinkMonitor->isUp(); }
};

/// Limits on the silence of a side and on the completeness of the view.
struct MembershipTiming {
    /// Silence on the announcement link after which a side gets no new work.
    Duration presenceTimeout = milliseconds(1500);
    /// Silence after which a side is no longer a witness candidate. Long, so that all entries choose the same witnesses
    /// even while connections break and recover.
    Duration witnessTimeout = seconds(5);
    /// Silence after which a side is removed.
    Duration removalTimeout = seconds(60);
    /// Time after the entry's start within which every running side announces itself.
    Duration startupDelay = milliseconds(1500);
    /// How many sides fewer than the largest number reported by any entry this view may hold and still be used to
    /// choose witnesses of keys.
    int toleratedMissingSides = 2;
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

/// The sides of which one entry has a record. One object per process; decides only which sides are present and may be
/// witnesses.
class Membership {
public:
    Membership(const MembershipTiming& timing, Instant now);

    AnnouncementEffect onAnnouncement(Instant now, LinkId link, const Wire::Announcement& message);
    /// Ids of sides to remove; the caller closes their links before it removes them.
    std::vector<std::string> expiredSides(Instant now) const;
    void remove(const std::string& sideId);

    SideView* find(const std::string& sideId);
    const SideView* find(const std::string& sideId) const;
    /// The side that has this link as its data link or announcement link; null if there is none.
    SideView* findByLink(LinkId link);
    /// Returns the side if its data link is up, and expects an immediate answer from it; null otherwise. From then on,
    /// the side's silence counts as a failure.
    SideView* expectAnswerFrom(Instant now, const std::string& sideId);
    /// Whether the side is not leaving and has announced itself recently; the state of its data link does not count.
    bool isPresent(const SideView& side, Instant now) const;
    /// Whether the side is among those that witnesses of keys are chosen from.
    bool isWitnessCandidate(const SideView& side, Instant now) const;
    int countWitnessCandidates(Instant now) const;
    /// Whether this view is close enough to those of other entries to choose witnesses from it.
    bool isViewComplete(Instant now) const;
    std::map<std::string, SideView>& sides() { return m_sides; }
    const std::map<std::string, SideView>& sides() const { return m_sides; }

private:
    MembershipTiming m_timing;
    Instant m_startedAt;
    std::map<std::string, SideView> m_sides;
};

} // namespace Plantainpier
