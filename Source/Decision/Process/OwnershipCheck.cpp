#include "Decision/Process/OwnershipCheck.h"

#include <algorithm>

namespace Plantainpier {

void OwnershipCheck::confirm(Instant asOf) { m_confirmedAt = std::max(m_confirmedAt, asOf); }

void OwnershipCheck::onOwnerAge(Instant now, Duration age)
{
    m_isOwnerUncertain = age > m_timing.certainFor;
    if (!m_isOwnerUncertain)
        m_failedChecks = 0;
    confirm(now - age);
}

void OwnershipCheck::onReadSent(Instant now, Duration wait)
{
    m_readSentAt = now;
    m_readWait = wait;
}

void OwnershipCheck::onReadAnswered(Instant now, bool isEmpty)
{
    m_failedChecks = 0;
    // The store answers without a record only after the whole wait.
    const bool hasWaited = isEmpty && now - m_readSentAt >= m_readWait;
    confirm(hasWaited ? m_readSentAt + m_readWait : m_readSentAt);
}

} // namespace Plantainpier
