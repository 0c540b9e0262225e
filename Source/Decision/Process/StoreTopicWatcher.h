/// Follows one topic of the store: reads the newest record of each key first, then every new record. Used by entries
/// and sides for owner claims, pulses and the policy.
#pragma once

#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// Wait times of the reads of a topic.
struct WatchTiming {
    /// Longest wait of one read. The store answers as soon as a record arrives, but it may never answer a read that
    /// waits while old records are dropped. This wait therefore bounds how late an update is read.
    Duration readWait = seconds(8);
    /// Delay after a read that was not answered.
    Duration retryDelay = milliseconds(250);
    /// Longest wait of one read until the first record has been read: a waiting read does not notice that its topic is
    /// created.
    Duration initialReadWait = milliseconds(500);
    /// How long complete reads are repeated after the store has dropped its history, because their answers may be older
    /// than the dropped records. Zero for topics whose readers do not depend on such a record.
    Duration repeatAfterTruncation = Duration::zero();
};

/// Makes the reads of one topic, one at a time.
class StoreTopicWatcher {
public:
    StoreTopicWatcher(StoreTopic topic, WatchTiming timing)
        : m_topic(topic)
        , m_timing(timing)
    {
    }

    /// The read to make now; none while a read is in flight or a retry delay lasts.
    std::optional<Action> nextRead(Instant now, std::uint64_t callId);
    /// The new records of a response, in order.
    std::vector<StoreRecord> onReadResponse(Instant now, const ReadResponse& response);
    std::vector<StoreRecord> onNewestResponse(Instant now, const NewestResponse& response);
    /// Abandons the read in flight so that a new one starts, for when the topic is known to have new records.
    void restartRead() { m_readInFlight = false; }
    bool isReadInFlight() const { return m_readInFlight; }
    /// Whether the newest records of all keys have been read at least once.
    bool hasReadWholeTopic() const { return m_hasReadWholeTopic; }
    /// All records before this offset have been read or are covered by newer ones.
    std::int64_t nextOffset() const { return m_nextOffset; }
    /// Returns the start of the complete read that has just ended, once.
    std::optional<Instant> takeCompleteRead();
    /// When the newest answered read was sent, or the first page of the newest complete one. The epoch until the whole
    /// topic has been read.
    Instant knownAsOf() const { return m_knownAsOf; }
    Instant lastAnswerAt() const { return m_lastAnswerAt; }
    void setReadWait(Duration wait) { m_timing.readWait = wait; }

private:
    StoreTopic m_topic;
    WatchTiming m_timing;
    bool m_readInFlight = false;
    bool m_needsNewest = true;
    bool m_hasReadWholeTopic = false;
    std::string m_afterKey;
    std::int64_t m_nextOffset = 0;
    /// The oldest offset that can be read. The newest record of each older key is in the pages.
    std::int64_t m_oldestOffset = 0;
    Instant m_nextReadAt;
    Instant m_lastAnswerAt;
    /// When the read in flight was sent; for a complete read, its first page.
    Instant m_readStartedAt;
    Instant m_knownAsOf;
    std::optional<Instant> m_completeRead;
    Instant m_repeatUntil;
    Instant m_nextRepeatAt;
};

} // namespace Plantainpier
