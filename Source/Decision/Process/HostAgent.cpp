#include "Decision/Process/HostAgent.h"

#include "Decision/Process/OwnerRecords.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Refused connections in a row after which the host's process counts as ended: its port is closed.
    constexpr int refusalsOfAnEndedHost = 2;
    /// A host that answered within this time is still the same process: it takes longer to start again.
    constexpr Duration contactValidity = milliseconds(100);

    Wire::OrderResult makeResult(
        const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason)
    {
        Wire::OrderResult result;
        result.task = task;
        result.run = run;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }

} // namespace

HostAgent::HostAgent(NodeIdentity identity, const HostAgentTiming& timing)
    : m_identity(std::move(identity))
    , m_timing(timing)
    , m_claims(StoreTopic::Owners, WatchTiming {})
{
}

Wire::HostReport HostAgent::makeReport() const
{
    Wire::HostReport report;
    report.hostId = m_facts->hostId;
    report.incarnation = m_facts->incarnation;
    report.serviceName = m_facts->service;
    report.zone = m_facts->zone;
    report.rack = m_facts->rack;
    report.labels = m_facts->labels;
    report.capacity = m_facts->capacity;
    report.state = m_facts->draining ? Wire::HostState::Draining : Wire::HostState::Ready;
    report.remainingMilliseconds = m_facts->remainingMilliseconds;
    report.highestTerm = m_term;
    return report;
}

void HostAgent::send(Wire::HostReport report, Actions& actions)
{
    if (m_link.isUp())
        actions.push_back(SendMessage { m_link.link(), std::move(report) });
}

void HostAgent::sendResult(
    const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason, Actions& actions)
{
    if (!m_facts)
        return;
    Wire::HostReport report = makeReport();
    report.results.push_back(makeResult(task, run, outcome, reason));
    send(std::move(report), actions);
}

void HostAgent::replaceHost(Instant now, const char* why, Actions& actions)
{
    actions.push_back(WriteLog { LogLine("host_ended")
                                     .add("host", m_facts->hostId)
                                     .add("incarnation", m_facts->incarnation)
                                     .add("why", why)
                                     .text() });
    Wire::HostReport report = makeReport();
    report.state = Wire::HostState::Gone;
    send(std::move(report), actions);
    m_facts.reset();
    m_farewellHeard = false;
    m_contactUnconfirmed = false;
    m_contactLost = false;
    m_clockMilliseconds = 0;
    raiseOwnFence();
    m_answersAsAnnounced = false;
    m_halts.clear();
    m_paces.clear();
    m_leaseUntilMilliseconds = 0;
    m_acknowledgedNumber = 0;
    m_refusedConnections = 0;
    m_listWanted = false;
    m_listInFlight = false;
    m_notBefore = now;
}

void HostAgent::onAnnouncement(Instant now, const HostDescription& facts, Actions& actions)
{
    if (m_facts && facts.incarnation < m_facts->incarnation)
        return;
    const bool same = m_facts && m_facts->hostId == facts.hostId && m_facts->incarnation == facts.incarnation;
    if (same && facts.sequence < m_facts->sequence)
        return;
    // The next life of a host belongs to the same service: one of another is none of this side's.
    if (m_facts && m_answersAsAnnounced && m_facts->service != facts.service) {
        actions.push_back(WriteLog { LogLine("announcement_passed_over")
                                         .add("host", facts.hostId)
                                         .add("incarnation", facts.incarnation)
                                         .add("service", facts.service)
                                         .add("known_service", m_facts->service)
                                         .text() });
        return;
    }
    if (m_facts && !same)
        replaceHost(now, "announced_anew", actions);
    const bool news = !same || m_facts->draining != facts.draining;
    // It goes on announcing itself: the farewell was one of an earlier life.
    if (same && !facts.draining)
        m_farewellHeard = false;
    m_facts = facts;
    if (!same) {
        // The sooner it sees the raised fence the less can reach it that was meant for an earlier life.
        m_listWanted = true;
        m_contactUnconfirmed = true;
        m_notBefore = now;
    }
    if (!news)
        return;
    actions.push_back(WriteLog { LogLine("host_announced")
                                     .add("host", facts.hostId)
                                     .add("incarnation", facts.incarnation)
                                     .add("draining", facts.draining)
                                     .add("remaining_ms", facts.remainingMilliseconds)
                                     .text() });
    send(makeReport(), actions);
}

