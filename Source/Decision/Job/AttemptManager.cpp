#include "Decision/Job/AttemptManager.h"

#include "Base/LogLine.h"

#include <algorithm>
#include <set>

namespace Plantainpier {

namespace {

    /// An attempt that is found on the worker after a restart of this process may run for this time without a hold, so
    /// that its leader can hold it again.
    constexpr Duration adoptionHold = seconds(30);
    /// Time for which an attempt that is over is kept, so that a late start of it is refused.
    constexpr Duration endedRetention = seconds(600);
    /// Maximum difference in rate between the clocks of two hosts, in parts per thousand.
    constexpr int maximumClockDriftPerMille = 10;
    /// Number of lease lengths after which an attempt that the worker has not listed cannot start any more, because the
    /// lease of the start order has ended.
    constexpr int startWaitLeases = 2;

    /// The end of a hold. Its basis is the clock reading in the newest message of this side that the leader had
    /// received.
    Instant heldUntil(std::int64_t basisMicroseconds, std::int64_t holdMicroseconds)
    {
        return Instant(Duration(basisMicroseconds)) + Duration(holdMicroseconds);
    }

    bool isOver(Wire::AttemptState::type state)
    {
        return state == Wire::AttemptState::Completed || state == Wire::AttemptState::Failed
            || state == Wire::AttemptState::Stopped || state == Wire::AttemptState::Absent;
    }

} // namespace

AttemptManager::AttemptManager(std::string sideId, std::int64_t incarnation, const LeaseTiming& timing)
    : m_sideId(std::move(sideId))
    , m_incarnation(incarnation)
    , m_timing(timing)
{
}

bool AttemptManager::acceptTerm(std::int64_t term)
{
    if (term < m_newestTerm)
        return false;
    m_newestTerm = term;
    return true;
}

void AttemptManager::onReserve(Instant now, LinkId link, const Wire::ReserveRequest& request, Actions& actions)
{
    const AttemptId id { request.taskId, request.attempt };
    ErrorCode code = ErrorCode::Ok;
    std::map<AttemptId, Attempt>::iterator it = m_attempts.find(id);
    if (!acceptTerm(request.term))
        code = ErrorCode::StaleTerm;
    else if (!isReady() || m_leaving)
        code = ErrorCode::Leaving;
    else if (it != m_attempts.end() && isOver(it->second.state))
        code = ErrorCode::Fenced;
    else if (!m_commitments.commit(id, request.demand))
        code = ErrorCode::HostFull;
    if (code == ErrorCode::Ok) {
        Attempt& attempt = m_attempts[id];
        attempt.link = link;
        if (attempt.state == Wire::AttemptState::Absent)
            attempt.state = Wire::AttemptState::Reserved;
        attempt.heldUntil = std::max(attempt.heldUntil, now + Duration(request.validMicroseconds));
    }
    Wire::ReserveAnswer answer;
    answer.taskId = request.taskId;
    answer.attempt = request.attempt;
    answer.granted = code == ErrorCode::Ok;
    answer.reason = std::string(name(code));
    answer.free = m_commitments.freeResources();
    answer.sideClockMicroseconds = now.time_since_epoch().count();
    actions.push_back(SendMessage { link, std::move(answer) });
    LogLine line("reserve");
    line.add("job", id.jobId).add("attempt", id.number).add("side", m_sideId).add("decision", name(code));
    line.add("free_milli_processors", m_commitments.freeResources().milliProcessors)
        .add("free_mb", m_commitments.freeResources().memoryMegabytes);
    actions.push_back(WriteLog { line.add("term", request.term).text() });
}

std::int64_t AttemptManager::leaseEnd(Instant now, const Attempt& attempt) const
{
    // The worker's clock may run slower than this process's clock, so the time from the reading to the end of the lease
    // is reduced by the maximum drift.
    const Duration sinceReading = now - m_clock->at;
    const Duration held = std::max(Duration::zero(), attempt.heldUntil - now);
    const Duration readingToLeaseEnd = sinceReading + std::min(m_timing.lease, held);
    const Duration reduced = readingToLeaseEnd - readingToLeaseEnd * maximumClockDriftPerMille / 1000;
    return m_clock->milliseconds + toMilliseconds(reduced);
}

void AttemptManager::onStart(Instant now, LinkId link, const Wire::StartRequest& request, Actions& actions)
{
    const AttemptId id { request.taskId, request.attempt };
    if (!acceptTerm(request.term) || !isReady())
        return;
    // An attempt is unknown if an earlier incarnation of this process reserved it or if its reservation has lapsed.
    Attempt& attempt = findOrFence(now, link, id);
    if (attempt.state != Wire::AttemptState::Reserved) {
        sendReport(now, id, attempt, actions);
        return;
    }
    attempt.heldUntil = heldUntil(request.basisMicroseconds, request.holdMicroseconds);
    if (attempt.heldUntil <= now) {
        endAttempt(now, id, attempt, Wire::AttemptState::Absent, actions);
        return;
    }
    attempt.state = Wire::AttemptState::Running;
    attempt.lastRenewed = now;
    attempt.startSentAt = now;
    StartTask start { id.jobId, id.number, leaseEnd(now, attempt), request.demand, request.payload,
        request.checkpoint };
    LogLine line("start");
    line.add("job", id.jobId).add("attempt", id.number).add("side", m_sideId).add("term", request.term);
    actions.push_back(WriteLog { line.add("lease_until_ms", start.leaseUntilMilliseconds).text() });
    actions.push_back(std::move(start));
    sendReport(now, id, attempt, actions);
}

AttemptManager::Attempt& AttemptManager::findOrFence(Instant now, LinkId link, const AttemptId& id)
{
    const bool isKnown = m_attempts.contains(id);
    Attempt& attempt = m_attempts[id];
    attempt.link = link;
    if (!isKnown)
        attempt.heldUntil = now + endedRetention;
    return attempt;
}

void AttemptManager::onHold(Instant now, LinkId link, const Wire::HoldRequest& request, Actions& actions)
{
    if (!acceptTerm(request.term) || !isReady())
        return;
    const AttemptId id { request.taskId, request.attempt };
    Attempt& attempt = findOrFence(now, link, id);
    if (!isOver(attempt.state))
        attempt.heldUntil = std::max(attempt.heldUntil, heldUntil(request.basisMicroseconds, request.holdMicroseconds));
    sendReport(now, id, attempt, actions);
}

void AttemptManager::onStop(Instant now, LinkId link, const Wire::StopRequest& request, Actions& actions)
{
    if (!acceptTerm(request.term) || !isReady())
        return;
    const AttemptId id { request.taskId, request.attempt };
    Attempt& attempt = findOrFence(now, link, id);
    if (attempt.state == Wire::AttemptState::Running)
        actions.push_back(StopTask { id.jobId, id.number, request.checkpoint });
    else if (attempt.state == Wire::AttemptState::Reserved)
        endAttempt(now, id, attempt, Wire::AttemptState::Stopped, actions);
    else
        sendReport(now, id, attempt, actions);
}

void AttemptManager::sendReport(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions)
{
    attempt.lastReported = now;
    Wire::AttemptReport message;
    message.taskId = id.jobId;
    message.attempt = id.number;
    message.state = attempt.state;
    message.result = attempt.result;
    message.checkpoint = attempt.checkpoint;
    message.sideIncarnation = m_incarnation;
    message.sideId = m_sideId;
    message.sideClockMicroseconds = now.time_since_epoch().count();
    if (attempt.link != noLink)
        actions.push_back(SendMessage { attempt.link, std::move(message) });
}

void AttemptManager::endAttempt(
    Instant now, const AttemptId& id, Attempt& attempt, Wire::AttemptState::type state, Actions& actions)
{
    attempt.state = state;
    attempt.heldUntil = now + endedRetention;
    attempt.startSentAt.reset();
    m_commitments.release(id);
    LogLine line("attempt_over");
    line.add("job", id.jobId).add("attempt", id.number).add("side", m_sideId).add("state", static_cast<int>(state));
    actions.push_back(WriteLog { line.text() });
    sendReport(now, id, attempt, actions);
}

void AttemptManager::adoptTask(Instant now, const WorkerTask& task, Actions& actions)
{
    Attempt& attempt = m_attempts[task.id];
    attempt.state = Wire::AttemptState::Running;
    attempt.heldUntil = now + adoptionHold;
    attempt.lastRenewed = now - m_timing.renewInterval;
    m_commitments.commitExisting(task.id, task.demand);
    LogLine line("adopt");
    line.add("job", task.id.jobId).add("attempt", task.id.number).add("side", m_sideId);
    actions.push_back(WriteLog { line.text() });
}

void AttemptManager::updateFromTask(Instant now, const WorkerTask& task, Actions& actions)
{
    std::map<AttemptId, Attempt>::iterator it = m_attempts.find(task.id);
    if (it == m_attempts.end()) {
        if (task.state == Wire::AttemptState::Running) {
            adoptTask(now, task, actions);
            return;
        }
        // The task ended while no side process was running. The leader gets the result when it sends its next hold.
        Attempt& ended = m_attempts[task.id];
        ended.result = task.result;
        ended.checkpoint = task.checkpoint;
        endAttempt(now, task.id, ended, task.state, actions);
        return;
    }
    Attempt& attempt = it->second;
    if (isOver(attempt.state))
        return;
    attempt.startSentAt.reset();
    attempt.checkpoint = task.checkpoint;
    attempt.result = task.result;
    if (isOver(task.state))
        endAttempt(now, task.id, attempt, task.state, actions);
}

void AttemptManager::endUnlisted(Instant now, const WorkerListing& listing, Actions& actions)
{
    std::set<AttemptId> listed;
    for (const WorkerTask& task : listing.tasks)
        listed.insert(task.id);
    for (std::pair<const AttemptId, Attempt>& entry : m_attempts) {
        Attempt& attempt = entry.second;
        if (attempt.state != Wire::AttemptState::Running || listed.contains(entry.first))
            continue;
        const bool mayStillStart = attempt.startSentAt && now - *attempt.startSentAt < m_timing.lease * startWaitLeases;
        if (!mayStillStart)
            endAttempt(now, entry.first, attempt, Wire::AttemptState::Stopped, actions);
    }
}

void AttemptManager::onListing(Instant now, const WorkerListing& listing, Actions& actions)
{
    m_clock = WorkerClock { listing.clockMilliseconds, now };
    for (const WorkerTask& task : listing.tasks)
        updateFromTask(now, task, actions);
    endUnlisted(now, listing, actions);
}

void AttemptManager::renewIfDue(Instant now, const AttemptId& id, Attempt& attempt, Actions& actions)
{
    const bool due = now - attempt.lastRenewed >= m_timing.renewInterval;
    if (!due || attempt.heldUntil <= now)
        return;
    attempt.lastRenewed = now;
    actions.push_back(RenewTask { id.jobId, id.number, leaseEnd(now, attempt) });
}

void AttemptManager::tick(Instant now, Actions& actions)
{
    if (now - m_lastListed >= m_timing.listInterval) {
        m_lastListed = now;
        actions.push_back(ListTasks {});
    }
    if (!isReady())
        return;
    for (std::map<AttemptId, Attempt>::iterator it = m_attempts.begin(); it != m_attempts.end();) {
        Attempt& attempt = it->second;
        if (attempt.state == Wire::AttemptState::Running)
            renewIfDue(now, it->first, attempt, actions);
        if (attempt.state == Wire::AttemptState::Reserved && attempt.heldUntil <= now)
            endAttempt(now, it->first, attempt, Wire::AttemptState::Absent, actions);
        if (isOver(attempt.state) && attempt.heldUntil <= now)
            it = m_attempts.erase(it);
        else
            ++it;
    }
}

} // namespace Plantainpier
