/// Records on their way into the log: many to an append, and none repeated blindly after a lost answer.
#pragma once

#include "Base/Time.h"
#include "Decision/Job/LogRecord.h"

#include <deque>
#include <optional>

namespace Plantainpier {

/// How one append ended.
enum class AppendResult {
    Stored,
    /// The log said that it stored nothing.
    Refused,
    /// No answer came: it may have been stored.
    Uncertain,
};

/// Bounds on what one process asks of the log.
struct AppendLimits {
    /// Between two appends, which bounds their rate.
    Duration interval = milliseconds(50);
    std::size_t recordsPerAppend = 500;
    std::size_t waitingRecords = 20'000;
    /// How long after an uncertain append its records may still show up in the log.
    Duration settle = seconds(2);
};

/// The writer's side of the log. Records are told apart by their text, and a second copy of one changes nothing, so a
/// repeated append is safe; it is still only made once reading has shown that the first took no effect.
class AppendQueue {
public:
    explicit AppendQueue(const AppendLimits& limits);

    /// False when too many wait already; then none was taken.
    bool add(const std::vector<LogRecord>& records);
    /// The texts of the next append; nothing while one is under way or nothing waits.
    std::optional<std::vector<std::string>> nextBatch(Instant now);
    void onResult(Instant now, AppendResult result);
    /// This text was read from the log.
    void onRead(const std::string& text);
    /// All records up to the newest were read, by a read that began at this time.
    void onReadToEnd(Instant readBegan);

    std::size_t size() const { return m_entries.size(); }
    std::uint64_t appends() const { return m_appends; }

private:
    enum class State {
        Waiting,
        UnderWay,
        Uncertain,
    };
    struct Entry {
        std::string text;
        State state = State::Waiting;
        Instant since;
    };

    AppendLimits m_limits;
    std::deque<Entry> m_entries;
    bool m_underWay = false;
    Instant m_lastAppend;
    std::uint64_t m_appends = 0;
};

} // namespace Plantainpier
