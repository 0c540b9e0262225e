#include "Decision/Process/SideCore.h"

#include "Base/LogLine.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr Duration announcementInterval = milliseconds(500);
    /// How long an entry's number of sides is reported to other entries.
    constexpr Duration sidesReportValidity = seconds(5);
    /// An entry acknowledges each announcement, so silence is detected sooner than on a data link.
    constexpr LinkTiming announcementTiming { .idleTimeout = milliseconds(1200) };
    constexpr Duration redialDelay = milliseconds(300);
    /// Silence after which a target counts as absent even without a departure notice.
    constexpr Duration targetTimeout = seconds(3);
    /// Ids of links that the decision logic opens start here; accepted links have smaller ids.
    constexpr LinkId firstOpenedLinkId = LinkId(1) << 32;
    /// How long this side attests claims of keys while there is no bundle to set the time.
    constexpr Duration keyRetentionWithoutBundle = seconds(600);

} // namespace

SideCore::SideCore(SideIdentity identity, BundleRegistry bundles, Instant now)
    : m_identity(std::move(identity))
    , m_bundles(std::move(bundles))
    , m_requests(m_identity.sideId, m_identity.incarnation)
    , m_witness(m_identity.sideId, now)
    , m_attemptManager(m_identity.sideId, m_identity.incarnation, LeaseTiming {})
    , m_lastLinkId(firstOpenedLinkId)
{
    for (const PeerAddress& address : m_identity.entries) {
        m_entries.emplace_back();
        m_entries.back().address = address;
        m_entries.back().nextDialAt = now;
    }
    if (m_bundles.current())
        applyBundle();
}

// The target of this side.

bool SideCore::isTargetPresent(Instant now) const
{
    return m_targetAnnouncedAt && !m_targetLeaving && now - *m_targetAnnouncedAt <= targetTimeout;
}

void SideCore::onTargetAnnouncement(Instant now, const TargetAnnouncement& announcement, Actions& actions)
{
    m_targetAnnouncedAt = now;
    m_targetSlots = announcement.slots;
    m_targetLeaving = announcement.leaving;
    updateSlots(now, actions);
}

void SideCore::updateSlots(Instant now, Actions& actions)
{
    const bool present = isTargetPresent(now);
    m_requests.setSlots(now, present ? m_targetSlots : 0, actions);
    if (present == m_targetWasPresent)
        return;
    m_targetWasPresent = present;
    LogLine line("target");
    line.add("side", m_identity.sideId).add("present", present).add("leaving", m_targetLeaving);
    actions.push_back(WriteLog { line.add("slots", m_targetSlots).text() });
    announceToAll(now, actions);
}

void SideCore::onTargetResult(Instant now, const std::string& dispatchId, const TargetResult& result, Actions& actions)
{
    if (result.kind == TargetResult::Kind::NotStarted) {
        // The target accepts no connection, so it counts as absent until it announces itself again.
        m_targetAnnouncedAt.reset();
        updateSlots(now, actions);
    }
    m_requests.onTargetResult(now, dispatchId, result, actions);
}

void SideCore::onWorkerListing(Instant now, const WorkerListing& listing, Actions& actions)
{
    m_attemptManager.onListing(now, listing, actions);
}

// Entries.

SideCore::EntryLink* SideCore::findEntry(LinkId link)
{
    for (EntryLink& entry : m_entries) {
        if (entry.link == link)
            return &entry;
    }
    return nullptr;
}

void SideCore::dialEntries(Instant now, Actions& actions)
{
    for (EntryLink& entry : m_entries) {
        if (entry.link != noLink || now < entry.nextDialAt)
            continue;
        entry.link = ++m_lastLinkId;
        entry.monitor.emplace(announcementTiming, now);
        actions.push_back(OpenLink { entry.link, entry.address.address, entry.address.port });
    }
}

void SideCore::scheduleRedial(Instant now, EntryLink& entry)
{
    entry.link = noLink;
    entry.monitor.reset();
    entry.nextDialAt = now + redialDelay;
}

void SideCore::checkEntryLink(Instant now, EntryLink& entry, Actions& actions)
{
    if (!entry.monitor)
        return;
    // Announcements are the heartbeat of this link, so the monitor's own heartbeats are not sent.
    if (entry.monitor->tick(now, false) == LinkAction::Close) {
        LogLine line("link_suspect");
        line.add("side", m_identity.sideId).add("entry_port", entry.address.port).add("link", entry.link);
        actions.push_back(WriteLog { line.text() });
        actions.push_back(CloseLink { entry.link });
        scheduleRedial(now, entry);
        return;
    }
    if (entry.monitor->isUp() && now - entry.lastAnnouncedAt >= announcementInterval)
        announce(now, entry, actions);
}

int SideCore::sidesReported(Instant now) const
{
    int reported = 0;
    for (const EntryLink& entry : m_entries) {
        if (now - entry.acknowledgedAt <= sidesReportValidity)
            reported = std::max(reported, entry.sidesPresent);
    }
    return reported;
}

