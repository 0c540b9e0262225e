#include "Decision/Job/JobOwner.h"

#include "Decision/Job/JobLimits.h"
#include "Decision/Job/OrderMessages.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <charconv>

namespace Plantainpier {

namespace {

    /// Minimum time between two scheduling passes, since each pass examines all waiting steps and searches all hosts.
    constexpr Duration minimumPassInterval = milliseconds(4);
    constexpr Duration passIntervalPerHost = microseconds(80);
    constexpr Duration maximumPassInterval = milliseconds(20);
    /// Interval of passes without a change of state, for retry delays that have ended and occurrences that are due.
    constexpr Duration idlePassInterval = milliseconds(50);
    /// Progress that is not urgent is written within this time. The delay only postpones acknowledgements to hosts.
    constexpr Duration maximumProgressDelay = milliseconds(60);
    /// A lease is extended only if a new reading of the host's clock adds at least this share of the full lease.
    constexpr double minimumExtensionShare = 0.2;
    constexpr Duration jobCleanupInterval = seconds(5);

    Duration passInterval(std::size_t hosts)
    {
        return std::clamp(
            passIntervalPerHost * static_cast<std::int64_t>(hosts), minimumPassInterval, maximumPassInterval);
    }

    constexpr const char* unreadableRecordText = "the value cannot be decoded as a record of this kind";

