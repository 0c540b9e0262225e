/// The state that follows from the log: jobs, attempts and who leads. Every reader computes the same from the same log.
#pragma once

#include "Decision/Job/HostCommitments.h"
#include "Decision/Job/LogRecord.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// Where a job stands by the log.
enum class JobStatus {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};
std::string_view name(JobStatus status);

/// One accepted job.
struct Job {
    JobRecord record;
    JobStatus status = JobStatus::Queued;
    /// Number of the last attempt; zero before the first.
    int attempt = 0;
    /// Where the last attempt runs or ran.
    std::string sideId;
    /// Attempts that the task itself failed.
    int failures = 0;
    bool cancelRequested = false;
    std::string checkpoint;
    std::string result;
    /// Order of acceptance.
    std::uint64_t sequence = 0;
};

/// Who leads a cell.
struct Leader {
    std::int64_t term = 0;
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// What a record changed.
enum class RecordEffect {
    /// Void, a repetition, or of another cell.
    None,
    JobAccepted,
    JobRepeated,
    LeaderChanged,
    LeaderAlive,
    EntryStarted,
    AttemptRecorded,
    AttemptOver,
    CancelRecorded,
};

/// Applies the records of one cell in log order. First valid record wins; one of an older term than the newest claim
/// is void. Lives for the process, rebuilt from the log.
class JobStateMachine {
public:
    explicit JobStateMachine(std::string cell);

    RecordEffect apply(const LogRecord& record);

    const Job* find(const std::string& jobId) const;
    const std::map<std::string, Job>& jobs() const { return m_jobs; }
    const Leader& leader() const { return m_leader; }
    /// Jobs that wait for an attempt, most urgent first, then oldest.
    struct QueueKey {
        int priority = 0;
        std::uint64_t sequence = 0;
        std::string jobId;
        auto operator<=>(const QueueKey&) const = default;
    };
    const std::set<QueueKey>& queue() const { return m_queue; }
    /// Ids of jobs with an attempt that is not over.
    const std::set<std::string>& running() const { return m_running; }
    /// Committed to a team's running attempts.
    Wire::Resources usageOf(const std::string& team) const;

private:
    RecordEffect applyRecord(const JobRecord& record);
    RecordEffect applyRecord(const LeaderRecord& record);
    RecordEffect applyRecord(const LeaderHeartbeatRecord& record) const;
    RecordEffect applyRecord(const EntryStartedRecord& record) const;
    RecordEffect applyRecord(const AttemptRecord& record);
    RecordEffect applyRecord(const EndedRecord& record);
    RecordEffect applyRecord(const CancelRecord& record);
    RecordEffect applyRecord(const BundleRecord& record) const;
    bool isCurrent(const std::string& cell, std::int64_t term) const;
    QueueKey keyOf(const Job& job) const;
    void enqueue(Job& job);

    std::string m_cell;
    Leader m_leader;
    std::map<std::string, Job> m_jobs;
    std::set<QueueKey> m_queue;
    std::set<std::string> m_running;
    std::unordered_map<std::string, Wire::Resources> m_usage;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Plantainpier
