#include "Decision/Job/JobOwner.h"

#include "Decision/Job/JobLimits.h"
#include "Wire/Codec.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Least time between two scheduling passes; a pass looks at all that waits.
    constexpr Duration passInterval = milliseconds(4);
    /// A pass without news, for tasks whose pause is over and times that have come.
    constexpr Duration idlePassInterval = milliseconds(50);
    /// Progress that nobody waits for is stored within this time: it only delays acknowledgements to hosts.
    constexpr Duration progressDelay = milliseconds(60);
    /// A lease is extended once a new reading of the host's clock allows this share of it more.
    constexpr double extensionShare = 0.2;
    constexpr Duration forgetInterval = seconds(5);

    bool isKeyOf(const std::string& key, char kind) { return key.size() > 2 && key[0] == kind && key[1] == '/'; }

} // namespace

JobOwner::JobOwner(std::string nodeId, std::int64_t term, const OwnerRules& rules, Instant now)
    : m_state(std::move(nodeId), term, rules, now)
    , m_ledger(m_state)
    , m_paces(PaceRules::within(rules.harmBound), m_interference)
    , m_scheduler(m_state, m_ledger, m_paces, PlacementRules {})
{
    m_state.confirmedAt = now;
    m_state.pulseConfirmedAt = now;
}

void JobOwner::load(const std::vector<StoreRecord>& records)
{
    const Result<Success> unreadable = Error { ErrorCode::MalformedBody, "the value is of another kind" };
    for (const StoreRecord& record : records) {
        if (record.key.size() <= 2)
            continue;
        const std::string id = record.key.substr(2);
        if (isKeyOf(record.key, 'j')) {
            std::optional<Wire::JobDefinition> definition = Wire::decode<Wire::JobDefinition>(record.value);
            const Result<Success> checked = definition ? checkJob(*definition) : unreadable;
            if (isOk(checked))
                m_state.jobs[id]
                    = std::make_unique<JobState>(std::move(*definition), m_state.ownedSince, m_state.unixMilliseconds);
            else
                m_loadFaults.emplace_back(record.key, errorOf(checked).message);
        } else if (isKeyOf(record.key, 'p')) {
            std::optional<Wire::JobProgress> progress = Wire::decode<Wire::JobProgress>(record.value);
            const bool known = progress && progress->outcome >= Wire::JobOutcome::Open
                && progress->outcome <= Wire::JobOutcome::Cancelled;
            if (known)
                m_loadedProgress[id] = std::move(*progress);
            else
                m_loadFaults.emplace_back(record.key, errorOf(unreadable).message);
        } else if (isKeyOf(record.key, 'c')) {
            m_loadedCancellations.insert(id);
        } else if (isKeyOf(record.key, 'h')) {
            const std::optional<Wire::HostRecord> stored = Wire::decode<Wire::HostRecord>(record.value);
            Host host;
            host.hostId = id;
            host.incarnation = stored ? stored->incarnation : 0;
            host.orders.hostId = id;
            m_state.hosts.hosts().insert_or_assign(id, std::move(host));
        }
    }
}

void JobOwner::finishLoad(Instant now, std::int64_t unixMilliseconds, Instant leasesEnd, Actions& actions)
{
    m_state.unixMilliseconds = unixMilliseconds;
    for (const std::pair<std::string, std::string>& fault : m_loadFaults)
        actions.push_back(
            WriteLog { LogLine("record_unreadable").add("key", fault.first).add("why", fault.second).text() });
    m_loadFaults.clear();
    for (std::pair<const std::string, std::unique_ptr<JobState>>& entry : m_state.jobs) {
        // The acceptance lies in the past: what is due counts from it.
        Wire::JobDefinition definition = entry.second->definition();
        const Instant accepted = now - milliseconds(unixMilliseconds - definition.acceptedUnixMilliseconds);
        entry.second = std::make_unique<JobState>(
            std::move(definition), accepted, entry.second->definition().acceptedUnixMilliseconds);
        JobState& job = *entry.second;
        std::map<std::string, Wire::JobProgress>::iterator it = m_loadedProgress.find(entry.first);
        job.restore(now, it == m_loadedProgress.end() ? Wire::JobProgress() : it->second, unixMilliseconds);
        if (it == m_loadedProgress.end())
            job.setOutcome(Wire::JobOutcome::Open);
        if (m_loadedCancellations.contains(entry.first) && job.isOpen())
            job.setOutcome(Wire::JobOutcome::Cancelled);
        if (!job.isOpen()) {
            m_finishedAt[entry.first] = now;
            continue;
        }
        m_state.openJobs[entry.first] = &job;
        if (job.failedRuns() > 0)
            actions.push_back(WriteLog {
                LogLine("progress_loaded").add("job", entry.first).add("failed_runs", job.failedRuns()).text() });
    }
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        entry.second.lapsesAt = leasesEnd;
        entry.second.heardAt = now;
    }
    actions.push_back(WriteLog { LogLine("take_over")
                                     .add("term", m_state.term)
                                     .add("jobs", m_state.jobs.size())
                                     .add("open", m_state.openJobs.size())
                                     .add("hosts", m_state.hosts.hosts().size())
                                     .add("leases_end_in_ms", toMilliseconds(leasesEnd - now))
                                     .text() });
    m_loadedProgress.clear();
    m_loadedCancellations.clear();
}

