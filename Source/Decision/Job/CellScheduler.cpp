#include "Decision/Job/CellScheduler.h"

#include "Base/LogLine.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Maximum difference in rate between the clocks of two hosts, in parts per thousand.
    constexpr int maximumClockDriftPerMille = 10;
    /// Time without a complete read of the log after which the log counts as unavailable.
    constexpr Duration logTimeout = seconds(3);

    Duration withClockDriftMargin(Duration duration) { return duration + duration * maximumClockDriftPerMille / 1000; }

} // namespace

CellScheduler::CellScheduler(std::string cell, std::string entryId, std::int64_t incarnation, Membership& membership,
    const BundleRegistry& bundles, const SchedulerTiming& timing)
    : m_cell(std::move(cell))
    , m_entryId(std::move(entryId))
    , m_incarnation(incarnation)
    , m_membership(membership)
    , m_bundles(bundles)
    , m_timing(timing)
{
}

bool CellScheduler::isLeader(const JobStateMachine& stateMachine) const
{
    return stateMachine.leader().term > 0 && stateMachine.leader().entryId == m_entryId
        && stateMachine.leader().incarnation == m_incarnation;
}

void CellScheduler::onLogReadToEnd(Instant now)
{
    // The leader's timeout only counts time in which the log was readable and would have shown its heartbeats.
    const bool wasUnavailable = !m_logReadAt || now - *m_logReadAt > logTimeout;
    if (wasUnavailable)
        m_leaderSeenAt = now;
    m_logReadAt = now;
}

void CellScheduler::onRecord(
    Instant now, const LogRecord& record, RecordEffect effect, const JobStateMachine& stateMachine, Actions& actions)
{
    switch (effect) {
    case RecordEffect::LeaderChanged:
        m_leaderSeenAt = now;
        m_lastClaimAt.reset();
        if (isLeader(stateMachine))
            becomeLeader(now, stateMachine, actions);
        else
            m_previousLeader = stateMachine.leader();
        break;
    case RecordEffect::LeaderHeartbeat:
        m_leaderSeenAt = now;
        break;
    case RecordEffect::EntryStarted: {
        const EntryStartedRecord& started = std::get<EntryStartedRecord>(record);
        if (started.entryId == m_previousLeader.entryId && started.incarnation > m_previousLeader.incarnation
            && !m_previousLeaderStopped) {
            m_previousLeaderStopped = true;
            m_previousHoldsSince = now;
        }
        break;
    }
    case RecordEffect::AttemptRecorded:
        if (isLeader(stateMachine))
            startRecordedAttempt(now, *stateMachine.find(std::get<AttemptRecord>(record).jobId), actions);
        break;
    case RecordEffect::AttemptEnded:
        m_heldAttempts.erase(std::get<EndedRecord>(record).jobId);
        break;
    default:
        break;
    }
}

void CellScheduler::becomeLeader(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    m_previousHoldsSince = now;
    m_term = stateMachine.leader().term;
    m_previousLeaderStopped = m_previousLeader.term == 0 || m_previousLeader.entryId == m_entryId;
    m_placements.clear();
    m_heldAttempts.clear();
    for (const std::string& jobId : stateMachine.runningJobIds())
        m_heldAttempts[jobId] = HeldAttempt {};
    LogLine line("take_over");
    line.add("cell", m_cell).add("term", stateMachine.leader().term).add("entry", m_entryId);
    line.add("running", stateMachine.runningJobIds().size()).add("queued", stateMachine.queuedJobs().size());
    actions.push_back(WriteLog { line.text() });
}

void CellScheduler::claimLeadershipIfDue(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    const bool readable = m_logReadAt && now - *m_logReadAt <= logTimeout;
    if (!readable || !m_bundles.current())
        return;
    const bool vacant = stateMachine.leader().term == 0;
    const bool timedOut = m_leaderSeenAt && now - *m_leaderSeenAt > m_timing.leaderTimeout;
    const bool claimPending = m_lastClaimAt && now - *m_lastClaimAt <= m_timing.leaderTimeout;
    if ((!vacant && !timedOut) || claimPending)
        return;
    m_lastClaimAt = now;
    const LeaderRecord claim { m_cell, stateMachine.leader().term + 1, m_entryId, m_incarnation };
    actions.push_back(AppendRecords { { claim } });
    LogLine line("claim_lead");
    line.add("cell", m_cell).add("term", claim.term).add("entry", m_entryId).add("vacant", vacant);
    actions.push_back(WriteLog { line.text() });
}

