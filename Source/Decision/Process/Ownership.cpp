#include "Decision/Process/Ownership.h"

#include "Decision/Process/OwnerRecords.h"
#include "Wire/Codec.h"

#include <cmath>

namespace Plantainpier {

namespace {

    /// A store that has not answered for this long counts as away for this process.
    constexpr Duration storeSilence = milliseconds(2000);
    /// An answer is read within this time after its wait, as is a claim made that it calls for; the call itself is
    /// given up no later. Longer, and this process was suspended: what the store said is old.
    constexpr Duration newsKeep = milliseconds(700);
    constexpr const char* noSignOfLife = "no_sign_of_life";

} // namespace

Ownership::Ownership(NodeIdentity identity, const OwnerRules& rules, const OwnershipTiming& timing)
    : m_identity(std::move(identity))
    , m_rules(rules)
    , m_timing(timing)
    , m_claims(StoreTopic::Owners, WatchTiming {})
    , m_pulses(StoreTopic::Pulses, WatchTiming { timing.lapse, timing.pause })
{
}

bool Ownership::isStoreAnswering(Instant now) const
{
    return now - std::max(m_pulses.answeredAt(), m_claims.answeredAt()) < storeSilence || m_stage == Stage::Owning;
}

void Ownership::tick(Instant now, std::int64_t unixMilliseconds, Actions& actions)
{
    m_unixMilliseconds = unixMilliseconds;
    m_claims.setWait(m_linkBroken ? m_timing.lapseWhenBroken : WatchTiming {}.wait);
    if (!m_claims.isReading()) {
        std::optional<Action> read = m_claims.next(now, m_lastCall + 1);
        if (read) {
            m_claimsCall = newCall();
            actions.push_back(std::move(*read));
        }
    }
    const bool follows = m_stage == Stage::Following && m_claims.isCurrent();
    if (follows && m_current.term > 0 && !m_pulses.isReading()) {
        m_pulses.setWait(m_linkBroken ? m_timing.lapseWhenBroken : m_timing.lapse);
        std::optional<Action> read = m_pulses.next(now, m_lastCall + 1);
        if (read) {
            m_pulsesCall = newCall();
            m_pulsesSentAt = now;
            m_pulsesWait = m_linkBroken ? m_timing.lapseWhenBroken : m_timing.lapse;
            actions.push_back(std::move(*read));
        }
    }
    if (follows && m_current.term == 0)
        wantOwnership(now, "no_owner_yet");
    if (m_claimWhy == noSignOfLife && now - m_claimAt > newsKeep) {
        actions.push_back(WriteLog { LogLine("silence_is_old")
                                         .add("term", m_current.term)
                                         .add("age_ms", toMilliseconds(now - m_claimAt))
                                         .text() });
        m_claimWhy = nullptr;
    }
    if (follows && m_claimWhy && now >= m_claimAt)
        claim(now, m_claimWhy, actions);
    const bool wasMine
        = m_current.claim.nodeId == m_identity.nodeId && m_current.claim.incarnation != m_identity.incarnation;
    if (follows && m_current.term > 0 && wasMine) {
        m_oldOwnerEnded = true;
        claim(now, "own_earlier_process_ended", actions);
    }
    if (m_stage == Stage::Fencing && now >= m_notBefore) {
        if (!m_fenceConfirmed && m_fenceCall == 0) {
            AppendToStore fence;
            fence.callId = m_fenceCall = newCall();
            fence.topic = StoreTopic::Jobs;
            fence.epoch = m_current.term;
            fence.timeout = m_timing.appendTimeout;
            actions.push_back(std::move(fence));
        }
        if (!m_pulseConfirmed && !m_pulseInFlight)
            sendPulse(now, false, actions);
    }
    // Taking over may last while the store is slow; the others must not think that nobody does.
    if (m_stage == Stage::Loading && !m_pulseInFlight && now - m_pulseSentAt >= m_timing.pulse)
        sendPulse(now, false, actions);
    if (m_stage == Stage::Loading && !m_loading && now >= m_notBefore) {
        m_loading = true;
        m_loadCall = newCall();
        actions.push_back(ReadNewest { m_loadCall, StoreTopic::Jobs, m_loadAfter });
    }
    if (m_stage == Stage::Owning)
        runOwner(now, actions);
}

void Ownership::runOwner(Instant now, Actions& actions)
{
    if (!m_pulseInFlight && now >= m_notBefore && (m_resigning || now - m_pulseSentAt >= m_timing.pulse)) {
        // The store answers a repeated number with what it stored first: the resignation needs a number of its own.
        const bool leaving = m_resignationSent || (m_resigning && !m_pulseUncertain && m_owner->isSettled());
        if (leaving || m_pulseUncertain || now - m_pulseSentAt >= m_timing.pulse)
            sendPulse(now, leaving, actions);
    }
    m_owner->tick(now, m_unixMilliseconds, actions);
    std::optional<AppendToStore> append = m_owner->takeAppend(now);
    if (append) {
        append->callId = m_journalCall = newCall();
        actions.push_back(std::move(*append));
    }
    if (m_owner->isFenced())
        stepDown(now, "fenced", actions);
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
    append.callId = m_pulseCall = newCall();
    append.topic = StoreTopic::Pulses;
    append.records.push_back(StoreRecord { OwnerRecords::pulseKey, Wire::encode(pulse) });
    append.epoch = m_current.term;
    append.number = m_pulseNumber + 1;
    append.timeout = m_timing.appendTimeout;
    m_pulseSentAt = now;
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
    switch (response.outcome) {
    case AppendOutcome::Stored:
        ++m_pulseNumber;
        m_pulseUncertain = false;
        m_pulseConfirmed = true;
        if (m_owner)
            m_owner->onPulseConfirmed(m_pulseSentAt);
        if (m_resignationSent)
            stepDown(now, "resigned", actions);
        return;
    case AppendOutcome::Fenced:
        stepDown(now, "pulse_fenced", actions);
        return;
    case AppendOutcome::WrongEnd:
    case AppendOutcome::TurnedAway:
    case AppendOutcome::Uncertain:
        // Sent again under the same number.
        m_pulseUncertain = m_pulseUncertain || response.outcome == AppendOutcome::Uncertain;
        m_notBefore = now + m_timing.pause;
        return;
    }
}

void Ownership::wantOwnership(Instant now, const char* why)
{
    if (m_claimWhy)
        return;
    constexpr double plenty = 0.5;
    constexpr double leastShare = 0.001;
    const double halvings = std::max(0.0, std::log2(plenty / std::max(leastShare, m_identity.processorShare)));
    m_claimWhy = why;
    m_claimAt = now + std::chrono::duration_cast<Duration>(m_timing.claimDelay * halvings);
}

void Ownership::claim(Instant now, const char* why, Actions& actions)
{
    if (m_resigning || now < m_notBefore)
        return;
    m_claimWhy = nullptr;
    m_formerTerm = m_current.term;
    Wire::OwnerClaim claim;
    claim.nodeId = m_identity.nodeId;
    claim.incarnation = m_identity.incarnation;
    claim.address = m_identity.address;
    claim.port = m_identity.port;
    AppendToStore append;
    append.callId = m_claimCall = newCall();
    append.topic = StoreTopic::Owners;
    append.records.push_back(StoreRecord { OwnerRecords::claimKey, Wire::encode(claim) });
    append.expectedEnd = m_claims.from();
    append.timeout = m_timing.appendTimeout;
    actions.push_back(std::move(append));
    m_stage = Stage::Claiming;
    actions.push_back(WriteLog { LogLine("claim_ownership")
                                     .add("why", why)
                                     .add("current_term", m_current.term)
                                     .add("current_owner", m_current.claim.nodeId)
                                     .add("pulse_age_ms", toMilliseconds(now - m_lastPulseSeen))
                                     .text() });
}

void Ownership::begin(Instant now, std::int64_t term, Actions& actions)
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
    // Answers to calls of an earlier term say nothing of this one.
    m_fenceCall = 0;
    m_pulseCall = 0;
    m_loadCall = 0;
    m_journalCall = 0;
    m_notBefore = now;
    m_loadAfter.clear();
    m_loading = false;
    m_owner = std::make_unique<JobOwner>(m_identity.nodeId, term, m_rules, now);
}

