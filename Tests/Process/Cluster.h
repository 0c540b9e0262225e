/// The whole system as real processes on loopback, for tests that kill, freeze and disconnect processes.
#pragma once

#include "Base/Json.h"
#include "Process/ChildProcess.h"
#include "Process/Relay.h"
#include "Shell/Connection/HttpClient.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace Plantainpier {

/// Size and timing of the cluster.
struct ClusterOptions {
    int entries = 2;
    int sides = 3;
    int zones = 3;
    int serviceMilliseconds = 2;
    std::int64_t milliProcessors = 16'000;
    std::int64_t memoryMegabytes = 60'000;
    /// Whether a relay runs between the entries and each side's peer port.
    bool relays = false;
};

/// Entries, sides with a target and a worker each, and a log; numbered from 0. The destructor kills all processes.
class Cluster {
public:
    explicit Cluster(const ClusterOptions& options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// Starts all processes, rolls the bundle out and waits until every entry can use every target.
    void start();
    void startEntry(int n);
    void startSide(int n);
    void startTarget(int n);
    /// Starts a target on the port of the earlier one without announcing it to its side.
    void startUnannouncedTarget(int n);
    void rollOut(std::int64_t version);
    /// Simulates the platform's load balancer: entries out of rotation get no new callers. All entries are in rotation
    /// at first.
    void setInRotation(int entry, bool inRotation);
    std::vector<int> entriesInRotation();

    ChildProcess& log() { return *m_log; }
    ChildProcess& entry(int n) { return m_entries.at(n); }
    ChildProcess& side(int n) { return m_sides.at(n); }
    ChildProcess& target(int n) { return m_targets.at(n); }
    ChildProcess& worker(int n) { return m_workers.at(n); }
    Relay& relay(int n) { return *m_relays.at(n); }
    const ClusterOptions& options() const { return m_options; }
    const std::shared_ptr<HttpClient>& http() const { return m_http; }

    int entryPort(int n) const { return m_entryPorts[static_cast<std::size_t>(n)]; }
    int entryPeerPort(int n) const { return m_entryPeerPorts[static_cast<std::size_t>(n)]; }
    int targetPort(int n) const { return m_targetPorts[static_cast<std::size_t>(n)]; }
    int sidePort(int n) const { return m_sidePorts[static_cast<std::size_t>(n)]; }
    int logPort() const { return m_logPort; }

    HttpResponse call(int port, const std::string& method, const std::string& path, const std::string& body = "") const;
    Json callJson(int port, const std::string& method, const std::string& path, const Json& body = Json()) const;
    Json status(int entry) const { return callJson(entryPort(entry), "GET", "/v1/status"); }
    void setLogSwitches(const Json& switches) const { callJson(m_logPort, "POST", "/v1/switches", switches); }
    /// Number of runs by request body, over all targets and all their incarnations.
    std::map<std::string, int> runCounts() const;
    /// Number of runs on target n.
    int targetRunCount(int n) const;
    /// The worker's clock and all starts that it has recorded.
    Json workerAudit(int n) const;
    /// All starts on workers that are still running, with the worker's number.
    std::vector<Json> starts() const;
    /// Waits for the condition; false if it does not hold within the limit.
    static bool await(std::chrono::milliseconds limit, const std::function<bool()>& condition);
    /// Whether every running entry has a working link to every side with a target.
    bool isFullyConnected() const;
    /// Number of lines in the process's log that contain the text.
    int countLogLines(const std::string& process, const std::string& text) const;
    std::string runTool(const std::vector<std::string>& arguments, int& exitCode) const;
    const std::string& directory() const { return m_directory; }

private:
    std::string path(const std::string& file) const { return m_directory + "/" + file; }
    void launchTarget(int n, int announcedSidePort);
    void writeEntrySettings(int n) const;
    void writeSideSettings(int n) const;

    ClusterOptions m_options;
    std::string m_directory;
    std::shared_ptr<HttpClient> m_http;
    int m_logPort = 0;
    std::vector<int> m_entryPorts;
    std::vector<int> m_entryPeerPorts;
    std::vector<int> m_sidePorts;
    std::vector<int> m_sidePeerPorts;
    std::vector<int> m_relayPorts;
    std::vector<int> m_workerPorts;
    std::vector<int> m_targetPorts;
    std::optional<ChildProcess> m_log;
    std::map<int, ChildProcess> m_workers;
    std::map<int, ChildProcess> m_entries;
    std::map<int, ChildProcess> m_sides;
    std::map<int, ChildProcess> m_targets;
    std::map<int, std::unique_ptr<Relay>> m_relays;
    std::mutex m_rotationMutex;
    std::set<int> m_outOfRotation;
};

} // namespace Plantainpier