    bool isKeyOfKind(const std::string& key, char kind) { return key.size() > 2 && key[0] == kind && key[1] == '/'; }

} // namespace

JobOwner::JobOwner(std::string nodeId, std::int64_t term, const OwnerRules& rules, Instant now)
    : m_state(std::move(nodeId), term, rules, now)
    , m_runTracker(m_state)
    , m_paceController(PaceRules::forOwner(rules.interferenceBound, rules.fillerPlacement), m_interference)
    , m_overloadControl(rules)
    , m_scheduler(m_state, m_runTracker, m_paceController, m_overloadControl.order(),
          PlacementRules::forFillers(rules.fillerPlacement))
{
    m_state.ownershipConfirmedAt = now;
    m_state.pulseConfirmedAt = now;
}

void JobOwner::loadRecords(const std::vector<StoreRecord>& records)
{
    const Result<Success> unreadable = Error { ErrorCode::MalformedBody, unreadableRecordText };
    for (const StoreRecord& record : records) {
        if (record.key.size() <= 2)
            continue;
        const std::string id = record.key.substr(2);
        if (isKeyOfKind(record.key, 'j')) {
            std::optional<Wire::JobDefinition> definition = Wire::decode<Wire::JobDefinition>(record.value);
            const Result<Success> checked = definition ? validateJob(*definition) : unreadable;
            if (isOk(checked))
                m_state.jobs[id]
                    = std::make_unique<JobState>(std::move(*definition), m_state.ownedSince, m_state.unixMilliseconds);
            else
                m_loadErrors.emplace_back(record.key, errorOf(checked).message);
        } else if (isKeyOfKind(record.key, 'p')) {
            loadProgress(record);
        } else if (isKeyOfKind(record.key, 'c')) {
            m_loadedCancellations.insert(id);
        } else if (record.key == StoreKey::interference()) {
            const std::optional<Wire::InterferenceRecord> stored = Wire::decode<Wire::InterferenceRecord>(record.value);
            if (stored)
                m_interference.restore(*stored);
            else
                m_loadErrors.emplace_back(record.key, errorOf(unreadable).message);
        } else if (isKeyOfKind(record.key, 'h')) {
            const std::optional<Wire::HostRecord> stored = Wire::decode<Wire::HostRecord>(record.value);
            if (stored && stored->departed) {
                m_state.hosts.hosts().erase(id);
                m_loadedDepartures.push_back(id);
                continue;
            }
            Host host;
            host.hostId = id;
            // A host without a readable record may hold leases too, so it is kept as one that has not reported.
            host.incarnation = stored ? stored->incarnation : 0;
            host.mayForgetEnds = !stored || stored->mayForgetEnds;
            host.sideId = stored ? stored->sideId : std::string();
            if (!stored)
                m_loadErrors.emplace_back(record.key, errorOf(unreadable).message);
            host.orders.hostId = id;
            m_state.hosts.hosts().insert_or_assign(id, std::move(host));
        }
    }
}

void JobOwner::loadProgress(const StoreRecord& record)
{
    const std::size_t separator = record.key.find('/', 2);
    const std::string id = record.key.substr(2, separator == std::string::npos ? separator : separator - 2);
    int part = 0;
    bool isValid = true;
    if (separator != std::string::npos) {
        const char* end = record.key.data() + record.key.size();
        const std::from_chars_result number = std::from_chars(record.key.data() + separator + 1, end, part);
        isValid = number.ec == std::errc() && number.ptr == end && part > 0;
    }
    std::optional<Wire::JobProgress> read = Wire::decode<Wire::JobProgress>(record.value);
    isValid
        = isValid && read && read->outcome >= Wire::JobOutcome::Open && read->outcome <= Wire::JobOutcome::Cancelled;
    if (!isValid) {
        m_loadErrors.emplace_back(record.key, unreadableRecordText);
        return;
    }
    LoadedProgress& loaded = m_loadedProgress[id];
    loaded.progress.marks.insert(loaded.progress.marks.end(), read->marks.begin(), read->marks.end());
    if (part > 0) {
        loaded.parts.insert(part);
        return;
    }
    loaded.progress.outcome = read->outcome;
    loaded.progress.started = read->started;
}

void JobOwner::finishLoad(Instant now, std::int64_t unixMilliseconds, Instant leasesEnd, Actions& actions)
{
    m_state.unixMilliseconds = unixMilliseconds;
    for (const std::pair<std::string, std::string>& loadError : m_loadErrors)
        actions.push_back(
            WriteLog { LogLine("record_unreadable").add("key", loadError.first).add("why", loadError.second).text() });
    m_loadErrors.clear();
    for (std::pair<const std::string, std::unique_ptr<JobState>>& entry : m_state.jobs) {
        // loadRecords() did not know the current time; the job is rebuilt with its real acceptance time.
        Wire::JobDefinition definition = entry.second->definition();
        const Instant accepted = now - milliseconds(unixMilliseconds - definition.acceptedUnixMilliseconds);
        entry.second = std::make_unique<JobState>(
            std::move(definition), accepted, entry.second->definition().acceptedUnixMilliseconds);
        JobState& job = *entry.second;
        const LoadedProgress& loaded = m_loadedProgress[entry.first];
        job.restoreProgress(now, loaded.progress, loaded.parts, unixMilliseconds);
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
        entry.second.leaseExpiresAt = leasesEnd;
        entry.second.lastContactAt = now;
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
    for (const std::string& hostId : m_loadedDepartures)
        m_state.departedHosts[hostId] = now;
    m_loadedDepartures.clear();
}

void JobOwner::setZoneClosures(const ZoneClosures& closures)
{
    m_state.zoneClosures = closures;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        const bool closed = closures.isClosed(host.zone);
        if (closed == host.zoneClosed)
            continue;
        host.zoneClosed = closed;
        m_state.scheduleDue = true;
    }
}

bool JobOwner::mayStartTasks(Instant now, Actions& actions)
{
    if (m_schedulingStopped || !m_state.mayGrantLeases(now))
        return false;
    const bool known = m_state.areZoneClosuresKnown(now);
    if (known == m_startsPaused) {
        m_startsPaused = !known;
        const std::optional<Instant> asOf = m_state.zoneClosures.knownAsOf();
        actions.push_back(WriteLog { LogLine(known ? "starts_resumed" : "starts_paused")
                                         .add("why", "zones_unknown")
                                         .add("age_ms", asOf ? toMilliseconds(now - *asOf) : -1)
                                         .text() });
    }
    return known;
}

bool JobOwner::isStoreUnavailable(Instant now) const
{
    return m_state.storeWriter.stalledFor(now) > m_state.rules.storeUnavailableAfter;
}

void JobOwner::onCall(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    switch (call.kind) {
    case Wire::JobCallKind::Submit:
        submitJob(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Cancel:
        cancelJob(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Status:
        replyStatus(now, origin, call, actions);
        return;
    case Wire::JobCallKind::Waiting:
        replyWaitingCount(now, origin, call, actions);
        return;
    }
}

void JobOwner::sendReply(const CallOrigin& origin, Wire::JobReply reply, Actions& actions)
{
    reply.callId = static_cast<std::int64_t>(origin.callId);
    if (origin.link == noLink)
        actions.push_back(AnswerJobCall { origin.callId, std::move(reply) });
    else
        actions.push_back(SendMessage { origin.link, std::move(reply) });
}

std::string JobOwner::refusalReason(Instant now, const Wire::JobCall& call) const
{
    if (isStoreUnavailable(now))
        return "store_away";
    if (m_schedulingStopped)
        return "handing_over";
    for (const Wire::StepDefinition& step : call.job.steps) {
        if (m_state.areAllHostsAccountedFor(now) && !m_state.hosts.hosts().empty()
            && !Placement::fitsAnyEmptyHost(m_state.hosts, call.job.serviceName, step))
            return "no_host_is_large_enough";
    }
    return {};
}

void JobOwner::submitJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::Accepted;
    if (m_state.findJob(call.jobId)) {
        // The submission is a repeat. The reply waits until the job's record is stored.
        std::deque<PendingReply>::iterator it = std::find_if(m_pendingReplies.begin(), m_pendingReplies.end(),
            [&call](const PendingReply& pending) { return pending.jobId == call.jobId; });
        if (it == m_pendingReplies.end())
            sendReply(origin, answer, actions);
        else
            m_pendingReplies.push_back(PendingReply { origin, it->sequenceNumber, answer, {} });
        return;
    }
    const std::string reason = refusalReason(now, call);
    LogLine line("submit");
    line.add("job", call.jobId).add("queue", call.queue).add("steps", call.job.steps.size());
    line.add("policy_version", call.policyVersion).add("open_jobs", m_state.openJobs.size());
    const auto refuse = [&] {
        ++m_state.counters.refused;
        actions.push_back(WriteLog { line.text() });
        sendReply(origin, answer, actions);
    };
    if (!reason.empty()) {
        answer.kind = Wire::JobReplyKind::Refused;
        answer.reason = reason;
        answer.retryAfterMilliseconds = toMilliseconds(m_state.rules.storeRetryAfter);
        line.add("outcome", "refused").add("why", reason);
        refuse();
        return;
    }
    Wire::JobDefinition definition = call.job;
    definition.acceptedTerm = m_state.term;
    definition.acceptedUnixMilliseconds = m_state.unixMilliseconds;
    std::string encoded = Wire::encode(definition);
    if (!fitsStore(StoreKey::job(call.jobId), encoded)) {
        answer.kind = Wire::JobReplyKind::Invalid;
        answer.reason = "the job takes " + std::to_string(encoded.size())
            + " bytes in the store, which takes records of " + std::to_string(m_state.rules.maximumRecordBytes)
            + ": submit fewer or shorter steps";
        line.add("outcome", "invalid").add("why", "too_large").add("bytes", encoded.size());
        refuse();
        return;
    }
    std::unique_ptr<JobState> job = std::make_unique<JobState>(definition, now, m_state.unixMilliseconds);
    if (m_overloadControl.rejects(now, *job, answer, line)) {
        refuse();
        return;
    }
    const std::uint64_t sequenceNumber = m_state.storeWriter.enqueue(
        now, StoreRecord { StoreKey::job(call.jobId), std::move(encoded) }, Urgency::Immediate);
    m_state.jobs[call.jobId] = std::move(job);
    m_pendingReplies.push_back(PendingReply { origin, sequenceNumber, answer, call.jobId });
    actions.push_back(WriteLog { line.add("outcome", "storing").text() });
}

bool JobOwner::fitsStore(const std::string& key, const std::string& value) const
{
    // A record of a keyed topic begins with the length of its key, in one byte.
    return 1 + key.size() + value.size() <= m_state.rules.maximumRecordBytes;
}

void JobOwner::replyNoSuchJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::NoSuchJob;
    if (!m_state.isOwnershipCertain(now)) {
        answer.kind = Wire::JobReplyKind::Refused;
        answer.reason = "ownership_uncertain";
        answer.retryAfterMilliseconds = toMilliseconds(m_state.rules.storeRetryAfter);
        actions.push_back(WriteLog { LogLine("job_not_denied")
                                         .add("job", call.jobId)
                                         .add("pulse_age_ms", toMilliseconds(now - m_state.pulseConfirmedAt))
                                         .text() });
    }
    sendReply(origin, answer, actions);
}

void JobOwner::cancelJob(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    JobState* job = m_state.findJob(call.jobId);
    if (!job) {
        replyNoSuchJob(now, origin, call, actions);
        return;
    }
    answer.kind = Wire::JobReplyKind::Accepted;
    const std::uint64_t sequenceNumber
        = m_state.storeWriter.enqueue(now, StoreRecord { StoreKey::cancellation(call.jobId), "1" }, Urgency::Immediate);
    if (job->isOpen()) {
        m_runTracker.finishJob(now, *job, Wire::JobOutcome::Cancelled, "client_cancelled", actions);
        m_finishedAt[call.jobId] = now;
    }
    m_pendingReplies.push_back(PendingReply { origin, sequenceNumber, answer, {} });
}

void JobOwner::replyStatus(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    const JobState* job = m_state.findJob(call.jobId);
    if (!job) {
        replyNoSuchJob(now, origin, call, actions);
        return;
    }
    answer.kind = Wire::JobReplyKind::State;
    answer.phase = job->hasStarted() ? Wire::JobPhase::Running : Wire::JobPhase::Queued;
    // An outcome is reported only once it is stored, so that a later owner cannot revert it.
    const bool stored = isOutcomeStored(*job);
    if (job->outcome() == Wire::JobOutcome::Cancelled)
        answer.phase = Wire::JobPhase::Cancelled;
    else if (job->outcome() == Wire::JobOutcome::Completed && stored)
        answer.phase = Wire::JobPhase::Completed;
    else if (job->outcome() == Wire::JobOutcome::Failed && stored)
        answer.phase = Wire::JobPhase::Failed;
    sendReply(origin, answer, actions);
}

void JobOwner::replyWaitingCount(Instant now, const CallOrigin& origin, const Wire::JobCall& call, Actions& actions)
{
    Wire::JobReply answer;
    answer.kind = Wire::JobReplyKind::WaitingCount;
    std::int64_t ordered = 0;
    for (const std::pair<const std::string, JobState*>& entry : m_state.openJobs) {
        const JobState& job = *entry.second;
        if (job.definition().queue != call.queue || job.hasStarted())
            continue;
        ++answer.waiting;
        ordered += job.hasRuns() ? 1 : 0;
    }
    actions.push_back(WriteLog { LogLine("waiting_count")
                                     .add("queue", call.queue)
                                     .add("waiting", answer.waiting)
                                     .add("ordered", ordered)
                                     .add("term", m_state.term)
                                     .add("pulse_age_ms", toMilliseconds(now - m_state.pulseConfirmedAt))
                                     .text() });
    sendReply(origin, answer, actions);
}

void JobOwner::onReport(Instant now, LinkId link, const Wire::HostReport& report, Actions& actions)
{
    m_runTracker.onReport(now, link, report, actions);
    Host* host = m_state.hosts.find(report.hostId);
    if (!host || (!report.listed && report.results.empty() && report.running.empty()))
        return;
    // A filler may start at full pace. Its pace is adjusted as soon as its start is reported, not with the next list.
    if (report.listed || !report.results.empty())
        m_state.counters.pacesSent += m_paceController.adjustPaces(now, *host, actions);
    m_paceController.refreshServingGroups(now, *host);
}

void JobOwner::onLinkDown(Instant now, LinkId link) { m_runTracker.onLinkDown(now, link); }

void JobOwner::onAppendResponse(Instant now, const AppendResponse& response, Actions& actions)
{
    if (response.outcome != AppendOutcome::Stored)
        actions.push_back(WriteLog { LogLine("append_failed")
                                         .add("outcome", static_cast<int>(response.outcome))
                                         .add("stalled_ms", toMilliseconds(m_state.storeWriter.stalledFor(now)))
                                         .text() });
    if (!m_state.storeWriter.onResponse(now, response)) {
        m_fenced = true;
        return;
    }
    m_state.ownershipConfirmedAt = std::max(m_state.ownershipConfirmedAt, m_state.storeWriter.lastConfirmedSentAt());
    // A host may receive its first order once the host's record is stored.
    m_state.scheduleDue = true;
    sendRepliesOfStoredWrites(actions);
    acknowledgePersistedEnds();
}

void JobOwner::onPulseConfirmed(Instant firstSent, Instant sent)
{
    // The store refuses a repeat once it has seen a later epoch.
    m_state.ownershipConfirmedAt = std::max(m_state.ownershipConfirmedAt, sent);
    m_state.pulseConfirmedAt = std::max(m_state.pulseConfirmedAt, firstSent);
}

void JobOwner::handOver()
{
    stopScheduling();
    m_state.handedOver = true;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts())
        entry.second.orders.starts.clear();
}

