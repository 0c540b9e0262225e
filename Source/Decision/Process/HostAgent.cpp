#include "Decision/Process/HostAgent.h"

#include "Decision/Process/OwnerRecords.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// A host that answered within this time is still the same process, because a restart takes longer.
    constexpr Duration contactValidity = milliseconds(100);
    /// Number of ended incarnations that are kept for the next owner.
    constexpr std::size_t keptEndedHosts = 8;
    /// Reported for a halted run that the host does not have.
    constexpr const char* stoppedReason = "stopped_before_it_ran";

} // namespace

HostAgent::HostAgent(NodeIdentity identity, const HostAgentTiming& timing)
    : m_identity(std::move(identity))
    , m_timing(timing)
    , m_claimWatcher(StoreTopic::Owners, WatchTiming {})
    , m_ownershipCheck(timing.ownershipCheck)
    , m_orderSlots(timing.maximumOrdersInFlight, timing.reservedOrdersInFlight)
    , m_halts(timing.orderRetryDelay)
{
}

Wire::HostReport HostAgent::makeReport(Instant now) const
{
    Wire::HostReport report;
    report.hostId = m_host->hostId;
    report.incarnation = m_host->incarnation;
    // A machine that takes over the node id at another address says nothing about the host beside this one.
    report.sideId = m_identity.nodeId + "@" + m_identity.address;
    report.serviceName = m_host->service;
    report.zone = m_host->zone;
    report.rack = m_host->rack;
    report.labels = m_host->labels;
    report.capacity = m_host->capacity;
    report.state = m_host->draining ? Wire::HostState::Draining : Wire::HostState::Ready;
    report.remainingMilliseconds = std::max<std::int64_t>(0, toMilliseconds(m_shutdownAt - now));
    report.highestTerm = m_term;
    report.refusesConnections = m_refusesConnections;
    return report;
}

void HostAgent::sendReport(Wire::HostReport report, Actions& actions)
{
    if (m_ownerLink.isUp())
        actions.push_back(SendMessage { m_ownerLink.link(), std::move(report) });
}

void HostAgent::sendListReport(Instant now, Wire::HostReport report, Actions& actions)
{
    if (!m_ownerLink.isUp())
        return;
    if (!m_ownerAcceptsChanges || m_reportedRuns.reduce(now, report))
        sendReport(std::move(report), actions);
}

void HostAgent::sendResult(Instant now, const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome,
    const std::string& reason, Actions& actions)
{
    sendResults(now, { PendingHalts::makeResult(task, run, outcome, reason) }, actions);
}

void HostAgent::sendResults(Instant now, std::vector<Wire::OrderResult> results, Actions& actions)
{
    if (!m_host)
        return;
    Wire::HostReport report = makeReport(now);
    report.results = std::move(results);
    addAcknowledgedPaces(report);
    sendReport(std::move(report), actions);
}

LogLine HostAgent::hostEndedLine(Instant now, const char* reason) const
{
    LogLine line("host_ended");
    line.add("host", m_host->hostId).add("incarnation", m_host->incarnation).add("why", reason);
    if (m_lastListAnswerAt != Instant())
        line.add("list_age_ms", toMilliseconds(now - m_lastListAnswerAt));
    return line;
}

void HostAgent::endAfterResponse(
    Instant now, const char* reason, const char* call, const HostResponse& response, Actions& actions)
{
    LogLine line = hostEndedLine(now, reason);
    line.add("call", call).add("answered_incarnation", response.incarnation);
    line.add("clock_ms", response.clockMilliseconds).add("known_clock_ms", m_clockMilliseconds);
    endIncarnation(now, line, actions);
}

void HostAgent::endIncarnation(Instant now, const LogLine& line, Actions& actions)
{
    ++m_endedIncarnations;
    actions.push_back(WriteLog { line.text() });
    reportEnd(m_host->hostId, m_host->incarnation, actions);
    m_endedHosts.emplace_back(m_host->hostId, m_host->incarnation);
    if (m_endedHosts.size() > keptEndedHosts)
        m_endedHosts.pop_front();
    forgetIncarnation(now);
}

void HostAgent::reportEnd(const std::string& hostId, std::int64_t incarnation, Actions& actions)
{
    Wire::HostReport report;
    report.hostId = hostId;
    report.incarnation = incarnation;
    report.state = Wire::HostState::Gone;
    report.highestTerm = m_term;
    sendReport(std::move(report), actions);
}

void HostAgent::reportToNextOwner(Instant now, Actions& actions)
{
    for (const std::pair<std::string, std::int64_t>& ended : m_endedHosts) {
        // An order to an ended incarnation may have reached the next one under its id, whose lists show this.
        if (!m_host || m_host->hostId != ended.first)
            reportEnd(ended.first, ended.second, actions);
    }
    if (m_host)
        sendReport(makeReport(now), actions);
}

