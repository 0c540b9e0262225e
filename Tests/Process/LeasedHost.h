/// A host of the users' platform for process tests: announces itself to its side, runs tasks under leases and records
/// when they start and whether a lease lapses. Never fails by itself; the soak has a host that does (HostStandIn).
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpClient.h"
#include "Support/KeepAliveServer.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Plantainpier {

/// One incarnation of one host. A task runs until it is stopped if its payload begins with longRunningPayload, and for
/// taskDuration otherwise.
class LeasedHost {
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    static constexpr const char* longRunningPayload = "lasting";
    static constexpr std::chrono::milliseconds taskDuration { 300 };

    /// Listens on the port and announces itself to the side that listens on sidePort.
    LeasedHost(std::string id, int port, int sidePort, std::shared_ptr<HttpClient> http);
    ~LeasedHost();
    LeasedHost(const LeasedHost&) = delete;
    LeasedHost& operator=(const LeasedHost&) = delete;

    /// When a task of the job first started here.
    std::optional<SteadyTime> firstStart(const std::string& jobId);
    std::size_t runningCount();
    /// Runs that ended because their lease was not renewed.
    std::size_t lapsedCount();

private:
    struct Run {
        int number = 0;
        bool longRunning = false;
        SteadyTime endsAt;
    };
    struct WaitingList {
        std::shared_ptr<HttpCall> call;
        SteadyTime until;
    };

    void onCall(const std::shared_ptr<HttpCall>& call);
    std::int64_t clockMilliseconds() const;
    Json listRuns() const;
    void announce();
    void endRun(const std::string& task, const Run& run, const char* how);
    void endDueRuns();
    void answerLists();
    void runBackground();

    std::string m_id;
    int m_sidePort;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    SteadyTime m_startedAt = std::chrono::steady_clock::now();
    std::int64_t m_born;
    std::int64_t m_announcements = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastEnd = 0;
    std::size_t m_lapsed = 0;
    std::map<std::string, Run> m_runs;
    /// Ends that are not acknowledged, by number.
    std::map<std::int64_t, Json> m_ends;
    std::map<std::string, SteadyTime> m_firstStarts;
    std::vector<WaitingList> m_waitingLists;
    bool m_stopping = false;
    std::unique_ptr<KeepAliveServer> m_server;
    std::thread m_background;
};

} // namespace Plantainpier
