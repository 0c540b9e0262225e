#include "Decision/Process/EntryCore.h"

#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    /// Ids of links that the decision logic opens start here; accepted links have smaller ids.
    constexpr LinkId firstOpenedLinkId = LinkId(1) << 32;
    /// The log counts as unavailable if it was not read to its end for this time.
    constexpr Duration logTimeout = seconds(3);
    /// How long an operator's roll-out may take to be read back from the log.
    constexpr Duration rollOutTimeout = seconds(5);

} // namespace

EntryCore::EntryCore(EntryIdentity identity, BundleRegistry bundles, RandomBelow randomBelow, Instant now)
    : m_identity(std::move(identity))
    , m_bundles(std::move(bundles))
    , m_loggedBundles(m_bundles)
    , m_membership(MembershipTiming {}, now)
    , m_requests(m_identity.entryId, m_identity.incarnation, m_membership,
          Router(RouterSettings {}, m_identity.zone, std::move(randomBelow)), m_bundles)
    , m_jobStateMachine(m_identity.cell)
    , m_jobIntake(m_identity.cell, m_membership, m_bundles)
    , m_scheduler(
          m_identity.cell, m_identity.entryId, m_identity.incarnation, m_membership, m_bundles, SchedulerTiming {})
    , m_appendQueue(AppendLimits {})
    , m_lastLinkId(firstOpenedLinkId)
{
}

bool EntryCore::isLogUnavailable(Instant now) const { return !m_lastLogReadAt || now - *m_lastLogReadAt > logTimeout; }

bool EntryCore::isReady(Instant now) const
{
    if (m_leaving || !m_bundles.current() || !m_membership.isViewComplete(now))
        return false;
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides()) {
        if (entry.second.isLinkUp() && m_membership.isPresent(entry.second, now))
            return true;
    }
    return false;
}

bool EntryCore::isDrained() const
{
    return m_requests.inProgress() == 0 && m_jobIntake.waitingCallerCount() == 0 && m_rollOuts.empty();
}

void EntryCore::beginShutdown()
{
    m_leaving = true;
    m_requests.beginShutdown();
    m_jobIntake.stopAccepting();
}

void EntryCore::reply(CallerToken caller, ErrorCode code, const std::string& text, Actions& actions) const
{
    const Json body { { "code", static_cast<int>(code) }, { "reason", name(code) }, { "text", text },
        { "bundle", m_bundles.version() } };
    actions.push_back(ReplyToCaller { caller, code, body.dump(), {} });
}

// Callers and operators.

void EntryCore::onRequest(Instant now, CallerToken caller, CallerRequest request, Actions& actions)
{
    m_requests.submit(now, caller, std::move(request), actions);
}

void EntryCore::onRequestQuery(Instant now, CallerToken caller, const std::string& key, Actions& actions)
{
    m_requests.queryKey(now, caller, key, actions);
}

void EntryCore::onJobSubmission(Instant now, CallerToken caller, const JobSubmission& submission, Actions& actions)
{
    m_jobIntake.submit(now, caller, submission, m_jobStateMachine, isLogUnavailable(now), actions);
    appendQueued(now, actions);
}

void EntryCore::onJobQuery(CallerToken caller, const std::string& jobId, Actions& actions) const
{
    m_jobIntake.replyWithJobStatus(caller, jobId, m_jobStateMachine, actions);
}

void EntryCore::onJobCancel(Instant now, CallerToken caller, const std::string& jobId, Actions& actions)
{
    m_jobIntake.cancel(now, caller, jobId, m_jobStateMachine, isLogUnavailable(now), actions);
    appendQueued(now, actions);
}

void EntryCore::onRollOut(Instant now, CallerToken caller, const std::string& envelope, Actions& actions)
{
    BundleRegistry candidate = m_bundles;
    const Result<Success> offered = candidate.activate(envelope);
    if (!isOk(offered)) {
        reply(caller, errorOf(offered).code, errorOf(offered).message, actions);
        return;
    }
    if (candidate.version() == m_bundles.version()) {
        reply(caller, ErrorCode::Ok, "this bundle is already in force", actions);
        return;
    }
    if (isLogUnavailable(now)) {
        reply(caller, ErrorCode::LogUnavailable, "bundle not rolled out: the log service is unavailable", actions);
        return;
    }
    m_rollOuts.push_back(RollOut { caller, candidate.version(), envelope, now + rollOutTimeout });
    actions.push_back(AppendRecords { { BundleRecord { envelope } } });
    appendQueued(now, actions);
}

