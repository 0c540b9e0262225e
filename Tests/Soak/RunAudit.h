/// What hosts see of the system's orders, held against the platform's promises. Used by the soak's host stand-ins and
/// its clients; every method may be called from any thread.
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

/// Payloads of tasks that run until they are told to stop, and of tasks that always fail, begin with these words.
inline const std::string lastingPayload = "lasting";
inline const std::string hopelessPayload = "hopeless";

/// A job that a client hands in; steps run one after the other.
struct SoakJob {
    std::vector<int> widths;
    std::string payload;
    /// Its tasks run until it is cancelled and are started again however they end.
    bool lasting = false;
};

/// Collects breaches; empty at the end of a good run.
class RunAudit {
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// Runs of one task that may end failed before it may not be started any more; the stand-ins' configuration says
    /// so.
    static constexpr int maximumAttempts = 4;

    /// Notes go to this file.
    void openLog(const std::string& path);
    /// One line for whoever traces a breach.
    void note(const std::string& text);

    void onSubmit(const std::string& jobId, SoakJob job);
    void onAccepted(const std::string& jobId);
    /// Every attempt to hand it in was answered with a refusal.
    void onRefusedForGood(const std::string& jobId);
    void onCancelAsked(const std::string& jobId);
    void onCancelAcknowledged(const std::string& jobId);
    void onCompletedShown(const std::string& jobId);
    void onFailedShown(const std::string& jobId);
    void onCancelledShown(const std::string& jobId);

    /// A host began the run. A life is one incarnation of a host; an origin tells of an order that was carried out
    /// late.
    void onStart(
        const std::string& life, const SoakTask& task, int run, const std::string& payload, const std::string& origin);
    void onEnd(const std::string& life, const SoakTask& task, int run, const std::string& how);
    /// The host's list was acknowledged up to and with this end.
    void onAcknowledged(const std::string& life, const SoakTask& task, int run);
    /// The incarnation ended with all that ran there.
    void onHostGone(const std::string& life);
    void report(const std::string& breach);

    std::vector<std::string> breaches() const;
    std::size_t starts() const;
    std::size_t accepted() const;
    /// Jobs that were accepted, not cancelled, and have not been shown as completed or failed; without those that last.
    std::vector<std::string> openJobs() const;
    /// Jobs that last, were accepted, and that nobody has asked to cancel.
    std::vector<std::string> lastingJobs() const;
    /// Tasks of these that do not run and have not run since the time given, nor was their job accepted since.
    std::vector<std::string> lastingTasksAwaySince(SteadyTime since) const;
    /// Runs of jobs whose cancellation was acknowledged.
    std::vector<std::string> runsOfCancelledJobs() const;

private:
    struct EndRecord {
        std::string life;
        int run = 0;
        std::string how;
        /// Its place among all starts and ends.
        std::size_t place = 0;
        bool acknowledged = false;
    };
    struct TaskRecord {
        /// Life and number of each run, with the origin of its order.
        std::map<std::pair<std::string, int>, std::string> running;
        std::vector<EndRecord> ends;
        std::size_t lastStartPlace = 0;
        std::string lastStart;
        SteadyTime lastRan;
        /// Rules that were reported for ends of this task.
        std::set<std::string> reported;
    };
    struct JobRecord {
        SoakJob job;
        bool accepted = false;
        SteadyTime acceptedAt;
        bool refused = false;
        bool cancelAsked = false;
        bool cancelled = false;
        bool closed = false;
        bool started = false;
        bool isLastingForGood() const { return job.lasting && accepted && !cancelAsked && !cancelled; }
    };

    void write(const std::string& text);
    void breach(const std::string& text);
    void breach(const std::string& rule, const SoakTask& task, const std::string& text);
    bool hasCompleted(const SoakTask& task);
    /// Holds the newest start against the ends that were acknowledged, then or later.
    void checkEnds(const SoakTask& task, TaskRecord& record);

    mutable std::mutex m_mutex;
    std::ofstream m_log;
    std::map<std::string, JobRecord> m_jobs;
    std::map<SoakTask, TaskRecord> m_tasks;
    std::vector<std::string> m_breaches;
    std::size_t m_starts = 0;
    std::size_t m_lastPlace = 0;
};

} // namespace Plantainpier