bool JobOwner::isStoreAway(Instant now) const { return m_state.journal.stalledFor(now) > m_state.rules.storeAway; }

void JobOwner::onCall(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    switch (call.kind) {
    case Wire::JobCallKind::Submit:
        submit(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Cancel:
        cancel(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Status:
        status(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Waiting:
        countWaiting(origin, call, actions);
        return;
    }
}

void JobOwner::reply(const CallOrigin& origin, Wire::JobReply reply, Actions& actions)
{
    reply.callId = static_cast<std::int64_t>(origin.callId);
    if (origin.link == noLink)
        actions.push_back(AnswerJobCall { origin.callId, std::move(reply) });
    else
        actions.push_back(SendMessage { origin.link, std::move(reply) });
}

std::string JobOwner::refusal(Instant now, const Wire::JobCall& call) const
{
    if (isStoreAway(now))
        return "store_away";
    if (m_resting)
        return "handing_over";
    for (const Wire::StepDefinition& step : call.job.steps) {
        if (m_state.hostsAccounted(now) && !m_state.hosts.hosts().empty()
            && !Placement::couldEverFit(m_state.hosts, call.job.serviceName, step))
            return "no_host_is_large_enough";
    }
    return {};
}

void JobOwner::submit(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::Accepted;
    if (m_state.findJob(call.jobId)) {
        // A repeat. It is accepted when the record is stored, which may still be under way.
        std::deque<WaitingReply>::iterator it = std::find_if(m_waiting.begin(), m_waiting.end(),
            [&call](const WaitingReply& waiting) { return waiting.jobId == call.jobId; });
        if (it == m_waiting.end())
            reply(origin, answer, actions);
        else
            m_waiting.push_back(WaitingReply { origin, it->ticket, answer, {} });
        return;
    }
    const std::string why = refusal(now, call);
    LogLine line("submit");
    line.add("job", call.jobId).add("queue", call.queue).add("steps", call.job.steps.size());
    line.add("policy_version", call.policyVersion).add("open_jobs", m_state.openJobs.size());
    if (!why.empty()) {
        ++m_state.counters.refused;
        answer.kind = Wire::JobReplyKind::Refused;
        answer.reason = why;
        answer.retryAfterMilliseconds = toMilliseconds(m_state.rules.storeRetryAfter);
        actions.push_back(WriteLog { line.add("outcome", "refused").add("why", why).text() });
        reply(origin, answer, actions);
        return;
    }
    Wire::JobDefinition definition = call.job;
    definition.acceptedTerm = m_state.term;
    definition.acceptedUnixMilliseconds = m_state.unixMilliseconds;
    const std::uint64_t ticket = m_state.journal.add(
        now, StoreRecord { StoreKey::job(call.jobId), Wire::encode(definition) }, Urgency::Waited);
    m_state.jobs[call.jobId] = std::make_unique<JobState>(std::move(definition), now, m_state.unixMilliseconds);
    m_waiting.push_back(WaitingReply { origin, ticket, answer, call.jobId });
    actions.push_back(WriteLog { line.add("outcome", "storing").text() });
}

void JobOwner::denyJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::NoSuchJob;
    if (!m_state.isCertain(now)) {
        answer.kind = Wire::JobReplyKind::Refused;
        answer.reason = "ownership_uncertain";
        answer.retryAfterMilliseconds = toMilliseconds(m_state.rules.storeRetryAfter);
        actions.push_back(WriteLog { LogLine("job_not_denied")
                                         .add("job", call.jobId)
                                         .add("pulse_age_ms", toMilliseconds(now - m_state.pulseConfirmedAt))
                                         .text() });
    }
    reply(origin, answer, actions);
}

void JobOwner::cancel(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    JobState* job = m_state.findJob(call.jobId);
    if (!job) {
        denyJob(now, origin, call, actions);
        return;
    }
    answer.kind = Wire::JobReplyKind::Accepted;
    const std::uint64_t ticket
        = m_state.journal.add(now, StoreRecord { StoreKey::cancellation(call.jobId), "1" }, Urgency::Waited);
    if (job->isOpen()) {
        m_ledger.finish(now, *job, Wire::JobOutcome::Cancelled, "client_cancelled", actions);
        m_finishedAt[call.jobId] = now;
    }
    m_waiting.push_back(WaitingReply { origin, ticket, answer, {} });
}

void JobOwner::status(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    const JobState* job = m_state.findJob(call.jobId);
    if (!job) {
        denyJob(now, origin, call, actions);
        return;
    }
    answer.kind = Wire::JobReplyKind::State;
    answer.phase = job->hasStarted() ? Wire::JobPhase::Running : Wire::JobPhase::Queued;
    // An outcome is only shown once no change of owner can take it back.
    const bool stored = job->progressTicket <= m_state.journal.stored() && !m_state.dirtyJobs.contains(call.jobId);
    if (job->outcome() == Wire::JobOutcome::Cancelled)
        answer.phase = Wire::JobPhase::Cancelled;
    else if (job->outcome() == Wire::JobOutcome::Completed && stored)
        answer.phase = Wire::JobPhase::Completed;
    else if (job->outcome() == Wire::JobOutcome::Failed && stored)
        answer.phase = Wire::JobPhase::Failed;
    reply(origin, answer, actions);
}

void JobOwner::countWaiting(const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::WaitingCount;
    for (const std::pair<const std::string, JobState*>& entry : m_state.openJobs) {
        if (entry.second->definition().queue == call.queue && !entry.second->hasStarted())
            ++answer.waiting;
    }
    reply(origin, answer, actions);
}

void JobOwner::onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    m_ledger.onReport(now, link, report, actions);
    Host* host = m_state.hosts.find(report.hostId);
    if (!host || (!report.listed && report.results.empty()))
        return;
    // A filler starts at full pace: it is held back as soon as its start is known, not with the next list.
    m_state.counters.pacesSent += m_paces.adjust(now, *host, actions);
    m_paces.refresh(now, *host);
}

void JobOwner::onLinkDown(Instant now, LinkId link) { m_ledger.onLinkDown(now, link); }

void JobOwner::onAppendResponse(Instant now, const AppendResponse& response, Actions& actions)
{
    if (response.outcome != AppendOutcome::Stored)
        actions.push_back(WriteLog { LogLine("append_failed")
                                         .add("outcome", static_cast<int>(response.outcome))
                                         .add("stalled_ms", toMilliseconds(m_state.journal.stalledFor(now)))
                                         .text() });
    if (!m_state.journal.onResponse(now, response)) {
        m_fenced = true;
        return;
    }
    m_state.confirmedAt = std::max(m_state.confirmedAt, m_state.journal.lastConfirmed());
    // A host whose record is stored now may be given its first order.
    m_state.scheduleDue = true;
    completeWaiting(actions);
    acknowledgeEnds();
}

void JobOwner::onPulseConfirmed(Instant sent)
{
    m_state.confirmedAt = std::max(m_state.confirmedAt, sent);
    m_state.pulseConfirmedAt = std::max(m_state.pulseConfirmedAt, sent);
}

void JobOwner::handOver()
{
    rest();
    m_state.handedOver = true;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
        entry.second.orders.starts.clear();
}

void JobOwner::completeWaiting(Actions& actions)
{
    while (!m_waiting.empty() && m_waiting.front().ticket <= m_state.journal.stored()) {
        const WaitingReply waiting = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!waiting.jobId.empty()) {
            JobState* job = m_state.findJob(waiting.jobId);
            if (job && job->isOpen())
                m_state.openJobs[waiting.jobId] = job;
            m_state.scheduleDue = true;
            ++m_state.counters.accepted;
            actions.push_back(WriteLog { LogLine("accepted").add("job", waiting.jobId).text() });
        }
        reply(waiting.origin, waiting.reply, actions);
    }
}

