#include "Fleet.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    using Json = nlohmann::json;
    const std::string hostName = "desk.example";
    const std::string prefix = "/plans/";
    const std::string service = "desk";
    constexpr int clientPort = 8161;
    constexpr int readyPort = 8167;
    constexpr int controlPort = 8166;
    constexpr int peerPort = 7720;
    constexpr int storePort = 8169;
    constexpr int entryGroup = 1;
    constexpr int sideGroup = 2;
    constexpr int storeGroup = 3;

    std::string configuration()
    {
        return Json {
            { "version", 1 },
            { "routes",
                { { { "name", "plans" }, { "hostname", hostName }, { "path_prefix", prefix },
                    { "type", "non_idempotent" }, { "timeout_ms", 3000 }, { "slo_ms", 1000 }, { "priority", 0 },
                    { "service", service }, { "max_attempts", 4 }, { "stretch", 2.0 } } } },
            { "services",
                { { { "name", service }, { "health_path", "/health" }, { "max_connections", 64 }, { "protocol", "h1" },
                    { "tls", false }, { "enforces_capacity", false }, { "standby", false } } } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } }
        }.dump();
    }

} // namespace

void pause(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

std::string Fleet::address(int group, int number) const
{
    return "127." + std::to_string(m_subnet) + "." + std::to_string(group) + "." + std::to_string(number + 1);
}

Fleet::Fleet(const std::string& folder, FleetSettings settings)
    : m_settings(std::move(settings))
    , m_record(folder + "/record.txt")
{
    char temporary[] = "/tmp/plantainpier-review-XXXXXX";
    if (!::mkdtemp(temporary))
        throw std::runtime_error("no temporary folder");
    m_folder = temporary;
    // Loopback addresses of a subnet of this process; the next one if the store's address is taken.
    for (int n = 0; !m_store; ++n) {
        m_subnet = 16 + (static_cast<int>(::getpid()) + n) % 200;
        try {
            m_store = std::make_unique<Store>(address(storeGroup, 0), storePort);
        } catch (const std::runtime_error&) {
            if (n > 20)
                throw;
        }
    }
    m_store->put("keyed.op", "config", configuration());
    const std::string store = address(storeGroup, 0) + ":" + std::to_string(storePort);
    for (int n = 0; n < m_settings.entries + m_settings.executors; ++n) {
        const bool isEntry = n < m_settings.entries;
        const int number = isEntry ? n : n - m_settings.entries;
        const std::string own = address(isEntry ? entryGroup : sideGroup, number);
        Json node { { "id", (isEntry ? "edge-" : "side-") + std::to_string(number + 1) }, { "zone", "piraeus" },
            { "address", own }, { "peer_port", peerPort }, { "store_address", store }, { "advice_address", "" },
            { "machines_address", "" }, { "processor_share", isEntry ? 0.25 : 0.15 }, { "longest_lease_ms", 10000 },
            { "harm_ms", 4000 }, { "status_memory_s", 120 }, { "shutdown_s", 6 } };
        if (isEntry) {
            node["client_address"] = own + ":" + std::to_string(clientPort);
            node["health_address"] = own + ":" + std::to_string(readyPort);
        } else {
            ExecutorSettings executor;
            executor.id = "i-" + std::to_string(number + 1);
            executor.address = own;
            executor.sideAddress = own;
            executor.sidePort = controlPort;
            executor.service = service;
            if (m_settings.configure)
                m_settings.configure(number, executor);
            node["announce_address"] = own + ":" + std::to_string(controlPort);
            node["host_address"] = own + ":" + std::to_string(executor.port);
            node["service"] = service;
            m_executors.push_back(std::make_unique<Executor>(executor, m_runs, m_settings.plan));
        }
        const std::string name = node["id"].get<std::string>();
        std::ofstream(m_folder + "/" + name + ".json") << node.dump(2) << "\n";
        m_processes.push_back(Process { name, m_folder + "/" + name + ".log", isEntry ? "entry" : "side" });
        launch(m_processes.back());
    }
}

Fleet::~Fleet()
{
    for (const Process& process : m_processes)
        ::kill(process.pid, SIGKILL);
    for (const Process& process : m_processes)
        ::waitpid(process.pid, nullptr, 0);
    m_executors.clear();
    m_store->stop();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Fleet::launch(Process& process)
{
    process.pid = ::fork();
    if (process.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(process.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        const std::string variable = "PLANTAINPIER_SETTINGS=" + m_folder + "/" + process.name + ".json";
        const char* const arguments[]
            = { "target/platform/plantainpier-node", process.role.c_str(), "--metrics-port", "9464", nullptr };
        const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr };
        ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        ::_exit(127);
    }
}

int Fleet::ownerEntry() const
{
    int owner = -1;
    long newest = 0;
    for (int n = 0; n < m_settings.entries; ++n) {
        std::ifstream log(m_processes[static_cast<std::size_t>(n)].log);
        for (std::string line; std::getline(log, line);) {
            const std::size_t term = line.find("event=take_over term=");
            if (term != std::string::npos && std::atol(line.c_str() + term + 21) > newest) {
                newest = std::atol(line.c_str() + term + 21);
                owner = n;
            }
        }
    }
    return owner;
}

void Fleet::killEntry(int number, double pauseSeconds)
{
    Process& process = m_processes[static_cast<std::size_t>(number)];
    note("SIGKILL to " + process.name);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    pause(pauseSeconds);
    launch(process);
    note(process.name + " started again");
}

void Fleet::note(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", m_runs.seconds());
    std::lock_guard<std::mutex> lock(m_recordMutex);
    m_record << time << text << std::endl;
}

void Fleet::waitUntilReady()
{
    const double limit = seconds() + 20;
    const auto isReady = [this] {
        for (int n = 0; n < m_settings.entries; ++n) {
            if (fetch(address(entryGroup, n), readyPort, "GET", "/plantainpier/ready", {}, "", 500).status != 200)
                return false;
        }
        int listed = 0;
        for (const Process& process : m_processes) {
            std::ifstream log(process.log);
            for (std::string line; std::getline(log, line);)
                listed += line.find("event=host_listed") != std::string::npos ? 1 : 0;
        }
        return listed >= m_settings.executors;
    };
    while (!isReady()) {
        if (seconds() > limit)
            throw std::runtime_error("the system is not ready after 20 s");
        pause(0.2);
    }
    note("ready: " + std::to_string(m_settings.entries) + " entries, " + std::to_string(m_settings.executors)
        + " executors listed");
}

Answer Fleet::call(int entry, const std::string& method, const std::string& id, const std::string& body)
{
    const Answer answer = fetch(address(entryGroup, entry), clientPort, method, prefix + id,
        { { "Host", hostName }, { "Request-Deadline", "3000" } }, body, 3200);
    note("client: " + method + " " + prefix + id + " at entry " + std::to_string(entry + 1)
        + (body.empty()             ? ""
                : body.size() > 300 ? " " + body.substr(0, 300) + "..."
                                    : " " + body)
        + " -> " + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
    return answer;
}

bool Fleet::submit(const std::string& id, const std::string& body)
{
    for (int n = 0; n < 5; ++n) {
        const Answer answer = call(n % m_settings.entries, "POST", id, body);
        if (answer.status / 100 == 2)
            return true;
        pause(1);
    }
    return false;
}

std::string Fleet::state(const std::string& id)
{
    for (int n = 0; n < 3; ++n) {
        const Answer answer = call(n % m_settings.entries, "GET", id);
        if (answer.status == 410)
            return "410";
        if (answer.status == 200)
            return Json::parse(answer.body, nullptr, false).value("state", std::string("unreadable"));
        pause(1);
    }
    return "no answer";
}

bool Fleet::areProcessesAlive()
{
    for (const Process& process : m_processes) {
        if (::waitpid(process.pid, nullptr, WNOHANG) != 0) {
            note(process.name + " has ended");
            return false;
        }
    }
    return true;
}

void Fleet::noteLogs(const std::string& text, int lines)
{
    for (const Process& process : m_processes) {
        std::vector<std::string> found;
        std::ifstream log(process.log);
        for (std::string line; std::getline(log, line);) {
            if (line.find(text) != std::string::npos)
                found.push_back(line);
        }
        for (std::size_t n = found.size() - std::min<std::size_t>(found.size(), lines); n < found.size(); ++n)
            note("log of " + process.name + ": " + found[n]);
    }
}

void Fleet::noteRuns(const std::string& begin)
{
    for (const RunEvent& event : m_runs.events()) {
        if (event.task.compare(0, begin.size(), begin) != 0)
            continue;
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f", event.at);
        note(std::string("executor: at") + time + " " + event.executor + " " + event.what + " " + event.task + " run "
            + std::to_string(event.run));
    }
}

int runCase(const std::function<bool(bool trouble)>& test)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char* const trouble = std::getenv("TROUBLE");
    try {
        const bool broken = test(!trouble || std::string(trouble) != "0");
        std::cout << (broken ? "the rule was broken" : "the rule held") << std::endl;
        return broken ? 1 : 0;
    } catch (const std::exception& exception) {
        std::cerr << "could not run: " << exception.what() << std::endl;
        return 2;
    }
}

} // namespace Review
