#include "Decision/Job/CellScheduler.h"

#include "Base/LogLine.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Hosts' clocks may differ in rate by this many parts per thousand.
    constexpr int clockRatePerMille = 10;
    /// Log silence after which the log counts as away.
    constexpr Duration logAway = seconds(3);

    Duration withClockMargin(Duration duration) { return duration + duration * clockRatePerMille / 1000; }

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

bool CellScheduler::isLeader(const JobStateMachine& book) const
{
    return book.leader().term > 0 && book.leader().entryId == m_entryId && book.leader().incarnation == m_incarnation;
}

void CellScheduler::onLogContact(Instant now)
{
    // Silence of the leader only counts while the log could have told of it.
    const bool wasAway = !m_logContact || now - *m_logContact > logAway;
    if (wasAway)
        m_leaderHeard = now;
    m_logContact = now;
}

void CellScheduler::onRecord(
    Instant now, const LogRecord& record, RecordEffect effect, const JobStateMachine& book, Actions& actions)
{
    switch (effect) {
    case RecordEffect::LeaderChanged:
        m_leaderHeard = now;
        m_claimedAt.reset();
        if (isLeader(book))
            takeOver(now, book, actions);
        else
            m_previous = book.leader();
        break;
    case RecordEffect::LeaderAlive:
        m_leaderHeard = now;
        break;
    case RecordEffect::EntryStarted: {
        const EntryStartedRecord& started = std::get<EntryStartedRecord>(record);
        if (started.entryId == m_previous.entryId && started.incarnation > m_previous.incarnation && !m_previousGone) {
            m_previousGone = true;
            m_tookOverAt = now;
        }
        break;
    }
    case RecordEffect::AttemptRecorded:
        if (isLeader(book))
            startRecorded(now, *book.find(std::get<AttemptRecord>(record).jobId), actions);
        break;
    case RecordEffect::AttemptOver:
        m_holdings.erase(std::get<EndedRecord>(record).jobId);
        break;
    default:
        break;
    }
}

void CellScheduler::takeOver(Instant now, const JobStateMachine& book, Actions& actions)
{
    m_tookOverAt = now;
    m_term = book.leader().term;
    m_previousGone = m_previous.term == 0 || m_previous.entryId == m_entryId;
    m_placements.clear();
    m_holdings.clear();
    for (const std::string& jobId : book.running())
        m_holdings[jobId] = Holding {};
    LogLine line("take_over");
    line.add("cell", m_cell).add("term", book.leader().term).add("entry", m_entryId);
    line.add("running", book.running().size()).add("queued", book.queue().size());
    actions.push_back(WriteLog { line.text() });
}

void CellScheduler::claimIfSilent(Instant now, const JobStateMachine& book, Actions& actions)
{
    const bool readable = m_logContact && now - *m_logContact <= logAway;
    if (!readable || !m_bundles.current())
        return;
    const bool vacant = book.leader().term == 0;
    const bool silent = m_leaderHeard && now - *m_leaderHeard > m_timing.leaderSilence;
    const bool waiting = m_claimedAt && now - *m_claimedAt <= m_timing.leaderSilence;
    if ((!vacant && !silent) || waiting)
        return;
    m_claimedAt = now;
    const LeaderRecord claim { m_cell, book.leader().term + 1, m_entryId, m_incarnation };
    actions.push_back(AppendRecords { { claim } });
    LogLine line("claim_lead");
    line.add("cell", m_cell).add("term", claim.term).add("entry", m_entryId).add("vacant", vacant);
    actions.push_back(WriteLog { line.text() });
}

void CellScheduler::tick(Instant now, const JobStateMachine& book, Actions& actions)
{
    if (isLeader(book))
        lead(now, book, actions);
    else
        claimIfSilent(now, book, actions);
}

void CellScheduler::lead(Instant now, const JobStateMachine& book, Actions& actions)
{
    if (now - m_lastHeartbeat >= m_timing.heartbeat) {
        m_lastHeartbeat = now;
        const LeaderHeartbeatRecord heartbeat { m_cell, book.leader().term, ++m_heartbeats };
        actions.push_back(AppendRecords { { heartbeat } });
    }
    dropStalePlacements(now);
    placeQueued(now, book, actions);
    holdRunning(now, book, actions);
}