void HostAgent::forgetIncarnation(Instant now)
{
    m_host.reset();
    m_departureNoticeReceived = false;
    m_incarnationUnconfirmed = false;
    m_contactLost = false;
    m_fencedSince.reset();
    m_refusesConnections = false;
    m_reportedRuns.reset();
    m_leaseBound.reset();
    m_clockMilliseconds = 0;
    raiseLocalFence();
    m_waitingStarts.clear();
    m_halts.clear();
    m_paces.clear();
    m_acknowledgedPaces.clear();
    m_pacesToReport.clear();
    m_leaseUntilMilliseconds = 0;
    m_acknowledgedNumber = 0;
    m_listWanted = false;
    m_listInFlight = false;
    m_nextListAt = now;
}

bool HostAgent::onAnnouncement(Instant now, const HostDescription& host, Actions& actions)
{
    if (m_host && host.incarnation < m_host->incarnation)
        return !host.draining;
    const bool isSameId = m_host && m_host->hostId == host.hostId;
    if (!isSameId || m_host->incarnation != host.incarnation) {
        if (!isSameId || m_isIncarnationListed)
            return onCandidateAnnounced(now, host, actions);
        // The known incarnation has never listed anything, so it may be one that has ended before.
        forgetIncarnation(now);
        m_candidate = host;
        adoptCandidate(now, actions);
        return !host.draining;
    }
    if (host.service != m_host->service) {
        logPassedOver(host, host.incarnation, actions);
        return true;
    }
    if (host.sequence < m_host->sequence) {
        // A host that drains does not become ready again.
        if (host.draining && !m_host->draining) {
            m_host->draining = true;
            m_host->remainingMilliseconds = host.remainingMilliseconds;
            m_shutdownAt = now + milliseconds(host.remainingMilliseconds);
            reportAnnouncement(now, actions);
        }
        return true;
    }
    // The host continues to announce itself, so the departure notice came from an earlier incarnation.
    if (!host.draining)
        m_departureNoticeReceived = false;
    // Lists of changes omit the zone, and owners rule out hosts by it.
    const bool isChanged = m_host->draining != host.draining || m_host->zone != host.zone;
    m_host = host;
    m_shutdownAt = now + milliseconds(host.remainingMilliseconds);
    if (isChanged)
        reportAnnouncement(now, actions);
    return true;
}

bool HostAgent::onCandidateAnnounced(Instant now, const HostDescription& host, Actions& actions)
{
    const bool isKnown
        = m_candidate && m_candidate->hostId == host.hostId && m_candidate->incarnation == host.incarnation;
    if (!isKnown || host.sequence >= m_candidate->sequence)
        m_candidate = host;
    m_candidateAnnouncedAt = now;
    m_nextInquiryAt = now;
    // Until the host has answered, it may be the announced incarnation, which would take a lease or an acknowledgement
    // for its own.
    m_incarnationUnconfirmed = true;
    if (!isKnown) {
        m_inquiryInFlight = false;
        LogLine line("candidate_announced");
        line.add("host", host.hostId).add("incarnation", host.incarnation).add("service", host.service);
        if (m_host)
            line.add("known_host", m_host->hostId).add("known_incarnation", m_host->incarnation);
        actions.push_back(WriteLog { line.text() });
    }
    return !host.draining;
}

ListHost HostAgent::makeInquiry(Instant now)
{
    ListHost list;
    list.listNumber = m_inquiryNumber = ++m_lastListNumber;
    list.hostId = m_candidate->hostId;
    list.incarnation = m_candidate->incarnation;
    list.fence = fence();
    m_inquiryInFlight = true;
    m_nextInquiryAt = now + m_timing.failureRetryDelay;
    return list;
}

void HostAgent::onInquiryResponse(Instant now, const HostResponse& response, Actions& actions)
{
    m_inquiryInFlight = false;
    if (!m_candidate)
        return;
    // Only the host that the call names compares fences. Two incarnations under one id are told apart by a list alone.
    const bool isOtherId = !m_host || m_host->hostId != m_candidate->hostId;
    const bool isFenced = response.answer == HostAnswer::Refused && response.reason == "fence" && isOtherId;
    const bool isListed = response.answer == HostAnswer::Done
        && (response.incarnation == m_candidate->incarnation || (response.incarnation == 0 && isOtherId));
    if (isFenced || isListed) {
        adoptCandidate(now, actions);
        m_isIncarnationListed = isListed;
        return;
    }
    if (response.answer == HostAnswer::Done || response.answer == HostAnswer::OtherIncarnation)
        passOverCandidate(response.incarnation, actions);
    else
        m_nextInquiryAt = now + m_timing.failureRetryDelay;
}

void HostAgent::adoptCandidate(Instant now, Actions& actions)
{
    if (m_host) {
        LogLine line = hostEndedLine(now, "successor_answered");
        line.add("successor", m_candidate->hostId).add("successor_incarnation", m_candidate->incarnation);
        endIncarnation(now, line, actions);
    }
    m_host = std::move(m_candidate);
    m_candidate.reset();
    m_shutdownAt = now + milliseconds(m_host->remainingMilliseconds);
    // An immediate list carries the raised fence to the host, which from then on refuses orders meant for an earlier
    // incarnation.
    m_listWanted = true;
    m_incarnationUnconfirmed = true;
    m_nextListAt = now;
    m_isIncarnationListed = false;
    m_leaseBound.emplace(now, m_timing.longestLease);
    reportAnnouncement(now, actions);
}

