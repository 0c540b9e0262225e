#include "Decision/Process/Ownership.h"

#include "Decision/Process/OwnerRecords.h"
#include "Decision/Process/OwnershipCheck.h"
#include "Wire/Codec.h"

#include <cmath>

namespace Plantainpier {

namespace {

    /// Time limit for handling a read's response after the read's wait, and for the claim that results from it. The
    /// call itself times out no later, so a longer delay means that this process was suspended and the response is out
    /// of date.
    constexpr Duration responseValidity = milliseconds(700);
    constexpr double milliPerCore = 1000;
    constexpr const char* noPulseReason = "no_sign_of_life";
    /// A pulse with a later answer is logged.
    constexpr Duration slowPulse = milliseconds(500);

    const char* reasonToStepDown(const OwnerState& state)
    {
        if (state.fencesUsedUp)
            return "fences_used_up";
        return state.runNumbersUsedUp ? "run_numbers_used_up" : "fenced";
    }

} // namespace

Ownership::Ownership(NodeIdentity identity, const OwnerRules& rules, const OwnershipTiming& timing)
    : m_identity(std::move(identity))
    , m_rules(rules)
    , m_timing(timing)
    , m_claimWatcher(StoreTopic::Owners, WatchTiming {})
    , m_pulseWatcher(StoreTopic::Pulses, WatchTiming { timing.silenceTimeout, timing.retryDelay })
{
}

void Ownership::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    m_unixMilliseconds = unixMilliseconds;
    readClaims(now, actions);
    const bool isFollowing = m_stage == Stage::Following && m_claimWatcher.hasReadWholeTopic();
    if (isFollowing && m_current.term > 0 && !m_pulseWatcher.isReadInFlight()) {
        m_pulseWatcher.setReadWait(m_linkBroken ? m_timing.silenceTimeoutWhenDisconnected : m_timing.silenceTimeout);
        std::optional<Action> read = m_pulseWatcher.nextRead(now, m_lastCallId + 1);
        if (read) {
            m_pulseReadCall = nextCallId();
            m_pulseReadSentAt = now;
            m_pulseReadWait = m_linkBroken ? m_timing.silenceTimeoutWhenDisconnected : m_timing.silenceTimeout;
            actions.push_back(std::move(*read));
        }
    }
    if (isFollowing && m_current.term == 0)
        scheduleClaim(now, now, "no_owner_yet");
    if (m_claimReason == noPulseReason && now - m_claimAt > responseValidity) {
        actions.push_back(WriteLog { LogLine("silence_is_old")
                                         .add("term", m_current.term)
                                         .add("age_ms", toMilliseconds(now - m_claimAt))
                                         .text() });
        m_claimReason = nullptr;
    }
    if (isFollowing && m_claimReason && now >= m_claimAt)
        appendClaim(now, m_claimReason, actions);
    const bool isOwnEarlierIncarnation
        = m_current.claim.nodeId == m_identity.nodeId && m_current.claim.incarnation != m_identity.incarnation;
    if (isFollowing && m_current.term > 0 && isOwnEarlierIncarnation) {
        m_formerOwnerEnded = true;
        appendClaim(now, "own_earlier_process_ended", actions);
    }
    if (m_stage == Stage::Fencing && now >= m_nextStoreCallAt) {
        if (!m_fenceConfirmed && m_fenceCall == 0) {
            AppendToStore fence;
            fence.callId = m_fenceCall = nextCallId();
            fence.topic = StoreTopic::Jobs;
            fence.epoch = m_current.term;
            fence.timeout = m_timing.appendTimeout;
            actions.push_back(std::move(fence));
        }
        if (!m_pulseConfirmed && !m_pulseInFlight)
            sendPulse(now, false, actions);
    }
    // Loading may take long while the store is slow. Pulses keep other entries from claiming the ownership meanwhile.
    sendDuePulse(now, actions);
    if (m_stage == Stage::Loading && !m_loadInFlight && now >= m_nextStoreCallAt) {
        m_loadInFlight = true;
        m_loadCall = nextCallId();
        actions.push_back(ReadNewest { m_loadCall, StoreTopic::Jobs, m_loadAfterKey });
    }
    if (m_stage == Stage::Owning)
        runOwner(now, actions);
    if (m_resigning && m_stage == Stage::Following && (!m_claimUncertain || now >= m_resignBy))
        m_resigned = true;
}

