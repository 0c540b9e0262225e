/// Simulates one host of the platform for the soak: announces the host to its side, runs tasks under leases and fences,
/// lists running and ended tasks, crashes, restarts under the same id and executes orders late. Runs in the soak's own
/// process.
#pragma once

#include "Base/Json.h"
#include "Process/Relay.h"
#include "Shell/Connection/HttpClient.h"
#include "Soak/RunAudit.h"
#include "Support/KeepAliveServer.h"

#include <deque>
#include <random>

namespace Plantainpier {

/// Faults that are injected into the orders that a host receives, in percent of the orders.
struct OrderFaults {
    /// Orders that get no answer; each is executed at once, late or never.
    unsigned unansweredPercent = 0;
    /// Orders that get no answer and whose connections are reset once the order has been read.
    unsigned resetPercent = 0;
    /// The host crashes while it handles the next start order and restarts under the same id.
    bool crashesOnStart = false;
};

/// One host for the whole run of the soak; each crash ends its current incarnation.
class HostStandIn {
public:
    static Result<std::unique_ptr<HostStandIn>> create(int number, int port, Relay& relay, int sidePort,
        RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    ~HostStandIn();
    HostStandIn(const HostStandIn&) = delete;
    HostStandIn& operator=(const HostStandIn&) = delete;

    /// The availability zone of the host with this number; there are two.
    static std::string zoneOf(int number) { return number % 2 == 0 ? "zone-a" : "zone-b"; }

    /// Ends all tasks of the current incarnation; the next incarnation starts after the pause.
    void crash(std::chrono::milliseconds pause, bool reusesId);
    /// Sends further announcements to another port of the host's side.
    void setSidePort(int sidePort);
    void setOrderFaults(const OrderFaults& faults);
    /// Announces the host, or a host that does not exist, to the side of another host.
    void announceToOtherSide(int sidePort, bool exists);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Run {
        SoakTask task;
        int run = 0;
        SteadyTime endsAt;
        std::string outcome;
        bool stopping = false;
    };
    struct End {
        std::int64_t number = 0;
        SoakTask task;
        int run = 0;
        std::string outcome;
        /// The lease expired between the end and its acknowledgement, so the platform does not count the end as
        /// acknowledged.
        bool leaseLapsed = false;
    };
    /// An order that got no answer and is executed later by the incarnation that has its host id then.
    struct LateOrder {
        std::string id;
        std::string incarnation;
        std::string path;
        Json body;
        SteadyTime at;
    };
    struct WaitingListCall {
        std::shared_ptr<HttpCall> call;
        SteadyTime until;
    };
    struct Answer {
        int status = 0;
        Json body;
    };

    HostStandIn(
        int number, Relay& relay, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    void startIncarnation(SteadyTime now);
    void endIncarnation(SteadyTime now, std::chrono::milliseconds pause, bool reusesId);
    void announce(SteadyTime now);
    void announce(int sidePort, const std::string& id, std::int64_t born, SteadyTime now);
    void onCall(const std::shared_ptr<HttpCall>& call);
    void injectOrderFault(const std::string& path, const Json& body, bool resets);
    Answer execute(const std::string& path, const Json& body, const std::string& origin);
    Answer start(const Json& body, const std::string& origin);
    Answer stop(const Json& body);
    void hold(const Json& body);
    Answer list() const;
    Answer refuse(const char* reason) const;
    std::int64_t clockMilliseconds(SteadyTime now) const;
    void acknowledge(const End& end);
    void end(const Run& run, const std::string& outcome);
    /// Ends all runs if the lease has expired.
    void expireLease(SteadyTime now);
    void runBackgroundLoop();
    void processDue(SteadyTime now);
    void executeLateOrders(SteadyTime now);
    unsigned draw(unsigned below) { return m_random() % below; }

    int m_number;
    Relay& m_relay;
    int m_sidePort;
    RunAudit& m_audit;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    std::mt19937 m_random;
    OrderFaults m_orderFaults;
    std::string m_id;
    /// The current incarnation, written as "id/start time"; empty while the host is down, until m_downUntil.
    std::string m_incarnation;
    /// Unix time of the incarnation's start in milliseconds, sent as "born".
    std::int64_t m_born = 0;
    /// Speed of the host's clock, in thousandths of real time.
    int m_clockRatePerMille = 1000;
    bool m_reusesId = false;
    SteadyTime m_startedAt;
    SteadyTime m_downUntil;
    SteadyTime m_announcedAt;
    /// When a delayed announcement of the earlier incarnation of this id is sent.
    std::optional<SteadyTime> m_staleAnnouncementAt;
    std::int64_t m_staleBorn = 0;
    std::string m_staleId;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastEndNumber = 0;
    std::int64_t m_acknowledgedUpTo = 0;
    std::map<SoakTask, Run> m_runs;
    /// The highest run number that was stopped or has ended, by task.
    std::map<SoakTask, int> m_highestEndedRuns;
    std::deque<End> m_ends;
    std::vector<LateOrder> m_lateOrders;
    std::vector<WaitingListCall> m_waitingListCalls;
    bool m_stopping = false;
    std::thread m_backgroundThread;
    std::unique_ptr<KeepAliveServer> m_server;
};

} // namespace Plantainpier
