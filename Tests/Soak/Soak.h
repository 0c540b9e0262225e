/// One seeded run of the real programs under injected faults, between simulated hosts and a simulated store. Used by
/// plantainpier-soak.
#pragma once

#include "Process/ChildProcess.h"
#include "Process/Relay.h"
#include "Soak/HostStandIn.h"
#include "Soak/StoreStandIn.h"

#include <condition_variable>

namespace Plantainpier {

/// Parameters of a run.
struct SoakOptions {
    unsigned seed = 1;
    int entries = 3;
    int hosts = 4;
    std::chrono::seconds faultDuration { 12 };
    /// Time after the last fault, with at least half of the hosts' room free, within which every accepted job must
    /// finish.
    std::chrono::seconds settleLimit { 30 };
    /// Time after the faults in which jobs are still submitted and entries are stopped as planned, one after the other.
    std::chrono::seconds plannedStopDuration { 0 };
    int jobsPerSecond = 4;
    /// Whether faults that hit a host and its side together, or only some connections of a host, are injected too.
    bool machineFaults = false;
    /// Whether all open connections to hosts, to the store and between the processes go silent at one moment, now and
    /// then.
    bool silences = false;
    /// Whether operators close and reopen availability zones.
    bool zoneClosures = false;
    int firstPort = 21'000;
    /// Folder for settings and logs; created if it does not exist.
    std::string folder;
    std::string nodeProgram;
};

/// Starts the processes, injects faults, and checks what hosts and clients observe against the guarantees of the
/// platform.
class Soak {
public:
    explicit Soak(SoakOptions options);
    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Returns the violated guarantees and the errors of the run itself; empty if the run passed.
    std::vector<std::string> run();
    /// One line with the counts of jobs and starts and the injected faults.
    std::string summary() const;

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    enum class Role { Entry, Side };
    /// One process of the system, with the relay between it and the store.
    struct Node {
        Role role = Role::Entry;
        int number = 0;
        std::string name;
        std::unique_ptr<Relay> storeRelay;
        std::unique_ptr<ChildProcess> process;
        /// A process that is stopping while its successor runs on other ports.
        std::unique_ptr<ChildProcess> predecessor;
        /// Whether the process uses the second set of ports.
        bool usesOtherPorts = false;
        /// Killed, stopping or frozen, and not running again yet.
        bool unavailable = false;
        /// When the process was sent SIGTERM.
        SteadyTime stopRequestedAt;
    };
    /// Disruptions of an entry, or of the store.
    struct Contact {
        int disruptions = 0;
        SteadyTime restoredAt;
        /// When the entry was last stopped as planned.
        std::optional<SteadyTime> plannedStopAt;
    };
    /// An action that ends a fault once it is due.
    struct Recovery {
        SteadyTime at;
        std::function<void()> action;
    };

    int portOf(int block, int number) const;
    bool start();
    void writeSettings(const Node& node) const;
    void launch(Node& node);
    /// Starts the node again once its process has ended; checks again later until then, without delaying other faults.
    void restartWhenStopped(Node& node, bool beforeSignalHandling);
    /// The entry with the newest ownership claim in the store; null before the first claim.
    Node* owner();
    void injectFault();
    void injectNodeFault(Node& node, unsigned kind);
    void killAllNodes();
    /// Sends a side the announcement of a host that is not its own.
    void injectForeignAnnouncement();
    /// Closes an availability zone as an operator does, or reopens it if it is closed.
    void requestZoneChange(const std::string& zone);
    void injectZoneRequest();
    void noteFault(const std::string& fault);
    void injectMachineFault();
    /// Silences all open connections; new ones work.
    void injectSilence();
    /// Breaks the connections of the host and stops its side at once; the side's successor starts while it stops.
    void stopMachine(std::size_t host);
    void injectStoreFault(unsigned kind);
    void injectHostFault(std::size_t number, unsigned kind);
    void scheduleRecovery(std::chrono::milliseconds after, std::function<void()> action);
    void scheduleRecovery(unsigned minimumMilliseconds, unsigned maximumMilliseconds, std::function<void()> action);
    void runRecoveries(bool all);
    unsigned draw(unsigned below) { return m_random() % below; }