void Ownership::readClaims(Instant now, Actions& actions)
{
    const bool isDisconnected = m_linkBroken || m_linkSilent;
    m_claimWatcher.setReadWait(isDisconnected ? m_timing.silenceTimeoutWhenDisconnected : WatchTiming {}.readWait);
    if (m_claimWatcher.isReadInFlight())
        return;
    const std::uint64_t callId = m_lastCallId + 1;
    std::optional<Action> read = m_claimCheckDue
        ? m_claimWatcher.nextCheck(now, callId, OwnershipCheckTiming {}.checkTimeout)
        : m_claimWatcher.nextRead(now, callId);
    if (!read)
        return;
    m_claimReadCall = nextCallId();
    actions.push_back(std::move(*read));
}

void Ownership::onTermReported(Instant now, std::int64_t term, Actions& actions)
{
    if (term <= m_current.term)
        return;
    if (!m_claimCheckDue)
        m_claimWatcher.restartRead();
    m_claimCheckDue = true;
    if (isTakingOver() || m_stage == Stage::Owning)
        stepDown(now, "later_term_reported", actions);
}

void Ownership::sendDuePulse(Instant now, Actions& actions)
{
    const bool isDue = !m_pulseInFlight && now - m_pulseSentAt >= m_timing.pulseInterval;
    const bool mayOwn = m_stage == Stage::Owning && !m_resigning && now >= m_nextStoreCallAt;
    if (isDue && (m_stage == Stage::Loading || mayOwn))
        sendPulse(now, false, actions);
}

void Ownership::runOwner(Instant now, Actions& actions)
{
    // What arrived since the last tick may show a later owner. Nothing is ordered after that.
    if (m_owner->isFenced()) {
        stepDown(now, reasonToStepDown(m_owner->state()), actions);
        return;
    }
    if (!m_pulseInFlight && now >= m_nextStoreCallAt
        && (m_resigning || now - m_pulseSentAt >= m_timing.pulseInterval)) {
        // The store answers a repeated number with the outcome of the first append. A resignation therefore needs a
        // number that no earlier pulse may have been stored under.
        const bool isReady = m_owner->isReadyToHandOver() || now >= m_resignBy;
        const bool resignsNow = m_resignationSent || (m_resigning && !m_pulseUncertain && isReady);
        if (resignsNow || m_pulseUncertain || now - m_pulseSentAt >= m_timing.pulseInterval)
            sendPulse(now, resignsNow, actions);
    }
    m_owner->tick(now, m_unixMilliseconds, actions);
    sendOwnerRecords(now, actions);
}

void Ownership::sendOwnerRecords(Instant now, Actions& actions)
{
    std::optional<AppendToStore> append = m_owner->nextAppend(now);
    if (append) {
        append->callId = m_ownerAppendCall = nextCallId();
        actions.push_back(std::move(*append));
    }
    if (m_owner->isFenced())
        stepDown(now, reasonToStepDown(m_owner->state()), actions);
}