void HostAgent::passOverCandidate(std::int64_t answeredIncarnation, Actions& actions)
{
    logPassedOver(*m_candidate, answeredIncarnation, actions);
    m_candidate.reset();
}

void HostAgent::logPassedOver(const HostDescription& host, std::int64_t answeredIncarnation, Actions& actions) const
{
    LogLine line("announcement_passed_over");
    line.add("host", host.hostId).add("incarnation", host.incarnation);
    line.add("service", host.service).add("answered_incarnation", answeredIncarnation);
    if (m_host)
        line.add("known_host", m_host->hostId)
            .add("known_incarnation", m_host->incarnation)
            .add("known_service", m_host->service);
    actions.push_back(WriteLog { line.text() });
}

void HostAgent::reportAnnouncement(Instant now, Actions& actions)
{
    actions.push_back(WriteLog { LogLine("host_announced")
                                     .add("host", m_host->hostId)
                                     .add("incarnation", m_host->incarnation)
                                     .add("draining", m_host->draining)
                                     .add("remaining_ms", m_host->remainingMilliseconds)
                                     .text() });
    sendReport(makeReport(now), actions);
}

void HostAgent::onDepartureNotice(Instant now, const std::string& hostId, Actions& actions)
{
    if (!m_host || m_host->hostId != hostId || m_departureNoticeReceived)
        return;
    // The notice names no incarnation: it may be a late one from an earlier incarnation with the same id.
    m_departureNoticeReceived = true;
    m_listWanted = true;
    m_nextListAt = now;
    actions.push_back(
        WriteLog { LogLine("farewell_heard").add("host", hostId).add("incarnation", m_host->incarnation).text() });
}

void HostAgent::onLinkUp(Instant now, LinkId link, Actions& actions)
{
    if (!m_ownerLink.onUp(now, link, makeHello(), actions)) {
        actions.push_back(CloseLink { link });
        return;
    }
    actions.push_back(
        WriteLog { LogLine("owner_link_up").add("owner", m_owner.claim.nodeId).add("term", m_owner.term).text() });
    m_reportedRuns.reset();
    m_pacesToReport.clear();
    m_ownerAcceptsChanges = false;
    reportToNextOwner(now, actions);
}

void HostAgent::onLinkDown(Instant now, LinkId link, Actions& actions)
{
    const bool wasUp = m_ownerLink.isUp();
    if (!m_ownerLink.onDown(now, link) || !wasUp)
        return;
    actions.push_back(
        WriteLog { LogLine("owner_link_lost").add("owner", m_owner.claim.nodeId).add("term", m_owner.term).text() });
    m_claimWatcher.restartRead();
}

void HostAgent::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_ownerLink.onMessageReceived(now, link);
    if (link != m_ownerLink.link())
        return;
    const Wire::Pong* pong = std::get_if<Wire::Pong>(&message);
    if (pong && pong->__isset.ownershipAgeMilliseconds)
        m_ownershipCheck.onOwnerAge(now, milliseconds(pong->ownershipAgeMilliseconds));
    if (const Wire::HostOrders* orders = std::get_if<Wire::HostOrders>(&message))
        onOrders(now, *orders, actions);
    // The greeting means that the owner has just taken over. Reports sent before that are lost.
    if (std::holds_alternative<Wire::NodeHello>(message)) {
        m_reportedRuns.reset();
        reportToNextOwner(now, actions);
    }
}

void HostAgent::onOrders(Instant now, const Wire::HostOrders& orders, Actions& actions)
{
    if (orders.term < m_term || orders.fence < m_ownerFence)
        return;
    m_term = orders.term;
    m_ownerAcceptsChanges = orders.acceptsChanges;
    // Owners of earlier versions do not state the age.
    m_ownershipCheck.onOwnerAge(now, milliseconds(orders.ownershipAgeMilliseconds));
    if (orders.fence > m_ownerFence)
        adoptOwnerFence(now, orders.fence);
    if (!isForCurrentIncarnation(orders)) {
        if (!m_host)
            return;
        if (orders.incarnation >= m_host->incarnation) {
            // A late announcement of an earlier incarnation may be the newest that this process has received.
            actions.push_back(WriteLog { LogLine("orders_passed_over")
                                             .add("host", orders.hostId)
                                             .add("incarnation", orders.incarnation)
                                             .add("known_incarnation", m_host->incarnation)
                                             .text() });
            return;
        }
        // The incarnation that the orders were meant for has ended, and none of its runs continue.
        reportEnd(orders.hostId, orders.incarnation, actions);
        return;
    }
    m_leaseUntilMilliseconds = std::max(m_leaseUntilMilliseconds, orders.leaseUntilMilliseconds);
    m_leaseBound->onLeaseGranted(m_leaseUntilMilliseconds);
    m_acknowledgedNumber = std::max(m_acknowledgedNumber, orders.acknowledgedNumber);
    m_listWanted = true;
    for (const Wire::StartOrder& start : orders.starts) {
        m_waitingStarts.push_back(StartOnHost {
            m_host->hostId, m_host->incarnation, fence(), m_leaseUntilMilliseconds, m_clockMilliseconds, start });
    }
    addHalts(now, orders.halts, actions);
    for (const Wire::PaceOrder& pace : orders.paces)
        addPace(now, pace);
    sendWaitingOrders(now, actions);
}

