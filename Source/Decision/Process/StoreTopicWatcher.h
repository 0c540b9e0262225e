/// Follows one topic of the store: the newest record of each key first, then every new one as it comes.
#pragma once

#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// How a topic is followed.
struct WatchTiming {
    /// Longest wait of one read. The store answers at once when a record comes, but a read that waits while the history
    /// is dropped may never be answered: so this bounds how late news can be.
    Duration wait = seconds(8);
    /// Pause after a read that was not answered.
    Duration pause = milliseconds(250);
    /// The same while nothing has been seen: a read does not notice that its topic comes into being.
    Duration firstWait = milliseconds(500);
};

/// Reads of one topic, one at a time. Used by entries and sides for owners and policy.
class StoreTopicWatcher {
public:
    StoreTopicWatcher(StoreTopic topic, WatchTiming timing)
        : m_topic(topic)
        , m_timing(timing)
    {
    }

    /// The read to make now, if none is under way.
    std::optional<Action> next(Instant now, std::uint64_t callId);
    /// The records of an answer that are new, in order.
    std::vector<StoreRecord> onRead(Instant now, const ReadResponse& response);
    std::vector<StoreRecord> onNewest(Instant now, const NewestResponse& response);
    /// The topic is known to have moved on: the read that waits is given up for a new one.
    void refresh() { m_reading = false; }
    bool isReading() const { return m_reading; }
    /// The whole topic has been seen at least once.
    bool isCurrent() const { return m_current; }
    /// Everything before this offset has been seen.
    std::int64_t from() const { return m_from; }
    /// When the store last answered.
    Instant answeredAt() const { return m_answeredAt; }
    void setWait(Duration wait) { m_timing.wait = wait; }

private:
    StoreTopic m_topic;
    WatchTiming m_timing;
    bool m_reading = false;
    bool m_needsNewest = true;
    bool m_current = false;
    std::string m_after;
    std::int64_t m_from = 0;
    /// Nothing before this can be read any more; what is newest of a key is in the pages.
    std::int64_t m_first = 0;
    Instant m_notBefore;
    Instant m_answeredAt;
};

} // namespace Plantainpier