void Ownership::sendPulse(Instant now, bool resigning, Actions& actions)
{
    Wire::OwnerPulse pulse;
    pulse.term = m_current.term;
    pulse.resigning = resigning;
    if (m_stage == Stage::Owning)
        pulse.predecessorsHoldMilliseconds
            = std::max(std::int64_t(0), static_cast<std::int64_t>(toMilliseconds(m_formerLeasesEnd - now))) + 1;
    AppendToStore append;
    append.callId = m_pulseCall = nextCallId();
    append.topic = StoreTopic::Pulses;
    append.records.push_back(StoreRecord { OwnerRecords::pulseKey, Wire::encode(pulse) });
    append.epoch = m_current.term;
    append.appendNumber = m_pulseNumber + 1;
    append.timeout = m_timing.appendTimeout;
    m_pulseSentAt = now;
    if (!m_pulseUncertain)
        m_pulseFirstSentAt = now;
    m_pulseInFlight = true;
    if (resigning && !m_resignationSent) {
        m_resignationSent = true;
        m_owner->handOver();
        actions.push_back(WriteLog { LogLine("resignation_sent").add("term", m_current.term).text() });
    }
    actions.push_back(std::move(append));
}

void Ownership::onPulseResponse(Instant now, const AppendResponse& response, Actions& actions)
{
    m_pulseInFlight = false;
    if (now - m_pulseSentAt > slowPulse)
        actions.push_back(WriteLog { LogLine("pulse_slow")
                                         .add("term", m_current.term)
                                         .add("outcome", nameIn(appendOutcomeNames, response.outcome))
                                         .add("after_ms", toMilliseconds(now - m_pulseSentAt))
                                         .text() });
    switch (response.outcome) {
    case AppendOutcome::Stored:
        ++m_pulseNumber;
        m_pulseUncertain = false;
        m_pulseConfirmed = true;
        if (m_owner)
            m_owner->onPulseConfirmed(m_pulseFirstSentAt, m_pulseSentAt);
        // Other entries have read no newer pulse than the stored one, so the next is due by its age.
        m_pulseSentAt = m_pulseFirstSentAt;
        if (m_resignationSent)
            stepDown(now, "resigned", actions);
        return;
    case AppendOutcome::Fenced:
        stepDown(now, "pulse_fenced", actions);
        return;
    case AppendOutcome::EndMismatch:
    case AppendOutcome::Rejected:
    case AppendOutcome::Uncertain:
        // The pulse is sent again under the same number.
        m_pulseUncertain = m_pulseUncertain || response.outcome == AppendOutcome::Uncertain;
        m_nextStoreCallAt = now + m_timing.retryDelay;
        return;
    }
}

void Ownership::setLinkBroken(bool broken)
{
    m_linkBroken = broken;
    m_linkSilent = false;
}

std::int32_t Ownership::milliProcessors() const
{
    return static_cast<std::int32_t>(std::lround(milliPerCore * m_identity.processorShare));
}

double Ownership::halvingsOfLargestShare() const
{
    constexpr double ampleShare = 0.5;
    // Smaller shares do not wait longer, which bounds the time without an owner.
    constexpr double minimumShare = 0.0625;
    const std::int32_t largestMilli = m_current.claim.largestMilliProcessors;
    const double largest = largestMilli > 0 ? std::min(ampleShare, largestMilli / milliPerCore) : ampleShare;
    return std::max(0.0, std::log2(largest / std::max(minimumShare, m_identity.processorShare)));
}

void Ownership::scheduleClaim(Instant now, Instant since, const char* reason)
{
    if (m_claimReason)
        return;
    const double halvings = halvingsOfLargestShare();
    // The first halving counts twice: an entry without a delay may handle both the last pulse and the answer that shows
    // the silence late, while the delay of other entries runs as the answer travels.
    const double steps = halvings + std::min(1.0, halvings);
    m_claimReason = reason;
    m_claimAt = std::max(now, since + std::chrono::duration_cast<Duration>(m_timing.claimDelayPerHalving * steps));
}

