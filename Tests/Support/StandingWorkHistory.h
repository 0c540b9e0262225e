/// Simulates in virtual time a fleet on which long-running tasks reserve most processors, short tasks of the same
/// priority arrive without end and fillers use the rest, while faults come in series and overlap. Drives the real
/// JobOwner and checks, from what the hosts run, that accepted work does not stand still while there is room for it.
/// Used by StandingWorkHistoryTest.
#pragma once

#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"
#include "Support/VirtualStore.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Plantainpier {

/// Size of the fleet and length of the history. Times are in milliseconds.
struct StandingWorkLoad {
    unsigned seed = 1;
    int hosts = 40;
    /// Short jobs and fillers arrive until then.
    int arrivalsUntil = 48'000;
    int endAt = 60'000;
    bool injectsFaults = true;
};

/// Times in milliseconds for which long-running tasks had no run.
struct WaitSummary {
    std::size_t count = 0;
    int median = 0;
    int percentile95 = 0;
    int longest = 0;
};

/// The history of one seed. Construct it, call run(), then read the results.
class StandingWorkHistory {
public:
    explicit StandingWorkHistory(const StandingWorkLoad& load);
    ~StandingWorkHistory();

    void run();

    const std::vector<std::string>& violations() const { return m_violations; }
    WaitSummary longRunningWaits() const;
    /// Longest time for which a long-running task had no run although there was room for it twice over.
    int longestWaitWithRoom() const { return m_longestWithRoom; }
    /// Longest time for which a job without long-running tasks had tasks to start and no run.
    int longestStandstill() const { return m_longestStandstill; }
    std::size_t starts() const { return m_records.size(); }
    /// Largest share of the processors that long-running tasks reserved at once.
    double peakReservedShare() const { return m_peakReservedShare; }
    /// The faults that were injected, by name.
    const std::map<std::string, int>& faults() const { return m_faults; }

private:
    enum class Kind {
        LongRunning,
        Short,
        Filler,
    };

    struct TaskTruth {
        bool completed = false;
        int failures = 0;
        int runs = 0;
        /// When the task was last seen running, or when it became possible to start it.
        int withoutRunSince = 0;
        /// Since when the task has had no run although there is room for it; negative if that is not so.
        int overlookedSince = -1;
        /// For how long of its wait there was room for the task.
        int waitedWithRoom = 0;
        bool isReported = false;
    };
    struct JobTruth {
        Wire::JobDefinition definition;
        Kind kind = Kind::Short;
        /// Mean duration of the tasks of each step.
        std::vector<int> durations;
        /// Negative until the submission has been answered as accepted.
        int acceptedAt = -1;
        std::vector<std::vector<TaskTruth>> steps;
        int runs = 0;
        int withoutRunSince = 0;
        int overlookedSince = -1;
        bool isReported = false;
    };
    struct ArrivingOrders {
        int at = 0;
        Wire::HostOrders orders;
    };
    struct PendingStop {
        int at = 0;
        Wire::HaltOrder order;
    };
    /// A host and its side.
    struct FleetHost {
        std::string hostId;
        Wire::Resources capacity;
        /// Null while the host is down.
        std::unique_ptr<VirtualHost> host;
        std::int64_t incarnation = 0;
        LinkId link = noLink;
        /// Term of the owner that the side is connected to.
        std::int64_t term = 0;
        /// The highest fence that the side has received from an owner.
        std::int64_t fence = 0;
        int reconnectAt = 0;
        int unreachableUntil = 0;
        int nextListAt = 0;
        /// Negative unless the host starts again at that time.
        int startsAgainAt = -1;
        int failsRunsUntil = 0;
        int losesOrdersUntil = 0;
        int ordersLateUntil = 0;
        /// Negative unless the host is draining and leaves at that time.
        int leavesAt = -1;
        std::vector<Wire::OrderResult> results;
        /// Starts whose response was lost; the side halts them.
        std::vector<Wire::StartOrder> unansweredStarts;
        std::deque<ArrivingOrders> arriving;
        std::vector<PendingStop> stops;
        std::map<RunKey, int> durations;
        /// What the runs of the host left at the last checks.
        std::deque<Wire::Resources> recentlyFree;
    };
    struct OwnerModel {
        std::int64_t term;
        std::unique_ptr<JobOwner> owner;
        int nextPulseAt = 0;
        int withoutStoreUntil = 0;
    };
    /// What the runs of a host leave, and how many runs of each step it has.
    struct HostRoom {
        bool isSound = false;
        /// Besides long-running tasks.
        Wire::Resources besidesLongRunning;
        /// Besides all runs, fillers in full.
        Wire::Resources besidesAll;
        /// The part of besidesAll that has been free for a while.
        Wire::Resources idle;
        int shortRuns = 0;
        int fillers = 0;
        std::map<std::pair<std::string, int>, int> runsOfSteps;
    };

    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    int between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    bool chance(double share) { return uniform(0, 1) < share; }
    double spread(double mean, double relativeSpread, double maximum);