void CellScheduler::tick(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    if (isLeader(stateMachine))
        performLeaderDuties(now, stateMachine, actions);
    else
        claimLeadershipIfDue(now, stateMachine, actions);
}

void CellScheduler::performLeaderDuties(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    if (now - m_lastHeartbeatAt >= m_timing.heartbeatInterval) {
        m_lastHeartbeatAt = now;
        const LeaderHeartbeatRecord record { m_cell, stateMachine.leader().term, ++m_heartbeatCount };
        actions.push_back(AppendRecords { { record } });
    }
    dropExpiredPlacements(now);
    placeQueued(now, stateMachine, actions);
    holdRunningAttempts(now, stateMachine, actions);
}

// Placement of a job: reserve resources at a side, record the attempt in the log, then send the start.

void CellScheduler::dropExpiredPlacements(Instant now)
{
    for (std::map<std::string, PendingPlacement>::iterator it = m_placements.begin(); it != m_placements.end();) {
        const Duration bound = it->second.granted ? m_timing.reservationTimeout : m_timing.reserveAnswerTimeout;
        if (now - it->second.since > bound)
            it = m_placements.erase(it);
        else
            ++it;
    }
}

bool CellScheduler::isWithinQuota(const Job& job, const JobStateMachine& stateMachine) const
{
    const TeamQuota* quota = m_bundles.current()->findQuota(job.record.team);
    if (!quota)
        return true;
    Wire::Resources used = plus(stateMachine.usageOf(job.record.team), job.record.demand);
    for (const std::pair<const std::string, PendingPlacement>& entry : m_placements) {
        const Job* placed = stateMachine.find(entry.first);
        if (placed && placed->status == JobStatus::Queued && placed->record.team == job.record.team)
            used = plus(used, placed->record.demand);
    }
    return fits(used, makeResources(quota->milliProcessors, quota->memoryMegabytes, quota->accelerators));
}

const SideView* CellScheduler::findBestSide(Instant now, const Job& job) const
{
    // Best fit by processors leaves large gaps free for large jobs.
    const SideView* best = nullptr;
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides()) {
        const SideView& side = entry.second;
        if (!side.isLinkUp() || !m_membership.isPresent(side, now) || !fits(job.record.demand, side.free))
            continue;
        if (!best || side.free.milliProcessors < best->free.milliProcessors)
            best = &side;
    }
    return best;
}

void CellScheduler::reserveSide(Instant now, const Job& job, Actions& actions)
{
    const SideView* chosen = findBestSide(now, job);
    if (!chosen)
        return;
    SideView& side = *m_membership.find(chosen->sideId);
    // Counts the requested resources as used until the side's next announcement.
    side.free = minus(side.free, job.record.demand);
    PendingPlacement placement;
    placement.sideId = side.sideId;
    placement.attempt = job.attempt + 1;
    placement.since = now;
    m_placements[job.record.jobId] = placement;
    ++m_totals.placements;
    Wire::ReserveRequest message;
    message.taskId = job.record.jobId;
    message.attempt = placement.attempt;
    message.term = m_term;
    message.demand = job.record.demand;
    message.validMicroseconds = m_timing.reservationTimeout.count();
    LogLine line("place");
    line.add("job", job.record.jobId).add("attempt", placement.attempt).add("side", side.sideId);
    line.add("priority", job.record.priority).add("free_milli_processors", side.free.milliProcessors);
    line.add("candidates", m_membership.sides().size()).add("term", m_term).add("bundle", m_bundles.version());
    actions.push_back(WriteLog { line.text() });
    actions.push_back(SendMessage { side.dataLink, std::move(message) });
}