void Ownership::appendClaim(Instant now, const char* reason, Actions& actions)
{
    if (m_resigning || now < m_nextStoreCallAt)
        return;
    m_claimReason = nullptr;
    m_formerTerm = m_current.term;
    m_claimUncertain = true;
    Wire::OwnerClaim claim;
    claim.nodeId = m_identity.nodeId;
    claim.incarnation = m_identity.incarnation;
    claim.address = m_identity.address;
    claim.port = m_identity.port;
    claim.largestMilliProcessors = std::max(m_current.claim.largestMilliProcessors, milliProcessors());
    AppendToStore append;
    append.callId = m_claimCall = nextCallId();
    append.topic = StoreTopic::Owners;
    append.records.push_back(StoreRecord { OwnerRecords::claimKey, Wire::encode(claim) });
    append.expectedEndOffset = m_claimWatcher.nextOffset();
    append.timeout = m_timing.appendTimeout;
    actions.push_back(std::move(append));
    m_stage = Stage::Claiming;
    actions.push_back(WriteLog { LogLine("claim_ownership")
                                     .add("why", reason)
                                     .add("current_term", m_current.term)
                                     .add("current_owner", m_current.claim.nodeId)
                                     .add("pulse_age_ms", toMilliseconds(now - m_lastPulseReadAt))
                                     .add("processor_milli", milliProcessors())
                                     .text() });
}

void Ownership::startTakeOver(Instant now, std::int64_t term, Actions& actions)
{
    actions.push_back(WriteLog { LogLine("ownership_won").add("term", term).text() });
    m_stage = Stage::Fencing;
    m_current.term = term;
    m_pulseNumber = 0;
    m_pulseInFlight = false;
    m_pulseUncertain = false;
    m_resignationSent = false;
    m_pulseConfirmed = false;
    m_fenceConfirmed = false;
    // Responses to calls from an earlier term must not count for this term.
    m_fenceCall = 0;
    m_pulseCall = 0;
    m_loadCall = 0;
    m_ownerAppendCall = 0;
    m_nextStoreCallAt = now;
    m_loadAfterKey.clear();
    m_loadInFlight = false;
    m_owner = std::make_unique<JobOwner>(m_identity.nodeId, term, m_rules, now);
    if (m_resigning)
        m_owner->stopScheduling();
}

void Ownership::stepDown(Instant now, const char* reason, Actions& actions)
{
    const bool owned = m_stage == Stage::Owning;
    m_stage = Stage::Following;
    m_formerOwnerEnded = false;
    m_resigned = m_resigned || m_resignationSent;
    m_owner.reset();
    m_nextStoreCallAt = now + m_timing.retryDelay;
    actions.push_back(WriteLog { LogLine("ownership_ended").add("term", m_current.term).add("why", reason).text() });
    if (owned)
        onChange(now, false, actions);
}

void Ownership::applyClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerClaim> decoded = decodeClaim(record);
        if (!isOk(decoded)) {
            actions.push_back(skippedRecordLog("claim_unreadable", record, errorOf(decoded)));
            continue;
        }
        const Wire::OwnerClaim* claim = &valueOf(decoded);
        const std::int64_t term = record.offset + 1;
        if (term <= m_current.term)
            continue;
        m_current = CurrentOwner { term, *claim };
        m_claimCheckDue = false;
        // The connection to the former owner says nothing about this one.
        setLinkBroken(false);
        m_claimReason = nullptr;
        m_claimUncertain = false;
        m_lastPulseReadAt = now;
        m_formerOwnerEnded = false;
        const bool isOwnClaim = claim->nodeId == m_identity.nodeId && claim->incarnation == m_identity.incarnation;
        actions.push_back(WriteLog {
            LogLine("owner_seen").add("term", term).add("owner", claim->nodeId).add("mine", isOwnClaim).text() });
        if (isOwnClaim) {
            // The response to this process's claim was lost.
            startTakeOver(now, term, actions);
            continue;
        }
        if (m_stage != Stage::Following)
            stepDown(now, "later_claim", actions);
        onChange(now, false, actions);
    }
}

