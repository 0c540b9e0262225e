/// The owner's writes to the store: many records in one append, one append at a time, each numbered so that one whose
/// answer was lost is repeated and stored once.
#pragma once

#include "Decision/Process/Message.h"

#include <deque>
#include <optional>

namespace Plantainpier {

/// When to append.
struct StoreWriterTiming {
    /// Least time between the starts of two appends: calls to the store are priced, and a partition stores one at a
    /// time.
    Duration interval = milliseconds(8);
    /// Records that nobody waits for may lie this long.
    Duration lazyInterval = milliseconds(60);
    /// Wait for an answer; the store answers within milliseconds, and tens of times that while it is slow.
    Duration timeout = milliseconds(1200);
    /// Pause after a call that was turned away.
    Duration pause = milliseconds(60);
    /// Largest bytes in one append; below the platform's limit of a call.
    std::size_t batchBytes = 524'288;
};

/// Whether somebody waits for the record to be stored.
enum class Urgency {
    Waited,
    Lazy,
};

/// Orders records of one topic into appends. Used by JobOwner for as long as it owns.
class StoreWriter {
public:
    StoreWriter(StoreTopic topic, std::int64_t epoch, StoreWriterTiming timing);

    /// Takes a record in; the result is its ticket, to be compared with stored().
    std::uint64_t add(Instant now, StoreRecord record, Urgency urgency);
    std::uint64_t lastTicket() const { return m_lastTicket; }
    /// Every ticket up to this one is stored.
    std::uint64_t stored() const { return m_storedTicket; }
    /// The append to make now, if one is due.
    std::optional<AppendToStore> next(Instant now);
    /// False when the journal has been fenced: somebody else owns.
    bool onResponse(Instant now, const AppendResponse& response);
    /// How long the oldest unanswered append has been tried; zero when none is.
    Duration stalledFor(Instant now) const;
    bool isIdle() const { return m_waiting.empty() && m_batch.empty(); }
    /// When the last append that succeeded was sent.
    Instant lastConfirmed() const { return m_lastConfirmed; }

private:
    struct Entry {
        std::uint64_t ticket;
        Instant added;
        Urgency urgency;
        StoreRecord record;
    };

    StoreTopic m_topic;
    std::int64_t m_epoch;
    StoreWriterTiming m_timing;
    std::deque<Entry> m_waiting;
    std::vector<StoreRecord> m_batch;
    std::uint64_t m_batchTicket = 0;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_storedTicket = 0;
    std::int64_t m_number = 0;
    bool m_inFlight = false;
    Instant m_lastSent;
    Instant m_notBefore;
    Instant m_batchSince;
    Instant m_lastConfirmed;
};

} // namespace Plantainpier