void HostAgent::addHalts(Instant now, const std::vector<Wire::HaltOrder>& halts, Actions& actions)
{
    if (halts.empty())
        return;
    std::set<RunKey> halted;
    for (const Wire::HaltOrder& halt : halts)
        halted.insert(runKey(halt.task, halt.run));
    std::vector<Wire::OrderResult> results;
    std::erase_if(m_waitingStarts, [&halted, &results](const StartOnHost& start) {
        if (halted.erase(runKey(start.order.task, start.order.run)) == 0)
            return false;
        results.push_back(
            PendingHalts::makeResult(start.order.task, start.order.run, Wire::OrderOutcome::Absent, stoppedReason));
        return true;
    });
    for (const Wire::HaltOrder& halt : halts) {
        if (halted.contains(runKey(halt.task, halt.run)))
            m_halts.add(now, HaltOrigin::Owner, halt.task, halt.run, stoppedReason);
    }
    if (!results.empty())
        sendResults(now, std::move(results), actions);
}

void HostAgent::sendWaitingOrders(Instant now, Actions& actions)
{
    if (!m_host)
        return;
    const bool mayFollow = hasOrdersToSend() && mayFollowOwner(now, actions);
    sendHalts(now, mayFollow, actions);
    if (!mayFollow)
        return;
    sendPaces(now, actions);
    sendStarts(now, actions);
}

bool HostAgent::hasOrdersToSend() const
{
    return !m_waitingStarts.empty() || !m_paces.empty() || m_halts.hasUnsent(HaltOrigin::Owner);
}

bool HostAgent::mayFollowOwner(Instant now, Actions& actions)
{
    const bool mayFollow = m_ownershipCheck.mayAct(now);
    if (mayFollow == m_ordersHeld) {
        m_ordersHeld = !mayFollow;
        actions.push_back(WriteLog { LogLine(mayFollow ? "orders_resumed" : "orders_held")
                                         .add("term", m_owner.term)
                                         .add("evidence_age_ms", toMilliseconds(m_ownershipCheck.age(now)))
                                         .add("store_down", m_ownershipCheck.isStoreDown())
                                         .add("starts", m_waitingStarts.size())
                                         .text() });
    }
    return mayFollow;
}

void HostAgent::sendHalts(Instant now, bool mayFollow, Actions& actions)
{
    while (m_orderSlots.isFree(HostOrderKind::Halt)) {
        std::optional<Wire::HaltOrder> halt = m_halts.takeDue(now, HaltOrigin::Side);
        if (!halt && mayFollow)
            halt = m_halts.takeDue(now, HaltOrigin::Owner);
        if (!halt)
            return;
        m_orderSlots.take();
        actions.push_back(HaltOnHost { m_host->hostId, m_host->incarnation, fence(), std::move(*halt) });
    }
}

void HostAgent::sendStarts(Instant now, Actions& actions)
{
    while (!m_waitingStarts.empty() && m_orderSlots.isFree(HostOrderKind::Start)) {
        StartOnHost start = std::move(m_waitingStarts.front());
        m_waitingStarts.pop_front();
        if (m_host->draining || m_candidate) {
            const char* reason = m_host->draining ? "draining" : "candidate_announced";
            sendResult(now, start.order.task, start.order.run, Wire::OrderOutcome::Refused, reason, actions);
            continue;
        }
        m_orderSlots.take();
        actions.push_back(std::move(start));
    }
}

void HostAgent::adoptOwnerFence(Instant now, std::int64_t fence)
{
    m_ownerFence = fence;
    m_localFenceRaises = 0;
    m_fencedSince.reset();
    // The owner counts them as void once the host is listed under the new fence.
    m_waitingStarts.clear();
    abandonPaces();
    // A list sent under a lower fence does not show which orders may still be carried out. The list is abandoned, so
    // whether the host has restarted meanwhile is unconfirmed.
    m_incarnationUnconfirmed = m_incarnationUnconfirmed || m_listInFlight;
    m_listInFlight = false;
    m_reportedRuns.reset();
    m_fenceIsNew = true;
    m_nextListAt = now;
}

void HostAgent::onStartResponse(Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions)
{
    m_orderSlots.release();
    handleStartResponse(now, order, response, actions);
    sendWaitingOrders(now, actions);
}

