/// Records what hosts and clients of the soak observe and checks it against the guarantees of the platform. Used by the
/// host stand-ins and the soak's clients; every method may be called from any thread.
#pragma once

#include "Base/Time.h"

#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
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
    /// Tasks that a host has room for; all tasks of the soak take the same room.
    static constexpr int placesPerHost = 4;
    /// A task that does not run is missed only if the hosts had room for it twice over during this time.
    static constexpr std::chrono::seconds roomTime { 3 };
    /// A long-running task must run again 6 s after its last run ended, and is missed if it does not during roomTime.
    static constexpr std::chrono::seconds longRunningRestartLimit { 9 };
    /// Time after its acceptance from which every entry must know a job, and time for which it must.
    static constexpr std::chrono::seconds visibleTime { 3 };
    static constexpr std::chrono::seconds statusTime { 120 };
    /// Age that a count of waiting jobs may have, and time in which a start is reported and an answer delivered.
    static constexpr std::chrono::seconds waitingCountAge { 2 };
    static constexpr std::chrono::seconds reportTime { 1 };
    /// Time after its acceptance, or after the end of the traffic, from which a job must not stand still.
    static constexpr std::chrono::seconds finishTime { 14 };

    /// Time after an operator's request within which starts in a closed zone must end, and the part of it that an order
    /// may take to its host. The settings of the entries set the same bound.
    static constexpr std::chrono::seconds zoneClosureBound { 5 };
    static constexpr std::chrono::seconds deliveryMargin { 1 };

    /// Hook: the present time.
    using Clock = std::function<SteadyTime()>;

    explicit RunAudit(Clock clock = &std::chrono::steady_clock::now);

    /// Opens the file that receives all notes.
    void openLog(const std::string& path);
    /// Writes one line to the log, for tracing a violation.
    void note(const std::string& text);

    /// Whether one more long-running job leaves more than half of the given places to others. Jobs that may have been
    /// accepted without an answer count; the job counts from then on.
    bool admitLongRunning(const std::string& jobId, std::size_t places);
    void onSubmit(const std::string& jobId, SoakJob job);
    void onAccepted(const std::string& jobId);
    /// Every attempt to submit the job was answered with a refusal.
    void onRefused(const std::string& jobId);
    void onCancelRequested(const std::string& jobId);
    void onCancelAcknowledged(const std::string& jobId);
    void onReportedRunning(const std::string& jobId);
    void onReportedCompleted(const std::string& jobId);
    void onReportedFailed(const std::string& jobId);
    void onReportedCancelled(const std::string& jobId);
    /// The faults are over: the owner of the jobs has listed every host and gets reports of all starts.
    void onHostsListed();
    /// An entry in touch answered a request, sent at this time, for the number of waiting jobs.
    void onWaitingCount(const std::string& entry, SteadyTime sentAt, std::int64_t waiting);

    /// A host started the run. The incarnation is that of the host; the origin describes an order that was executed
    /// without an answer or late, and is empty otherwise.
    void onStart(const std::string& incarnation, const SoakTask& task, int run, const std::string& payload,
        const std::string& origin);
    void onEnd(const std::string& incarnation, const SoakTask& task, int run, const std::string& outcome);
    /// The acknowledgement of the host's list covers this end.
    void onAcknowledged(const std::string& incarnation, const SoakTask& task, int run);
    /// A host has room for tasks from now on.
    void onIncarnationStarted(const std::string& incarnation, const std::string& zone = {});
    /// The incarnation ended, and all its runs with it.
    void onIncarnationEnded(const std::string& incarnation);
    /// The store has acknowledged a request to close the availability zone.
    void onZoneClosed(const std::string& zone);
    /// The request is about to be removed.
    void onZoneReopened(const std::string& zone);
    /// A process that was suspended goes on, and may now deliver orders from before.
    void onProcessResumed();
    void reportViolation(const std::string& violation);

    std::vector<std::string> violations() const;
    std::size_t startCount() const;
    /// Starts in zones that were closed within the bound.
    std::size_t startsInClosingZones() const;
    std::size_t acceptedCount() const;
    std::size_t waitingCounts() const;
    /// Those that were also checked for jobs that no longer wait.
    std::size_t waitingCountsAfterFaults() const;
    /// Accepted jobs that are neither cancelled nor reported as completed or failed; without long-running jobs.
    std::vector<std::string> unfinishedJobs() const;
    /// Accepted long-running jobs whose cancellation has not been requested.
    std::vector<std::string> longRunningJobs() const;
    /// Tasks of those jobs that are not running.
    std::vector<std::string> idleLongRunningTasks() const;
    /// Notes which long-running tasks run. If the system has been calm, reports those that have not run for too long
    /// although there was room, each once. To be called again and again.
    void checkLongRunningTasks(bool isCalm);
    /// Reports jobs that stand still although there is room and less than half of it is used, each once. To be called
    /// again and again, from finishTime + roomTime after the traffic on.
    void checkStandingJobs();
    /// Accepted jobs, finished ones too, that every entry must know: accepted long enough ago, not cancelled, and not
    /// so old that the platform may forget them.
    std::vector<std::string> knownJobs() const;
    /// Whether less than half of the room of the hosts that are up is used.
    bool isHalfFree() const;
    /// How many long-running tasks the checks have judged since the given time, and how many they have not: neither
    /// seen running nor missed although they were accepted longer than longRunningRestartLimit ago.
    std::pair<std::size_t, std::size_t> judgedLongRunningTasks(SteadyTime since) const;
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
        /// When a check last saw the task running or missed it.
        SteadyTime judgedAt;
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
        bool missed = false;
        bool reportedTooEarly = false;
        /// Since when the owner of the jobs can know that the job does not wait.
        std::optional<SteadyTime> notWaitingSince;
        void stopWaiting(SteadyTime now) { notWaitingSince = notWaitingSince.value_or(now); }
        bool mustKeepRunning() const { return job.longRunning && accepted && !cancelRequested && !cancelled; }
    };

    void write(const std::string& text);
    void addViolation(const std::string& text);
    void addViolation(const std::string& rule, const SoakTask& task, const std::string& text);
    bool hasCompleted(const SoakTask& task);
    int failures(const SoakTask& task);
    /// Whether the job has nothing running, has had nothing running for roomTime, and one of its tasks may start.
    bool standsStill(const std::string& jobId, const JobRecord& job);
    /// To be called after each change of the hosts or their runs.
    void updateRoom();
    bool hadRoom(const std::optional<SteadyTime>& since) const;
    /// Checks the newest start against the acknowledged ends before it. Called for each start and each acknowledgement.
    void checkNewestStart(const SoakTask& task, TaskRecord& record);

    /// Checks a start against the closed zones. Starts by orders that the stand-ins or a suspended process held back
    /// are allowed: nothing recalls an order, and the bound covers a delivery within deliveryMargin only.
    void checkZone(const std::string& incarnation, const SoakTask& task, const std::string& start, bool isLateOrder);

    Clock m_clock;
    mutable std::mutex m_mutex;
    std::ofstream m_log;
    /// Runs by incarnation, of the hosts that are up.
    std::map<std::string, int> m_hostRuns;
    /// Zones of the hosts that are up, by incarnation.
    std::map<std::string, std::string> m_hostZones;
    /// When the requests for the closed zones were acknowledged.
    std::map<std::string, SteadyTime> m_closedZones;
    SteadyTime m_resumedAt;
    std::size_t m_startsInClosingZones = 0;
    /// Since when the hosts have room for one task twice over.
    std::optional<SteadyTime> m_roomSince;
    /// Since when less than half of their room is used.
    std::optional<SteadyTime> m_halfFreeSince;
    std::map<std::string, JobRecord> m_jobs;
    std::map<SoakTask, TaskRecord> m_tasks;
    std::vector<std::string> m_violations;
    std::size_t m_startCount = 0;
    /// Since when every start is reported to the owner of the jobs.
    std::optional<SteadyTime> m_hostsListedAt;
    std::size_t m_waitingCounts = 0;
    std::size_t m_waitingCountsAfterFaults = 0;
    std::size_t m_lastSequenceNumber = 0;
};

} // namespace Plantainpier