void HostAgent::onFarewell(Instant now, const std::string& hostId, Actions& actions)
{
    if (!m_facts || m_facts->hostId != hostId || m_farewellHeard)
        return;
    // It does not name a life: it may be a late one of an earlier life under the same id.
    m_farewellHeard = true;
    m_listWanted = true;
    m_notBefore = now;
    actions.push_back(
        WriteLog { LogLine("farewell_heard").add("host", hostId).add("incarnation", m_facts->incarnation).text() });
}

void HostAgent::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    Wire::NodeHello hello;
    hello.nodeId = m_identity.nodeId;
    hello.incarnation = m_identity.incarnation;
    hello.isSide = true;
    hello.term = m_owner.term;
    if (!m_link.onUp(now, link, hello, actions)) {
        actions.push_back(CloseLink { link });
        return;
    }
    actions.push_back(
        WriteLog { LogLine("owner_link_up").add("owner", m_owner.claim.nodeId).add("term", m_owner.term).text() });
    if (m_facts)
        send(makeReport(), actions);
}

void HostAgent::onLinkDown(Instant now, LinkId link, Actions& actions)
{
    const bool wasUp = m_link.isUp();
    if (m_link.onDown(now, link) && wasUp)
        actions.push_back(WriteLog {
            LogLine("owner_link_lost").add("owner", m_owner.claim.nodeId).add("term", m_owner.term).text() });
    if (wasUp)
        m_claims.refresh();
}

void HostAgent::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_link.onHeard(now, link);
    if (link != m_link.link())
        return;
    if (const Wire::HostOrders* orders = std::get_if<Wire::HostOrders>(&message))
        onOrders(now, *orders, actions);
    // The owner has taken over: what it was told before that is lost.
    if (std::holds_alternative<Wire::NodeHello>(message) && m_facts)
        send(makeReport(), actions);
}

void HostAgent::onOrders(Instant now, const Wire::HostOrders& orders, Actions& actions)
{
    if (orders.term < m_term || orders.fence < m_fence)
        return;
    m_term = orders.term;
    if (orders.fence > m_fence)
        raiseFence(now, orders.fence);
    if (!isCurrent(orders)) {
        // The incarnation that was meant is over: nothing of it runs.
        Wire::HostReport report;
        report.hostId = orders.hostId;
        report.incarnation = orders.incarnation;
        report.state = Wire::HostState::Gone;
        report.highestTerm = m_term;
        if (m_facts)
            send(std::move(report), actions);
        return;
    }
    m_leaseUntilMilliseconds = std::max(m_leaseUntilMilliseconds, orders.leaseUntilMilliseconds);
    m_acknowledgedNumber = std::max(m_acknowledgedNumber, orders.acknowledgedNumber);
    m_listWanted = true;
    for (const Wire::StartOrder& start : orders.starts) {
        if (m_facts->draining) {
            sendResult(start.task, start.run, Wire::OrderOutcome::Refused, "draining", actions);
            continue;
        }
        actions.push_back(StartOnHost {
            m_facts->hostId, m_facts->incarnation, fence(), m_leaseUntilMilliseconds, m_clockMilliseconds, start });
    }
    for (const Wire::HaltOrder& halt : orders.halts)
        addHalt(now, halt.task, halt.run, "stopped_before_it_ran");
    for (const Wire::PaceOrder& pace : orders.paces)
        m_paces.insert_or_assign(runKey(pace.task, pace.run), PendingPace { pace, false, now });
    sendPaces(now, actions);
}

