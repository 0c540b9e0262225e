/// Simulates equal hosts that are asked for more work than they can do, in virtual time, and clients that return when
/// they are told to. Drives a JobOwner. Used by AdmissionLoadTest and OverloadOrderTest.
#pragma once

#include "Support/JobFixture.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Plantainpier {

/// Size and load of the fleet. Durations are in milliseconds, loads are shares of what the hosts can do.
struct OverloadScenario {
    unsigned seed = 1;
    OwnerRules rules;
    int hosts = 12;
    double usualLoad = 0.8;
    double burstLoad = 2.5;
    int burstFrom = 10'000;
    int burstUntil = 60'000;
    int arrivalsUntil = 70'000;
    int endAt = 130'000;
    /// Load of jobs of a more urgent class, in addition.
    double urgentLoad = 0;
    /// The jobs are fillers: their hosts take more of them than they have processors for.
    bool fillers = false;
    /// Hosts run up to this share slower, in waves.
    double slowdown = 0;
    /// Estimates are wrong by up to this share.
    double estimateError = 0.3;
    /// The owner takes over at this time, so it knows no rate before.
    int ownerSince = 0;
    /// Jobs that are accepted without an estimate.
    std::set<std::string> exempt;
};

/// What became of a job. Times are in milliseconds and negative if there is none.
struct JobHistory {
    Wire::JobDefinition definition;
    /// Duration of the tasks of each step at full speed.
    std::vector<double> durations;
    int firstAttemptAt = 0;
    /// Allowed duration of the job.
    int allowed = 0;
    double coreSeconds = 0;
    int nextAttemptAt = 0;
    int attempts = 0;
    std::vector<int> rejectedAt;
    /// When the client was asked to return, for each rejection.
    std::vector<int> retryAt;
    int acceptedAt = -1;
    int endedAt = -1;
    bool hasStarted = false;

    bool isInTime() const { return endedAt >= 0 && endedAt - firstAttemptAt <= allowed; }
    /// Late, but still of use to the client.
    bool isUseful() const { return endedAt >= 0 && endedAt - firstAttemptAt <= 3 * allowed; }
};

/// The simulation. Construct it, call run(), then read the results.
class OverloadedFleet {
public:
    explicit OverloadedFleet(const OverloadScenario& scenario);

    void run();

    const std::vector<JobHistory>& jobs() const { return m_jobs; }
    const OwnerHarness& harness() const { return m_harness; }
    std::size_t rejections() const;
    /// Worth of the jobs of the less urgent class that ended, as a share of the worth of all; a late job counts for
    /// 0.15 of one in time.
    double earnedShare() const;
    /// Share of these jobs that ended while they were of use: of all, or of the largest tenth.
    double usefulShare(bool largestTenth) const;

private:
    struct SimulatedRun {
        Wire::TaskName task;
        int run = 0;
        double cores = 0;
        double work = 0;
        double done = 0;
        bool filler = false;
    };

    struct SimulatedHost {
        std::string hostId;
        std::map<RunKey, SimulatedRun> runs;
        std::vector<Wire::EndedTask> ended;
        std::int64_t lastEndNumber = 0;
        int reportAt = 0;
        bool endsToReport = false;
    };

    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    void planArrivals();
    void addJob(int now, bool urgent);
    double loadAt(int now) const;
    void submitDueJobs();
    void submit(JobHistory& job);
    void deliverOrders();
    void advance(SimulatedHost& host);
    void report(SimulatedHost& host);
    void recordEnds();
    std::vector<const JobHistory*> lessUrgentJobs() const;

    OverloadScenario m_scenario;
    std::mt19937 m_random;
    OwnerHarness m_harness;
    int m_now = 0;
    std::vector<JobHistory> m_jobs;
    std::map<std::string, std::size_t> m_jobIndexes;
    std::vector<SimulatedHost> m_hosts;
    std::map<std::string, std::size_t> m_hostIndexes;
    std::set<std::string> m_openJobs;
};

} // namespace Plantainpier
