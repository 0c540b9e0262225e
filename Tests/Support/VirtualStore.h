/// Simulates the platform's store in virtual time: ordered topics, the newest record of each key, conditional appends
/// and epochs. Used by the tests of owners and entries on the platform.
#pragma once

#include "Decision/Process/Message.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace Plantainpier {

/// Responds to calls at once. The test that uses the store simulates delay, loss and outages by delivering the
/// responses late or not at all.
class VirtualStore {
public:
    AppendResponse append(const AppendToStore& call)
    {
        Topic& topic = m_topics[call.topic];
        AppendResponse response;
        response.endOffset = static_cast<std::int64_t>(topic.records.size());
        if (call.expectedEndOffset >= 0 && call.expectedEndOffset != response.endOffset) {
            response.outcome = AppendOutcome::EndMismatch;
            return response;
        }
        if (call.epoch > 0) {
            const bool isRepeat = call.epoch == topic.epoch && call.appendNumber == topic.number;
            const bool isNext = call.epoch > topic.epoch || call.appendNumber == topic.number + 1;
            if (call.epoch < topic.epoch || (!isRepeat && !isNext)) {
                response.outcome = AppendOutcome::Fenced;
                return response;
            }
            if (isRepeat && !topic.beforeFirstEpoch) {
                response = topic.lastResponse;
                return response;
            }
            topic.beforeFirstEpoch = false;
            topic.epoch = call.epoch;
            topic.number = call.appendNumber;
        }
        response.outcome = AppendOutcome::Stored;
        response.offset = response.endOffset;
        for (StoreRecord record : call.records) {
            record.offset = static_cast<std::int64_t>(topic.records.size());
            topic.records.push_back(record);
        }
        response.endOffset = static_cast<std::int64_t>(topic.records.size());
        topic.lastResponse = response;
        return response;
    }

    ReadResponse read(const ReadStore& call) const
    {
        ReadResponse response;
        response.answered = true;
        std::map<StoreTopic, Topic>::const_iterator it = m_topics.find(call.topic);
        if (it == m_topics.end())
            return response;
        if (call.fromOffset < it->second.oldestOffset) {
            response.answered = false;
            response.truncated = true;
            response.oldestOffset = it->second.oldestOffset;
            return response;
        }
        response.endOffset = static_cast<std::int64_t>(it->second.records.size());
        for (std::int64_t n = call.fromOffset; n < response.endOffset; ++n)
            response.records.push_back(it->second.records[static_cast<std::size_t>(n)]);
        return response;
    }

    NewestResponse newest(const ReadNewest& call) const
    {
        NewestResponse response;
        response.answered = true;
        std::map<StoreTopic, Topic>::const_iterator it = m_topics.find(call.topic);
        if (it == m_topics.end())
            return response;
        std::map<std::string, StoreRecord> byKey;
        const bool isOld = m_pagesFrom && m_pagesFrom->contains(call.topic);
        const std::int64_t shown = isOld ? m_pagesFrom->at(call.topic) : endOffset(call.topic);
        for (const StoreRecord& record : it->second.records) {
            if (record.offset < shown)
                byKey[record.key] = record;
        }
        for (const std::pair<const std::string, StoreRecord>& entry : byKey) {
            if (entry.second.value.empty() || entry.first <= call.afterKey)
                continue;
            response.more = response.records.size() == m_pageSize;
            if (response.more)
                break;
            response.records.push_back(entry.second);
        }
        response.endOffset = static_cast<std::int64_t>(it->second.records.size());
        return response;
    }

    /// Number of records that the topic has received.
    std::int64_t endOffset(StoreTopic topic) const
    {
        std::map<StoreTopic, Topic>::const_iterator it = m_topics.find(topic);
        return it == m_topics.end() ? 0 : static_cast<std::int64_t>(it->second.records.size());
    }

    /// Drops all records up to now from the topics' logs. The newest record of each key can still be read by key.
    void compact()
    {
        for (std::pair<const StoreTopic, Topic>& entry : m_topics)
            entry.second.oldestOffset = static_cast<std::int64_t>(entry.second.records.size());
    }

    /// The pages of newest records stay as they are now until thawPages() is called.
    void freezePages()
    {
        m_pagesFrom.emplace();
        for (const std::pair<const StoreTopic, Topic>& entry : m_topics)
            m_pagesFrom->emplace(entry.first, endOffset(entry.first));
    }
    void thawPages() { m_pagesFrom.reset(); }

    /// Limits the number of records in one page of the newest records.
    void setPageSize(std::size_t size) { m_pageSize = size; }

private:
    struct Topic {
        std::vector<StoreRecord> records;
        std::int64_t oldestOffset = 0;
        std::int64_t epoch = 0;
        std::int64_t number = 0;
        bool beforeFirstEpoch = true;
        AppendResponse lastResponse;
    };

    std::map<StoreTopic, Topic> m_topics;
    /// The ends of the topics when their pages were frozen.
    std::optional<std::map<StoreTopic, std::int64_t>> m_pagesFrom;
    std::size_t m_pageSize = std::numeric_limits<std::size_t>::max();
};

} // namespace Plantainpier
