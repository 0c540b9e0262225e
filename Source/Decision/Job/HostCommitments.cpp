#include "Decision/Job/HostCommitments.h"

namespace Plantainpier {

bool HostCommitments::commit(const AttemptId& id, const Wire::Resources& demand)
{
    if (m_commitments.contains(id))
        return true;
    if (!fits(demand, freeResources()))
        return false;
    commitExisting(id, demand);
    return true;
}

void HostCommitments::commitExisting(const AttemptId& id, const Wire::Resources& demand)
{
    if (m_commitments.emplace(id, demand).second)
        m_committed = plus(m_committed, demand);
}

void HostCommitments::release(const AttemptId& id)
{
    std::map<AttemptId, Wire::Resources>::iterator it = m_commitments.find(id);
    if (it == m_commitments.end())
        return;
    m_committed = minus(m_committed, it->second);
    m_commitments.erase(it);
}

} // namespace Plantainpier
