/// The state of one cell that results from the records of the log: jobs, attempts and the leader. Every process that
/// reads the same log computes the same state. Used by EntryCore, CellScheduler and JobIntake.
#pragma once

#include "Decision/Job/HostCommitments.h"
#include "Decision/Job/LogRecord.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// State of a job according to the log.
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
    /// The side of the last attempt.
    std::string sideId;
    /// Number of attempts that the task itself failed.
    int failures = 0;
    bool cancelRequested = false;
    std::string checkpoint;
    std::string result;
    /// Position in the order of acceptance.
    std::uint64_t sequence = 0;
};

/// The process that leads a cell, and its term.
struct Leader {
    std::int64_t term = 0;
    std::string entryId;
    std::int64_t incarnation = 0;
};

/// The change that a record made to the state.
enum class RecordEffect {
    /// No change: the record is void, a repetition, or belongs to another cell.
    None,
    JobAccepted,
    JobRepeated,
    LeaderChanged,
    LeaderHeartbeat,
    EntryStarted,
    AttemptRecorded,
    AttemptEnded,
    CancelRecorded,
};

/// Applies the records of one cell in log order. Of conflicting records the first valid one takes effect. Records of an
/// older term than the newest claim are void. Lives for the process and is rebuilt from the log at its start.
class JobStateMachine {
public:
    explicit JobStateMachine(std::string cell);

    RecordEffect apply(const LogRecord& record);

    const Job* find(const std::string& jobId) const;
    const std::map<std::string, Job>& jobs() const { return m_jobs; }
    const Leader& leader() const { return m_leader; }
    /// Sort key of the jobs that wait for an attempt: most urgent first, then oldest.
    struct QueueKey {
        int priority = 0;
        std::uint64_t sequence = 0;
        std::string jobId;
        auto operator<=>(const QueueKey&) const = default;
    };
    const std::set<QueueKey>& queuedJobs() const { return m_queue; }
    /// Ids of the jobs whose attempt has not ended.
    const std::set<std::string>& runningJobIds() const { return m_runningJobIds; }
    /// Sum of the resources of a team's running attempts.
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
    std::set<std::string> m_runningJobIds;
    std::unordered_map<std::string, Wire::Resources> m_usageByTeam;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Plantainpier