// Placement: reserve at the side, record in the log, start.

void CellScheduler::dropStalePlacements(Instant now)
{
    for (std::map<std::string, Placement>::iterator it = m_placements.begin(); it != m_placements.end();) {
        const Duration bound = it->second.granted ? m_timing.reservation : m_timing.reserveAnswer;
        if (now - it->second.since > bound)
            it = m_placements.erase(it);
        else
            ++it;
    }
}

bool CellScheduler::isWithinQuota(const Job& job, const JobStateMachine& book) const
{
    const TeamQuota* quota = m_bundles.current()->findQuota(job.record.team);
    if (!quota)
        return true;
    Wire::Resources used = plus(book.usageOf(job.record.team), job.record.demand);
    for (const std::pair<const std::string, Placement>& entry : m_placements) {
        const Job* placed = book.find(entry.first);
        if (placed && placed->status == JobStatus::Queued && placed->record.team == job.record.team)
            used = plus(used, placed->record.demand);
    }
    return fits(used, makeResources(quota->milliProcessors, quota->memoryMegabytes, quota->accelerators));
}

const SideView* CellScheduler::bestSide(Instant now, const Job& job) const
{
    // Best fit by processors: leaves large gaps for large jobs.
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

void CellScheduler::reserve(Instant now, const Job& job, Actions& actions)
{
    const SideView* chosen = bestSide(now, job);
    if (!chosen)
        return;
    SideView& side = *m_membership.find(chosen->sideId);
    // Until the side's next announcement the estimate holds what was asked of it.
    side.free = minus(side.free, job.record.demand);
    Placement placement;
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
    message.validMicroseconds = m_timing.reservation.count();
    LogLine line("place");
    line.add("job", job.record.jobId).add("attempt", placement.attempt).add("side", side.sideId);
    line.add("priority", job.record.priority).add("free_milli_processors", side.free.milliProcessors);
    line.add("candidates", m_membership.sides().size()).add("term", m_term).add("bundle", m_bundles.version());
    actions.push_back(WriteLog { line.text() });
    actions.push_back(SendMessage { side.link, std::move(message) });
}

void CellScheduler::placeQueued(Instant now, const JobStateMachine& book, Actions& actions)
{
    if (!m_logContact || now - *m_logContact > logAway || !m_bundles.current())
        return;
    for (const JobStateMachine::QueueKey& key : book.queue()) {
        if (m_placements.size() >= m_timing.placementsAtOnce)
            break;
        const Job& job = *book.find(key.jobId);
        if (!m_placements.contains(key.jobId) && isWithinQuota(job, book))
            reserve(now, job, actions);
    }
}

void CellScheduler::onReserveAnswer(Instant now, const std::string& sideId, const Wire::ReserveAnswer& answer,
    const JobStateMachine& book, Actions& actions)
{
    SideView* side = m_membership.find(sideId);
    if (side)
        side->free = answer.free;
    std::map<std::string, Placement>::iterator it = m_placements.find(answer.taskId);
    if (it == m_placements.end() || it->second.sideId != sideId || it->second.attempt != answer.attempt)
        return;
    if (!answer.granted || !isLeader(book)) {
        ++m_totals.refusals;
        m_placements.erase(it);
        return;
    }
    if (it->second.granted)
        return;
    it->second.granted = true;
    it->second.since = now;
    it->second.basisMicroseconds = answer.sideClockMicroseconds;
    it->second.basisAt = now;
    const AttemptRecord record { m_cell, book.leader().term, answer.taskId, answer.attempt, sideId };
    actions.push_back(AppendRecords { { record } });
}

void CellScheduler::startRecorded(Instant now, const Job& job, Actions& actions)
{
    const std::string& jobId = job.record.jobId;
    Holding& holding = m_holdings[jobId];
    holding = Holding {};
    std::map<std::string, Placement>::iterator it = m_placements.find(jobId);
    const SideView* side = m_membership.find(job.sideId);
    if (it != m_placements.end() && it->second.attempt == job.attempt) {
        holding.basisMicroseconds = it->second.basisMicroseconds;
        holding.basisAt = it->second.basisAt;
        m_placements.erase(it);
    }
    holding.lastSent = now;
    if (!side || !side->isLinkUp())
        return;
    ++m_totals.starts;
    Wire::StartRequest message;
    message.taskId = jobId;
    message.attempt = job.attempt;
    message.term = m_term;
    message.demand = job.record.demand;
    message.holdMicroseconds = m_timing.hold.count();
    message.basisMicroseconds = holding.basisMicroseconds;
    message.payload = job.record.payload;
    message.checkpoint = job.checkpoint;
    actions.push_back(SendMessage { side->link, std::move(message) });
}

// What runs: hold it, learn its end, or give it up once it is surely over.

bool CellScheduler::maySend(Instant now) const { return m_logContact && now - *m_logContact <= m_timing.detached; }

Instant CellScheduler::lostAt(const Holding& holding) const
{
    // A previous leader that may still be alive, cut off from the log, may have held the attempt for as long as a
    // detached leader does.
    const Instant previousLimit
        = m_tookOverAt + (m_previousGone ? Duration::zero() : withClockMargin(m_timing.detached));
    return std::max(holding.basisAt, previousLimit) + withClockMargin(m_timing.hold);
}

void CellScheduler::holdRunning(Instant now, const JobStateMachine& book, Actions& actions)
{
    for (std::pair<const std::string, Holding>& entry : m_holdings) {
        Holding& holding = entry.second;
        const Job* job = book.find(entry.first);
        if (holding.endRecorded || !job)
            continue;
        if (now > lostAt(holding)) {
            ++m_totals.losses;
            recordEnd(*job, holding, AttemptEnd::Lost, Wire::AttemptReport(), actions);
            continue;
        }
        const SideView* side = m_membership.find(job->sideId);
        if (now - holding.lastSent < m_timing.holdEvery || !side || !side->isLinkUp() || !maySend(now))
            continue;
        holding.lastSent = now;
        if (job->cancelRequested) {
            Wire::StopRequest message;
            message.taskId = entry.first;
            message.attempt = job->attempt;
            message.term = m_term;
            actions.push_back(SendMessage { side->link, std::move(message) });
            continue;
        }
        Wire::HoldRequest message;
        message.taskId = entry.first;
        message.attempt = job->attempt;
        message.term = m_term;
        message.holdMicroseconds = m_timing.hold.count();
        message.basisMicroseconds = holding.basisMicroseconds;
        actions.push_back(SendMessage { side->link, std::move(message) });
    }
}

void CellScheduler::onReport(
    Instant now, const Wire::AttemptReport& report, const JobStateMachine& book, Actions& actions)
{
    const Job* job = book.find(report.taskId);
    std::map<std::string, Holding>::iterator it = m_holdings.find(report.taskId);
    if (!isLeader(book) || !job || it == m_holdings.end() || it->second.endRecorded)
        return;
    if (job->status != JobStatus::Running || job->attempt != report.attempt || job->sideId != report.sideId)
        return;
    Holding& holding = it->second;
    switch (report.state) {
    case Wire::AttemptState::Completed:
        ++m_totals.completions;
        recordEnd(*job, holding, AttemptEnd::Completed, report, actions);
        break;
    case Wire::AttemptState::Failed:
        recordEnd(*job, holding, AttemptEnd::Failed, report, actions);
        break;
    case Wire::AttemptState::Stopped:
        recordEnd(*job, holding, AttemptEnd::Evicted, report, actions);
        break;
    case Wire::AttemptState::Absent:
        ++m_totals.losses;
        recordEnd(*job, holding, AttemptEnd::Lost, report, actions);
        break;
    default:
        holding.basisMicroseconds = report.sideClockMicroseconds;
        holding.basisAt = now;
    }
}

void CellScheduler::recordEnd(
    const Job& job, Holding& holding, AttemptEnd end, const Wire::AttemptReport& report, Actions& actions)
{
    holding.endRecorded = true;
    const EndedRecord record { m_cell, m_term, job.record.jobId, job.attempt, end, report.result, report.checkpoint };
    actions.push_back(AppendRecords { { record } });
    LogLine line("attempt_end");
    line.add("job", job.record.jobId).add("attempt", job.attempt).add("side", job.sideId).add("end", name(end));
    line.add("term", m_term).add("bundle", m_bundles.version());
    actions.push_back(WriteLog { line.text() });
}

} // namespace Plantainpier
