#include "Decision/Process/CallForwards.h"

#include <algorithm>

namespace Plantainpier {

void CallForwards::add(std::int64_t callId, std::int64_t term, LinkId link)
{
    m_unanswered.push_back(Copy { callId, term, link });
    m_newestTerm = std::max(m_newestTerm, term);
}

CallForwards::Verdict CallForwards::onReply(std::int64_t callId, Wire::JobReplyKind::type kind)
{
    const std::vector<Copy>::iterator it = std::find_if(
        m_unanswered.begin(), m_unanswered.end(), [callId](const Copy& copy) { return copy.callId == callId; });
    if (it == m_unanswered.end())
        return Verdict::Superseded;
    const Copy answered = *it;
    m_unanswered.erase(it);
    // What an owner has accepted is stored, whoever owns the jobs now.
    if (kind == Wire::JobReplyKind::Accepted)
        return Verdict::Final;
    // The store accepts nothing more from the owner of an earlier term, but a later owner may accept the call.
    if (answered.term < m_newestTerm)
        return Verdict::Superseded;
    if (kind != Wire::JobReplyKind::Refused)
        return Verdict::Final;
    Verdict verdict = Verdict::Final;
    for (const Copy& copy : m_unanswered) {
        if (copy.term != answered.term)
            continue;
        // Messages of one connection are read in order, so the reply to this copy follows.
        if (copy.link == answered.link)
            return Verdict::Superseded;
        verdict = Verdict::Uncertain;
    }
    return verdict;
}

std::vector<std::int64_t> CallForwards::callIds() const
{
    std::vector<std::int64_t> ids;
    for (const Copy& copy : m_unanswered)
        ids.push_back(copy.callId);
    return ids;
}

} // namespace Plantainpier
