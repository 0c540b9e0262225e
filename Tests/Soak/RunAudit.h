/// What hosts see of the system's orders, held against the platform's promises. Used by the soak's host stand-ins and
/// its clients; every method may be called from any thread.
#pragma once

#include "Base/Time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Plantainpier {

/// A task as its hosts name it, split into its parts.
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

/// A job that a client hands in; steps run one after the other.
struct SoakJob {
    std::vector<int> widths;
    std::string payload;
};

/// Collects breaches; empty at the end of a good run.
class RunAudit {
public:
    /// Runs of one task that may end failed before it may not be started any more; the stand-ins' configuration says
    /// so.
    static constexpr int maximumAttempts = 4;

    void onSubmit(const std::string& jobId, SoakJob job);
    void onAccepted(const std::string& jobId);
    /// Every attempt to hand it in was answered with a refusal.
    void onRefusedForGood(const std::string& jobId);
    void onCancelAcknowledged(const std::string& jobId);
    void onCompletedShown(const std::string& jobId);

    /// A host began the run. The host is one incarnation.
    void onStart(const std::string& host, const SoakTask& task, int run, const std::string& payload);
    void onEnd(const std::string& host, const SoakTask& task, int run, const std::string& how);
    /// The host's list was acknowledged up to and with this end.
    void onAcknowledged(const SoakTask& task, int run, const std::string& how);
    /// The incarnation ended with all that ran there.
    void onHostGone(const std::string& host);
    void report(const std::string& breach);

    std::vector<std::string> breaches() const;
    std::size_t starts() const;
    std::size_t accepted() const;
    /// Jobs that were accepted, not cancelled, and have not been shown as completed or failed.
    std::vector<std::string> openJobs() const;
    /// Runs of jobs whose cancellation was acknowledged.
    std::vector<std::string> runsOfCancelledJobs() const;

private:
    struct TaskRecord {
        std::set<std::pair<std::string, int>> running;
        /// Runs that ended done; whether the task was started after that.
        std::map<int, bool> startedAfter;
        bool endAcknowledged = false;
        int failuresAcknowledged = 0;
    };
    struct JobRecord {
        SoakJob job;
        bool accepted = false;
        bool refused = false;
        bool cancelled = false;
        bool closed = false;
        bool started = false;
    };

    void breach(const std::string& rule, const SoakTask& task, const std::string& text);

    mutable std::mutex m_mutex;
    std::map<std::string, JobRecord> m_jobs;
    std::map<SoakTask, TaskRecord> m_tasks;
    std::vector<std::string> m_breaches;
    std::size_t m_starts = 0;
};

} // namespace Plantainpier