    void clientLoop(unsigned seed);
    /// Submits queued jobs until the run stops.
    void submitLoop();
    void submitJob(std::mt19937& random, int number);
    void cancelJob(std::mt19937& random, const std::string& jobId);
    void pollJobStatus(std::mt19937& random);
    void pollJobStatus(int entry, const std::string& jobId);
    void pollWaitingCount(int entry);
    /// An entry is in touch while, for contactTime, neither its process, its connection to the store nor the store has
    /// been disrupted.
    bool isInTouch(int entry) const;
    void beginDisruption(const Node& node);
    void endDisruption(const Node& node);
    Contact& storeContact() { return m_contacts.back(); }
    void changeDisruptions(Contact& contact, int change);
    /// Asks one entry for the states of accepted jobs and the number of waiting ones, at any time of the run.
    void statusLoop(int entry);
    bool isSettled() const;
    /// Stops entries as planned, with nothing else near, while clients submit jobs and ask for them.
    void runPlannedStops();
    /// Stops an entry, every other time the owner, and starts it again once it has ended.
    void stopEntry();
    /// Judges how a request to an entry ended that was stopped as planned.
    void judgeEnd(int entry, const std::string& request, SteadyTime sentAt, const HttpResponse& response);
    /// Waits without faults until every job has finished and every long-running task runs, and reports those that do
    /// not while there is room.
    void settle();
    HttpResponse call(int entry, const std::string& method, const std::string& jobId, const std::string& body);

    SoakOptions m_options;
    std::mt19937 m_random;
    /// Draws foreign announcements, so that they leave the other faults of a seed as they are.
    std::mt19937 m_foreignRandom;
    /// Draws machine faults, for the same reason.
    std::mt19937 m_machineRandom;
    /// Draws silences, for the same reason.
    std::mt19937 m_silenceRandom;
    /// Draws requests of operators, for the same reason.
    std::mt19937 m_zoneRandom;
    std::set<std::string> m_closedZones;
    RunAudit m_audit;
    std::shared_ptr<HttpClient> m_http;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<Relay>> m_hostRelays;
    /// Before the peer ports of the entries; only with silences.
    std::vector<std::unique_ptr<Relay>> m_peerRelays;
    std::vector<std::unique_ptr<HostStandIn>> m_hosts;
    std::vector<Node> m_nodes;
    std::vector<Recovery> m_recoveries;
    /// One for each entry; the last one is the store's.
    std::vector<Contact> m_contacts;
    mutable std::mutex m_contactsMutex;
    /// Answers under traffic to requests for jobs that every entry must know: of entries in touch, and of others.
    std::atomic<std::size_t> m_statesInTouch { 0 };
    std::atomic<std::size_t> m_statesOutOfTouch { 0 };
    std::vector<std::string> m_faults;
    /// Long-running tasks that were judged after the faults, and those that were not.
    std::pair<std::size_t, std::size_t> m_longRunningTasks;
    /// Until then all node faults hit the current owner, one owner after the other.
    SteadyTime m_ownerFaultsUntil;
    /// Weight of host faults in this run, against a weight of 8 for all other faults.
    unsigned m_hostFaultWeight;
    /// Jobs to submit: the seed of each job's random numbers and its number.
    std::deque<std::pair<unsigned, int>> m_jobQueue;
    std::mutex m_jobQueueMutex;
    std::condition_variable m_jobQueued;
    /// Jobs that were not submitted because too many submissions waited for answers.
    std::size_t m_skippedJobs = 0;
    /// Set while disruptions other than planned stops are over, and clients repeat no request on their own.
    std::atomic<bool> m_plannedStops { false };
    std::size_t m_plannedStopCount = 0;
    /// Requests to entries around their planned stops: those answered, and those cut before they count as read.
    std::atomic<std::size_t> m_answeredAroundStops { 0 };
    std::atomic<std::size_t> m_cutUnreadAroundStops { 0 };
    std::atomic<bool> m_submitting { true };
    std::atomic<bool> m_stopping { false };
};

} // namespace Plantainpier