void Ownership::stepDown(Instant now, const char* why, Actions& actions)
{
    const bool owned = m_stage == Stage::Owning;
    m_stage = Stage::Following;
    m_oldOwnerEnded = false;
    m_resigned = m_resigned || m_resignationSent;
    m_owner.reset();
    m_notBefore = now + m_timing.pause;
    actions.push_back(WriteLog { LogLine("ownership_ended").add("term", m_current.term).add("why", why).text() });
    if (owned)
        onChange(now, false, actions);
}

void Ownership::takeClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerClaim> decoded = decodeClaim(record);
        if (!isOk(decoded)) {
            actions.push_back(passedOver("claim_unreadable", record, errorOf(decoded)));
            continue;
        }
        const Wire::OwnerClaim* claim = &valueOf(decoded);
        const std::int64_t term = record.offset + 1;
        if (term <= m_current.term)
            continue;
        m_current = CurrentOwner { term, *claim };
        m_claimWhy = nullptr;
        m_lastPulseSeen = now;
        m_oldOwnerEnded = false;
        const bool mine = claim->nodeId == m_identity.nodeId && claim->incarnation == m_identity.incarnation;
        actions.push_back(
            WriteLog { LogLine("owner_seen").add("term", term).add("owner", claim->nodeId).add("mine", mine).text() });
        if (mine) {
            // The claim's own answer was lost.
            begin(now, term, actions);
            continue;
        }
        if (m_stage != Stage::Following)
            stepDown(now, "later_claim", actions);
        onChange(now, false, actions);
    }
}

