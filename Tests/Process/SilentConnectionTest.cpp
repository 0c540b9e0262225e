/// The programs of the users' platform after open connections have gone silent, without a reset, while new ones work:
/// to hosts, to the store, between the processes, or all of them at one moment. Leases must not lapse, and a new job
/// must start within the time after which a process counts as in touch again.
#include "Process/ChildProcess.h"
#include "Process/LeasedHost.h"
#include "Process/Relay.h"
#include "Soak/StoreStandIn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace Plantainpier;

namespace {

using SteadyClock = std::chrono::steady_clock;

const std::string loopbackAddress = "127.0.0.1";
const std::string hostName = "desk.example";

/// Two entries, two sides with a host each, and a store, with a relay on every connection between them.
class RelayedSystem {
public:
    static constexpr int entryCount = 2;
    static constexpr int hostCount = 2;

    RelayedSystem()
        : m_folder(std::filesystem::temp_directory_path() / ("plantainpier-silent-" + std::to_string(::getpid())))
        , m_http(takeValue(HttpClient::create()))
    {
        std::filesystem::create_directories(m_folder);
        m_store = takeValue(StoreStandIn::create(storePort, 1));
        m_store->put("keyed.op", "config", configuration());
        m_store->setOwnerPortOffset(peerRelayOffset);
        for (int n = 0; n < entryCount + hostCount; ++n)
            m_storeRelays.push_back(std::make_unique<Relay>(storeRelayPort + n, storePort));
        for (int n = 0; n < entryCount; ++n)
            m_peerRelays.push_back(std::make_unique<Relay>(peerPort + peerRelayOffset + n, peerPort + n));
        for (int n = 0; n < hostCount; ++n) {
            m_hosts.push_back(
                std::make_unique<LeasedHost>("host-" + std::to_string(n), hostPort + n, announcePort + n, m_http));
            m_hostRelays.push_back(std::make_unique<Relay>(hostRelayPort + n, hostPort + n));
            m_hostRelays.back()->setConnectionLimit(connectionsPerHost);
        }
        for (int n = 0; n < entryCount + hostCount; ++n)
            launch(n);
    }

    ~RelayedSystem()
    {
        m_processes.clear();
        std::error_code ec;
        if (!std::getenv("PLANTAINPIER_KEEP_LOGS"))
            std::filesystem::remove_all(m_folder, ec);
    }
    RelayedSystem(const RelayedSystem&) = delete;
    RelayedSystem& operator=(const RelayedSystem&) = delete;

    /// Submits a job until it is accepted, as clients do; each attempt may go to another entry, over a connection of
    /// its own. Returns whether it was accepted in time.
    bool submit(const std::string& jobId, int tasks, bool longRunning, SteadyClock::time_point limit) const
    {
        Json step { { "count", tasks }, { "cpu", 100 }, { "mem_mb", 16 }, { "estimate_ms", 300 } };
        if (longRunning)
            step["long_running"] = true;
        const Json body { { "spec", longRunning ? LeasedHost::longRunningPayload : "plain" },
            { "steps", Json::array({ step }) } };
        for (int attempt = 0; SteadyClock::now() < limit; ++attempt) {
            if (call(attempt % entryCount, "POST", jobId, body.dump()).status == 200)
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    bool awaitCompleted(const std::string& jobId, SteadyClock::time_point limit) const
    {
        for (int attempt = 0; SteadyClock::now() < limit; ++attempt) {
            const HttpResponse response = call(attempt % entryCount, "GET", jobId, {});
            if (response.status == 200 && response.body.find("\"completed\"") != std::string::npos)
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    std::optional<SteadyClock::time_point> firstStart(const std::string& jobId) const
    {
        std::optional<SteadyClock::time_point> first;
        for (const std::unique_ptr<LeasedHost>& host : m_hosts) {
            const std::optional<SteadyClock::time_point> start = host->firstStart(jobId);
            if (start && (!first || *start < *first))
                first = start;
        }
        return first;
    }

    std::size_t runningCount() const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<LeasedHost>& host : m_hosts)
            count += host->runningCount();
        return count;
    }

    std::size_t lapsedCount() const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<LeasedHost>& host : m_hosts)
            count += host->lapsedCount();
        return count;
    }