void CellScheduler::placeQueued(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    if (!m_logReadAt || now - *m_logReadAt > logTimeout || !m_bundles.current())
        return;
    for (const JobStateMachine::QueueKey& key : stateMachine.queuedJobs()) {
        if (m_placements.size() >= m_timing.maximumPlacements)
            break;
        const Job& job = *stateMachine.find(key.jobId);
        if (!m_placements.contains(key.jobId) && isWithinQuota(job, stateMachine))
            reserveSide(now, job, actions);
    }
}

void CellScheduler::onReserveAnswer(Instant now, const std::string& sideId, const Wire::ReserveAnswer& answer,
    const JobStateMachine& stateMachine, Actions& actions)
{
    SideView* side = m_membership.find(sideId);
    if (side)
        side->free = answer.free;
    std::map<std::string, PendingPlacement>::iterator it = m_placements.find(answer.taskId);
    if (it == m_placements.end() || it->second.sideId != sideId || it->second.attempt != answer.attempt)
        return;
    if (!answer.granted || !isLeader(stateMachine)) {
        ++m_totals.refusedReservations;
        m_placements.erase(it);
        return;
    }
    if (it->second.granted)
        return;
    it->second.granted = true;
    it->second.since = now;
    it->second.basisMicroseconds = answer.sideClockMicroseconds;
    it->second.basisAt = now;
    const AttemptRecord record { m_cell, stateMachine.leader().term, answer.taskId, answer.attempt, sideId };
    actions.push_back(AppendRecords { { record } });
}

void CellScheduler::startRecordedAttempt(Instant now, const Job& job, Actions& actions)
{
    const std::string& jobId = job.record.jobId;
    HeldAttempt& heldAttempt = m_heldAttempts[jobId];
    heldAttempt = HeldAttempt {};
    std::map<std::string, PendingPlacement>::iterator it = m_placements.find(jobId);
    const SideView* side = m_membership.find(job.sideId);
    if (it != m_placements.end() && it->second.attempt == job.attempt) {
        heldAttempt.basisMicroseconds = it->second.basisMicroseconds;
        heldAttempt.basisAt = it->second.basisAt;
        m_placements.erase(it);
    }
    // Without a connection, the first hold over the next one shows whether the side has started the attempt.
    if (!side || !side->isLinkUp())
        return;
    heldAttempt.lastSentAt = now;
    ++m_totals.startedAttempts;
    sendStart(job, heldAttempt, *side, actions);
}

void CellScheduler::sendStart(
    const Job& job, const HeldAttempt& heldAttempt, const SideView& side, Actions& actions) const
{
    Wire::StartRequest message;
    message.taskId = job.record.jobId;
    message.attempt = job.attempt;
    message.term = m_term;
    message.demand = job.record.demand;
    message.holdMicroseconds = m_timing.holdDuration.count();
    message.basisMicroseconds = heldAttempt.basisMicroseconds;
    message.payload = job.record.payload;
    message.checkpoint = job.checkpoint;
    actions.push_back(SendMessage { side.dataLink, std::move(message) });
}

void CellScheduler::repeatStart(Instant now, const Job& job, const HeldAttempt& heldAttempt, Actions& actions) const
{
    const SideView* side = m_membership.find(job.sideId);
    if (job.cancelRequested || !side || !side->isLinkUp() || !maySendToSides(now))
        return;
    LogLine line("start_repeated");
    line.add("job", job.record.jobId).add("attempt", job.attempt).add("side", job.sideId).add("term", m_term);
    actions.push_back(WriteLog { line.text() });
    sendStart(job, heldAttempt, *side, actions);
}

// Running attempts: extend their holds, record their ends, and record as lost those that can no longer be running.

bool CellScheduler::maySendToSides(Instant now) const
{
    return m_logReadAt && now - *m_logReadAt <= m_timing.detachedHoldLimit;
}

Instant CellScheduler::lossDeadline(const HeldAttempt& heldAttempt) const
{
    // A previous leader that is still running but cannot read the log may have held the attempt for as long as a
    // detached leader may.
    const Instant previousLimit = m_previousHoldsSince
        + (m_previousLeaderStopped ? Duration::zero() : withClockDriftMargin(m_timing.detachedHoldLimit));
    return std::max(heldAttempt.basisAt, previousLimit) + withClockDriftMargin(m_timing.holdDuration);
}