void HostAgent::raiseFence(Instant now, std::int64_t fence)
{
    m_fence = fence;
    m_raises = 0;
    // A list that was asked for under a lower fence does not say what may still be carried out. It is given up, and
    // with it the news of whether the host has started again meanwhile.
    m_contactUnconfirmed = m_contactUnconfirmed || m_listInFlight;
    m_listInFlight = false;
    m_fenceIsNew = true;
    m_notBefore = now;
}

void HostAgent::addHalt(Instant now, const Wire::TaskName& task, int run, const std::string& reason)
{
    Halt halt;
    halt.order.task = task;
    halt.order.run = run;
    halt.reason = reason;
    halt.notBefore = now;
    m_halts.insert_or_assign(runKey(task, run), std::move(halt));
}

void HostAgent::onStarted(Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions)
{
    if (!isCurrent(order))
        return;
    const Wire::StartOrder& start = order.order;
    if (response.answer == HostAnswer::Done && isOtherLife(response, order.clockMilliseconds)) {
        replaceHost(now, "other_life_answered", actions);
        return;
    }
    switch (response.answer) {
    case HostAnswer::Done:
        sendResult(start.task, start.run, Wire::OrderOutcome::Started, {}, actions);
        paceFromStart(now, start, actions);
        return;
    case HostAnswer::Refused:
        // The host knows a run of this number or a higher one: it may be this one, which has ended meanwhile. The list
        // tells.
        if (response.reason == "old") {
            addHalt(now, start.task, start.run, response.reason);
            return;
        }
        sendResult(start.task, start.run, Wire::OrderOutcome::Refused,
            response.reason == "fence" && order.fence < fence() ? "overtaken" : response.reason, actions);
        return;
    case HostAnswer::NotListening:
        sendResult(start.task, start.run, Wire::OrderOutcome::Refused, "not_listening", actions);
        m_notBefore = now;
        return;
    case HostAnswer::OtherIncarnation:
        replaceHost(now, "other_incarnation_answered", actions);
        return;
    case HostAnswer::Uncertain:
        // It may run or may still come to run: it is told to stop, after which it cannot start any more.
        actions.push_back(WriteLog { LogLine("start_unanswered")
                                         .add("job", start.task.jobId)
                                         .add("step", start.task.step)
                                         .add("task", start.task.index)
                                         .add("run", start.run)
                                         .text() });
        addHalt(now, start.task, start.run, "start_unanswered");
        return;
    }
}

void HostAgent::paceFromStart(Instant now, const Wire::StartOrder& start, Actions& actions)
{
    constexpr int fullPace = 100;
    const RunKey key = runKey(start.task, start.run);
    // Hosts begin every task at full pace; a newer order overrules the one that came with the start.
    if (start.percent >= fullPace || m_paces.contains(key))
        return;
    Wire::PaceOrder pace;
    pace.task = start.task;
    pace.run = start.run;
    pace.percent = start.percent;
    m_paces.emplace(key, PendingPace { std::move(pace), false, now });
    sendPaces(now, actions);
}

void HostAgent::onHalted(Instant now, const HaltOnHost& order, const HostResponse& response, Actions& actions)
{
    (void)actions;
    std::map<RunKey, Halt>::iterator it = m_halts.find(runKey(order.order.task, order.order.run));
    if (it == m_halts.end() || !isCurrent(order))
        return;
    it->second.inFlight = false;
    it->second.answered = response.answer == HostAnswer::Done;
    it->second.answeredAt = now;
    it->second.notBefore = now + m_timing.haltPause;
    if (it->second.answered)
        m_listWanted = true;
}

void HostAgent::sendPaces(Instant now, Actions& actions)
{
    for (std::pair<const RunKey, PendingPace>& entry : m_paces) {
        PendingPace& pace = entry.second;
        if (pace.inFlight || now < pace.notBefore)
            continue;
        pace.inFlight = true;
        actions.push_back(PaceOnHost { m_facts->hostId, m_facts->incarnation, fence(), pace.order });
    }
}

