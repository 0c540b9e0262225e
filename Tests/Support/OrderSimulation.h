/// Simulates hosts, sides and owners of jobs over an unreliable network in virtual time. Sides are real HostAgents and
/// owners real JobOwners; the hosts are VirtualHosts. Used by OrderHistoryTest and OrderHistoryAtOnceTest.
#pragma once

#include "Decision/Process/HostAgent.h"
#include "Support/JobAnswerCheck.h"
#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"
#include "Support/VirtualStore.h"
#include "Support/ZoneHistory.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Plantainpier {

/// How hosts restart after a crash.
enum class HostRestarts {
    /// After the shortest time that a process takes to start, and announced at once. Late orders to an earlier
    /// incarnation have no effect until the side has called the next one.
    Ordinary,
    /// After 20 ms or more, announced up to 1.1 s later. Late orders to an earlier incarnation take effect.
    Immediate,
};

/// What a history holds beside its ordinary faults.
struct HistoryOptions {
    HostRestarts restarts = HostRestarts::Ordinary;
    /// A process of a side goes on for a while, sometimes suspended, beside the one that replaces it.
    bool overlappingSides = false;
    /// Hosts drain, leave by plan and are followed by hosts with other ids.
    bool plannedDepartures = false;
    /// More hosts and jobs, steps wider than a host, and lists that omit ends.
    bool largeFleet = false;
    /// Calls, answers and messages wait for hundreds of milliseconds.
    bool slowAnswers = false;
    /// Operators close and reopen availability zones.
    bool zoneClosures = false;
};

/// Simulates the history of one seed.
class OrderSimulation {
public:
    OrderSimulation(unsigned seed, const HistoryOptions& options);

    /// Simulates the given time with random faults, then enough time without faults for all jobs to finish.
    void run(int milliseconds);
    /// Simulates hand-overs without other faults. While the sides have no owner, a third of the hosts leaves by plan
    /// and others take their place. Returns the longest time for which a long-running task had no run.
    int runHandOvers(int count);
    /// Violations of the guarantees for runs and jobs and for answers to clients, one sentence each.
    std::vector<std::string> violations() const;
    /// Hosts that the newest owner has not listed, one sentence each.
    std::vector<std::string> unlistedHosts() const;
    std::size_t startedRunCount() const { return m_records.size(); }
    /// Starts in zones that were closed within the bound.
    std::size_t startsInClosingZones() const { return m_zones.countStartsWithinBound(m_records); }

private:
    /// The newest owner, or a former one that has not noticed its replacement yet.
    struct OwnerModel {
        std::int64_t term = 0;
        std::unique_ptr<JobOwner> owner;
        /// The owner is frozen until then and reads the messages that arrived meanwhile afterwards: in order within
        /// each connection, in random order between connections.
        int frozenUntil = 0;
        std::map<LinkId, std::deque<std::function<void()>>> backlog;
        std::unique_ptr<ZoneReader> zoneReader;
    };

    /// One connection of a side to an owner.
    struct Connection {
        std::size_t side = 0;
        /// Number of the side's process that opened the connection.
        int process = 0;
        std::int64_t term = 0;
        LinkId sideLink = noLink;
        bool closed = false;
        int lastToOwner = 0;
        int lastToSide = 0;
    };

    /// A process of a side that has been told to stop.
    struct FormerProcess {
        std::unique_ptr<HostAgent> agent;
        int endsAt = 0;
        /// Suspended until then: it reads and sends nothing.
        int suspendedUntil = 0;
    };