void EntryCore::onStatus(Instant now, CallerToken caller, Actions& actions) const
{
    Json sides = Json::array();
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides()) {
        const SideView& side = entry.second;
        sides.push_back({ { "side", side.sideId }, { "zone", side.zone }, { "rack", side.rack },
            { "incarnation", side.incarnation }, { "present", m_membership.isPresent(side, now) },
            { "link_up", side.isLinkUp() }, { "leaving", side.leaving }, { "target", side.targetPresent },
            { "bundle", side.bundleVersion }, { "in_flight", side.load.inFlight }, { "queued", side.load.queued },
            { "slots", side.load.slots }, { "latency_us", side.load.latencyMicroseconds },
            { "free_milli_processors", side.free.milliProcessors }, { "free_memory_mb", side.free.memoryMegabytes },
            { "free_accelerators", side.free.accelerators } });
    }
    const Json body { { "entry", m_identity.entryId }, { "incarnation", m_identity.incarnation },
        { "zone", m_identity.zone }, { "cell", m_identity.cell }, { "bundle", m_bundles.version() },
        { "ready", isReady(now) }, { "log_away", isLogUnavailable(now) },
        { "requests_in_progress", m_requests.inProgress() }, { "leader", m_jobStateMachine.leader().entryId },
        { "term", m_jobStateMachine.leader().term }, { "jobs", m_jobStateMachine.jobs().size() },
        { "jobs_queued", m_jobStateMachine.queuedJobs().size() },
        { "jobs_running", m_jobStateMachine.runningJobIds().size() }, { "sides", sides } };
    actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, body.dump(), {} });
}

// Sides and the connections to them.

void EntryCore::openDataLink(Instant now, SideView& side, Actions& actions)
{
    side.dataLink = ++m_lastLinkId;
    side.dataLinkMonitor.emplace(LinkTiming {}, now);
    actions.push_back(OpenLink { side.dataLink, side.address, side.port });
}

void EntryCore::closeDataLink(Instant now, SideView& side, std::string_view reason, Actions& actions)
{
    LogLine line("link_lost");
    line.add("entry", m_identity.entryId).add("side", side.sideId).add("link", side.dataLink).add("why", reason);
    line.add("in_flight", side.ownInFlight);
    actions.push_back(WriteLog { line.text() });
    actions.push_back(CloseLink { side.dataLink });
    side.dataLink = noLink;
    side.dataLinkMonitor.reset();
    m_requests.onLinkLost(now, side.sideId, actions);
}

void EntryCore::checkDataLink(Instant now, SideView& side, Actions& actions)
{
    if (side.dataLink == noLink) {
        if (now >= side.nextDialAt) {
            side.nextDialAt = now + LinkTiming {}.connectTimeout;
            openDataLink(now, side, actions);
        }
        return;
    }
    switch (side.dataLinkMonitor->tick(now, side.isAnswerExpected(now))) {
    case LinkAction::None:
        break;
    case LinkAction::SendHeartbeat: {
        Wire::Ping ping;
        ping.number = side.dataLinkMonitor->heartbeatNumber();
        actions.push_back(SendMessage { side.dataLink, ping });
        break;
    }
    case LinkAction::Close:
        closeDataLink(now, side, "silent", actions);
        break;
    }
}

