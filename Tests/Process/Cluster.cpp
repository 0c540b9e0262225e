#include "Process/Cluster.h"

#include "Process/Loopback.h"
#include "Support/TestBundle.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr const char* loopbackAddress = "127.0.0.1";
    constexpr std::chrono::seconds startTimeout(20);
    constexpr std::chrono::milliseconds awaitPollInterval(20);
    constexpr Duration callTimeout = seconds(10);
    /// Below the system's range of ports for outgoing connections; each test process uses a slice of its own.
    constexpr int firstPort = 12'000;
    constexpr int portsPerSlice = 200;
    constexpr int portSlices = 100;

    bool isPortFree(int port)
    {
        const sockaddr_in address = loopback(port);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const bool free = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        return free;
    }

    int allocatePort()
    {
        static const int firstPortOfSlice = firstPort + ::getpid() % portSlices * portsPerSlice;
        static int takenCount = 0;
        while (true) {
            const int port = firstPortOfSlice + takenCount++ % portsPerSlice;
            if (isPortFree(port))
                return port;
        }
    }

    std::vector<int> allocatePorts(int count)
    {
        std::vector<int> ports;
        ports.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n)
            ports.push_back(allocatePort());
        return ports;
    }

    void writeFile(const std::string& path, const Json& json) { std::ofstream(path) << json.dump(2) << "\n"; }

} // namespace

Cluster::Cluster(const ClusterOptions& options)
    : m_options(options)
    , m_http(takeValue(HttpClient::create()))
    , m_logPort(allocatePort())
    , m_entryPorts(allocatePorts(options.entries))
    , m_entryPeerPorts(allocatePorts(options.entries))
    , m_sidePorts(allocatePorts(options.sides))
    , m_sidePeerPorts(allocatePorts(options.sides))
    , m_relayPorts(allocatePorts(options.sides))
    , m_workerPorts(allocatePorts(options.sides))
    , m_targetPorts(allocatePorts(options.sides))
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/plantainpier-XXXXXX";
    m_directory = ::mkdtemp(pattern.data());
}