void HostAgent::handleStartResponse(
    Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions)
{
    if (!isForCurrentIncarnation(order))
        return;
    const Wire::StartOrder& start = order.order;
    if (response.answer == HostAnswer::Done && isOtherIncarnation(response, order.clockMilliseconds)) {
        endAfterResponse(now, "other_life_answered", "start", response, actions);
        return;
    }
    switch (response.answer) {
    case HostAnswer::Done:
        if (m_acknowledgedPaces.contains(runKey(start.task, start.run))) {
            // A list has shown the run before this answer, and a later pace order is in force.
            sendResult(now, start.task, start.run, Wire::OrderOutcome::Started, {}, actions);
            return;
        }
        // Hosts start every task at full pace.
        acknowledgePace(now, start.task, start.run, fullPacePercent);
        sendResult(now, start.task, start.run, Wire::OrderOutcome::Started, {}, actions);
        addStartPace(now, start);
        return;
    case HostAnswer::Refused:
        // The host has a record of a run with this number or a higher one. It may be this run, which may have ended
        // meanwhile; the next list shows this.
        if (response.reason == "old") {
            m_halts.add(now, HaltOrigin::Side, start.task, start.run, response.reason);
            return;
        }
        sendResult(now, start.task, start.run, Wire::OrderOutcome::Refused,
            response.reason == "fence" && order.fence < fence() ? "overtaken" : response.reason, actions);
        return;
    case HostAnswer::NotListening:
        m_refusesConnections = true;
        sendResult(now, start.task, start.run, Wire::OrderOutcome::Refused, "not_listening", actions);
        m_nextListAt = now;
        return;
    case HostAnswer::OtherIncarnation:
        endAfterResponse(now, "other_incarnation_answered", "start", response, actions);
        return;
    case HostAnswer::Uncertain:
        // The run may have started or may still start. A halt order stops it and prevents a later start.
        actions.push_back(WriteLog { LogLine("start_unanswered")
                                         .add("job", start.task.jobId)
                                         .add("step", start.task.step)
                                         .add("task", start.task.index)
                                         .add("run", start.run)
                                         .text() });
        m_halts.add(now, HaltOrigin::Side, start.task, start.run, "start_unanswered");
        return;
    }
}

void HostAgent::addStartPace(Instant now, const Wire::StartOrder& start)
{
    // A newer pace order overrides the pace of the start order.
    if (start.percent >= fullPacePercent || m_paces.contains(runKey(start.task, start.run)))
        return;
    Wire::PaceOrder pace;
    pace.task = start.task;
    pace.run = start.run;
    pace.percent = start.percent;
    addPace(now, pace);
}

void HostAgent::onHaltResponse(Instant now, const HaltOnHost& order, const HostResponse& response, Actions& actions)
{
    m_orderSlots.release();
    if (isForCurrentIncarnation(order)) {
        const bool isKnown = m_halts.onAnswer(now, order.order, response.answer == HostAnswer::Done);
        m_listWanted = m_listWanted || (isKnown && response.answer == HostAnswer::Done);
    }
    sendWaitingOrders(now, actions);
}

void HostAgent::addPace(Instant now, const Wire::PaceOrder& order)
{
    PendingPace& pace = m_paces[runKey(order.task, order.run)];
    if (pace.newestCall != 0 && pace.order.percent == order.percent)
        return;
    pace.order = order;
    pace.receivedAt = now;
    pace.newestCall = 0;
    pace.failedCalls = 0;
    pace.nextSendAt = now;
}

void HostAgent::sendPaces(Instant now, Actions& actions)
{
    // The side lists the host while it is connected to the owner, so a list finds out when the host listens again.
    if (m_refusesConnections && m_ownerLink.isUp())
        return;
    for (std::pair<const RunKey, PendingPace>& entry : m_paces) {
        PendingPace& pace = entry.second;
        if (pace.callsInFlight.contains(pace.newestCall) || now < pace.nextSendAt)
            continue;
        if (!m_orderSlots.isFree(HostOrderKind::Pace))
            return;
        m_orderSlots.take();
        pace.overlapped = !pace.callsInFlight.empty();
        pace.newestCall = ++m_lastPaceCall;
        pace.callsInFlight.insert(pace.newestCall);
        actions.push_back(SetPaceOnHost {
            m_host->hostId, m_host->incarnation, fence(), m_clockMilliseconds, pace.newestCall, pace.order });
    }
}

void HostAgent::onPaceResponse(Instant now, const SetPaceOnHost& order, const HostResponse& response, Actions& actions)
{
    m_orderSlots.release();
    handlePaceResponse(now, order, response, actions);
    sendWaitingOrders(now, actions);
}

