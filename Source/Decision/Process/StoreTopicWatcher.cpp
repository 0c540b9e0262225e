#include "Decision/Process/StoreTopicWatcher.h"

#include <algorithm>

namespace Plantainpier {

std::optional<Action> StoreTopicWatcher::next(Instant now, std::uint64_t callId)
{
    if (m_reading || now < m_notBefore)
        return std::nullopt;
    m_reading = true;
    if (m_needsNewest)
        return ReadNewest { callId, m_topic, m_after };
    const Duration wait = m_from == 0 ? std::min(m_timing.firstWait, m_timing.wait) : m_timing.wait;
    return ReadStore { callId, m_topic, m_from, wait };
}

std::vector<StoreRecord> StoreTopicWatcher::onRead(Instant now, const ReadResponse& response)
{
    m_reading = false;
    if (response.truncated) {
        m_needsNewest = true;
        m_first = response.first;
        m_after.clear();
        return {};
    }
    if (!response.answered) {
        m_notBefore = now + m_timing.pause;
        return {};
    }
    m_answeredAt = now;
    if (!response.records.empty())
        m_from = response.records.back().offset + 1;
    return response.records;
}

std::vector<StoreRecord> StoreTopicWatcher::onNewest(Instant now, const NewestResponse& response)
{
    m_reading = false;
    if (!response.answered) {
        m_notBefore = now + m_timing.pause;
        return {};
    }
    m_answeredAt = now;
    // Pages are no snapshot and may lag behind the end of the topic: only what they show counts as seen.
    for (const StoreRecord& record : response.records)
        m_from = std::max(m_from, record.offset + 1);
    if (response.more && !response.records.empty()) {
        m_after = response.records.back().key;
        return response.records;
    }
    m_needsNewest = false;
    m_current = true;
    m_after.clear();
    m_from = std::max(m_from, m_first);
    return response.records;
}

} // namespace Plantainpier
