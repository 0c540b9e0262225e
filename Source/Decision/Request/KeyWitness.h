/// Remembers which dispatch a non-idempotent key belongs to, on behalf of the entries.
#pragma once

#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// The part of a side process that vouches for keys: the first claim of a key holds it. Lives for the process.
class KeyWitness {
public:
    KeyWitness(std::string witnessId, Instant startedAt);

    /// Grants a key that is free, held by the same claim, or held by the dispatch that the claim names as fenced.
    Wire::ClaimAnswer claim(Instant now, const Wire::ClaimRequest& request, Duration keep);
    /// Frees a key whose holding dispatch was never sent.
    void release(const Wire::ClaimRelease& release);
    /// Who holds the key; nothing changes.
    Wire::ClaimAnswer query(Instant now, const Wire::KeyQuery& request) const;
    void expire(Instant now);
    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim {
        std::string claimId;
        std::string dispatchId;
        std::string sideId;
        std::int64_t sideIncarnation = 0;
        Instant claimedAt;
        Instant keepUntil;
    };
    struct Expiry {
        std::string key;
        Instant at;
    };

    Wire::ClaimAnswer makeAnswer(Instant now, const std::string& key, const std::string& claimId) const;

    std::string m_witnessId;
    Instant m_startedAt;
    std::unordered_map<std::string, Claim> m_claims;
    std::deque<Expiry> m_expiries;
};

} // namespace Plantainpier
