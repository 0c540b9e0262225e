/// Stand-in for a target: a few slots, and a service time that grows with what else runs on the host.
/// Protocol: docs/PLATFORM.md.
#pragma once

#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/HttpServer.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>

namespace Plantainpier {

/// What a target stand-in is told at its start.
struct TargetStandInOptions {
    std::string targetId;
    std::string address;
    int port = 0;
    int sidePort = 0;
    /// Zero: it does not look at a worker.
    int workerPort = 0;
    int slots = 8;
    int connections = 64;
    std::chrono::milliseconds service { 10 };
    /// Gets a line for each run at its start; outlives the process. Empty: none.
    std::string auditFile;
    /// Growth of the service time when batch uses this many thousandths of a processor.
    std::int64_t doublesAtMilliProcessors = 32'000;
};

/// Answers after its service time and records every run. Used by tests and the quick start.
class TargetStandIn {
public:
    TargetStandIn(const TargetStandInOptions& options, std::shared_ptr<HttpClient> http);
    ~TargetStandIn();
    TargetStandIn(const TargetStandIn&) = delete;
    TargetStandIn& operator=(const TargetStandIn&) = delete;

    void onCall(const std::shared_ptr<HttpCall>& call);
    /// Announces that it leaves and waits until the side has nothing more in progress here.
    void leave();

private:
    using Clock = std::chrono::steady_clock;

    void run(const std::shared_ptr<HttpCall>& call);
    void begin(const std::shared_ptr<HttpCall>& call);
    void serve();
    void announceRepeatedly();
    /// Requests that the side still has in progress; -1 when it did not answer.
    int announce(bool leaving);
    void watchWorker();
    std::string answerTo(const std::string& body) const;
    std::chrono::milliseconds serviceTimeOf(const std::string& body) const;

    TargetStandInOptions m_options;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<Clock::time_point, std::shared_ptr<HttpCall>> m_running;
    std::deque<std::shared_ptr<HttpCall>> m_waiting;
    std::deque<std::string> m_runs;
    std::ofstream m_audit;
    std::atomic<std::int64_t> m_usedMilliProcessors { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_server;
    std::thread m_announcer;
};

} // namespace Plantainpier