void JobOwner::sendRepliesOfStoredWrites(Actions& actions)
{
    while (!m_pendingReplies.empty()
        && m_pendingReplies.front().sequenceNumber <= m_state.storeWriter.storedSequenceNumber()) {
        const PendingReply pending = std::move(m_pendingReplies.front());
        m_pendingReplies.pop_front();
        if (!pending.jobId.empty()) {
            JobState* job = m_state.findJob(pending.jobId);
            if (job && job->isOpen())
                m_state.openJobs[pending.jobId] = job;
            m_state.scheduleDue = true;
            ++m_state.counters.accepted;
            actions.push_back(WriteLog { LogLine("accepted").add("job", pending.jobId).text() });
        }
        sendReply(pending.origin, pending.reply, actions);
    }
}

void JobOwner::writeProgress(Instant now)
{
    if (m_state.dirtyJobs.empty() || (!m_state.flushNow && now - m_state.dirtySince < maximumProgressDelay))
        return;
    std::uint64_t sequenceNumber = 0;
    for (const std::string& jobId : m_state.dirtyJobs) {
        JobState* job = m_state.findJob(jobId);
        if (!job)
            continue;
        for (const ProgressPart& part : job->takeChangedProgress())
            sequenceNumber = m_state.storeWriter.enqueue(now,
                StoreRecord { StoreKey::progress(jobId, part.number), Wire::encode(part.progress) },
                Urgency::Immediate);
        job->progressSequenceNumber = sequenceNumber;
        if (!job->isOpen())
            m_finishedAt.emplace(jobId, now);
    }
    m_state.dirtyJobs.clear();
    m_state.flushNow = false;
}

