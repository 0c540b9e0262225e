#include "Decision/Process/StoreTopicWatcher.h"

#include <algorithm>

namespace Plantainpier {

std::optional<Action> StoreTopicWatcher::nextRead(Instant now, std::uint64_t callId)
{
    if (m_readInFlight || now < m_nextReadAt)
        return std::nullopt;
    m_readInFlight = true;
    if (m_needsNewest)
        return ReadNewest { callId, m_topic, m_afterKey };
    const Duration wait = m_nextOffset == 0 ? std::min(m_timing.initialReadWait, m_timing.readWait) : m_timing.readWait;
    return ReadStore { callId, m_topic, m_nextOffset, wait };
}

std::vector<StoreRecord> StoreTopicWatcher::onReadResponse(Instant now, const ReadResponse& response)
{
    m_readInFlight = false;
    if (response.truncated) {
        m_needsNewest = true;
        m_oldestOffset = response.oldestOffset;
        m_afterKey.clear();
        return {};
    }
    if (!response.answered) {
        m_nextReadAt = now + m_timing.retryDelay;
        return {};
    }
    m_lastAnswerAt = now;
    if (!response.records.empty())
        m_nextOffset = response.records.back().offset + 1;
    return response.records;
}

std::vector<StoreRecord> StoreTopicWatcher::onNewestResponse(Instant now, const NewestResponse& response)
{
    m_readInFlight = false;
    if (!response.answered) {
        m_nextReadAt = now + m_timing.retryDelay;
        return {};
    }
    m_lastAnswerAt = now;
    // Pages are not a snapshot and may lag behind the end of the topic, so only the records that they contain count as
    // read.
    for (const StoreRecord& record : response.records)
        m_nextOffset = std::max(m_nextOffset, record.offset + 1);
    if (response.more && !response.records.empty()) {
        m_afterKey = response.records.back().key;
        return response.records;
    }
    m_needsNewest = false;
    m_hasReadWholeTopic = true;
    m_afterKey.clear();
    m_nextOffset = std::max(m_nextOffset, m_oldestOffset);
    return response.records;
}

} // namespace Plantainpier