void SideCore::announce(Instant now, EntryLink& entry, Actions& actions)
{
    entry.lastAnnouncedAt = now;
    Wire::Announcement message;
    message.sideId = m_identity.sideId;
    message.address = m_identity.listen.address;
    message.port = m_identity.listen.port;
    message.zone = m_identity.zone;
    message.rack = m_identity.rack;
    message.incarnation = m_identity.incarnation;
    message.targetPresent = isTargetPresent(now);
    message.leaving = m_leaving;
    message.bundleVersion = m_bundles.version();
    message.sidesReported = sidesReported(now);
    message.load = m_requests.load();
    message.capacity = m_identity.capacity;
    if (m_attemptManager.isReady())
        message.free = m_attemptManager.freeResources();
    actions.push_back(SendMessage { entry.link, std::move(message) });
}

void SideCore::announceToAll(Instant now, Actions& actions)
{
    for (EntryLink& entry : m_entries) {
        if (entry.monitor && entry.monitor->isUp())
            announce(now, entry, actions);
    }
}

void SideCore::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    EntryLink* entry = findEntry(link);
    if (!entry)
        return;
    entry->monitor->onUp(now);
    announce(now, *entry, actions);
}

void SideCore::onLinkDown(Instant now, LinkId link, Actions&)
{
    EntryLink* entry = findEntry(link);
    if (entry)
        scheduleRedial(now, *entry);
}

void SideCore::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    EntryLink* entry = findEntry(link);
    if (entry && entry->monitor)
        entry->monitor->onReceived(now);
    const Duration keyRetention
        = m_bundles.current() ? m_bundles.current()->answerRetention() : keyRetentionWithoutBundle;
    std::visit(
        Overloaded {
            [&](const Wire::Ping& ping) {
                Wire::Pong pong;
                pong.number = ping.number;
                actions.push_back(SendMessage { link, pong });
            },
            [&](const Wire::AnnouncementAck& ack) { onAcknowledgement(now, link, ack, actions); },
            [&](const Wire::RunRequest& request) { m_requests.onRunRequest(now, link, request, actions); },
            [&](const Wire::ResolveRequest& request) { m_requests.onResolveRequest(now, link, request, actions); },
            [&](const Wire::ClaimRequest& request) {
                actions.push_back(SendMessage { link, m_witness.claim(now, request, keyRetention) });
            },
            [&](const Wire::ClaimRelease& release) { m_witness.release(release); },
            [&](const Wire::KeyQuery& request) {
                actions.push_back(SendMessage { link, m_witness.query(now, request) });
            },
            [&](const Wire::BundleNotice& notice) { onBundle(now, link, notice, actions); },
            [&](const Wire::ReserveRequest& request) { m_attemptManager.onReserve(now, link, request, actions); },
            [&](const Wire::StartRequest& request) { m_attemptManager.onStart(now, link, request, actions); },
            [&](const Wire::HoldRequest& request) { m_attemptManager.onHold(now, link, request, actions); },
            [&](const Wire::StopRequest& request) { m_attemptManager.onStop(now, link, request, actions); },
            [](const auto&) {},
        },
        message);
}

void SideCore::onAcknowledgement(Instant now, LinkId link, const Wire::AnnouncementAck& ack, Actions& actions)
{
    EntryLink* entry = findEntry(link);
    if (entry) {
        entry->sidesPresent = ack.sidesPresent;
        entry->acknowledgedAt = now;
    }
    sendNewerBundle(link, ack.bundleVersion, actions);
}

// Bundles.

void SideCore::onBundle(Instant now, LinkId link, const Wire::BundleNotice& notice, Actions& actions)
{
    if (notice.version <= m_bundles.version())
        return;
    const Result<Success> offered = m_bundles.activate(notice.envelope);
    LogLine line("bundle");
    line.add("side", m_identity.sideId).add("version", notice.version).add("link", link);
    if (!isOk(offered)) {
        line.add("decision", name(errorOf(offered).code)).add("text", errorOf(offered).message);
        actions.push_back(WriteLog { line.text() });
        return;
    }
    actions.push_back(WriteLog { line.add("decision", "activate").text() });
    applyBundle();
    announceToAll(now, actions);
}

void SideCore::sendNewerBundle(LinkId link, std::int64_t version, Actions& actions) const
{
    if (version >= m_bundles.version())
        return;
    Wire::BundleNotice notice;
    notice.version = m_bundles.version();
    notice.envelope = m_bundles.envelope();
    actions.push_back(SendMessage { link, std::move(notice) });
}

void SideCore::applyBundle()
{
    m_requests.setBundle(m_bundles.current());
    m_attemptManager.setLimit(percentOf(m_identity.capacity, m_bundles.current()->batchPercent()));
}

// Time.

void SideCore::tick(Instant now, Actions& actions)
{
    updateSlots(now, actions);
    m_requests.tick(now, actions);
    m_witness.removeExpired(now);
    m_attemptManager.tick(now, actions);
    dialEntries(now, actions);
    for (EntryLink& entry : m_entries)
        checkEntryLink(now, entry, actions);
}

void SideCore::beginShutdown(Instant now, Actions& actions)
{
    m_leaving = true;
    m_requests.beginShutdown();
    m_attemptManager.stopReserving();
    announceToAll(now, actions);
    LogLine line("leaving");
    line.add("side", m_identity.sideId).add("in_progress", m_requests.inProgress());
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
