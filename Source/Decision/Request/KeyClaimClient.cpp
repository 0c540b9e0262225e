#include "Decision/Request/KeyClaimClient.h"

#include "Decision/Request/WitnessSet.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Two claims of a key count as simultaneous if they are made within this time of each other.
    constexpr Duration contestWindow = milliseconds(50);
    /// Limit on the retries of a claim that contests a simultaneous one; after that it follows the other claim.
    constexpr int maximumContestCount = 8;

    PeerMessage makeClaimRequest(const RequestSession& session)
    {
        Wire::ClaimRequest message;
        message.key = session.request.key;
        message.claimId = session.requestId;
        message.dispatchId = session.currentDispatch.dispatchId;
        message.runSideId = session.currentDispatch.sideId;
        message.runSideIncarnation = session.currentDispatch.sideIncarnation;
        message.replacesDispatchId = session.replacesDispatchId;
        return message;
    }

    PeerMessage makeKeyQuery(const RequestSession& session)
    {
        Wire::KeyQuery message;
        message.key = session.request.key;
        message.queryId = session.requestId;
        return message;
    }

} // namespace

void KeyClaimClient::selectWitnesses(Instant now, RequestSession& session) const
{
    // Witnesses selected from a view that lacks many sides might differ from the witnesses that other entries select.
    if (!session.witnesses.empty() || !m_membership.isViewComplete(now))
        return;
    const std::size_t count = static_cast<std::size_t>(session.bundle->witnessCount());
    for (const std::string& witness : chooseWitnesses(m_membership, now, session.request.key, count))
        session.witnesses[witness] = false;
}

void KeyClaimClient::sendToWitnesses(Instant now, RequestSession& session, Actions& actions)
{
    selectWitnesses(now, session);
    const bool isQuery = session.state == RequestState::AskingWitnesses;
    for (const std::pair<const std::string, bool>& witness : session.witnesses) {
        const SideView* side = witness.second ? nullptr : m_membership.expectAnswerFrom(now, witness.first);
        if (side)
            actions.push_back(
                SendMessage { side->dataLink, isQuery ? makeKeyQuery(session) : makeClaimRequest(session) });
    }
}

bool KeyClaimClient::recordAnswer(RequestSession& session, const std::string& witnessId)
{
    session.witnesses[witnessId] = true;
    const std::ptrdiff_t answered = std::count_if(session.witnesses.begin(), session.witnesses.end(),
        [](const std::pair<const std::string, bool>& entry) { return entry.second; });
    return static_cast<std::size_t>(answered) >= requiredGrants(session.witnesses.size());
}

ClaimResult KeyClaimClient::onAnswer(RequestSession& session, const Wire::ClaimAnswer& answer) const
{
    if (!session.witnesses.contains(answer.witnessId))
        return ClaimResult::Pending;
    if (session.state == RequestState::AskingWitnesses) {
        if (answer.known)
            return ClaimResult::HeldByOther;
        return recordAnswer(session, answer.witnessId) ? ClaimResult::NoRecord : ClaimResult::Pending;
    }
    const bool isCurrentClaim
        = session.state == RequestState::Claiming && answer.dispatchId == session.currentDispatch.dispatchId;
    return isCurrentClaim ? onClaimingAnswer(session, answer) : ClaimResult::Pending;
}

bool KeyClaimClient::keepsContesting(RequestSession& session, const Wire::ClaimAnswer& answer)
{
    // Of two simultaneous claims the one with the lower dispatch id continues. The other one gets the id of the first
    // from a witness and releases the key.
    const bool isSimultaneous = Duration(answer.holderAgeMicroseconds) < contestWindow;
    const bool hasPrecedence = session.currentDispatch.dispatchId < answer.holderDispatchId;
    return isSimultaneous && hasPrecedence && session.contestCount++ < maximumContestCount;
}

ClaimResult KeyClaimClient::onClaimingAnswer(RequestSession& session, const Wire::ClaimAnswer& answer)
{
    if (!answer.granted && answer.known)
        return keepsContesting(session, answer) ? ClaimResult::Contested : ClaimResult::HeldByOther;
    if (!answer.granted)
        return ClaimResult::WitnessFull;
    session.longestWitnessUptime = std::max(session.longestWitnessUptime, Duration(answer.witnessUptimeMicroseconds));
    if (!recordAnswer(session, answer.witnessId))
        return ClaimResult::Pending;
    // No witness has a record of the key. For a resend this proves that the request did not run only if one of the
    // witnesses has been up for at least as long as answers are kept.
    const bool attested = session.longestWitnessUptime >= session.bundle->answerRetention();
    const bool needsAttestation = session.request.resend && session.replacesDispatchId.empty();
    return needsAttestation && !attested ? ClaimResult::Unattested : ClaimResult::Granted;
}

void KeyClaimClient::release(const RequestSession& session, Actions& actions) const
{
    for (const std::pair<const std::string, bool>& witness : session.witnesses) {
        const SideView* side = m_membership.find(witness.first);
        if (!side || !side->isLinkUp())
            continue;
        Wire::ClaimRelease message;
        message.key = session.request.key;
        message.dispatchId = session.currentDispatch.dispatchId;
        actions.push_back(SendMessage { side->dataLink, std::move(message) });
    }
}

} // namespace Plantainpier