void EntryCore::onAnnouncement(Instant now, LinkId link, const Wire::Announcement& message, Actions& actions)
{
    const AnnouncementEffect effect = m_membership.onAnnouncement(now, link, message);
    Wire::AnnouncementAck ack;
    ack.entryId = m_identity.entryId;
    ack.bundleVersion = m_bundles.version();
    ack.sidesPresent = m_membership.countWitnessCandidates(now);
    actions.push_back(SendMessage { link, std::move(ack) });
    if (effect == AnnouncementEffect::Stale)
        return;
    if (message.bundleVersion < m_bundles.version())
        sendBundle(link, actions);
    SideView& side = *m_membership.find(message.sideId);
    if (effect == AnnouncementEffect::Refreshed)
        return;
    LogLine line("membership");
    line.add("entry", m_identity.entryId).add("side", side.sideId).add("incarnation", side.incarnation);
    line.add("target", side.targetPresent).add("leaving", side.leaving).add("zone", side.zone);
    actions.push_back(WriteLog { line.text() });
    if (effect == AnnouncementEffect::Restarted && side.dataLink != noLink)
        closeDataLink(now, side, "restarted", actions);
    if (side.dataLink == noLink)
        openDataLink(now, side, actions);
}

void EntryCore::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    SideView* side = m_membership.findByLink(link);
    if (!side || side->dataLink != link)
        return;
    side->dataLinkMonitor->onUp(now);
    m_requests.onLinkUp(now, side->sideId, actions);
}

void EntryCore::onLinkDown(Instant now, LinkId link, Actions& actions)
{
    SideView* side = m_membership.findByLink(link);
    if (side && side->dataLink == link)
        closeDataLink(now, *side, "closed", actions);
}

void EntryCore::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    SideView* side = m_membership.findByLink(link);
    if (side && side->dataLink == link)
        side->dataLinkMonitor->onReceived(now);
    const std::string sideId = side ? side->sideId : std::string();
    std::visit(
        Overloaded {
            [&](const Wire::Announcement& announcement) { onAnnouncement(now, link, announcement, actions); },
            [&](const Wire::RunAnswer& answer) { m_requests.onAnswer(now, sideId, answer, actions); },
            [&](const Wire::ClaimAnswer& answer) { m_requests.onClaimAnswer(now, answer, actions); },
            [&](const Wire::BundleNotice& notice) { offerBundle(notice.envelope, "side", actions); },
            [&](const Wire::ReserveAnswer& answer) {
                m_scheduler.onReserveAnswer(now, sideId, answer, m_jobStateMachine, actions);
            },
            [&](const Wire::AttemptReport& report) { m_scheduler.onReport(now, report, m_jobStateMachine, actions); },
            [](const auto&) {},
        },
        message);
    appendQueued(now, actions);
}

// Bundles.

void EntryCore::sendBundle(LinkId link, Actions& actions) const
{
    Wire::BundleNotice notice;
    notice.version = m_bundles.version();
    notice.envelope = m_bundles.envelope();
    actions.push_back(SendMessage { link, std::move(notice) });
}

void EntryCore::offerBundle(const std::string& envelope, std::string_view source, Actions& actions)
{
    const std::int64_t before = m_bundles.version();
    const Result<Success> offered = m_bundles.activate(envelope);
    if (isOk(offered) && m_bundles.version() == before)
        return;
    logBundle(source, offered, actions);
    if (!isOk(offered))
        return;
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides()) {
        if (entry.second.bundleVersion < m_bundles.version())
            sendBundle(entry.second.announcementLink, actions);
    }
}

void EntryCore::logBundle(std::string_view source, const Result<Success>& offered, Actions& actions) const
{
    LogLine line("bundle");
    line.add("entry", m_identity.entryId).add("source", source).add("version", m_bundles.version());
    if (isOk(offered))
        line.add("decision", "activate");
    else
        line.add("decision", name(errorOf(offered).code)).add("text", errorOf(offered).message);
    actions.push_back(WriteLog { line.text() });
}

void EntryCore::onBundleRecord(const BundleRecord& record, Actions& actions)
{
    const Result<Success> offered = m_loggedBundles.activate(record.envelope);
    if (!isOk(offered))
        logBundle("log", offered, actions);
}