void HostAgent::handlePaceResponse(
    Instant now, const SetPaceOnHost& order, const HostResponse& response, Actions& actions)
{
    std::map<RunKey, PendingPace>::iterator it = m_paces.find(runKey(order.order.task, order.order.run));
    if (!isForCurrentIncarnation(order) || it == m_paces.end() || it->second.callsInFlight.erase(order.callNumber) == 0)
        return;
    PendingPace& pace = it->second;
    const bool isNewest = order.callNumber == pace.newestCall;
    const bool isDone = response.answer == HostAnswer::Done && !isOtherIncarnation(response, order.clockMilliseconds);
    if (isNewest && !isDone) {
        onPaceNotSet(now, pace, response, actions);
        return;
    }
    if (isNewest && !pace.overlapped) {
        acknowledgePace(now, order.order.task, order.order.run, order.order.percent);
        m_paces.erase(it);
        return;
    }
    // The newest order is repeated once all earlier calls have been answered.
    pace.nextSendAt = pace.callsInFlight.empty() ? now : now + m_timing.longestPaceRetryDelay;
}

void HostAgent::onPaceNotSet(Instant now, PendingPace& pace, const HostResponse& response, Actions& actions)
{
    const bool isUnanswered = response.answer == HostAnswer::Uncertain;
    if (isUnanswered || pace.failedCalls == 0) {
        LogLine line(isUnanswered ? "pace_unanswered" : "pace_refused");
        line.add("job", pace.order.task.jobId).add("percent", pace.order.percent);
        if (!isUnanswered) {
            line.add("reason",
                response.answer == HostAnswer::Refused            ? response.reason
                    : response.answer == HostAnswer::NotListening ? "not_listening"
                                                                  : "other_incarnation");
        }
        actions.push_back(WriteLog { line.text() });
    }
    Duration delay = m_timing.orderRetryDelay;
    for (int n = 0; n < pace.failedCalls && delay < m_timing.longestPaceRetryDelay; ++n)
        delay *= 2;
    pace.nextSendAt = now + std::min(delay, m_timing.longestPaceRetryDelay);
    ++pace.failedCalls;
    // A list shows whether the host has restarted and whether the run is over.
    m_listWanted = m_listWanted || !isUnanswered;
}

void HostAgent::acknowledgePace(Instant now, const Wire::TaskName& task, int run, int percent)
{
    m_acknowledgedPaces.insert_or_assign(runKey(task, run), AcknowledgedPace { percent, now });
    Wire::RunningTask row;
    row.task = task;
    row.run = run;
    row.__set_acknowledgedPacePercent(percent);
    m_pacesToReport.push_back(std::move(row));
}

void HostAgent::addAcknowledgedPaces(Wire::HostReport& report)
{
    for (const Wire::RunningTask& row : m_pacesToReport)
        m_reportedRuns.recordPace(runKey(row.task, row.run), row.acknowledgedPacePercent);
    report.running = std::move(m_pacesToReport);
    m_pacesToReport.clear();
}

void HostAgent::reportAcknowledgedPaces(Instant now, Actions& actions)
{
    if (m_pacesToReport.empty() || !m_ownerLink.isUp())
        return;
    Wire::HostReport report = makeReport(now);
    if (m_ownerAcceptsChanges)
        ReportedRuns::omitDescription(report);
    addAcknowledgedPaces(report);
    sendReport(std::move(report), actions);
}

void HostAgent::resolvePaces(const HostResponse& response, Wire::HostReport& report)
{
    std::set<RunKey> running;
    for (Wire::RunningTask& row : report.running) {
        const RunKey key = runKey(row.task, row.run);
        running.insert(key);
        const std::map<RunKey, AcknowledgedPace>::const_iterator it = m_acknowledgedPaces.find(key);
        row.__set_acknowledgedPacePercent(it == m_acknowledgedPaces.end() ? unknownPacePercent : it->second.percent);
    }
    if (response.isIncomplete)
        return;
    // A list that was requested earlier may have been made before the run began.
    std::erase_if(m_paces, [this, &running](const std::pair<const RunKey, PendingPace>& entry) {
        return entry.second.receivedAt <= m_listSentAt && !running.contains(entry.first);
    });
    std::erase_if(m_acknowledgedPaces, [this, &running](const std::pair<const RunKey, AcknowledgedPace>& entry) {
        return entry.second.acknowledgedAt <= m_listSentAt && !running.contains(entry.first);
    });
}

void HostAgent::abandonPaces()
{
    for (const std::pair<const RunKey, PendingPace>& entry : m_paces)
        m_acknowledgedPaces.erase(entry.first);
    m_paces.clear();
    m_pacesToReport.clear();
}

