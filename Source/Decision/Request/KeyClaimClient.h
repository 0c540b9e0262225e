/// The entry's side of keys: claims them at their witnesses, or asks the witnesses who holds one.
#pragma once

#include "Decision/Process/Membership.h"
#include "Decision/Request/RequestSession.h"

namespace Plantainpier {

/// What a witness' answer means for the session that asked.
enum class ClaimResult {
    /// Not for this round, or not enough witnesses have answered yet.
    Pending,
    /// Enough witnesses have granted the key: the dispatch may be sent.
    Granted,
    /// The same, but the caller sent it before and no witness is old enough to know that it did not run.
    Unvouched,
    /// Another dispatch holds the key.
    Taken,
    /// Another claim made at the same time holds the key at this witness and is expected to give way.
    Contested,
    /// The witness remembers as many keys as it can.
    Full,
    /// To a question: enough witnesses know nothing of the key.
    NobodyKnows,
};

/// Works on the sessions of RequestCoordinator; has no state but the membership it looks at.
class KeyClaimClient {
public:
    explicit KeyClaimClient(Membership& membership)
        : m_membership(membership)
    {
    }

    /// Sends the claim, or the question, to every witness that has not answered. Chooses the witnesses first, once the
    /// view of the sides allows it.
    void ask(Instant now, RequestSession& session, Actions& actions);
    ClaimResult onAnswer(RequestSession& session, const Wire::ClaimAnswer& answer) const;
    /// Frees the key at the witnesses; only for a dispatch that was never sent and never will be.
    void release(const RequestSession& session, Actions& actions) const;

private:
    void pickWitnesses(Instant now, RequestSession& session) const;
    static bool enoughAnswered(RequestSession& session, const std::string& witnessId);
    static ClaimResult onGrantAnswer(RequestSession& session, const Wire::ClaimAnswer& answer);
    static bool holdsOut(RequestSession& session, const Wire::ClaimAnswer& answer);

    Membership& m_membership;
};

} // namespace Plantainpier