void JobOwner::flushProgress(Instant now)
{
    if (m_state.dirtyJobs.empty() || (!m_state.flushNow && now - m_state.dirtySince < progressDelay))
        return;
    std::uint64_t ticket = 0;
    for (const std::string& jobId : m_state.dirtyJobs) {
        JobState* job = m_state.findJob(jobId);
        if (!job)
            continue;
        ticket = m_state.journal.add(
            now, StoreRecord { StoreKey::progress(jobId), Wire::encode(job->progress()) }, Urgency::Waited);
        job->progressTicket = ticket;
        if (!job->isOpen())
            m_finishedAt.emplace(jobId, now);
    }
    m_state.dirtyJobs.clear();
    m_state.flushNow = false;
}

void JobOwner::coverEnds()
{
    // Ends whose jobs have nothing left to store are covered by what is stored already.
    if (!m_state.dirtyJobs.empty())
        return;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        for (std::pair<std::int64_t, std::uint64_t>& end : entry.second.unstoredEnds) {
            if (end.second == 0)
                end.second = std::max<std::uint64_t>(1, m_state.journal.lastTicket());
        }
    }
}

void JobOwner::acknowledgeEnds()
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        while (!host.unstoredEnds.empty() && host.unstoredEnds.front().second != 0
            && host.unstoredEnds.front().second <= m_state.journal.stored()) {
            host.acknowledgedNumber = host.unstoredEnds.front().first;
            host.unstoredEnds.pop_front();
            host.acknowledgeDue = true;
        }
    }
}

