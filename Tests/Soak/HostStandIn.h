/// A stand-in for one of the platform's hosts: announces itself to its side, runs tasks under leases and fences, lists
/// what runs and what ended, crashes, starts again under its id, and carries orders out late. Used by the soak, in its
/// own process.
#pragma once

#include "Base/Json.h"
#include "Process/Relay.h"
#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/HttpServer.h"
#include "Soak/RunAudit.h"

#include <deque>
#include <random>

namespace Plantainpier {

/// What becomes of the orders of a host, in percent of them.
struct OrderTrouble {
    /// No answer; carried out at once, late or never.
    unsigned unanswered = 0;
    /// The same, and the connections are reset once the order has been read.
    unsigned reset = 0;
    /// The host ends over the next start that it reads, and begins again under its id.
    bool endsOverStart = false;
};

/// Lives for one run of the soak; an incarnation in it ends with each crash.
class HostStandIn {
public:
    static Result<std::unique_ptr<HostStandIn>> create(int number, int port, Relay& relay, int sidePort,
        RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    ~HostStandIn();
    HostStandIn(const HostStandIn&) = delete;
    HostStandIn& operator=(const HostStandIn&) = delete;

    /// Everything that runs here ends; another incarnation is there after the pause.
    void crash(std::chrono::milliseconds pause, bool keepsId);
    void setTrouble(const OrderTrouble& trouble);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Run {
        SoakTask task;
        int run = 0;
        SteadyTime endsAt;
        std::string how;
        bool stopping = false;
    };
    struct End {
        std::int64_t number = 0;
        SoakTask task;
        int run = 0;
        std::string how;
        /// The lease was over between the end and its acknowledgement: the platform does not count it as taken note of.
        bool leaseLapsed = false;
    };
    /// An order that got no answer, on its way to whoever has the id then.
    struct Late {
        std::string id;
        std::string life;
        std::string path;
        Json body;
        SteadyTime at;
    };
    struct WaitingList {
        std::shared_ptr<HttpCall> call;
        SteadyTime until;
    };
    struct Answer {
        int status = 0;
        Json body;
    };

    HostStandIn(
        int number, Relay& relay, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    void begin(SteadyTime now);
    void endLife(SteadyTime now, std::chrono::milliseconds pause, bool keepsId);
    void announce(SteadyTime now);
    void announce(const std::string& id, std::int64_t born, SteadyTime now);
    void onCall(const std::shared_ptr<HttpCall>& call);
    void onTrouble(const std::string& path, const Json& body, bool resets);
    Answer carryOut(const std::string& path, const Json& body, const std::string& origin);
    Answer start(const Json& body, const std::string& origin);
    Answer stop(const Json& body);
    void hold(const Json& body);
    Answer list() const;
    Answer refuse(const char* reason) const;
    std::int64_t clockMilliseconds(SteadyTime now) const;
    void acknowledge(const End& end);
    void end(const Run& run, const std::string& how);
    /// Ends what runs without a lease.
    void lapse(SteadyTime now);
    void tend();
    void work(SteadyTime now);
    void carryOutLate(SteadyTime now);
    unsigned draw(unsigned below) { return m_random() % below; }

    int m_number;
    Relay& m_relay;
    int m_sidePort;
    RunAudit& m_audit;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    std::mt19937 m_random;
    OrderTrouble m_trouble;
    std::string m_id;
    /// The incarnation: the id and the time of its start; none before downUntil.
    std::string m_life;
    std::int64_t m_born = 0;
    /// In thousandths of the rate of a true clock.
    int m_clockRate = 1000;
    bool m_keepsId = false;
    SteadyTime m_begunAt;
    SteadyTime m_downUntil;
    SteadyTime m_announcedAt;
    /// When a beat of the earlier life of this id arrives.
    std::optional<SteadyTime> m_oldBeatAt;
    std::int64_t m_oldBorn = 0;
    std::string m_oldId;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastNumber = 0;
    std::int64_t m_acknowledged = 0;
    std::map<SoakTask, Run> m_runs;
    /// The highest run that was stopped or ended, by task.
    std::map<SoakTask, int> m_over;
    std::deque<End> m_ends;
    std::vector<Late> m_late;
    std::vector<WaitingList> m_waiting;
    bool m_stopping = false;
    std::thread m_tender;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Plantainpier
