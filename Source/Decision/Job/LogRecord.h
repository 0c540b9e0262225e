/// The records that entries write to the log, and their encoding as JSON objects. They belong to the log service, which
/// cells (leader, heartbeat) use with AppendQueue, JobIntake, JobStateMachine and CellScheduler; jobs on the users'
/// platform use the store instead (owner, pulse: JobOwner, OwnerState, StoreWriter). Used by EntryCore too.
#pragma once

#include "Base/Json.h"
#include "Wire/Generated/plantainpier_types.h"

#include <string>
#include <variant>

namespace Plantainpier {

/// A submitted job. The job is accepted once this record has been read back from the log.
struct JobRecord {
    std::string jobId;
    std::string cell;
    std::string team;
    int priority = 5;
    Wire::Resources demand;
    /// Run time that the submitter expects; only a hint.
    std::int64_t declaredRunMilliseconds = 0;
    std::string payload;
};

/// Claim of an entry to lead a cell. The first claim of each term is valid.
struct LeaderRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// Heartbeat of a cell's leader. The number makes the text of each heartbeat unique.
struct LeaderHeartbeatRecord {
    std::string cell;
    std::int64_t term = 0;
    std::int64_t number = 0;
};

/// Start of an entry. Every earlier incarnation of the entry has ended.
struct EntryStartedRecord {
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// Assignment of an attempt to a side. The attempts of a job are numbered from 1.
struct AttemptRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string jobId;
    int attempt = 0;
    std::string sideId;
};

/// How an attempt ended.
enum class AttemptEnd {
    Completed,
    Failed,
    Evicted,
    Lost,
};
std::string_view name(AttemptEnd end);

/// End of an attempt.
struct EndedRecord {
    std::string cell;
    std::int64_t term = 0;
    std::string jobId;
    int attempt = 0;
    AttemptEnd end = AttemptEnd::Lost;
    std::string result;
    std::string checkpoint;
};

/// Cancellation of a job by its submitter.
struct CancelRecord {
    std::string cell;
    std::string jobId;
};

/// Roll-out of a signed bundle.
struct BundleRecord {
    std::string envelope;
};

using LogRecord = std::variant<JobRecord, LeaderRecord, LeaderHeartbeatRecord, EntryStartedRecord, AttemptRecord,
    EndedRecord, CancelRecord, BundleRecord>;

/// Encodes a record as one line of JSON.
std::string encodeRecord(const LogRecord& record);
/// Decodes one line. Fails for text that is not a record known to this version.
Result<LogRecord> decodeRecord(const std::string& text);

} // namespace Plantainpier
