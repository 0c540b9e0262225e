#include "Decision/Request/KeyClaimClient.h"

#include "Decision/Request/WitnessSet.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Claims of one key that are made within this time of each other contest it.
    constexpr Duration contestWindow = milliseconds(50);
    /// Pauses before a claim follows the other one after all.
    constexpr int maximumContests = 8;

    PeerMessage makeClaim(const RequestSession& session)
    {
        Wire::ClaimRequest message;
        message.key = session.request.key;
        message.claimId = session.requestId;
        message.dispatchId = session.place.dispatchId;
        message.runSideId = session.place.sideId;
        message.runSideIncarnation = session.place.sideIncarnation;
        message.replacesDispatchId = session.replacesDispatchId;
        return message;
    }

    PeerMessage makeQuery(const RequestSession& session)
    {
        Wire::KeyQuery message;
        message.key = session.request.key;
        message.queryId = session.requestId;
        return message;
    }

} // namespace

void KeyClaimClient::pickWitnesses(Instant now, RequestSession& session) const
{
    // Witnesses chosen from a view that lacks many sides might not be those that another entry asks.
    if (!session.witnesses.empty() || !m_membership.isViewComplete(now))
        return;
    const std::size_t count = static_cast<std::size_t>(session.bundle->witnessCount());
    for (const std::string& witness : chooseWitnesses(m_membership, now, session.request.key, count))
        session.witnesses[witness] = false;
}

void KeyClaimClient::ask(Instant now, RequestSession& session, Actions& actions)
{
    pickWitnesses(now, session);
    const bool isQuestion = session.state == RequestState::AskingWitnesses;
    for (const std::pair<const std::string, bool>& witness : session.witnesses) {
        const SideView* side = witness.second ? nullptr : m_membership.awaitAnswerFrom(now, witness.first);
        if (side)
            actions.push_back(SendMessage { side->link, isQuestion ? makeQuery(session) : makeClaim(session) });
    }
}

bool KeyClaimClient::enoughAnswered(RequestSession& session, const std::string& witnessId)
{
    session.witnesses[witnessId] = true;
    const std::ptrdiff_t answered = std::count_if(session.witnesses.begin(), session.witnesses.end(),
        [](const std::pair<const std::string, bool>& entry) { return entry.second; });
    return static_cast<std::size_t>(answered) >= neededGrants(session.witnesses.size());
}

ClaimResult KeyClaimClient::onAnswer(RequestSession& session, const Wire::ClaimAnswer& answer) const
{
    if (!session.witnesses.contains(answer.witnessId))
        return ClaimResult::Pending;
    if (session.state == RequestState::AskingWitnesses) {
        if (answer.known)
            return ClaimResult::Taken;
        return enoughAnswered(session, answer.witnessId) ? ClaimResult::NobodyKnows : ClaimResult::Pending;
    }
    const bool isThisRound = session.state == RequestState::Claiming && answer.dispatchId == session.place.dispatchId;
    return isThisRound ? onGrantAnswer(session, answer) : ClaimResult::Pending;
}

bool KeyClaimClient::holdsOut(RequestSession& session, const Wire::ClaimAnswer& answer)
{
    // Of two claims made at the same time the one with the lesser dispatch id goes on; the other one hears of it from
    // its own witnesses and gives way.
    const bool atTheSameTime = Duration(answer.holderAgeMicroseconds) < contestWindow;
    const bool goesFirst = session.place.dispatchId < answer.holderDispatchId;
    return atTheSameTime && goesFirst && session.contests++ < maximumContests;
}

ClaimResult KeyClaimClient::onGrantAnswer(RequestSession& session, const Wire::ClaimAnswer& answer)
{
    if (!answer.granted && answer.known)
        return holdsOut(session, answer) ? ClaimResult::Contested : ClaimResult::Taken;
    if (!answer.granted)
        return ClaimResult::Full;
    session.longestWitnessUptime = std::max(session.longestWitnessUptime, Duration(answer.witnessUptimeMicroseconds));
    if (!enoughAnswered(session, answer.witnessId))
        return ClaimResult::Pending;
    // Nobody knows the key; for a resend that is only worth something if a witness was there all the time.
    const bool vouched = session.longestWitnessUptime >= session.bundle->keepAnswers();
    const bool needsVouching = session.request.resend && session.replacesDispatchId.empty();
    return needsVouching && !vouched ? ClaimResult::Unvouched : ClaimResult::Granted;
}

void KeyClaimClient::release(const RequestSession& session, Actions& actions) const
{
    for (const std::pair<const std::string, bool>& witness : session.witnesses) {
        const SideView* side = m_membership.find(witness.first);
        if (!side || !side->isLinkUp())
            continue;
        Wire::ClaimRelease message;
        message.key = session.request.key;
        message.dispatchId = session.place.dispatchId;
        actions.push_back(SendMessage { side->link, std::move(message) });
    }
}

} // namespace Plantainpier
