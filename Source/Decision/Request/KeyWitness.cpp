#include "Decision/Request/KeyWitness.h"

namespace Plantainpier {

namespace {

    /// Limit on stored claims. Claims of further keys are not granted, so their requests do not run.
    constexpr std::size_t maximumClaims = 100'000;

} // namespace

KeyWitness::KeyWitness(std::string witnessId, Instant startedAt)
    : m_witnessId(std::move(witnessId))
    , m_startedAt(startedAt)
{
}

Wire::ClaimAnswer KeyWitness::makeAnswer(Instant now, const std::string& key, const std::string& claimId) const
{
    Wire::ClaimAnswer answer;
    answer.key = key;
    answer.claimId = claimId;
    answer.witnessId = m_witnessId;
    answer.witnessUptimeMicroseconds = (now - m_startedAt).count();
    std::unordered_map<std::string, Claim>::const_iterator it = m_claims.find(key);
    answer.known = it != m_claims.end();
    if (!answer.known)
        return answer;
    answer.holderDispatchId = it->second.dispatchId;
    answer.holderSideId = it->second.sideId;
    answer.holderSideIncarnation = it->second.sideIncarnation;
    answer.holderAgeMicroseconds = (now - it->second.claimedAt).count();
    return answer;
}

Wire::ClaimAnswer KeyWitness::claim(Instant now, const Wire::ClaimRequest& request, Duration retention)
{
    std::unordered_map<std::string, Claim>::iterator it = m_claims.find(request.key);
    const bool isFree = it == m_claims.end();
    const bool isHolder = !isFree && it->second.claimId == request.claimId;
    const bool isReplaced = !isFree && it->second.dispatchId == request.replacesDispatchId;
    const bool granted = isFree ? m_claims.size() < maximumClaims : isHolder || isReplaced;
    Wire::ClaimAnswer answer = makeAnswer(now, request.key, request.claimId);
    answer.granted = granted;
    answer.dispatchId = request.dispatchId;
    if (!granted)
        return answer;
    const Instant keepUntil = now + retention;
    m_claims[request.key]
        = Claim { request.claimId, request.dispatchId, request.runSideId, request.runSideIncarnation, now, keepUntil };
    m_expiries.push_back(Expiry { request.key, keepUntil });
    return answer;
}

void KeyWitness::release(const Wire::ClaimRelease& release)
{
    std::unordered_map<std::string, Claim>::iterator it = m_claims.find(release.key);
    if (it != m_claims.end() && it->second.dispatchId == release.dispatchId)
        m_claims.erase(it);
}

Wire::ClaimAnswer KeyWitness::query(Instant now, const Wire::KeyQuery& request) const
{
    return makeAnswer(now, request.key, request.queryId);
}

void KeyWitness::removeExpired(Instant now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        std::unordered_map<std::string, Claim>::iterator it = m_claims.find(m_expiries.front().key);
        if (it != m_claims.end() && it->second.keepUntil <= now)
            m_claims.erase(it);
        m_expiries.pop_front();
    }
}

} // namespace Plantainpier
