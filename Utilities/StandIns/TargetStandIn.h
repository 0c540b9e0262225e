/// Simulates a target: a fixed number of slots, and a service time that grows with the batch load on the host.
/// The protocol is described in docs/PLATFORM.md.
#pragma once

#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/HttpServer.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>

namespace Plantainpier {

/// Configuration of the simulated target.
struct TargetStandInOptions {
    std::string targetId;
    std::string address;
    int port = 0;
    int sidePort = 0;
    /// Port of the worker on the same host, whose load slows the target down; 0 for no worker.
    int workerPort = 0;
    /// Requests that run at once.
    int slots = 8;
    /// Requests that run or wait at once; further ones are rejected.
    int maximumConnections = 64;
    std::chrono::milliseconds serviceTime { 10 };
    /// File that gets one line at the start of each run and is kept after the process ends; empty for no file.
    std::string auditFile;
    /// Batch load on the host, in thousandths of a processor, at which the service time is twice its base value.
    std::int64_t milliProcessorsAtDoubleServiceTime = 32'000;
};

/// Responds to each request after the service time and records every run. Used by the tests and quickstart.
class TargetStandIn {
public:
    TargetStandIn(const TargetStandInOptions& options, std::shared_ptr<HttpClient> http);
    ~TargetStandIn();
    TargetStandIn(const TargetStandIn&) = delete;
    TargetStandIn& operator=(const TargetStandIn&) = delete;

    void onCall(const std::shared_ptr<HttpCall>& call);
    /// Announces the departure to the side, and waits until no request is in progress or drainTimeout has passed. A
    /// side that does not respond counts as one with no request in progress.
    void announceDepartureAndDrain();

private:
    using Clock = std::chrono::steady_clock;

    void handleRun(const std::shared_ptr<HttpCall>& call);
    void startRequest(const std::shared_ptr<HttpCall>& call);
    /// Body of the service thread: responds to requests whose service time is over, and starts waiting ones.
    void runServiceLoop();
    /// Body of the announce thread.
    void runAnnounceLoop();
    /// Announces the target to the side. Returns the number of requests that the side has in progress for the target,
    /// or -1 if the side did not respond.
    int sendAnnouncement(bool leaving);
    void updateWorkerUsage();
    std::string responseBodyFor(const std::string& body) const;
    std::chrono::milliseconds serviceTimeFor(const std::string& body) const;

    TargetStandInOptions m_options;
    std::shared_ptr<HttpClient> m_http;
    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    /// Running requests by the end of their service time.
    std::multimap<Clock::time_point, std::shared_ptr<HttpCall>> m_running;
    std::deque<std::shared_ptr<HttpCall>> m_waiting;
    /// Bodies of all requests that were started.
    std::deque<std::string> m_startedBodies;
    std::ofstream m_auditStream;
    std::atomic<std::int64_t> m_workerMilliProcessors { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_serviceThread;
    std::thread m_announceThread;
};

} // namespace Plantainpier
