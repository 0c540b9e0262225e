/// A stand-in for one of the platform's hosts: announces itself to its side, runs tasks under leases and fences, lists
/// what runs and what ended, crashes, and carries orders out late. Used by the soak, in its own process.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/HttpServer.h"
#include "Soak/RunAudit.h"

#include <deque>
#include <random>

namespace Plantainpier {

/// Lives for one run of the soak; an incarnation in it ends with each crash.
class HostStandIn {
public:
    static Result<std::unique_ptr<HostStandIn>> create(
        int number, int port, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    ~HostStandIn();
    HostStandIn(const HostStandIn&) = delete;
    HostStandIn& operator=(const HostStandIn&) = delete;

    /// Everything that runs here ends; another incarnation is there after the pause.
    void crash(std::chrono::milliseconds pause);
    /// From now on a share of the orders, in percent, gets no answer and is carried out seconds later.
    void setLateShare(unsigned percent);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Run {
        SoakTask task;
        int run = 0;
        SteadyTime endsAt;
        bool fails = false;
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
    struct Late {
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

    HostStandIn(int number, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed);
    void begin(SteadyTime now);
    void announce(SteadyTime now);
    void onCall(const std::shared_ptr<HttpCall>& call);
    Answer carryOut(const std::string& path, const Json& body);
    Answer start(const Json& body);
    Answer stop(const Json& body);
    void hold(const Json& body);
    Answer list() const;
    Answer refuse(const char* reason) const;
    std::int64_t clockMilliseconds(SteadyTime now) const;
    void end(const Run& run, const std::string& how);
    /// Ends what runs without a lease.
    void lapse(SteadyTime now);
    void tend();
    void work(SteadyTime now);

    int m_number;
    int m_sidePort;
    RunAudit& m_audit;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    std::mt19937 m_random;
    unsigned m_lateShare = 0;
    /// The incarnation; none before downUntil.
    std::string m_id;
    std::int64_t m_born = 0;
    SteadyTime m_begunAt;
    SteadyTime m_downUntil;
    SteadyTime m_announcedAt;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastNumber = 0;
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