void JobOwner::writeInterference(Instant now)
{
    const bool isHandOver = m_schedulingStopped && !m_lastWriteBeforeHandOver;
    if (!m_state.rules.interferenceRecordInterval
        || (!isHandOver && now - m_interferenceWrittenAt < *m_state.rules.interferenceRecordInterval))
        return;
    m_interferenceWrittenAt = now;
    const Wire::InterferenceRecord record = m_interference.record();
    std::string value = Wire::encode(record);
    if (record.serving.empty() || value == m_writtenInterference)
        return;
    m_writtenInterference = value;
    if (!fitsStore(StoreKey::interference(), value))
        return;
    m_state.storeWriter.enqueue(now, StoreRecord { StoreKey::interference(), std::move(value) },
        isHandOver ? Urgency::Immediate : Urgency::Lazy);
}

void JobOwner::assignWritesToEnds()
{
    // Once no progress is left to write, the effects of all processed run ends are stored with the writes so far.
    if (!m_state.dirtyJobs.empty())
        return;
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        for (std::pair<std::int64_t, std::uint64_t>& end : entry.second.unpersistedEnds) {
            if (end.second == 0)
                end.second = std::max<std::uint64_t>(1, m_state.storeWriter.lastSequenceNumber());
        }
    }
}

void JobOwner::acknowledgePersistedEnds()
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        while (!host.unpersistedEnds.empty() && host.unpersistedEnds.front().second != 0
            && host.unpersistedEnds.front().second <= m_state.storeWriter.storedSequenceNumber()) {
            host.acknowledgedNumber = host.unpersistedEnds.front().first;
            host.unpersistedEnds.pop_front();
            host.acknowledgementDue = true;
        }
    }
}