    /// One side and the host beside it.
    struct Side {
        std::unique_ptr<HostAgent> agent;
        /// Number of the current process of this side. Responses to a process that has ended are dropped.
        int process = 0;
        std::map<int, FormerProcess> formerProcesses;
        std::unique_ptr<VirtualHost> host;
        bool hostUp = true;
        int hostRestartAt = 0;
        bool draining = false;
        /// A draining host ends then.
        int departsAt = 0;
        /// The next host has another id.
        bool hostReplaced = false;
        /// Calls, answers and messages of the side wait until then.
        int slowUntil = 0;
        std::int64_t announcements = 0;
        int announceAt = 0;
        /// Messages to and from the side are delayed until then.
        int unreachableUntil = 0;
        /// The host refuses most new connections until then, while its runs continue.
        int refusesConnectionsUntil = 0;
        /// The host refuses all starts until then, as an unhealthy host does.
        int refusesStartsUntil = 0;
    };

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    static bool chanceOf(std::mt19937& random, double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    }
    static int below(std::mt19937& random, int count)
    {
        return static_cast<int>(random() % static_cast<unsigned>(count));
    }
    int randomBelow(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }
    void schedule(int delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    void step();
    void injectFaults();
    void submit();
    void changeOwner();
    /// Ends all owners and closes their connections.
    void endOwners();
    /// Starts the owner of the next term, which sides find after the given time.
    void startOwner(Duration leasesHeld, int foundAfter);
    /// Longest time between two runs of a long-running task, and from the end of its last run until now.
    int longestTimeWithoutRun() const;
    void restartSide(std::size_t n);
    void injectOptionalFaults();
    void drainHost(std::size_t n);
    void departHost(std::size_t n);
    /// The agent of a process that has not ended, or null.
    HostAgent* findAgent(std::size_t n, int process);
    /// Lets the process act, at once or when it is no longer suspended.
    void withAgent(std::size_t n, int process, const std::function<void(HostAgent&, Actions&)>& act);
    void stepFormerProcesses(std::size_t n);
    /// Additional wait of a call, an answer or a message of a slow side.
    int slowDelay(std::size_t n, int maximum);
    void announce(std::size_t n, int delay, const HostDescription& description);
    void crashHost(std::size_t n);
    /// Sends a side a complete announcement of a host that does not exist, or of the host of another side.
    void announceForeignHost(std::size_t n);
    static HostDescription describeHost(const VirtualHost& host);
    void stepHost(std::size_t n);
    void stepOwner(OwnerModel& model);
    /// Whether an open connection still delays messages because of a fault that is over.
    bool holdsBackMessages() const;
    /// Checks what the newest owner answers to clients, unless it is frozen.
    void checkAnswers();
    OwnerModel* findOwner(std::int64_t term);
    std::vector<StoreRecord> newestRecords();

    /// Carries out the actions of a side or an owner.
    void performSide(std::size_t n, int process, Actions&& actions);
    void performOwner(std::int64_t term, Actions&& actions);
    void open(std::size_t n, int process, const OpenLink& order);
    void close(std::size_t n, int process, LinkId sideLink);
    /// The owner closes a connection; its side notices later.
    void closeByOwner(LinkId link);
    void sendToOwner(LinkId link, std::function<void(JobOwner&, Actions&)> deliver);
    void sendToSide(LinkId link, PeerMessage message);
    void deliverToOwner(std::int64_t term, LinkId link, const std::function<void(JobOwner&, Actions&)>& deliver);
    void readClaims(std::size_t n, int process, std::uint64_t callId, std::int64_t from, bool newest, int until);

    /// Executes an order on a host, at once, late or never, and delivers the response to the side.
    void callHost(std::size_t n, int process, const std::string& hostId,
        const std::function<HostResponse(VirtualHost&)>& executeOrder,
        const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer);
    void listHost(std::size_t n, int process, const ListHost& order);
    /// Whether a call to the host finds no listener: the host is down, or it refuses this connection.
    bool isConnectionRefused(std::size_t n);
    /// Whether a call that was slow to arrive finds a later incarnation that takes no late orders.
    bool isConnectionBroken(std::size_t n, std::int64_t calledIncarnation) const;
    /// Whether a late order to an earlier incarnation takes effect on the host.
    bool acceptsLateOrders(std::size_t n) const;
    HostResponse executeList(VirtualHost& host, const ListHost& order) const;
    void awaitEnd(std::size_t n, int process, std::int64_t incarnation, int until, const ListHost& order);
    void respondToList(std::size_t n, int process, int delay, const ListHost& order, const HostResponse& response);
    void respondToSide(std::size_t n, int process, int delay, const HostResponse& response,
        const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer);

    void checkStart(const RunRecord& start, std::vector<std::string>& violations) const;
    void checkOutcome(const Wire::JobDefinition& job, std::vector<std::string>& violations) const;
    /// The newest owner's record of the host of the side, or null unless the owner has listed that host.
    const Host* findListedHost(const Side& side) const;
    /// Checks that each run that the newest owner has recorded runs on the host, once all faults are over.
    void checkRecordedRuns(const Side& side, std::vector<std::string>& violations) const;

    std::mt19937 m_random;
    /// Draws foreign announcements, so that they leave the other faults of a seed as they are.
    std::mt19937 m_foreignRandom;
    /// Each option draws from a generator of its own, for the same reason.
    std::mt19937 m_overlapRandom;
    std::mt19937 m_departureRandom;
    std::mt19937 m_fleetRandom;
    std::mt19937 m_slowRandom;
    /// Draws closures of zones and the reads of owners, for the same reason.
    ZoneHistory m_zones;
    const HistoryOptions m_options;
    /// Prints the log lines of owners and sides.
    const bool m_trace;
    int m_now = 0;
    std::int64_t m_lastTerm = 0;
    bool m_faultFree = false;
    /// Departure notices of hosts arrive at once.
    bool m_areNoticesOnTime = false;
    int m_storeUnavailableUntil = 0;
    /// Some orders are executed late until then.
    int m_ordersLateUntil = 0;
    LinkId m_lastLink = 100;
    VirtualStore m_store;
    std::vector<StoreRecord> m_claims;
    std::vector<RunRecord> m_records;
    std::vector<Side> m_sides;
    std::vector<OwnerModel> m_owners;
    std::map<LinkId, Connection> m_connections;
    std::multimap<int, std::function<void()>> m_events;
    std::vector<Wire::JobDefinition> m_jobs;
    JobAnswerCheck m_answerCheck { m_records };
};

/// Runs histories with the seeds from 1 to defaultHistories and returns the violations, one line each. The environment
/// variable PLANTAINPIER_HISTORIES changes the number of histories; PLANTAINPIER_SEED selects a single seed.
std::string runOrderHistories(unsigned defaultHistories, const HistoryOptions& options);

} // namespace Plantainpier
