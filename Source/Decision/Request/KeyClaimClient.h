/// Claims idempotency keys at their witnesses, or queries which dispatch holds a key. Used by RequestCoordinator.
#pragma once

#include "Decision/Process/Membership.h"
#include "Decision/Request/RequestSession.h"

namespace Plantainpier {

/// The effect of a witness's answer on the session that sent the claim or query.
enum class ClaimResult {
    /// The answer belongs to an earlier claim, or not enough witnesses have answered yet.
    Pending,
    /// Enough witnesses have granted the key: the dispatch may be sent.
    Granted,
    /// Enough witnesses have granted the key, but the request is a resend and no witness has been up long enough to
    /// attest that the earlier one did not run.
    Unattested,
    /// Another dispatch holds the key.
    HeldByOther,
    /// A simultaneous claim with a higher dispatch id holds the key at this witness and is expected to release it.
    Contested,
    /// The witness cannot store further keys.
    WitnessFull,
    /// For a query: enough witnesses have answered and none has a record of the key.
    NoRecord,
};

/// Operates on the sessions of RequestCoordinator; stateless apart from the reference to the membership.
class KeyClaimClient {
public:
    explicit KeyClaimClient(Membership& membership)
        : m_membership(membership)
    {
    }

    /// Sends the claim or the query to every witness that has not answered. Selects the witnesses first if none are
    /// selected and the membership view is complete.
    void sendToWitnesses(Instant now, RequestSession& session, Actions& actions);
    ClaimResult onAnswer(RequestSession& session, const Wire::ClaimAnswer& answer) const;
    /// Releases the key at the witnesses. Only valid for a dispatch that was not sent and will not be sent.
    void release(const RequestSession& session, Actions& actions) const;

private:
    void selectWitnesses(Instant now, RequestSession& session) const;
    /// Records that the witness has answered; returns true if enough witnesses have answered.
    static bool recordAnswer(RequestSession& session, const std::string& witnessId);
    static ClaimResult onClaimingAnswer(RequestSession& session, const Wire::ClaimAnswer& answer);
    /// Whether this claim is retried against the simultaneous claim that holds the key.
    static bool keepsContesting(RequestSession& session, const Wire::ClaimAnswer& answer);

    Membership& m_membership;
};

} // namespace Plantainpier