void CellScheduler::holdRunningAttempts(Instant now, const JobStateMachine& stateMachine, Actions& actions)
{
    for (std::pair<const std::string, HeldAttempt>& entry : m_heldAttempts) {
        HeldAttempt& heldAttempt = entry.second;
        const Job* job = stateMachine.find(entry.first);
        if (heldAttempt.endRecorded || !job)
            continue;
        if (now > lossDeadline(heldAttempt)) {
            ++m_totals.lostAttempts;
            recordAttemptEnd(*job, heldAttempt, AttemptEnd::Lost, Wire::AttemptReport(), actions);
            continue;
        }
        const SideView* side = m_membership.find(job->sideId);
        if (now - heldAttempt.lastSentAt < m_timing.holdInterval || !side || !side->isLinkUp() || !maySendToSides(now))
            continue;
        heldAttempt.lastSentAt = now;
        if (job->cancelRequested) {
            Wire::StopRequest message;
            message.taskId = entry.first;
            message.attempt = job->attempt;
            message.term = m_term;
            actions.push_back(SendMessage { side->dataLink, std::move(message) });
            continue;
        }
        Wire::HoldRequest message;
        message.taskId = entry.first;
        message.attempt = job->attempt;
        message.term = m_term;
        message.holdMicroseconds = m_timing.holdDuration.count();
        message.basisMicroseconds = heldAttempt.basisMicroseconds;
        actions.push_back(SendMessage { side->dataLink, std::move(message) });
    }
}

void CellScheduler::onReport(
    Instant now, const Wire::AttemptReport& report, const JobStateMachine& stateMachine, Actions& actions)
{
    const Job* job = stateMachine.find(report.taskId);
    std::map<std::string, HeldAttempt>::iterator it = m_heldAttempts.find(report.taskId);
    if (!isLeader(stateMachine) || !job || it == m_heldAttempts.end() || it->second.endRecorded)
        return;
    if (job->status != JobStatus::Running || job->attempt != report.attempt || job->sideId != report.sideId)
        return;
    HeldAttempt& heldAttempt = it->second;
    switch (report.state) {
    case Wire::AttemptState::Completed:
        ++m_totals.completedAttempts;
        recordAttemptEnd(*job, heldAttempt, AttemptEnd::Completed, report, actions);
        break;
    case Wire::AttemptState::Failed:
        recordAttemptEnd(*job, heldAttempt, AttemptEnd::Failed, report, actions);
        break;
    case Wire::AttemptState::Stopped:
        recordAttemptEnd(*job, heldAttempt, AttemptEnd::Evicted, report, actions);
        break;
    case Wire::AttemptState::Absent:
        ++m_totals.lostAttempts;
        recordAttemptEnd(*job, heldAttempt, AttemptEnd::Lost, report, actions);
        break;
    case Wire::AttemptState::Reserved:
        heldAttempt.basisMicroseconds = report.sideClockMicroseconds;
        heldAttempt.basisAt = now;
        // The recorded attempt was never started: the start was lost, or a previous leader ended before sending it.
        repeatStart(now, *job, heldAttempt, actions);
        break;
    default:
        heldAttempt.basisMicroseconds = report.sideClockMicroseconds;
        heldAttempt.basisAt = now;
    }
}

void CellScheduler::recordAttemptEnd(
    const Job& job, HeldAttempt& heldAttempt, AttemptEnd end, const Wire::AttemptReport& report, Actions& actions)
{
    heldAttempt.endRecorded = true;
    const EndedRecord record { m_cell, m_term, job.record.jobId, job.attempt, end, report.result, report.checkpoint };
    actions.push_back(AppendRecords { { record } });
    LogLine line("attempt_end");
    line.add("job", job.record.jobId).add("attempt", job.attempt).add("side", job.sideId).add("end", name(end));
    line.add("term", m_term).add("bundle", m_bundles.version());
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