Cluster::~Cluster()
{
    m_targets.clear();
    m_sides.clear();
    m_entries.clear();
    m_workers.clear();
    m_log.reset();
    if (!std::getenv("PLANTAINPIER_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

void Cluster::writeEntrySettings(int n) const
{
    const std::size_t at = static_cast<std::size_t>(n);
    writeFile(path("entry-" + std::to_string(n) + ".json"),
        { { "role", "entry" }, { "id", "entry-" + std::to_string(n) },
            { "zone", "zone-" + std::to_string(n % m_options.zones) }, { "cell", "cell" },
            { "listen",
                { { "address", loopbackAddress }, { "http_port", m_entryPorts[at] },
                    { "peer_port", m_entryPeerPorts[at] } } },
            { "log", { { "address", loopbackAddress }, { "port", m_logPort } } },
            { "trusted_keys", { testKey().publicHex() } } });
}

void Cluster::writeSideSettings(int n) const
{
    const std::size_t at = static_cast<std::size_t>(n);
    Json entries = Json::array();
    for (int port : m_entryPeerPorts)
        entries.push_back({ { "address", loopbackAddress }, { "port", port } });
    Json listen { { "address", loopbackAddress }, { "http_port", m_sidePorts[at] },
        { "peer_port", m_sidePeerPorts[at] } };
    if (m_options.relays)
        listen["announced_peer_port"] = m_relayPorts[at];
    writeFile(path("side-" + std::to_string(n) + ".json"),
        { { "role", "side" }, { "id", "side-" + std::to_string(n) },
            { "zone", "zone-" + std::to_string(n % m_options.zones) }, { "rack", "rack-" + std::to_string(n / 3) },
            { "listen", listen }, { "worker", { { "address", loopbackAddress }, { "port", m_workerPorts[at] } } },
            { "capacity",
                { { "milli_processors", m_options.milliProcessors }, { "memory_mb", m_options.memoryMegabytes } } },
            { "entries", entries }, { "trusted_keys", { testKey().publicHex() } } });
}

void Cluster::startEntry(int n)
{
    const std::string name = "entry-" + std::to_string(n);
    writeEntrySettings(n);
    m_entries.insert_or_assign(
        n, ChildProcess({ DAEMON_PROGRAM, "--config", path(name + ".json") }, path(name + ".log")));
}

void Cluster::startSide(int n)
{
    const std::string name = "side-" + std::to_string(n);
    writeSideSettings(n);
    m_sides.insert_or_assign(
        n, ChildProcess({ DAEMON_PROGRAM, "--config", path(name + ".json") }, path(name + ".log")));
}

void Cluster::startTarget(int n) { launchTarget(n, m_sidePorts[static_cast<std::size_t>(n)]); }

void Cluster::startUnannouncedTarget(int n) { launchTarget(n, allocatePort()); }

void Cluster::launchTarget(int n, int announcedSidePort)
{
    const std::size_t at = static_cast<std::size_t>(n);
    const std::string name = "target-" + std::to_string(n);
    m_targets.insert_or_assign(n,
        ChildProcess(
            { STAND_IN_PROGRAM, "target", "--id", name, "--port", std::to_string(m_targetPorts[at]), "--side-port",
                std::to_string(announcedSidePort), "--worker-port", std::to_string(m_workerPorts[at]), "--service-ms",
                std::to_string(m_options.serviceMilliseconds), "--audit-file", path(name + ".audit") },
            path(name + ".log")));
}

void Cluster::start()
{
    m_log.emplace(
        std::vector<std::string> { STAND_IN_PROGRAM, "log", "--port", std::to_string(m_logPort) }, path("log.log"));
    for (int n = 0; n < m_options.sides; ++n) {
        const std::size_t at = static_cast<std::size_t>(n);
        m_workers.emplace(n,
            ChildProcess({ STAND_IN_PROGRAM, "worker", "--port", std::to_string(m_workerPorts[at]) },
                path("worker-" + std::to_string(n) + ".log")));
        if (m_options.relays)
            m_relays[n] = std::make_unique<Relay>(m_relayPorts[at], m_sidePeerPorts[at]);
    }
    for (int n = 0; n < m_options.entries; ++n)
        startEntry(n);
    for (int n = 0; n < m_options.sides; ++n) {
        startSide(n);
        startTarget(n);
    }
    CPPUNIT_ASSERT(await(startTimeout, [this] { return status(0).value("log_away", true) == false; }));
    rollOut(1);
    CPPUNIT_ASSERT(await(startTimeout, [this] { return isFullyConnected(); }));
}

void Cluster::rollOut(std::int64_t version)
{
    const HttpResponse response
        = call(entryPort(0), "POST", "/v1/bundles", makeSignedBundle(makeTestBundleContent(version)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
}

void Cluster::setInRotation(int entry, bool inRotation)
{
    std::lock_guard<std::mutex> lock(m_rotationMutex);
    if (inRotation)
        m_outOfRotation.erase(entry);
    else
        m_outOfRotation.insert(entry);
}

std::vector<int> Cluster::entriesInRotation()
{
    std::lock_guard<std::mutex> lock(m_rotationMutex);
    std::vector<int> entries;
    for (int n = 0; n < m_options.entries; ++n) {
        if (!m_outOfRotation.contains(n))
            entries.push_back(n);
    }
    return entries;
}

bool Cluster::isFullyConnected() const
{
    for (int n = 0; n < m_options.entries; ++n) {
        if (!m_entries.contains(n) || !m_entries.at(n).isRunning())
            continue;
        const Json entryStatus = status(n);
        if (!entryStatus.value("ready", false))
            return false;
        int usableSides = 0;
        for (const Json& side : entryStatus.value("sides", Json::array())) {
            const bool isUsable = side.value("present", false) && side.value("link_up", false)
                && side.value("target", false) && side.value("bundle", 0) > 0;
            usableSides += isUsable ? 1 : 0;
        }
        if (usableSides < m_options.sides)
            return false;
    }
    return true;
}

HttpResponse Cluster::call(int port, const std::string& method, const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method = method;
    request.address = loopbackAddress;
    request.port = port;
    request.path = path;
    request.body = body;
    request.timeout = callTimeout;
    request.useNewConnection = true;
    return m_http->fetch(std::move(request));
}

Json Cluster::callJson(int port, const std::string& method, const std::string& path, const Json& body) const
{
    const HttpResponse response = call(port, method, path, body.is_null() ? "" : body.dump());
    const Json json = Json::parse(response.body, nullptr, false);
    return json.is_object() ? json : Json::object();
}

std::map<std::string, int> Cluster::runCounts() const
{
    std::map<std::string, int> counts;
    for (int n = 0; n < m_options.sides; ++n) {
        std::ifstream file(path("target-" + std::to_string(n) + ".audit"));
        CPPUNIT_ASSERT_MESSAGE("no audit file of target " + std::to_string(n), file.is_open());
        std::string line;
        while (std::getline(file, line))
            ++counts[line];
    }
    return counts;
}

int Cluster::targetRunCount(int n) const
{
    std::ifstream file(path("target-" + std::to_string(n) + ".audit"));
    return static_cast<int>(std::count(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>(), '\n'));
}

Json Cluster::workerAudit(int n) const
{
    return callJson(m_workerPorts[static_cast<std::size_t>(n)], "GET", "/v1/starts");
}

std::vector<Json> Cluster::starts() const
{
    std::vector<Json> all;
    for (int n = 0; n < m_options.sides; ++n) {
        const Json audit = workerAudit(n);
        for (Json start : audit.value("starts", Json::array())) {
            start["worker"] = n;
            all.push_back(start);
        }
    }
    return all;
}

bool Cluster::await(std::chrono::milliseconds limit, const std::function<bool()>& condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(awaitPollInterval);
    }
    return condition();
}

int Cluster::countLogLines(const std::string& process, const std::string& text) const
{
    std::ifstream file(path(process + ".log"));
    std::string line;
    int found = 0;
    while (std::getline(file, line))
        found += line.find(text) != std::string::npos ? 1 : 0;
    return found;
}

std::string Cluster::runTool(const std::vector<std::string>& arguments, int& exitCode) const
{
    std::vector<std::string> command { TOOL_PROGRAM };
    command.insert(command.end(), arguments.begin(), arguments.end());
    const std::string output = path("tool.out");
    std::filesystem::remove(output);
    ChildProcess child(command, output);
    exitCode = child.wait();
    std::ostringstream text;
    text << std::ifstream(output).rdbuf();
    return text.str();
}

} // namespace Plantainpier