void HostAgent::onPaced(Instant now, const PaceOnHost& order, const HostResponse& response, Actions& actions)
{
    std::map<RunKey, PendingPace>::iterator it = m_paces.find(runKey(order.order.task, order.order.run));
    if (!isCurrent(order) || it == m_paces.end() || it->second.order.percent != order.order.percent)
        return;
    const bool overtaken = response.answer == HostAnswer::Refused && order.fence < fence();
    if (response.answer != HostAnswer::Uncertain && !overtaken) {
        m_paces.erase(it);
        return;
    }
    it->second.inFlight = false;
    it->second.notBefore = now + m_timing.haltPause;
    actions.push_back(WriteLog {
        LogLine("pace_unanswered").add("job", order.order.task.jobId).add("percent", order.order.percent).text() });
}

void HostAgent::settleHalts(const HostResponse& response, Wire::HostReport& report)
{
    for (std::map<RunKey, Halt>::iterator it = m_halts.begin(); it != m_halts.end();) {
        const bool running = std::any_of(response.running.begin(), response.running.end(),
            [&it](const Wire::RunningTask& row) { return runKey(row.task, row.run) == it->first; });
        const bool ended = std::any_of(response.ended.begin(), response.ended.end(),
            [&it](const Wire::EndedTask& row) { return runKey(row.task, row.run) == it->first; });
        // Only a whole list that was asked for after the stop was taken says that the run is not there.
        const bool whole = ended || !response.endsOmitted;
        const bool decisive = it->second.answered && it->second.answeredAt <= m_listSentAt && whole;
        if (!decisive || running) {
            ++it;
            continue;
        }
        if (!ended)
            report.results.push_back(
                makeResult(it->second.order.task, it->second.order.run, Wire::OrderOutcome::Absent, it->second.reason));
        it = m_halts.erase(it);
    }
}

void HostAgent::onListed(Instant now, const ListHost& order, const HostResponse& response, Actions& actions)
{
    if (order.number != m_listNumber || !m_listInFlight)
        return;
    m_listInFlight = false;
    if (!isCurrent(order))
        return;
    switch (response.answer) {
    case HostAnswer::Done: {
        m_refusedConnections = 0;
        if (isOtherLife(response, m_clockMilliseconds)) {
            replaceHost(now, "other_incarnation_listed", actions);
            return;
        }
        m_clockMilliseconds = response.clockMilliseconds;
        m_answersAsAnnounced = true;
        Wire::HostReport report = makeReport();
        report.listed = true;
        report.listFence = order.fence;
        report.endsOmitted = response.endsOmitted;
        report.clockMilliseconds = response.clockMilliseconds;
        report.running = response.running;
        report.ended = response.ended;
        settleHalts(response, report);
        send(std::move(report), actions);
        const bool unacknowledged = std::any_of(response.ended.begin(), response.ended.end(),
            [this](const Wire::EndedTask& row) { return row.number > m_acknowledgedNumber; });
        m_notBefore = unacknowledged ? now + m_timing.listPause : now;
        // The lease and the acknowledgements were held back until it was known who answers.
        m_listWanted = m_listWanted || m_contactUnconfirmed;
        m_contactUnconfirmed = false;
        m_contactLost = false;
        m_answeredAt = now;
        return;
    }
    case HostAnswer::NotListening:
        onListFailed(now);
        if (++m_refusedConnections >= refusalsOfAnEndedHost || m_farewellHeard)
            replaceHost(now, "its_port_is_closed", actions);
        return;
    case HostAnswer::OtherIncarnation:
        replaceHost(now, "other_incarnation_answered", actions);
        return;
    case HostAnswer::Refused: {
        m_notBefore = now + m_timing.failurePause;
        actions.push_back(WriteLog { LogLine("list_refused")
                                         .add("host", order.hostId)
                                         .add("fence", order.fence)
                                         .add("reason", response.reason)
                                         .text() });
        return;
    }
    case HostAnswer::Uncertain:
        onListFailed(now);
        return;
    }
}