void HostAgent::onListResponse(Instant now, const ListHost& order, const HostResponse& response, Actions& actions)
{
    if (m_inquiryInFlight && order.listNumber == m_inquiryNumber) {
        onInquiryResponse(now, response, actions);
        return;
    }
    if (order.listNumber != m_listNumber || !m_listInFlight)
        return;
    m_listInFlight = false;
    if (!isForCurrentIncarnation(order))
        return;
    switch (response.answer) {
    case HostAnswer::Done: {
        if (isOtherIncarnation(response, m_clockMilliseconds)) {
            endAfterResponse(now, "other_incarnation_listed", "list", response, actions);
            return;
        }
        // The host still lived after the announcement, so nothing else can have taken its place by then.
        if (m_candidate && m_listSentAt >= m_candidateAnnouncedAt)
            passOverCandidate(response.incarnation, actions);
        m_clockMilliseconds = response.clockMilliseconds;
        m_leaseBound->onClockReading(now, response.clockMilliseconds);
        if (m_refusesConnections)
            m_reportedRuns.reset();
        m_refusesConnections = false;
        Wire::HostReport report = makeReport(now);
        report.listed = true;
        report.listFence = order.fence;
        report.endsOmitted = response.isIncomplete;
        report.clockMilliseconds = response.clockMilliseconds;
        report.running = response.running;
        report.ended = response.ended;
        report.results = m_halts.resolve(response, m_listSentAt);
        resolvePaces(response, report);
        sendListReport(now, std::move(report), actions);
        const bool unacknowledged = std::any_of(response.ended.begin(), response.ended.end(),
            [this](const Wire::EndedTask& row) { return row.number > m_acknowledgedNumber; });
        m_nextListAt = unacknowledged ? now + m_timing.shortListDelay : now;
        // If the incarnation was unconfirmed, this list carried no lease and no acknowledgements: another must follow.
        m_listWanted = m_listWanted || m_incarnationUnconfirmed;
        m_incarnationUnconfirmed = m_candidate.has_value();
        m_isIncarnationListed = true;
        m_contactLost = false;
        m_fencedSince.reset();
        m_lastListAnswerAt = now;
        return;
    }
    case HostAnswer::NotListening:
        onListFailed(now, "connection_refused", actions);
        onConnectionRefused(now, actions);
        return;
    case HostAnswer::OtherIncarnation:
        endAfterResponse(now, "other_incarnation_answered", "list", response, actions);
        return;
    case HostAnswer::Refused: {
        m_nextListAt = now + m_timing.failureRetryDelay;
        actions.push_back(WriteLog { LogLine("list_refused")
                                         .add("host", order.hostId)
                                         .add("fence", order.fence)
                                         .add("reason", response.reason)
                                         .text() });
        if (response.reason == "fence")
            onListFenced(now, order, actions);
        return;
    }
    case HostAnswer::Uncertain:
        onListFailed(now, "no_answer", actions);
        return;
    }
}

void HostAgent::onConnectionRefused(Instant now, Actions& actions)
{
    // A refused connection alone does not show that the process has ended: a host at its limit of connections refuses
    // new ones while its runs continue.
    if (m_departureNoticeReceived && m_host->draining) {
        endIncarnation(now, hostEndedLine(now, "departed"), actions);
        return;
    }
    if (m_leaseBound->isOver(now)) {
        endIncarnation(now, hostEndedLine(now, "unreachable_beyond_its_leases"), actions);
        return;
    }
    if (m_refusesConnections)
        return;
    m_refusesConnections = true;
    sendReport(makeReport(now), actions);
}

bool HostAgent::isOtherIncarnation(const HostResponse& response, std::int64_t previousClock) const
{
    if (response.incarnation != 0)
        return response.incarnation != m_host->incarnation;
    return response.clockMilliseconds != 0 && response.clockMilliseconds < previousClock;
}

void HostAgent::raiseLocalFence() { m_localFenceRaises = std::min(m_localFenceRaises + 1, fencesPerOwnerFence - 1); }

void HostAgent::onListFenced(Instant now, const ListHost& order, Actions& actions)
{
    if (!m_fencedSince)
        m_fencedSince = now;
    if (now - *m_fencedSince < m_timing.fenceRefusalTolerance || !m_ownerLink.isUp())
        return;
    // A former process of this side has connected to the owner after this one. The owner sends orders and fences over
    // the newest connection only, and passes over reports of earlier ones.
    actions.push_back(
        WriteLog { LogLine("owner_link_superseded").add("host", order.hostId).add("fence", order.fence).text() });
    m_fencedSince.reset();
    m_ownerLink.redial(now, actions);
}

void HostAgent::onListFailed(Instant now, const char* reason, Actions& actions)
{
    if (!m_contactLost) {
        raiseLocalFence();
        actions.push_back(WriteLog { LogLine("host_contact_lost")
                                         .add("host", m_host->hostId)
                                         .add("incarnation", m_host->incarnation)
                                         .add("why", reason)
                                         .text() });
    }
    m_contactLost = true;
    m_reportedRuns.reset();
    m_nextListAt = now + (m_departureNoticeReceived ? m_timing.shortListDelay : m_timing.failureRetryDelay);
    m_incarnationUnconfirmed = true;
}

void HostAgent::applyClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerClaim> claim = decodeClaim(record);
        if (!isOk(claim))
            actions.push_back(skippedRecordLog("claim_unreadable", record, errorOf(claim)));
        if (!isOk(claim) || record.offset + 1 <= m_owner.term)
            continue;
        if (m_owner.term > 0)
            dropOrders(actions);
        m_owner = CurrentOwner { record.offset + 1, valueOf(claim) };
        actions.push_back(
            WriteLog { LogLine("owner_seen").add("term", m_owner.term).add("owner", valueOf(claim).nodeId).text() });
    }
    if (m_owner.term > 0)
        m_ownerLink.setOwner(now, m_owner.term, m_owner.claim.address, m_owner.claim.port, makeHello(), actions);
}