void Ownership::applyPulses(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerPulse> decoded = decodePulse(record);
        if (!isOk(decoded)) {
            actions.push_back(skippedRecordLog("pulse_unreadable", record, errorOf(decoded)));
            continue;
        }
        const Wire::OwnerPulse* pulse = &valueOf(decoded);
        // A process that claims immediately reads the former owner's pulse while its own claim is in flight.
        const bool isFromFormerOwner = m_stage == Stage::Following || pulse->term == m_formerTerm;
        if (isFromFormerOwner && pulse->predecessorsHoldMilliseconds > 0)
            m_predecessorHold = PredecessorHold { pulse->term,
                now + withClockMargin(milliseconds(pulse->predecessorsHoldMilliseconds)) };
        if (pulse->term < m_current.term)
            continue;
        // The read of the claims may wait on a connection that has gone silent.
        onTermReported(now, pulse->term, actions);
        m_lastPulseReadAt = now;
        if (!pulse->resigning)
            m_claimReason = nullptr;
        if (pulse->resigning && pulse->term == m_current.term && m_stage == Stage::Following) {
            m_formerOwnerEnded = true;
            scheduleClaim(now, now, "owner_resigned");
        }
    }
}

Instant Ownership::silenceShownAt() const
{
    // The shorter timeout would put a small entry without a connection before a large one that has its connection.
    const bool isAmple = halvingsOfLargestShare() <= 0;
    return m_pulseReadSentAt + (isAmple ? m_pulseReadWait : m_timing.silenceTimeout);
}

bool Ownership::onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId == m_claimReadCall) {
        m_claimCheckDue = m_claimCheckDue && !response.answered;
        applyClaims(now, m_claimWatcher.onReadResponse(now, response), actions);
        return true;
    }
    if (callId != m_pulseReadCall)
        return false;
    const std::vector<StoreRecord> records = m_pulseWatcher.onReadResponse(now, response);
    applyPulses(now, records, actions);
    // An answered read without records means that the store received no pulse during the whole wait. As long as the
    // store has no pulse at all, reads wait for a shorter time, and nobody has finished a take-over.
    const Duration age = now - m_pulseReadSentAt;
    const bool hasNoPulseYet = m_pulseWatcher.nextOffset() == 0 && now - m_lastPulseReadAt >= m_timing.silenceTimeout;
    const bool isLongEnough = age >= m_timing.silenceTimeoutWhenDisconnected || hasNoPulseYet;
    const bool isWithoutPulse = isLongEnough && response.answered && !response.truncated && records.empty();
    if (!isWithoutPulse || m_stage != Stage::Following)
        return true;
    if (age > m_pulseReadWait + responseValidity)
        actions.push_back(WriteLog {
            LogLine("silence_is_old").add("term", m_current.term).add("age_ms", toMilliseconds(age)).text() });
    else
        scheduleClaim(now, hasNoPulseYet ? now : silenceShownAt(), noPulseReason);
    return true;
}

bool Ownership::onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    if (callId == m_claimReadCall) {
        applyClaims(now, m_claimWatcher.onNewestResponse(now, response), actions);
        return true;
    }
    if (callId == m_pulseReadCall) {
        applyPulses(now, m_pulseWatcher.onNewestResponse(now, response), actions);
        return true;
    }
    if (callId != m_loadCall)
        return false;
    m_loadInFlight = false;
    if (m_stage != Stage::Loading || !m_owner)
        return true;
    // The load can only continue after the key of a record.
    const bool cannotContinue = response.more && response.records.empty();
    if (cannotContinue)
        actions.push_back(WriteLog { LogLine("load_page_empty").add("after", m_loadAfterKey).text() });
    if (!response.answered || cannotContinue) {
        m_nextStoreCallAt = now + m_timing.retryDelay;
        return true;
    }
    m_owner->loadRecords(response.records);
    if (response.more) {
        m_loadAfterKey = response.records.back().key;
        return true;
    }
    finishTakeOver(now, actions);
    return true;
}

