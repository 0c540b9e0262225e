/// Simulates hosts that serving tasks, short tasks and fillers share, in virtual time, and drives a JobOwner with their
/// reports. Fillers divide the processors that the other tasks of their host leave; some filler images push the tail
/// latency of some serving images. Used by FillerLoadTest.
#pragma once

#include "Support/JobFixture.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Plantainpier {

/// Size and load of the fleet. Durations are in milliseconds, rates per second, processors in thousandths of a core.
struct FleetLoad {
    unsigned seed = 1;
    int hosts = 60;
    int servingJobs = 12;
    int servingJobWidth = 24;
    /// Plans are jobs of fillers in two steps or so.
    double plansPerSecond = 1;
    double planWidth = 40;
    double shortJobsPerSecond = 3.5;
    int shortJobWidth = 13;
    /// Arrivals of plans are multiplied by this factor during the burst.
    double burstFactor = 1.3;
    int burstFrom = 7'000;
    int burstUntil = 13'000;
    int arrivalsUntil = 34'000;
    /// Plans that do not end by then have not ended.
    int endAt = 48'000;
    double shortFactor = 1;
    /// Arrivals of short jobs are multiplied by shortFactor in this period.
    int shortBurstFrom = 13'000;
    int shortBurstUntil = 16'000;
    /// Processors of most hosts; every third host has half as many again.
    double smallHostMilliCores = 64'000;
    /// Memory of each host. Unset: in proportion to its processors.
    std::optional<std::int64_t> hostMegabytes;
    double servingMilliCores = 13'000;
    double servingMegabytes = 26'000;
    double fillerMilliCores = 7'000;
    double fillerMegabytes = 13'000;
    double planDuration = 2'700;
    double shortMilliCores = 2'800;
    double shortDuration = 1'000;
    /// Work between two checkpoints of a run, in milliseconds.
    double checkpointInterval = 500;
    /// Whether a run that is stopped saves what it has done. Otherwise the work since its last checkpoint is lost.
    bool savesWhenStopped = true;
    std::size_t fillerImages = 30;
    double highPressureShare = 0.7;
    /// Share of serving images that two kinds of filler images press.
    double twoKindsShare = 0.15;
    FillerPlacement fillerPlacement = FillerPlacement::Pace;
};

/// What became of a plan.
struct PlanOutcome {
    std::string jobId;
    int acceptedAt = 0;
    /// Latest end in time, by the real durations of the tasks.
    int dueAt = 0;
    /// Negative if the plan has not ended.
    int endedAt = -1;
    double coreSeconds = 0;

    bool isInTime() const { return endedAt >= 0 && endedAt <= dueAt; }
    /// Up to three times the allowed duration a late result is still of use.
    bool isLate() const { return endedAt >= 0 && !isInTime() && endedAt - acceptedAt <= 3 * (dueAt - acceptedAt); }
};

/// Core-seconds of the fleet over the whole simulation.
struct FleetAccount {
    /// Left by serving and short tasks.
    double left = 0;
    double usedByFillers = 0;
    /// Requested by fillers that a pace order held back.
    double heldBack = 0;
    /// Work that was repeated because a run was stopped, and time to restore checkpoints.
    double repeated = 0;
    /// Seconds that serving tasks spent over their target, and those of them that fillers caused.
    double overTarget = 0;
    double overTargetByFillers = 0;
    /// Seconds of all serving tasks.
    double serving = 0;
    /// Longest uninterrupted time in milliseconds for which fillers kept a serving task over its target.
    int longestInterference = 0;
};

/// The simulation. Construct it, call run(), then read the results.
class SharedFleet {
public:
    explicit SharedFleet(const FleetLoad& load);

    void run();

    const std::vector<PlanOutcome>& plans() const { return m_plans; }
    const FleetAccount& account() const { return m_account; }
    const OwnerHarness& harness() const { return m_harness; }
    /// Worth of the plans that ended, as a share of the worth of all plans. A late plan counts for 0.15 of one in time;
    /// the worth of a plan grows with its work, up to four times that of the mean plan.
    double earnedShare() const;
    double inTimeShare() const;
    /// An upper bound of earnedShare() for any order of work, from the processors that were left to fillers alone.
    double earnedShareBound() const;

private:
    enum class Kind {
        Serving,
        Short,
        Filler,
    };

    struct SimulatedRun {
        Wire::TaskName task;
        int run = 0;
        Kind kind = Kind::Short;
        double milliCores = 0;
        /// Work in milliseconds at full speed, and how much of it is done.
        double work = 0;
        double done = 0;
        double saved = 0;
        int restoreUntil = 0;
        /// Pace in effect, and the ordered one with the time from which it has effect.
        int pace = 100;
        int nextPace = 100;
        int nextPaceAt = 0;
        /// Negative unless the run is being stopped.
        int stopAt = -1;
        bool savesProgress = false;
        std::size_t servingImage = 0;
        std::size_t fillerImage = 0;
        double headroomFactor = 1;
        double servingPhase = 0;
        /// Smoothed figure that the host reports.
        double usage = 0;
        int overTargetByFillersSince = -1;
    };

    struct SimulatedHost {
        std::string hostId;
        double milliCores = 0;
        std::int64_t megabytes = 0;
        std::map<RunKey, SimulatedRun> runs;
        std::vector<Wire::EndedTask> ended;
        std::int64_t lastEndNumber = 0;
        int reportAt = 0;
        bool endsToReport = false;
    };

    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    /// A random value that influences runs. The load does not depend on how many of these are drawn.
    double uniformOfRun(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_runRandom);
    }
    /// A log-normal value with the given mean and relative spread, at most the maximum.
    double spread(double mean, double relativeSpread, double maximum);
    void addHosts();
    void choosePressures();
    void submitArrivals();
    void submitServingJob();
    void submitPlan();
    void submitShortJob();
    std::string nextJobId();
    void submit(Wire::JobDefinition job, std::vector<double> durations);
    void deliverOrders();
    void start(SimulatedHost& host, const Wire::StartOrder& order);
    void advance(SimulatedHost& host);
    double servingLoad(const SimulatedRun& run) const;
    void advanceServing(SimulatedHost& host, const std::vector<double>& fillerShares);
    void endRun(SimulatedHost& host, const SimulatedRun& run, Wire::RunEnd::type how);
    void report(SimulatedHost& host);
    void recordEnds();
    double worthOf(const PlanOutcome& plan, double meanCoreSeconds) const;
    double meanCoreSeconds() const;

    FleetLoad m_load;
    std::mt19937 m_random;
    std::mt19937 m_runRandom;
    OwnerHarness m_harness;
    int m_now = 0;
    int m_lastJob = 0;
    std::vector<SimulatedHost> m_hosts;
    std::map<std::string, std::size_t> m_hostIndexes;
    std::map<std::string, Wire::JobDefinition> m_jobs;
    /// Mean duration of the tasks of each step, in milliseconds.
    std::map<std::string, std::vector<double>> m_durations;
    std::map<std::string, double> m_servingPhases;
    /// m_pressures[serving image][filler image].
    std::vector<std::vector<double>> m_pressures;
    std::vector<PlanOutcome> m_plans;
    FleetAccount m_account;
};

} // namespace Plantainpier