Wire::NodeHello HostAgent::makeHello() const
{
    Wire::NodeHello hello;
    hello.nodeId = m_identity.nodeId;
    hello.incarnation = m_identity.incarnation;
    hello.isSide = true;
    hello.term = m_owner.term;
    return hello;
}

void HostAgent::dropOrders(Actions& actions)
{
    if (hasOrdersToSend())
        actions.push_back(WriteLog { LogLine("orders_dropped")
                                         .add("why", "later_claim")
                                         .add("term", m_owner.term)
                                         .add("starts", m_waitingStarts.size())
                                         .add("paces", m_paces.size())
                                         .text() });
    m_waitingStarts.clear();
    m_halts.dropUnsent(HaltOrigin::Owner);
    abandonPaces();
}

void HostAgent::onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId != m_claimReadCall)
        return;
    if (response.answered)
        m_ownershipCheck.onReadAnswered(now, response.records.empty());
    else if (m_isCheckInFlight && !response.truncated)
        m_ownershipCheck.onCheckFailed();
    m_isCheckInFlight = false;
    applyClaims(now, m_claimWatcher.onReadResponse(now, response), actions);
    sendWaitingOrders(now, actions);
}

void HostAgent::onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    if (callId != m_claimReadCall)
        return;
    // Pages may lag behind the log, so they are no evidence.
    if (m_isCheckInFlight && !response.answered)
        m_ownershipCheck.onCheckFailed();
    m_isCheckInFlight = false;
    applyClaims(now, m_claimWatcher.onNewestResponse(now, response), actions);
}

void HostAgent::tick(Instant now, Actions& actions)
{
    readClaims(now, actions);
    m_ownerLink.tick(now, false, actions);
    if (m_candidate && !m_inquiryInFlight && now >= m_nextInquiryAt)
        actions.push_back(makeInquiry(now));
    if (!m_host)
        return;
    sendWaitingOrders(now, actions);
    reportAcknowledgedPaces(now, actions);
    // Without an owner there is no recipient for a report and no fence for a list.
    const bool due = m_listWanted || m_ownerLink.isUp();
    if (m_ownerFence == 0 || m_listInFlight || !due || now < m_nextListAt)
        return;
    actions.push_back(makeList(now));
}

void HostAgent::readClaims(Instant now, Actions& actions)
{
    const bool needsEvidence = m_ownershipCheck.isOwnerUncertain() || hasOrdersToSend();
    const bool isCheckDue = needsEvidence && !m_ownershipCheck.isCertain(now);
    // The read in flight may wait for seconds, or for good on a connection that has gone silent.
    if (isCheckDue && !m_isCheckInFlight)
        m_claimWatcher.restartRead();
    if (m_claimWatcher.isReadInFlight())
        return;
    const bool mayWaitLong = m_ownerLink.isUp() && !m_ownershipCheck.isOwnerUncertain();
    m_claimWatcher.setReadWait(mayWaitLong ? WatchTiming {}.readWait : m_timing.ownerReadWait);
    const std::uint64_t callId = m_lastCallId + 1;
    std::optional<Action> read = isCheckDue ? m_claimWatcher.nextCheck(now, callId, m_ownershipCheck.checkTimeout())
                                            : m_claimWatcher.nextRead(now, callId);
    if (!read)
        return;
    m_claimReadCall = ++m_lastCallId;
    m_isCheckInFlight = isCheckDue;
    if (const ReadStore* sent = std::get_if<ReadStore>(&*read))
        m_ownershipCheck.onReadSent(now, sent->wait);
    actions.push_back(std::move(*read));
}

ListHost HostAgent::makeList(Instant now)
{
    m_incarnationUnconfirmed = m_incarnationUnconfirmed || now - m_lastListAnswerAt > contactValidity;
    ListHost list;
    list.listNumber = m_listNumber = ++m_lastListNumber;
    list.hostId = m_host->hostId;
    list.incarnation = m_host->incarnation;
    list.fence = fence();
    if (!m_incarnationUnconfirmed) {
        list.leaseUntilMilliseconds = m_leaseUntilMilliseconds;
        list.acknowledgedNumber = m_acknowledgedNumber;
    }
    // While halts are unresolved, or when the list was requested for this moment, the host answers soon. Otherwise it
    // delays its answer until a run ends.
    const bool expectsChange = !m_halts.empty() || m_nextListAt == now;
    list.wait = expectsChange ? m_timing.shortListDelay : m_timing.listWait;
    if (m_fenceIsNew || m_incarnationUnconfirmed)
        list.wait = Duration::zero();
    m_fenceIsNew = false;
    m_listWanted = false;
    m_listInFlight = true;
    m_listSentAt = now;
    return list;
}

} // namespace Plantainpier
