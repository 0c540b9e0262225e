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
    /// Age that the pages of a complete read may have after the store has dropped its history. Complete reads are then
    /// repeated until their pages show everything that was dropped. Zero for topics whose readers do not depend on it.
    Duration maximumPageAge = Duration::zero();
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
    /// The same, but a read of the log does not wait and is made on a new connection with this timeout.
    std::optional<Action> nextCheck(Instant now, std::uint64_t callId, Duration timeout);
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
    /// All records that were stored before this time have been read or are covered by newer ones. Nothing until the
    /// log has been read on from a complete read.
    std::optional<Instant> knownAsOf() const { return m_knownAsOf; }
    Instant lastAnswerAt() const { return m_lastAnswerAt; }
    void setReadWait(Duration wait) { m_timing.readWait = wait; }

private:
    /// Whether the complete read that has just ended shows everything that the store has dropped from the log.
    bool coversDroppedRecords(std::int64_t firstPageEnd, bool isSinglePage) const;

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
    std::optional<Instant> m_knownAsOf;
    std::optional<Instant> m_completeRead;
    /// Records may be missing that are in none of the pages and no longer in the log.
    bool m_mayMissRecords = true;
    /// The next read of the log does not wait, because it decides whether the topic is known.
    bool m_confirmsPages = false;
    Instant m_truncatedAt;
    Instant m_repeatUntil;
    Instant m_nextRepeatAt;
};

} // namespace Plantainpier