    void addHost();
    void submitArrivals();
    void submitLongRunningJob();
    void submitShortJob();
    void submitFillerJob();
    void submit(Wire::JobDefinition job, Kind kind, std::vector<int> durations);
    std::string nextJobId(const char* kind);

    void planFaults();
    void injectFault();
    void noteFault(const char* name);
    bool isFaultUnderWay() const;
    void endTerm();
    void beginTerm();
    void loseHost(FleetHost& host, int startsAgainAt);
    FleetHost* chooseLivingHost();

    void step();
    void stepHost(FleetHost& host);
    void stepSide(FleetHost& host);
    void dropLink(FleetHost& host);
    void sendReport(FleetHost& host, Wire::HostState::type state);
    void stepOwner(OwnerModel& model);
    void perform(std::int64_t term, const Actions& actions);
    void carryOut(FleetHost& host, const Wire::HostOrders& orders);
    void startRun(FleetHost& host, const Wire::HostOrders& orders, const Wire::StartOrder& order);
    OwnerModel* findOwner(std::int64_t term);
    std::vector<StoreRecord> newestRecords();

    void check();
    void followRecords();
    std::vector<HostRoom> measureRoom();
    void checkLongRunning(JobTruth& job, const std::vector<HostRoom>& rooms);
    void checkStandstill(JobTruth& job, const std::vector<HostRoom>& rooms);
    bool isOver(const JobTruth& job) const;
    bool isStepOpen(const JobTruth& job, std::size_t step) const;
    std::string describe(const JobTruth& job, const HostRoom& room, std::size_t host) const;

    StandingWorkLoad m_load;
    std::mt19937 m_random;
    /// Prints the log lines of the owners.
    const bool m_trace;
    int m_now = 0;
    int m_lastHost = 0;
    int m_lastJob = 0;
    std::int64_t m_lastTerm = 0;
    LinkId m_lastLink = 100;
    std::uint64_t m_lastCallId = 0;
    VirtualStore m_store;
    int m_storeUnavailableUntil = 0;
    /// A stretch of faults lasts until m_faultsUntil; the next one begins at m_faultsFrom.
    int m_faultsFrom = 0;
    int m_faultsUntil = 0;
    int m_calmSince = 0;
    int m_burstUntil = 0;
    double m_initialMilliCores = 0;
    /// Share of the processors that long-running tasks request, and what they have requested so far.
    double m_reservedShare = 0;
    double m_reservedMilliCores = 0;
    double m_peakReservedShare = 0;
    /// Short tasks at work at once, as a share of those that the unreserved processors have room for.
    double m_shortLoad = 0;
    /// Short tasks that were submitted before their time; negative while some are due.
    double m_shortTasks = 0;
    std::vector<RunRecord> m_records;
    /// Index of the host of each record.
    std::vector<std::size_t> m_hostsOfRecords;
    std::vector<std::size_t> m_activeRecords;
    std::size_t m_followedRecords = 0;
    std::vector<std::unique_ptr<FleetHost>> m_hosts;
    std::map<LinkId, std::size_t> m_hostsOfLinks;
    std::vector<OwnerModel> m_owners;
    /// Negative unless the newest owner is without the store or gone, and a successor begins at that time.
    int m_successorAt = -1;
    /// No earlier owner's lease lasts longer.
    Instant m_formerLeasesEnd;
    std::map<std::string, JobTruth> m_jobs;
    std::set<std::string> m_openJobs;
    std::map<std::uint64_t, std::string> m_calls;
    /// The newest line of the owner that says why a task of the job waits.
    std::map<std::string, std::string> m_waitLines;
    std::map<std::string, int> m_faults;
    std::vector<int> m_waits;
    int m_longestWithRoom = 0;
    int m_longestStandstill = 0;
    std::vector<std::string> m_violations;
};

} // namespace Plantainpier
