/// Records what hosts and clients of the soak observe and checks it against the guarantees of the platform. Used by the
/// host stand-ins and the soak's clients; every method may be called from any thread.
#pragma once

#include "Base/Time.h"

#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Plantainpier {

/// The id of a task as hosts receive it, split into its parts.
struct SoakTask {
    std::string jobId;
    int step = 0;
    int index = 0;

    bool operator<(const SoakTask& other) const
    {
        return std::tie(jobId, step, index) < std::tie(other.jobId, other.step, other.index);
    }
    std::string text() const { return jobId + ".0." + std::to_string(step) + "." + std::to_string(index); }
};

/// First words of the payloads of long-running tasks, which run until they are stopped, and of tasks that always fail.
inline const std::string longRunningPayloadPrefix = "lasting";
inline const std::string failingPayloadPrefix = "hopeless";

/// A job that a client submits; its steps run one after the other.
struct SoakJob {
    std::vector<int> widths;
    std::string payload;
    /// The tasks run until the job is cancelled and are restarted whenever they end.
    bool longRunning = false;
};

/// Collects violations of the guarantees; a run of the soak passes if there are none.
class RunAudit {
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// Failed runs of a task after which the task must not be started again. The stand-ins' configuration sets the same
    /// limit.
    static constexpr int maximumAttempts = 4;

    /// Opens the file that receives all notes.
    void openLog(const std::string& path);
    /// Writes one line to the log, for tracing a violation.
    void note(const std::string& text);

    void onSubmit(const std::string& jobId, SoakJob job);
    void onAccepted(const std::string& jobId);
    /// Every attempt to submit the job was answered with a refusal.
    void onRefused(const std::string& jobId);
    void onCancelRequested(const std::string& jobId);
    void onCancelAcknowledged(const std::string& jobId);
    void onReportedCompleted(const std::string& jobId);
    void onReportedFailed(const std::string& jobId);
    void onReportedCancelled(const std::string& jobId);

    /// A host started the run. The incarnation is that of the host; the origin describes an order that was executed
    /// without an answer or late, and is empty otherwise.
    void onStart(const std::string& incarnation, const SoakTask& task, int run, const std::string& payload,
        const std::string& origin);
    void onEnd(const std::string& incarnation, const SoakTask& task, int run, const std::string& outcome);
    /// The acknowledgement of the host's list covers this end.
    void onAcknowledged(const std::string& incarnation, const SoakTask& task, int run);
    /// The incarnation ended, and all its runs with it.
    void onIncarnationEnded(const std::string& incarnation);
    void reportViolation(const std::string& violation);

    std::vector<std::string> violations() const;
    std::size_t startCount() const;
    std::size_t acceptedCount() const;
    /// Accepted jobs that are neither cancelled nor reported as completed or failed; without long-running jobs.
    std::vector<std::string> unfinishedJobs() const;
    /// Accepted long-running jobs whose cancellation has not been requested.
    std::vector<std::string> longRunningJobs() const;
    /// Tasks of those jobs that are not running and have not run since the given time; without jobs that were accepted
    /// after it.
    std::vector<std::string> longRunningTasksIdleSince(SteadyTime since) const;
    /// Tasks that are running although their job is cancelled or has failed.
    std::vector<std::string> runsOfCancelledJobs() const;

private:
    struct EndRecord {
        std::string incarnation;
        int run = 0;
        std::string outcome;
        /// Sequence number among all starts and ends.
        std::size_t sequenceNumber = 0;
        bool acknowledged = false;
    };
    struct TaskRecord {
        /// Origin of the order for each run, by incarnation and run number.
        std::map<std::pair<std::string, int>, std::string> running;
        std::vector<EndRecord> ends;
        std::size_t lastStartSequenceNumber = 0;
        std::string lastStart;
        SteadyTime lastRunningAt;
        /// Rules whose violation by an end of this task has been reported.
        std::set<std::string> reportedRules;
    };
    struct JobRecord {
        SoakJob job;
        bool accepted = false;
        SteadyTime acceptedAt;
        bool refused = false;
        bool cancelRequested = false;
        bool cancelled = false;
        bool reportedFinished = false;
        bool started = false;
        bool mustKeepRunning() const { return job.longRunning && accepted && !cancelRequested && !cancelled; }
    };

    void write(const std::string& text);
    void addViolation(const std::string& text);
    void addViolation(const std::string& rule, const SoakTask& task, const std::string& text);
    bool hasCompleted(const SoakTask& task);
    /// Checks the newest start against the acknowledged ends before it. Called for each start and each acknowledgement.
    void checkNewestStart(const SoakTask& task, TaskRecord& record);

    mutable std::mutex m_mutex;
    std::ofstream m_log;
    std::map<std::string, JobRecord> m_jobs;
    std::map<SoakTask, TaskRecord> m_tasks;
    std::vector<std::string> m_violations;
    std::size_t m_startCount = 0;
    std::size_t m_lastSequenceNumber = 0;
};

} // namespace Plantainpier
