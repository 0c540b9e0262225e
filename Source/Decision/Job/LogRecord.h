/// The records that the system keeps in the platform's log: one JSON object each.
#pragma once

#include "Base/Json.h"
#include "Wire/Generated/plantainpier_types.h"

#include <string>
#include <variant>

namespace Plantainpier {

/// A job that was handed in. It counts as accepted once this record has been read back.
struct JobRecord {
    std::string jobId;
    std::string cell;
    std::string team;
    int priority = 5;
    Wire::Resources demand;
    /// What the owner believes; only a hint.
    std::int64_t declaredMilliseconds = 0;
    std::string payload;
};

/// An entry claims to lead a cell. The first claim of each term wins.
struct LeaderRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// The leader of a cell is alive. The number tells one heartbeat from the next.
struct LeaderHeartbeatRecord {
    std::string cell;
    std::int64_t term = 0;
    std::int64_t number = 0;
};

/// An entry has started: every earlier incarnation of it is gone.
struct EntryStartedRecord {
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// An attempt of a task is given to a side. Attempt numbers of a job count up from 1.
struct AttemptRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string jobId;
    int attempt = 0;
    std::string sideId;
};

/// Why an attempt is over.
enum class AttemptEnd {
    Completed,
    Failed,
    Evicted,
    Lost,
};
std::string_view name(AttemptEnd end);

/// An attempt is over, for this reason.
struct EndedRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string jobId;
    int attempt = 0;
    AttemptEnd end = AttemptEnd::Lost;
    std::string result;
    std::string checkpoint;
};

/// The owner takes the job back.
struct CancelRecord {
    std::string cell;
    std::string jobId;
};

/// A signed bundle is rolled out.
struct BundleRecord {
    std::string envelope;
};

using LogRecord = std::variant<JobRecord, LeaderRecord, LeaderHeartbeatRecord, EntryStartedRecord, AttemptRecord,
    EndedRecord, CancelRecord, BundleRecord>;

/// The record as one line of JSON.
std::string encodeRecord(const LogRecord& record);
/// The record of a line; an error for what is no record of this version.
Result<LogRecord> decodeRecord(const std::string& text);

} // namespace Plantainpier