void JobOwner::grantLeases(Instant now)
{
    if (!m_state.mayGrantLeases(now))
        return;
    const Duration ownershipRemaining = m_state.ownershipConfirmedAt + m_state.rules.ownershipHold - now;
    const Duration leaseDuration = std::min(m_state.rules.lease, ownershipRemaining);
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (!host.listed || host.link == noLink)
            continue;
        const bool needsLease = !host.runs.empty() || !host.orders.starts.empty();
        const std::int64_t leaseEnd = host.clockMilliseconds + toMilliseconds(leaseDuration);
        const double minimumExtension
            = minimumExtensionShare * static_cast<double>(toMilliseconds(m_state.rules.lease));
        const bool extendsEnough = static_cast<double>(leaseEnd - host.leaseUntilMilliseconds) >= minimumExtension;
        if (!needsLease || (!extendsEnough && host.orders.starts.empty()))
            continue;
        host.leaseUntilMilliseconds = std::max(host.leaseUntilMilliseconds, leaseEnd);
        host.orders.leaseUntilMilliseconds = host.leaseUntilMilliseconds;
        const Duration granted = milliseconds(host.leaseUntilMilliseconds - host.clockMilliseconds);
        host.leaseExpiresAt = std::max(host.leaseExpiresAt, host.clockReadAt + withClockMargin(granted));
    }
}