void JobOwner::grantLeases(Instant now)
{
    if (!m_state.mayGrant(now))
        return;
    const Duration held = m_state.confirmedAt + m_state.rules.ownershipHold - now;
    const Duration grant = std::min(m_state.rules.lease, held);
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (!host.listed || host.link == noLink)
            continue;
        const bool wanted = !host.runs.empty() || !host.orders.starts.empty();
        const std::int64_t until = host.clockMilliseconds + toMilliseconds(grant);
        const double step = extensionShare * static_cast<double>(toMilliseconds(m_state.rules.lease));
        const bool longer = static_cast<double>(until - host.leaseUntilMilliseconds) >= step;
        if (!wanted || (!longer && host.orders.starts.empty()))
            continue;
        host.leaseUntilMilliseconds = std::max(host.leaseUntilMilliseconds, until);
        host.orders.leaseUntilMilliseconds = host.leaseUntilMilliseconds;
        const Duration lasts = milliseconds(host.leaseUntilMilliseconds - host.clockMilliseconds);
        host.lapsesAt = std::max(host.lapsesAt, host.clockReadAt + m_state.stretched(lasts));
    }
}

void JobOwner::sendOrders(Actions& actions)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (host.link == noLink)
            continue;
        Wire::HostOrders& orders = host.orders;
        const bool extends = orders.leaseUntilMilliseconds > 0;
        if (!extends && !host.acknowledgeDue && orders.starts.empty() && orders.halts.empty() && orders.paces.empty())
            continue;
        orders.term = m_state.term;
        orders.fence = host.fence;
        orders.hostId = host.hostId;
        orders.incarnation = host.incarnation;
        orders.leaseUntilMilliseconds = host.leaseUntilMilliseconds;
        orders.acknowledgedNumber = host.acknowledgedNumber;
        host.acknowledgeDue = false;
        actions.push_back(SendMessage { host.link, std::move(orders) });
        orders = Wire::HostOrders();
    }
}

void JobOwner::forgetOldJobs(Instant now)
{
    if (now - m_lastForgotten < forgetInterval)
        return;
    m_lastForgotten = now;
    for (std::map<std::string, Instant>::iterator it = m_finishedAt.begin(); it != m_finishedAt.end();) {
        if (now - it->second < m_state.rules.statusMemory + forgetInterval) {
            ++it;
            continue;
        }
        for (const std::string& key :
            { StoreKey::job(it->first), StoreKey::progress(it->first), StoreKey::cancellation(it->first) })
            m_state.journal.add(now, StoreRecord { key, {} }, Urgency::Lazy);
        m_state.jobs.erase(it->first);
        it = m_finishedAt.erase(it);
    }
}

void JobOwner::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    m_state.unixMilliseconds = unixMilliseconds;
    m_ledger.tick(now, actions);
    m_interference.observe(now, m_state.hosts);
    const Duration sincePass = now - m_lastPass;
    if (!m_resting && m_state.mayGrant(now)
        && ((m_state.scheduleDue && sincePass >= passInterval) || sincePass >= idlePassInterval)) {
        m_state.scheduleDue = false;
        m_lastPass = now;
        m_scheduler.pass(now, actions);
    }
    flushProgress(now);
    coverEnds();
    acknowledgeEnds();
    grantLeases(now);
    sendOrders(actions);
    forgetOldJobs(now);
}

} // namespace Plantainpier
