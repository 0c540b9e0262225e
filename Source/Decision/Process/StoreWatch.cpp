#include "Decision/Process/StoreWatch.h"

#include <algorithm>

namespace Plantainpier {

std::optional<Action> StoreWatch::next(Instant now, std::uint64_t callId)
{
    if (m_reading || now < m_notBefore)
        return std::nullopt;
    m_reading = true;
    if (m_needsNewest)
        return ReadNewest { callId, m_topic, m_after };
    return ReadStore { callId, m_topic, m_from, m_timing.wait };
}

std::vector<StoreRecord> StoreWatch::onRead(Instant now, const ReadResponse& response)
{
    m_reading = false;
    if (response.truncated) {
        m_needsNewest = true;
        m_after.clear();
        return {};
    }
    if (!response.answered) {
        m_notBefore = now + m_timing.pause;
        return {};
    }
    m_answeredAt = now;
    m_end = response.end;
    if (!response.records.empty())
        m_from = response.records.back().offset + 1;
    return response.records;
}

std::vector<StoreRecord> StoreWatch::onNewest(Instant now, const NewestResponse& response)
{
    m_reading = false;
    if (!response.answered) {
        m_notBefore = now + m_timing.pause;
        return {};
    }
    m_answeredAt = now;
    // Pages are no snapshot: what came after the first page began is read again.
    if (m_after.empty())
        m_firstEnd = response.end;
    if (response.more && !response.records.empty()) {
        m_after = response.records.back().key;
        return response.records;
    }
    m_needsNewest = false;
    m_current = true;
    m_after.clear();
    m_from = m_firstEnd;
    m_end = response.end;
    return response.records;
}

} // namespace Plantainpier