void JobOwner::sendOrders(Instant now, Actions& actions)
{
    for (std::pair<const std::string, Host>& entry : m_state.hosts.hosts()) {
        Host& host = entry.second;
        if (host.link == noLink)
            continue;
        Wire::HostOrders& orders = host.orders;
        const bool extends = orders.leaseUntilMilliseconds > 0;
        if (!extends && !host.acknowledgementDue && orders.starts.empty() && orders.halts.empty()
            && orders.paces.empty())
            continue;
        orders.term = m_state.term;
        orders.fence = host.fence;
        orders.acceptsChanges = true;
        orders.__set_ownershipAgeMilliseconds(toMilliseconds(m_state.ownershipAge(now)));
        orders.hostId = host.hostId;
        orders.incarnation = host.incarnation;
        orders.leaseUntilMilliseconds = host.leaseUntilMilliseconds;
        orders.acknowledgedNumber = host.acknowledgedNumber;
        host.acknowledgementDue = false;
        for (Wire::HostOrders& message : OrderMessages::divide(std::exchange(orders, Wire::HostOrders())))
            actions.push_back(SendMessage { host.link, std::move(message) });
    }
}

bool JobOwner::isOutcomeStored(const JobState& job) const
{
    return job.progressSequenceNumber <= m_state.storeWriter.storedSequenceNumber()
        && !m_state.dirtyJobs.contains(job.definition().jobId);
}

void JobOwner::removeExpiredJobs(Instant now)
{
    if (now - m_lastJobCleanup < jobCleanupInterval)
        return;
    m_lastJobCleanup = now;
    for (std::map<std::string, Instant>::iterator it = m_finishedAt.begin(); it != m_finishedAt.end();) {
        // Clients are shown the outcome once it is stored.
        const JobState* job = m_state.findJob(it->first);
        if (job && !isOutcomeStored(*job))
            it->second = now;
        if (now - it->second < m_state.rules.finishedJobRetention + jobCleanupInterval) {
            ++it;
            continue;
        }
        std::vector<std::string> keys { StoreKey::job(it->first), StoreKey::progress(it->first),
            StoreKey::cancellation(it->first) };
        for (const int part : job ? job->storedParts() : std::set<int>())
            keys.push_back(StoreKey::progress(it->first, part));
        for (const std::string& key : keys)
            m_state.storeWriter.enqueue(now, StoreRecord { key, {} }, Urgency::Lazy);
        m_state.jobs.erase(it->first);
        it = m_finishedAt.erase(it);
    }
}

void JobOwner::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    m_state.unixMilliseconds = unixMilliseconds;
    m_runTracker.tick(now, actions);
    const bool startsAllowed = !m_schedulingStopped && !m_startsPaused && m_state.mayGrantLeases(now);
    m_overloadControl.measureIfDue(now, m_state, startsAllowed && !isStoreUnavailable(now), actions);
    m_interference.updatePressures(now, m_state.hosts);
    const Duration sinceLastPass = now - m_lastSchedulingPass;
    const bool isPassDue = (m_state.scheduleDue && sinceLastPass >= passInterval(m_state.hosts.hosts().size()))
        || sinceLastPass >= idlePassInterval;
    if (isPassDue && mayStartTasks(now, actions)) {
        m_state.scheduleDue = false;
        m_lastSchedulingPass = now;
        m_scheduler.schedule(now, actions);
    }
    writeProgress(now);
    writeInterference(now);
    if (m_schedulingStopped && !m_lastWriteBeforeHandOver)
        m_lastWriteBeforeHandOver = m_state.storeWriter.lastSequenceNumber();
    assignWritesToEnds();
    acknowledgePersistedEnds();
    grantLeases(now);
    sendOrders(now, actions);
    removeExpiredJobs(now);
}

} // namespace Plantainpier