void EntryCore::answerRollOuts(std::int64_t version, Actions& actions)
{
    for (std::vector<RollOut>::iterator it = m_rollOuts.begin(); it != m_rollOuts.end();) {
        if (it->version > version) {
            ++it;
            continue;
        }
        if (it->envelope == m_bundles.envelope())
            reply(it->caller, ErrorCode::Ok, "the bundle is in force", actions);
        else
            reply(it->caller, ErrorCode::RollOutLost,
                "another bundle of version " + std::to_string(it->version) + " or newer was logged first", actions);
        it = m_rollOuts.erase(it);
    }
}

// The log.

void EntryCore::applyLogText(Instant now, const std::string& text, Actions& actions)
{
    m_appendQueue.onRecordRead(text);
    const Result<LogRecord> decoded = decodeRecord(text);
    if (!isOk(decoded)) {
        LogLine line("log_record_ignored");
        line.add("entry", m_identity.entryId).add("text", errorOf(decoded).message);
        actions.push_back(WriteLog { line.text() });
        return;
    }
    const LogRecord& record = valueOf(decoded);
    const BundleRecord* bundle = std::get_if<BundleRecord>(&record);
    if (bundle)
        onBundleRecord(*bundle, actions);
    const RecordEffect effect = m_jobStateMachine.apply(record);
    m_jobIntake.onRecord(record, effect, m_jobStateMachine, actions);
    m_scheduler.onRecord(now, record, effect, m_jobStateMachine, actions);
}

void EntryCore::onLogRead(Instant now, const LogRead& read, Actions& actions)
{
    for (const std::string& text : read.texts)
        applyLogText(now, text, actions);
    if (read.reachedEnd) {
        if (m_loggedBundles.version() > m_bundles.version())
            offerBundle(m_loggedBundles.envelope(), "log", actions);
        answerRollOuts(m_loggedBundles.version(), actions);
        m_lastLogReadAt = now;
        m_scheduler.onLogReadToEnd(now);
        m_appendQueue.onLogReadToEnd(read.startedAt);
        if (!m_startRecorded)
            actions.push_back(AppendRecords { { EntryStartedRecord { m_identity.entryId, m_identity.incarnation } } });
        m_startRecorded = true;
    }
    appendQueued(now, actions);
}

void EntryCore::onAppendResult(Instant now, AppendResult result, Actions& actions)
{
    m_appendQueue.onAppendResult(now, result);
    if (result != AppendResult::Stored) {
        LogLine line("append");
        line.add("entry", m_identity.entryId);
        line.add("result", result == AppendResult::Refused ? "refused" : "uncertain");
        line.add("waiting", m_appendQueue.size());
        actions.push_back(WriteLog { line.text() });
    }
    appendQueued(now, actions);
}

void EntryCore::appendQueued(Instant now, Actions& actions)
{
    const auto moveToQueue = [this](const Action& action) {
        const AppendRecords* append = std::get_if<AppendRecords>(&action);
        if (append)
            m_appendQueue.add(append->records);
        return append != nullptr;
    };
    std::erase_if(actions, moveToQueue);
    std::optional<std::vector<std::string>> batch = m_appendQueue.nextBatch(now);
    if (batch)
        actions.push_back(AppendBatch { std::move(*batch) });
}

// Time.

void EntryCore::tick(Instant now, Actions& actions)
{
    for (std::pair<const std::string, SideView>& entry : m_membership.sides())
        checkDataLink(now, entry.second, actions);
    for (const std::string& sideId : m_membership.expiredSides(now)) {
        SideView& side = *m_membership.find(sideId);
        if (side.dataLink != noLink)
            closeDataLink(now, side, "forgotten", actions);
        m_membership.remove(sideId);
    }
    m_requests.tick(now, actions);
    m_jobIntake.tick(now, actions);
    m_scheduler.tick(now, m_jobStateMachine, actions);
    for (std::vector<RollOut>::iterator it = m_rollOuts.begin(); it != m_rollOuts.end();) {
        if (now < it->expiresAt) {
            ++it;
            continue;
        }
        reply(it->caller, ErrorCode::LogUnavailable,
            "roll-out not confirmed in time; it may still take effect, and rolling out the same bundle again is safe",
            actions);
        it = m_rollOuts.erase(it);
    }
    appendQueued(now, actions);
}

} // namespace Plantainpier
