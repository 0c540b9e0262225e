/// Records which dispatch holds the key of a non-idempotent request. Entries claim and query keys here, so that two
/// entries do not run the same request.
#pragma once

#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// The witness in a side process: the first claim of a key holds the key. Lives for the process.
class KeyWitness {
public:
    KeyWitness(std::string witnessId, Instant startedAt);

    /// Grants a key that is free, held by the same claim, or held by the fenced dispatch that the claim replaces.
    Wire::ClaimAnswer claim(Instant now, const Wire::ClaimRequest& request, Duration retention);
    /// Releases a key whose holder was not sent.
    void release(const Wire::ClaimRelease& release);
    /// Returns the holder of the key without changing any state.
    Wire::ClaimAnswer query(Instant now, const Wire::KeyQuery& request) const;
    /// Removes the claims that are past their retention time.
    void removeExpired(Instant now);
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