    std::size_t hostConnections() const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<Relay>& relay : m_hostRelays)
            count += relay->connectionCount();
        return count;
    }

    void silenceHosts() { silence(m_hostRelays); }
    void silenceStore() { silence(m_storeRelays); }
    void silencePeers() { silence(m_peerRelays); }

private:
    static constexpr int storePort = 20'440;
    static constexpr int clientPort = 20'441;
    static constexpr int healthPort = 20'444;
    static constexpr int announcePort = 20'447;
    static constexpr int hostPort = 20'450;
    static constexpr int hostRelayPort = 20'453;
    static constexpr int storeRelayPort = 20'456;
    static constexpr int peerPort = 20'461;
    static constexpr int peerRelayOffset = 10;
    /// The platform's hosts accept this many connections at a time; silent ones count until the host gives them up.
    static constexpr std::size_t connectionsPerHost = 64;
    static constexpr std::chrono::milliseconds pollInterval { 20 };

    static std::string configuration()
    {
        const Json route { { "name", "plans" }, { "hostname", hostName }, { "path_prefix", "/plans/" },
            { "service", "desk" }, { "priority", 0 }, { "max_attempts", 4 }, { "stretch", 2 }, { "slo_ms", 1000 },
            { "timeout_ms", 3000 } };
        const Json service { { "name", "desk" }, { "enforces_capacity", false } };
        return Json {
            { "version", 1 }, { "routes", Json::array({ route }) }, { "services", Json::array({ service }) },
            { "limits", { { "max_body_bytes", 262144 } } }
        }.dump();
    }

    static void silence(const std::vector<std::unique_ptr<Relay>>& relays)
    {
        for (const std::unique_ptr<Relay>& relay : relays)
            relay->silenceExisting(true, true);
    }

    static std::string address(int port) { return loopbackAddress + ":" + std::to_string(port); }

    void launch(int node)
    {
        const bool isEntry = node < entryCount;
        const int number = isEntry ? node : node - entryCount;
        const std::string name = (isEntry ? "entry-" : "side-") + std::to_string(number);
        Json settings { { "id", name }, { "zone", "zone-a" }, { "address", loopbackAddress },
            { "peer_port", peerPort + node }, { "store_address", address(storeRelayPort + node) },
            { "service", "desk" }, { "processor_share", 0.5 }, { "shutdown_s", 6 } };
        if (isEntry) {
            settings["client_address"] = address(clientPort + number);
            settings["health_address"] = address(healthPort + number);
        } else {
            settings["announce_address"] = address(announcePort + number);
            settings["host_address"] = address(hostRelayPort + number);
        }
        const std::string path = m_folder / (name + ".json");
        std::ofstream(path) << settings.dump(2) << "\n";
        m_processes.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string> { NODE_PROGRAM, isEntry ? "entry" : "side", "--settings", path },
            m_folder / (name + ".log"), true));
    }

    HttpResponse call(int entry, const std::string& method, const std::string& jobId, const std::string& body) const
    {
        HttpRequest request;
        request.method = method;
        request.address = loopbackAddress;
        request.port = clientPort + entry;
        request.path = "/plans/" + jobId;
        request.body = body;
        request.headers = { "Host: " + hostName, "Request-Deadline: 3000" };
        request.timeout = seconds(3);
        request.useNewConnection = true;
        return m_http->fetch(std::move(request));
    }

    std::filesystem::path m_folder;
    std::shared_ptr<HttpClient> m_http;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<Relay>> m_storeRelays;
    std::vector<std::unique_ptr<Relay>> m_peerRelays;
    std::vector<std::unique_ptr<LeasedHost>> m_hosts;
    std::vector<std::unique_ptr<Relay>> m_hostRelays;
    std::vector<std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace

class SilentConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SilentConnectionTest);
    CPPUNIT_TEST(toHostsFew);
    CPPUNIT_TEST(toHostsMany);
    CPPUNIT_TEST(toTheStore);
    CPPUNIT_TEST(betweenProcesses);
    CPPUNIT_TEST(allAtOnceFew);
    CPPUNIT_TEST(allAtOnceMany);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds startLimit { 20 };
    static constexpr std::chrono::seconds completionLimit { 10 };
    /// The platform's bound contact_ms.
    static constexpr std::chrono::milliseconds contactTime { 3000 };
    static constexpr int longRunningTasks = 2;
    /// Starts all its tasks at once, so that each side opens as many connections to its host as it may.
    static constexpr int tasksOfWideJob = 120;

    using Silence = std::function<void(RelayedSystem& system)>;

    /// Brings the system up with long-running tasks and, if wide, with the idle connections that a wide job leaves.
    static void prepare(RelayedSystem& system, bool wide)
    {
        CPPUNIT_ASSERT(system.submit("00000000000000aa", longRunningTasks, true, SteadyClock::now() + startLimit));
        const SteadyClock::time_point limit = SteadyClock::now() + startLimit;
        while (system.runningCount() < longRunningTasks && SteadyClock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t(longRunningTasks), system.runningCount());
        const std::string jobId = "00000000000000ab";
        CPPUNIT_ASSERT(system.submit(jobId, wide ? tasksOfWideJob : 1, false, limit));
        CPPUNIT_ASSERT(system.awaitCompleted(jobId, SteadyClock::now() + completionLimit));
        // Takes the system past its first seconds, in which a new owner still waits for leases of earlier ones.
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }

    static void checkServiceAfterSilence(const char* name, bool wide, const Silence& silence)
    {
        RelayedSystem system;
        prepare(system, wide);
        const std::size_t connections = system.hostConnections();
        silence(system);
        const SteadyClock::time_point silentAt = SteadyClock::now();
        const std::string jobId = "00000000000000ac";
        const bool accepted = system.submit(jobId, 1, false, silentAt + completionLimit);
        const bool completed = accepted && system.awaitCompleted(jobId, silentAt + completionLimit);
        // The longest lease lasts five seconds.
        std::this_thread::sleep_until(silentAt + std::chrono::seconds(6));
        const std::optional<SteadyClock::time_point> start = system.firstStart(jobId);
        const long long startedAfter
            = start ? std::chrono::duration_cast<std::chrono::milliseconds>(*start - silentAt).count() : -1;
        std::cout << " [" << name << ": connections to hosts " << connections << ", new job started after "
                  << startedAfter << " ms, leases lapsed " << system.lapsedCount() << "]";
        CPPUNIT_ASSERT(accepted);
        CPPUNIT_ASSERT(start.has_value());
        CPPUNIT_ASSERT_MESSAGE(
            "started after " + std::to_string(startedAfter) + " ms", *start - silentAt <= contactTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), system.lapsedCount());
        CPPUNIT_ASSERT(completed);
    }

    // Guards against a side that takes longer to replace its connections to its host than the host's leases last.
    void toHostsFew()
    {
        checkServiceAfterSilence("hosts, few", false, [](RelayedSystem& system) { system.silenceHosts(); });
    }

    // Guards against the same where the time grows with the number of idle connections that a wide job has left.
    void toHostsMany()
    {
        checkServiceAfterSilence("hosts, many", true, [](RelayedSystem& system) { system.silenceHosts(); });
    }

    // Guards against an owner that stores nothing and entries that change owners when the store's connections go
    // silent.
    void toTheStore()
    {
        checkServiceAfterSilence("store", true, [](RelayedSystem& system) { system.silenceStore(); });
    }

    // Guards against orders and calls that are lost on a silent connection to or from the owner.
    void betweenProcesses()
    {
        checkServiceAfterSilence("peers", true, [](RelayedSystem& system) { system.silencePeers(); });
    }

    static void silenceAll(RelayedSystem& system)
    {
        system.silenceHosts();
        system.silenceStore();
        system.silencePeers();
    }

    // Guards against times to find each silence that add up: a lease passes from the store's confirmation over the
    // owner and the side to the host.
    void allAtOnceFew() { checkServiceAfterSilence("all, few", false, silenceAll); }

    // Guards against the same after a wide job.
    void allAtOnceMany() { checkServiceAfterSilence("all, many", true, silenceAll); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SilentConnectionTest);
