#include "Decision/Process/Ownership.h"

#include "Decision/Process/OwnerRecords.h"
#include "Wire/Codec.h"

#include <cmath>

namespace Plantainpier {

namespace {

    /// A store that has not answered for this long counts as away for this process.
    constexpr Duration storeSilence = milliseconds(2000);

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
            actions.push_back(std::move(*read));
        }
    }
    if (follows && m_current.term == 0)
        wantOwnership(now, "no_owner_yet");
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
        const bool leaving = m_resigning && m_owner->isSettled();
        if (leaving || now - m_pulseSentAt >= m_timing.pulse)
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
    AppendToStore append;
    append.callId = m_pulseCall = newCall();
    append.topic = StoreTopic::Pulses;
    append.records.push_back(StoreRecord { OwnerRecords::pulseKey, Wire::encode(pulse) });
    append.epoch = m_current.term;
    append.number = m_pulseNumber + 1;
    append.timeout = m_timing.appendTimeout;
    m_pulseSentAt = now;
    m_pulseInFlight = true;
    m_resigned = m_resigned || resigning;
    actions.push_back(std::move(append));
}

void Ownership::onPulseResponse(Instant now, const AppendResponse& response, Actions& actions)
{
    m_pulseInFlight = false;
    switch (response.outcome) {
    case AppendOutcome::Stored:
        ++m_pulseNumber;
        m_pulseConfirmed = true;
        if (m_owner)
            m_owner->onPulseConfirmed(m_pulseSentAt);
        if (m_resigned)
            stepDown(now, "resigned", actions);
        return;
    case AppendOutcome::Fenced:
        stepDown(now, "pulse_fenced", actions);
        return;
    case AppendOutcome::WrongEnd:
    case AppendOutcome::TurnedAway:
    case AppendOutcome::Uncertain:
        // Sent again under the same number.
        m_notBefore = now + m_timing.pause;
        m_resigned = false;
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
    m_pulseConfirmed = false;
    m_fenceConfirmed = false;
    m_fenceCall = 0;
    m_notBefore = now;
    m_loadAfter.clear();
    m_loading = false;
    m_owner = std::make_unique<JobOwner>(m_identity.nodeId, term, m_rules, now);
}

void Ownership::stepDown(Instant now, const char* why, Actions& actions)
{
    const bool owned = m_stage == Stage::Owning;
    m_stage = Stage::Following;
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
    const bool waited = now - m_pulsesSentAt >= m_timing.lapseWhenBroken;
    if (waited && response.answered && !response.truncated && records.empty() && m_stage == Stage::Following)
        wantOwnership(now, "no_sign_of_life");
    return true;
}

bool Ownership::onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions)
{
    if (callId == m_claimsCall) {
        takeClaims(now, m_claims.onNewest(now, response), actions);
        return true;
    }
    if (callId == m_pulsesCall) {
        m_pulses.onNewest(now, response);
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
    // A process that has ended grants nothing more; any other may have until its own hold is over.
    const Duration longest = m_oldOwnerEnded ? m_rules.lease : m_rules.ownershipHold;
    const Duration stretched = m_owner->state().stretched(longest);
    m_owner->finishLoad(now, m_unixMilliseconds, now + stretched, actions);
    m_stage = Stage::Owning;
    onChange(now, true, actions);
    return true;
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