bool HostAgent::isOtherLife(const HostResponse& response, std::int64_t clockBefore) const
{
    if (response.incarnation != 0)
        return response.incarnation != m_facts->incarnation;
    return response.clockMilliseconds != 0 && response.clockMilliseconds < clockBefore;
}

void HostAgent::raiseOwnFence() { m_raises = std::min(m_raises + 1, fencesOfASide - 1); }

void HostAgent::onListFailed(Instant now)
{
    if (!m_contactLost)
        raiseOwnFence();
    m_contactLost = true;
    m_notBefore = now + (m_farewellHeard ? m_timing.listPause : m_timing.failurePause);
    m_contactUnconfirmed = true;
}

void HostAgent::takeClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerClaim> claim = decodeClaim(record);
        if (!isOk(claim))
            actions.push_back(passedOver("claim_unreadable", record, errorOf(claim)));
        if (!isOk(claim) || record.offset + 1 <= m_owner.term)
            continue;
        m_owner = CurrentOwner { record.offset + 1, valueOf(claim) };
        actions.push_back(
            WriteLog { LogLine("owner_seen").add("term", m_owner.term).add("owner", valueOf(claim).nodeId).text() });
    }
    if (m_owner.term > 0)
        m_link.setOwner(now, m_owner.term, m_owner.claim.address, m_owner.claim.port, actions);
}

void HostAgent::onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId == m_claimsCall)
        takeClaims(now, m_claims.onRead(now, response), actions);
}

void HostAgent::onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    if (callId == m_claimsCall)
        takeClaims(now, m_claims.onNewest(now, response), actions);
}

void HostAgent::tick(Instant now, Actions& actions)
{
    m_claims.setWait(m_link.isUp() ? WatchTiming {}.wait : m_timing.ownerNewsWait);
    if (!m_claims.isReading()) {
        std::optional<Action> read = m_claims.next(now, m_lastCall + 1);
        if (read) {
            m_claimsCall = ++m_lastCall;
            actions.push_back(std::move(*read));
        }
    }
    m_link.tick(now, false, actions);
    if (!m_facts)
        return;
    for (std::pair<const RunKey, Halt>& entry : m_halts) {
        Halt& halt = entry.second;
        if (halt.inFlight || halt.answered || now < halt.notBefore)
            continue;
        halt.inFlight = true;
        actions.push_back(HaltOnHost { m_facts->hostId, m_facts->incarnation, fence(), halt.order });
    }
    sendPaces(now, actions);
    // Without an owner there is nothing to tell anybody, and no fence to look under.
    const bool due = m_listWanted || m_link.isUp();
    if (m_fence == 0 || m_listInFlight || !due || now < m_notBefore)
        return;
    actions.push_back(makeList(now));
}

ListHost HostAgent::makeList(Instant now)
{
    m_contactUnconfirmed = m_contactUnconfirmed || now - m_answeredAt > contactValidity;
    ListHost list;
    list.number = ++m_listNumber;
    list.hostId = m_facts->hostId;
    list.incarnation = m_facts->incarnation;
    list.fence = fence();
    if (!m_contactUnconfirmed) {
        list.leaseUntilMilliseconds = m_leaseUntilMilliseconds;
        list.acknowledgedNumber = m_acknowledgedNumber;
    }
    // A stop that was just taken is looked at soon; else the answer waits for an end.
    const bool hurried = !m_halts.empty() || m_notBefore == now;
    list.wait = hurried ? m_timing.listPause : m_timing.listWait;
    if (m_fenceIsNew || m_contactUnconfirmed)
        list.wait = Duration::zero();
    m_fenceIsNew = false;
    m_listWanted = false;
    m_listInFlight = true;
    m_listSentAt = now;
    return list;
}

} // namespace Plantainpier