void Ownership::takePulses(Instant now, const std::vector<StoreRecord>& records, Actions& actions)
{
    for (const StoreRecord& record : records) {
        const Result<Wire::OwnerPulse> decoded = decodePulse(record);
        if (!isOk(decoded)) {
            actions.push_back(passedOver("pulse_unreadable", record, errorOf(decoded)));
            continue;
        }
        const Wire::OwnerPulse* pulse = &valueOf(decoded);
        // A process that claims at once reads the former owner's sign of life beside its own claim.
        const bool ofFormer = m_stage == Stage::Following || pulse->term == m_formerTerm;
        if (ofFormer && pulse->predecessorsHoldMilliseconds > 0)
            m_predecessors = Predecessors { pulse->term,
                now + m_rules.stretched(milliseconds(pulse->predecessorsHoldMilliseconds)) };
        if (pulse->term < m_current.term)
            continue;
        m_lastPulseSeen = now;
        if (!pulse->resigning)
            m_claimWhy = nullptr;
        if (pulse->resigning && pulse->term == m_current.term && m_stage == Stage::Following) {
            m_oldOwnerEnded = true;
            wantOwnership(now, "owner_resigned");
        }
    }
}

bool Ownership::onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions)
{
    if (callId == m_claimsCall) {
        takeClaims(now, m_claims.onRead(now, response), actions);
        return true;
    }
    if (callId != m_pulsesCall)
        return false;
    const std::vector<StoreRecord> records = m_pulses.onRead(now, response);
    takePulses(now, records, actions);
    // The store itself says that the owner has shown no sign of life for the whole wait.
    const Duration age = now - m_pulsesSentAt;
    const bool silent = age >= m_timing.lapseWhenBroken && response.answered && !response.truncated && records.empty();
    if (!silent || m_stage != Stage::Following)
        return true;
    if (age > m_pulsesWait + newsKeep)
        actions.push_back(WriteLog {
            LogLine("silence_is_old").add("term", m_current.term).add("age_ms", toMilliseconds(age)).text() });
    else
        wantOwnership(now, noSignOfLife);
    return true;
}

bool Ownership::onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    if (callId == m_claimsCall) {
        takeClaims(now, m_claims.onNewest(now, response), actions);
        return true;
    }
    if (callId == m_pulsesCall) {
        takePulses(now, m_pulses.onNewest(now, response), actions);
        return true;
    }
    if (callId != m_loadCall)
        return false;
    m_loading = false;
    if (m_stage != Stage::Loading || !m_owner)
        return true;
    if (!response.answered) {
        m_notBefore = now + m_timing.pause;
        return true;
    }
    m_owner->load(response.records);
    if (response.more && !response.records.empty()) {
        m_loadAfter = response.records.back().key;
        return true;
    }
    finishTakeOver(now, actions);
    return true;
}

Ownership::LeaseWait Ownership::formerLeases(Instant now) const
{
    // Whatever any earlier owner grants ends within the hold: the store has confirmed none of them since the fence.
    const Duration hold = m_rules.stretched(m_rules.ownershipHold);
    if (!m_oldOwnerEnded)
        return LeaseWait { hold, "former_owner_may_hold" };
    // A process that has ended grants nothing more. The owners before it may, for as long as it would have waited.
    if (m_formerTerm == 0 || m_predecessors.term != m_formerTerm)
        return LeaseWait { hold, "predecessors_unknown" };
    const Duration lease = m_rules.stretched(m_rules.lease);
    const Duration left = m_predecessors.holdUntil - now;
    if (left > lease)
        return LeaseWait { std::min(left, hold), "predecessors_may_hold" };
    return LeaseWait { lease, "former_owner_ended" };
}

void Ownership::finishTakeOver(Instant now, Actions& actions)
{
    const LeaseWait former = formerLeases(now);
    LogLine line("former_leases");
    line.add("term", m_current.term).add("wait_ms", toMilliseconds(former.wait)).add("why", former.why);
    line.add("former_term", m_formerTerm).add("former_owner_ended", m_oldOwnerEnded);
    if (m_predecessors.term > 0)
        line.add("told_by_term", m_predecessors.term)
            .add("told_left_ms", toMilliseconds(m_predecessors.holdUntil - now));
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
        if (m_stage != Stage::Claiming)
            return true;
        if (response.outcome == AppendOutcome::Stored) {
            m_current.claim.nodeId = m_identity.nodeId;
            m_current.claim.incarnation = m_identity.incarnation;
            begin(now, response.offset + 1, actions);
            return true;
        }
        // Whoever won, or this claim whose answer was lost, is read next.
        m_claims.refresh();
        m_stage = Stage::Following;
        m_notBefore = now + m_timing.pause;
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
            m_notBefore = now + m_timing.pause;
    } else if (callId == m_journalCall) {
        if (m_owner && m_stage == Stage::Owning) {
            m_owner->onAppendResponse(now, response, actions);
            runOwner(now, actions);
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
    if (m_owner) {
        m_owner->rest();
        actions.push_back(WriteLog { LogLine("resigning").add("term", m_current.term).text() });
    } else {
        m_resigned = true;
    }
    (void)now;
}

} // namespace Plantainpier
