/// Batches the owner's records into appends to the store. One append is in flight at a time. Appends are numbered, so
/// that an append whose answer was lost can be repeated and is stored once.
#pragma once

#include "Decision/Process/Message.h"

#include <deque>
#include <optional>

namespace Plantainpier {

/// Timing and size limits of appends.
struct StoreWriterTiming {
    /// Minimum time between the starts of two appends: calls to the store are priced, and a partition stores one at a
    /// time.
    Duration minimumInterval = milliseconds(8);
    /// Longest time that lazy records are held back.
    Duration maximumLazyDelay = milliseconds(60);
    /// Timeout of an append. The store answers within milliseconds normally and takes tens of times longer when slow.
    Duration timeout = milliseconds(1200);
    /// Delay before an append that was rejected or not answered is repeated.
    Duration retryDelay = milliseconds(60);
    /// An append takes no further records from this size on; below the platform's limit for a call.
    std::size_t maximumBatchBytes = 524'288;
};

/// How soon a record has to be written.
enum class Urgency {
    /// With the next append, because a reply or an order depends on the record.
    Immediate,
    /// Within StoreWriterTiming::maximumLazyDelay, or with the next append that other records require.
    Lazy,
};

/// Writes the records of one topic in order. Used by JobOwner and its components for the length of a term.
class StoreWriter {
public:
    StoreWriter(StoreTopic topic, std::int64_t epoch, StoreWriterTiming timing);

    /// Queues a record. Returns the sequence number of the write, to be compared with storedSequenceNumber().
    std::uint64_t enqueue(Instant now, StoreRecord record, Urgency urgency);
    /// Sequence number of the newest queued write.
    std::uint64_t lastSequenceNumber() const { return m_lastSequenceNumber; }
    /// All writes up to this sequence number are persisted.
    std::uint64_t storedSequenceNumber() const { return m_storedSequenceNumber; }
    /// Returns the append to send now, if one is due.
    std::optional<AppendToStore> nextAppend(Instant now);
    /// Handles the answer to an append. Returns false if the store has fenced this writer: another entry owns the jobs.
    bool onResponse(Instant now, const AppendResponse& response);
    /// Time since the current append was first sent, with its repeats; zero if there is none.
    Duration stalledFor(Instant now) const;
    bool isIdle() const { return m_queue.empty() && m_batch.empty(); }
    /// When the last append that succeeded was sent.
    Instant lastConfirmedSentAt() const { return m_lastConfirmedSentAt; }

private:
    struct QueuedRecord {
        std::uint64_t sequenceNumber;
        Instant queuedAt;
        Urgency urgency;
        StoreRecord record;
    };

    StoreTopic m_topic;
    std::int64_t m_epoch;
    StoreWriterTiming m_timing;
    std::deque<QueuedRecord> m_queue;
    std::vector<StoreRecord> m_batch;
    std::uint64_t m_batchSequenceNumber = 0;
    std::uint64_t m_lastSequenceNumber = 0;
    std::uint64_t m_storedSequenceNumber = 0;
    std::int64_t m_appendNumber = 0;
    bool m_inFlight = false;
    Instant m_lastSentAt;
    Instant m_retryNotBefore;
    Instant m_batchCreatedAt;
    Instant m_lastConfirmedSentAt;
};

} // namespace Plantainpier
