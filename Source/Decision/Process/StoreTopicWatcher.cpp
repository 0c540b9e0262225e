#include "Decision/Process/StoreTopicWatcher.h"

#include <algorithm>
#include <utility>

namespace Plantainpier {

namespace {

    /// Time between the complete reads that follow a loss of history.
    constexpr Duration completeReadInterval = seconds(1);

} // namespace

std::optional<Action> StoreTopicWatcher::nextRead(Instant now, std::uint64_t callId)
{
    if (m_readInFlight || now < m_nextReadAt)
        return std::nullopt;
    m_readInFlight = true;
    if (now >= m_nextRepeatAt && now < m_repeatUntil)
        m_needsNewest = true;
    if (!m_needsNewest || m_afterKey.empty())
        m_readStartedAt = now;
    if (m_needsNewest)
        return ReadNewest { callId, m_topic, m_afterKey };
    if (std::exchange(m_confirmsPages, false))
        return ReadStore { callId, m_topic, m_nextOffset, Duration::zero() };
    const Duration wait = m_nextOffset == 0 ? std::min(m_timing.initialReadWait, m_timing.readWait) : m_timing.readWait;
    return ReadStore { callId, m_topic, m_nextOffset, wait };
}

std::optional<Action> StoreTopicWatcher::nextCheck(Instant now, std::uint64_t callId, Duration timeout)
{
    // A read that has timed out was sent long enough ago.
    if (now - m_readStartedAt >= m_timing.retryDelay)
        m_nextReadAt = std::min(m_nextReadAt, now);
    std::optional<Action> action = nextRead(now, callId);
    if (ReadStore* read = action ? std::get_if<ReadStore>(&*action) : nullptr) {
        read->wait = Duration::zero();
        read->newConnectionTimeout = timeout;
    }
    return action;
}

std::vector<StoreRecord> StoreTopicWatcher::onReadResponse(Instant now, const ReadResponse& response)
{
    m_readInFlight = false;
    if (response.truncated) {
        m_needsNewest = true;
        m_oldestOffset = response.oldestOffset;
        m_afterKey.clear();
        m_mayMissRecords = true;
        m_truncatedAt = now;
        // A page may show a removed record for the first time at the end of its age. Only pages that are read that much
        // later are sure to lack the record.
        if (m_timing.maximumPageAge > Duration::zero())
            m_repeatUntil = now + 2 * m_timing.maximumPageAge + completeReadInterval;
        return {};
    }
    if (!response.answered) {
        m_nextReadAt = now + m_timing.retryDelay;
        return {};
    }
    m_lastAnswerAt = now;
    if (!m_mayMissRecords)
        m_knownAsOf = m_readStartedAt;
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
    // Pages are not a snapshot and may lag behind the end of the topic, so only the records that the first page
    // contains count as read. A record that was stored while later pages were read is then read from the log.
    const bool isFirstPage = m_afterKey.empty();
    std::int64_t firstPageEnd = 0;
    for (std::size_t n = 0; isFirstPage && n < response.records.size(); ++n)
        firstPageEnd = std::max(firstPageEnd, response.records[n].offset + 1);
    m_nextOffset = std::max(m_nextOffset, firstPageEnd);
    if (response.more && !response.records.empty()) {
        m_afterKey = response.records.back().key;
        return response.records;
    }
    m_needsNewest = false;
    m_hasReadWholeTopic = true;
    m_afterKey.clear();
    m_nextOffset = std::max(m_nextOffset, m_oldestOffset);
    m_mayMissRecords = m_mayMissRecords && !coversDroppedRecords(firstPageEnd, isFirstPage);
    m_confirmsPages = m_timing.maximumPageAge > Duration::zero();
    m_completeRead = m_readStartedAt;
    m_nextRepeatAt = now + completeReadInterval;
    return response.records;
}

bool StoreTopicWatcher::coversDroppedRecords(std::int64_t firstPageEnd, bool isSinglePage) const
{
    // Without a dropped record, the log contains whatever the pages lack.
    if (m_oldestOffset == 0)
        return true;
    const bool showsLastDroppedRecord = isSinglePage && firstPageEnd >= m_oldestOffset;
    return showsLastDroppedRecord || m_readStartedAt - m_truncatedAt >= m_timing.maximumPageAge;
}

std::optional<Instant> StoreTopicWatcher::takeCompleteRead()
{
    const std::optional<Instant> startedAt = m_completeRead;
    m_completeRead.reset();
    return startedAt;
}

} // namespace Plantainpier