Ownership::LeaseWait Ownership::formerLeaseWait(Instant now) const
{
    // The store has confirmed no earlier owner since the fence, so every lease of an earlier owner ends within the
    // ownership hold.
    const Duration hold = withClockMargin(m_rules.ownershipHold);
    if (!m_formerOwnerEnded)
        return LeaseWait { hold, "former_owner_may_hold" };
    // A former owner that has ended grants no more leases. Owners before it may still do so for as long as the former
    // owner would have waited.
    if (m_formerTerm == 0 || m_predecessorHold.term != m_formerTerm)
        return LeaseWait { hold, "predecessors_unknown" };
    const Duration lease = withClockMargin(m_rules.lease);
    const Duration left = m_predecessorHold.holdUntil - now;
    if (left > lease)
        return LeaseWait { std::min(left, hold), "predecessors_may_hold" };
    return LeaseWait { lease, "former_owner_ended" };
}

void Ownership::finishTakeOver(Instant now, Actions& actions)
{
    const LeaseWait former = formerLeaseWait(now);
    LogLine line("former_leases");
    line.add("term", m_current.term).add("wait_ms", toMilliseconds(former.wait)).add("why", former.reason);
    line.add("former_term", m_formerTerm).add("former_owner_ended", m_formerOwnerEnded);
    if (m_predecessorHold.term > 0)
        line.add("told_by_term", m_predecessorHold.term)
            .add("told_left_ms", toMilliseconds(m_predecessorHold.holdUntil - now));
    actions.push_back(WriteLog { line.text() });
    m_formerLeasesEnd = now + former.wait;
    m_owner->finishLoad(now, m_unixMilliseconds, m_formerLeasesEnd, actions);
    m_stage = Stage::Owning;
    onChange(now, true, actions);
}

bool Ownership::onAppendResponse(Instant now, std::uint64_t callId, const AppendResponse& response, Actions& actions)
{
    if (callId == m_claimCall) {
        m_claimCall = 0;
        m_claimUncertain = m_claimUncertain && response.outcome == AppendOutcome::Uncertain;
        if (m_stage != Stage::Claiming)
            return true;
        if (response.outcome == AppendOutcome::Stored) {
            m_current.claim.nodeId = m_identity.nodeId;
            m_current.claim.incarnation = m_identity.incarnation;
            m_current.claim.largestMilliProcessors
                = std::max(m_current.claim.largestMilliProcessors, milliProcessors());
            startTakeOver(now, response.offset + 1, actions);
            return true;
        }
        // The next read shows which claim won. It may be this one if only its response was lost.
        m_claimWatcher.restartRead();
        m_stage = Stage::Following;
        m_nextStoreCallAt = now + m_timing.retryDelay;
        return true;
    }
    if (callId == m_pulseCall) {
        if (m_stage == Stage::Fencing || m_stage == Stage::Loading || m_stage == Stage::Owning)
            onPulseResponse(now, response, actions);
    } else if (callId == m_fenceCall) {
        m_fenceCall = 0;
        if (m_stage != Stage::Fencing)
            return true;
        if (response.outcome == AppendOutcome::Fenced)
            stepDown(now, "fence_refused", actions);
        m_fenceConfirmed = response.outcome == AppendOutcome::Stored;
        if (!m_fenceConfirmed)
            m_nextStoreCallAt = now + m_timing.retryDelay;
    } else if (callId == m_ownerAppendCall) {
        if (m_owner && m_stage == Stage::Owning) {
            m_owner->onAppendResponse(now, response, actions);
            sendOwnerRecords(now, actions);
        }
        return true;
    } else {
        return false;
    }
    if (m_stage == Stage::Fencing && m_fenceConfirmed && m_pulseConfirmed)
        m_stage = Stage::Loading;
    return true;
}

void Ownership::resign(Instant now, Actions& actions)
{
    m_resigning = true;
    m_resignBy = now + m_timing.handOverTimeout;
    if (m_owner) {
        m_owner->stopScheduling();
        actions.push_back(WriteLog { LogLine("resigning").add("term", m_current.term).text() });
    } else {
        m_resigned = !m_claimUncertain;
    }
}

} // namespace Plantainpier
