/// Queue of the records that an entry is going to append to the log. Puts many records into one append. This is the
/// queue of the log service; the writer of the store is StoreWriter. Used by EntryCore.
#pragma once

#include "Base/Time.h"
#include "Decision/Job/LogRecord.h"

#include <deque>
#include <optional>

namespace Plantainpier {

/// How one append ended.
enum class AppendResult {
    Stored,
    /// The log answered that it stored nothing.
    Refused,
    /// No answer was received; the records may have been stored.
    Uncertain,
};

/// Limits on the appends of one process.
struct AppendLimits {
    /// Minimum time between two appends; limits the rate of calls to the log.
    Duration minimumInterval = milliseconds(50);
    std::size_t maximumRecordsPerAppend = 500;
    std::size_t maximumQueuedRecords = 20'000;
    /// Time after an uncertain append in which its records may still appear in the log.
    Duration settleTime = seconds(2);
};

/// Batches, sends and repeats records. Records are identified by their text. An uncertain append is repeated only
/// after a read of the log, begun after the settle time, has not shown its records. If they are stored twice after all,
/// the second copy has no effect.
class AppendQueue {
public:
    explicit AppendQueue(const AppendLimits& limits);

    /// Adds records. Returns false, and adds none, if the queue would exceed its limit.
    bool add(const std::vector<LogRecord>& records);
    /// Returns the texts of the next append. Returns nothing while an append is in flight, within the minimum interval
    /// and when no record waits.
    std::optional<std::vector<std::string>> nextBatch(Instant now);
    void onAppendResult(Instant now, AppendResult result);
    /// Called for every text that is read from the log.
    void onRecordRead(const std::string& text);
    /// Called when a read that began at this time has reached the newest record of the log.
    void onLogReadToEnd(Instant readBegan);

    std::size_t size() const { return m_records.size(); }
    std::uint64_t appendCount() const { return m_appendCount; }

private:
    enum class State {
        Waiting,
        InFlight,
        Uncertain,
    };
    struct QueuedRecord {
        std::string text;
        State state = State::Waiting;
        Instant resultAt;
    };

    AppendLimits m_limits;
    std::deque<QueuedRecord> m_records;
    bool m_appendInFlight = false;
    Instant m_lastAppendAt;
    std::uint64_t m_appendCount = 0;
};

} // namespace Plantainpier
