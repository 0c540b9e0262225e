#include "Soak/Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <system_error>

namespace Plantainpier {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr int storePortOffset = 0;
    constexpr int storeRelayPortOffset = 100;
    constexpr int clientPortOffset = 200;
    constexpr int healthPortOffset = 300;
    constexpr int announcePortOffset = 400;
    constexpr int hostPortOffset = 500;
    constexpr int hostRelayPortOffset = 600;
    constexpr int peerPortOffset = 700;
    constexpr int peerRelayPortOffset = 800;
    /// The second set of announce and peer ports begins this far behind the first one.
    constexpr int otherPortsOffset = 50;
    constexpr unsigned nodeFaultKinds = 9;
    constexpr unsigned storeFaultKinds = 4;
    constexpr unsigned hostFaultKinds = 8;
    constexpr unsigned machineFaultKinds = 3;
    /// A host of the platform accepts this many connections at a time.
    constexpr std::size_t hostConnectionLimit = 64;
    constexpr unsigned unansweredOrdersFault = 3;
    /// Every such number of faults, on average, is accompanied by a foreign announcement.
    constexpr unsigned foreignAnnouncementPeriod = 4;
    /// Every such number of faults, on average, is accompanied by a machine fault.
    constexpr unsigned machineFaultPeriod = 3;
    /// Every such number of faults, on average, is accompanied by a silence of all open connections.
    constexpr unsigned silencePeriod = 8;
    /// Every such number of faults, on average, is accompanied by a request of an operator: zones stay closed for some
    /// seconds longer than the bound.
    constexpr unsigned zoneRequestPeriod = 8;
    constexpr unsigned zoneCount = 2;
    constexpr unsigned compactionFault = 3;
    /// Orders that got no answer may still be executed this long after the last fault: 12 s is the longest delay of a
    /// host stand-in.
    constexpr std::chrono::seconds minimumSettleTime(13);
    /// The numbers of the long-running and of the always failing jobs, as remainders of a division by the period.
    constexpr int longRunningPeriod = 8;
    constexpr int longRunningRemainder = 3;
    constexpr int failingPeriod = 16;
    constexpr int failingRemainder = 6;
    /// The platform's bound contact_ms.
    constexpr std::chrono::seconds contactTime(3);
    /// Time after which a process has replaced connections that were silenced.
    constexpr std::chrono::seconds silentConnectionTime(5);
    /// Each entry is asked for a job's state this often.
    constexpr unsigned long statusIntervalMilliseconds = 150;
    /// A request counts as read if its connection ends later than this after its last byte was sent: loss_slack_ms.
    constexpr std::chrono::milliseconds lossSlack(200);
    /// A request is around a planned stop until 1 s after grace_s, which is 6 s.
    constexpr std::chrono::seconds plannedStopTime(7);
    constexpr std::chrono::seconds plannedStopInterval(15);
    /// Time without disruptions after which tasks that do not run are missed: 3 s, and 4 s before them.
    constexpr std::chrono::seconds calmTime(7);
    constexpr std::chrono::milliseconds requestDeadline(3000);
    /// Work of a job that is not long-running, on average: 2 steps of 2.5 tasks of some 0.8 s each.
    constexpr std::chrono::seconds jobWork(4);
    constexpr int maximumCallAttempts = 5;
    /// A submission takes up to 20 s while entries are down.
    constexpr std::size_t submittingThreads = 64;
    constexpr std::size_t maximumQueuedJobs = 64;
    /// Time within which a process must have ended after SIGTERM; its setting shutdown_s is 6 s.
    constexpr std::chrono::seconds stopLimit(8);
    const std::string loopbackAddress = "127.0.0.1";
    const std::string hostName = "desk.example";

    /// The platform's configuration: one route to one service.
    std::string configuration(int version)
    {
        return Json {
            { "version", version },
            { "routes",
                { { { "name", "plans" }, { "hostname", hostName }, { "path_prefix", "/plans/" }, { "service", "desk" },
                    { "priority", 0 }, { "max_attempts", RunAudit::maximumAttempts }, { "stretch", 2 },
                    { "slo_ms", 1000 }, { "timeout_ms", 3000 } } } },
            { "services", { { { "name", "desk" }, { "enforces_capacity", false } } } },
            { "limits", { { "max_body_bytes", 262144 } } }
        }.dump();
    }

    bool hasEnded(pid_t pid)
    {
        siginfo_t info {};
        return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid != 0;
    }

    /// Whether the process blocks SIGTERM to handle it itself. A process does so before it opens a port; until then a
    /// signal ends it with the default action. The thread that waits for signals does not count them as blocked
    /// meanwhile, so one of the others decides.
    bool handlesTerminationSignal(pid_t pid)
    {
        std::error_code error;
        const std::string field = "SigBlk:";
        for (const std::filesystem::directory_entry& thread :
            std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", error)) {
            std::ifstream status(thread.path() / "status");
            for (std::string line; std::getline(status, line);) {
                if (line.starts_with(field)
                    && (std::stoull(line.substr(field.size()), nullptr, 16) >> (SIGTERM - 1) & 1U) != 0)
                    return true;
            }
        }
        return false;
    }

    void pause(unsigned long milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_foreignRandom(m_options.seed + 1)
    , m_machineRandom(m_options.seed + 2)
    , m_silenceRandom(m_options.seed + 4)
    , m_zoneRandom(m_options.seed + 3)
    , m_hostFaultWeight(3 + draw(12))
{
}

Soak::~Soak()
{
    for (Node& node : m_nodes) {
        node.predecessor.reset();
        node.process.reset();
    }
}

int Soak::portOf(int portOffset, int number) const { return m_options.firstPort + portOffset + number; }

void Soak::writeSettings(const Node& node) const
{
    const int number = node.number;
    const int nodeIndex = static_cast<int>(&node - m_nodes.data());
    const int ports = node.usesOtherPorts ? otherPortsOffset : 0;
    Json settings { { "id", node.name }, { "zone", "zone-a" }, { "address", loopbackAddress },
        { "peer_port", portOf(peerPortOffset, nodeIndex + ports) },
        { "store_address", loopbackAddress + ":" + std::to_string(portOf(storeRelayPortOffset, nodeIndex)) },
        { "service", "desk" }, { "processor_share", 0.5 }, { "shutdown_s", 6 } };
    if (m_options.zoneClosures)
        settings["zone_closure_ms"] = std::chrono::milliseconds(RunAudit::zoneClosureBound).count();
    if (node.role == Role::Entry) {
        settings["client_address"] = loopbackAddress + ":" + std::to_string(portOf(clientPortOffset, number));
        settings["health_address"] = loopbackAddress + ":" + std::to_string(portOf(healthPortOffset, number));
    } else {
        settings["announce_address"]
            = loopbackAddress + ":" + std::to_string(portOf(announcePortOffset, number + ports));
        settings["host_address"] = loopbackAddress + ":" + std::to_string(portOf(hostRelayPortOffset, number));
    }
    std::ofstream(m_options.folder + "/" + node.name + ".json") << settings.dump(2) << "\n";
}

void Soak::launch(Node& node)
{
    const std::vector<std::string> command { m_options.nodeProgram, node.role == Role::Entry ? "entry" : "side",
        "--settings", m_options.folder + "/" + node.name + ".json" };
    node.process = std::make_unique<ChildProcess>(command, m_options.folder + "/" + node.name + ".log", true);
    if (std::exchange(node.unavailable, false))
        endDisruption(node);
}

void Soak::changeDisruptions(Contact& contact, int change)
{
    const std::lock_guard<std::mutex> guard(m_contactsMutex);
    contact.disruptions += change;
    contact.restoredAt = SteadyClock::now();
}

void Soak::beginDisruption(const Node& node)
{
    if (node.role == Role::Entry)
        changeDisruptions(m_contacts[static_cast<std::size_t>(node.number)], 1);
}

void Soak::endDisruption(const Node& node)
{
    if (node.role == Role::Entry)
        changeDisruptions(m_contacts[static_cast<std::size_t>(node.number)], -1);
}

bool Soak::isInTouch(int entry) const
{
    const std::lock_guard<std::mutex> guard(m_contactsMutex);
    for (const Contact* contact : { &m_contacts[static_cast<std::size_t>(entry)], &m_contacts.back() }) {
        if (contact->disruptions > 0 || SteadyClock::now() - contact->restoredAt < contactTime)
            return false;
    }
    return true;
}

bool Soak::start()
{
    std::filesystem::create_directories(m_options.folder);
    Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    Result<std::unique_ptr<StoreStandIn>> store = StoreStandIn::create(portOf(storePortOffset, 0), draw(~0U));
    if (!isOk(http) || !isOk(store)) {
        m_audit.reportViolation("FAULT: the store stand-in or the HTTP client cannot start");
        return false;
    }
    m_audit.openLog(m_options.folder + "/audit.log");
    m_http = takeValue(std::move(http));
    m_store = takeValue(std::move(store));
    m_store->put("keyed.op", "config", configuration(1));
    if (m_options.silences) {
        m_store->setOwnerPortOffset(peerRelayPortOffset - peerPortOffset);
        for (int n = 0; n < m_options.entries; ++n)
            m_peerRelays.push_back(std::make_unique<Relay>(portOf(peerRelayPortOffset, n), portOf(peerPortOffset, n)));
    }
    for (int n = 0; n < m_options.entries + m_options.hosts; ++n) {
        Node node;
        const bool entry = n < m_options.entries;
        node.role = entry ? Role::Entry : Role::Side;
        node.number = entry ? n : n - m_options.entries;
        node.name = (entry ? "entry-" : "side-") + std::to_string(node.number);
        node.storeRelay = std::make_unique<Relay>(portOf(storeRelayPortOffset, n), portOf(storePortOffset, 0));
        m_nodes.push_back(std::move(node));
    }
    for (int n = 0; n < m_options.hosts; ++n) {
        m_hostRelays.push_back(std::make_unique<Relay>(portOf(hostRelayPortOffset, n), portOf(hostPortOffset, n)));
        if (m_options.machineFaults)
            m_hostRelays.back()->setConnectionLimit(hostConnectionLimit);
        Result<std::unique_ptr<HostStandIn>> host = HostStandIn::create(n, portOf(hostPortOffset, n),
            *m_hostRelays.back(), portOf(announcePortOffset, n), m_audit, m_http, draw(~0U));
        if (!isOk(host)) {
            m_audit.reportViolation("FAULT: " + errorOf(host).message);
            return false;
        }
        m_hosts.push_back(takeValue(std::move(host)));
    }
    m_contacts.resize(static_cast<std::size_t>(m_options.entries) + 1, Contact { 0, SteadyClock::now() });
    for (Node& node : m_nodes) {
        writeSettings(node);
        launch(node);
    }
    return true;
}

void Soak::scheduleRecovery(unsigned minimumMilliseconds, unsigned maximumMilliseconds, std::function<void()> action)
{
    scheduleRecovery(std::chrono::milliseconds(minimumMilliseconds + draw(maximumMilliseconds - minimumMilliseconds)),
        std::move(action));
}

void Soak::scheduleRecovery(std::chrono::milliseconds after, std::function<void()> action)
{
    m_recoveries.push_back(Recovery { SteadyClock::now() + after, std::move(action) });
}

void Soak::runRecoveries(bool all)
{
    for (std::size_t n = 0; n < m_recoveries.size();) {
        if (!all && SteadyClock::now() < m_recoveries[n].at) {
            ++n;
            continue;
        }
        const std::function<void()> action = std::move(m_recoveries[n].action);
        m_recoveries.erase(m_recoveries.begin() + static_cast<std::ptrdiff_t>(n));
        action();
    }
}

void Soak::restartWhenStopped(Node& node, bool beforeSignalHandling)
{
    if (!hasEnded(node.process->pid()) && SteadyClock::now() < node.stopRequestedAt + stopLimit) {
        pause(10);
        scheduleRecovery(
            50, 100, [this, &node, beforeSignalHandling] { restartWhenStopped(node, beforeSignalHandling); });
        return;
    }
    if (node.process->stop(std::chrono::seconds(1)) != 0 && !beforeSignalHandling)
        m_audit.reportViolation("FAULT: " + node.name + " did not exit with code 0 after SIGTERM");
    launch(node);
}

void Soak::injectNodeFault(Node& node, unsigned kind)
{
    static const char* const names[nodeFaultKinds] = { "kill", "terminate", "freeze", "hangup", "store-silent",
        "store-one-way", "store-reset", "store-slow", "store-cut" };
    m_faults.push_back(std::string(names[kind]) + ":" + node.name);
    m_audit.note("fault " + m_faults.back());
    switch (kind) {
    case 0:
        node.process->kill();
        node.unavailable = true;
        beginDisruption(node);
        scheduleRecovery(300, 2500, [this, &node] { launch(node); });
        return;
    case 1: {
        const bool beforeSignalHandling = !handlesTerminationSignal(node.process->pid());
        // The node starts again 1.5 to 4 s later, when its work may still be running elsewhere.
        node.process->requestStop();
        node.unavailable = true;
        beginDisruption(node);
        node.stopRequestedAt = SteadyClock::now();
        scheduleRecovery(
            1500, 4000, [this, &node, beforeSignalHandling] { restartWhenStopped(node, beforeSignalHandling); });
        return;
    }
    case 2:
        node.process->freeze();
        node.unavailable = true;
        beginDisruption(node);
        scheduleRecovery(500, 8000, [this, &node] {
            m_audit.note("awake " + node.name);
            m_audit.onProcessResumed();
            node.process->resume();
            node.unavailable = false;
            endDisruption(node);
        });
        return;
    case 3:
        if (handlesTerminationSignal(node.process->pid()))
            ::kill(node.process->pid(), SIGHUP);
        return;
    case 4:
    case 5:
        node.storeRelay->silenceExisting(kind == 4 || draw(2) == 0, kind == 4 || draw(2) == 0);
        beginDisruption(node);
        scheduleRecovery(silentConnectionTime, [this, &node] { endDisruption(node); });
        return;
    case 6:
        node.storeRelay->resetExisting();
        beginDisruption(node);
        endDisruption(node);
        return;
    case 7:
        node.storeRelay->setDelay(std::chrono::milliseconds(50 + draw(400)));
        beginDisruption(node);
        scheduleRecovery(500, 4000, [this, &node] {
            node.storeRelay->setDelay({});
            endDisruption(node);
        });
        return;
    default:
        node.storeRelay->setPaused(true);
        beginDisruption(node);
        scheduleRecovery(1000, 6000, [this, &node] {
            node.storeRelay->setPaused(false);
            endDisruption(node);
        });
        return;
    }
}

void Soak::injectForeignAnnouncement()
{
    const unsigned hostCount = static_cast<unsigned>(m_hosts.size());
    const unsigned host = m_foreignRandom() % hostCount;
    const unsigned side = (host + 1 + m_foreignRandom() % std::max(1U, hostCount - 1)) % hostCount;
    const bool exists = m_foreignRandom() % 2 == 0;
    m_faults.push_back(
        (exists ? "announced-elsewhere:host-" : "unknown-host:side-") + std::to_string(exists ? host : side));
    m_audit.note("fault " + m_faults.back());
    const Node& node = m_nodes[static_cast<std::size_t>(m_options.entries) + side];
    m_hosts[host]->announceToOtherSide(
        portOf(announcePortOffset, static_cast<int>(side) + (node.usesOtherPorts ? otherPortsOffset : 0)), exists);
}

void Soak::requestZoneChange(const std::string& zone)
{
    const std::string key = "evacuate/" + zone;
    if (m_closedZones.erase(zone) > 0) {
        noteFault("reopen:" + zone);
        m_audit.onZoneReopened(zone);
        m_store->put("keyed.op", key, "");
        return;
    }
    noteFault("close:" + zone);
    m_store->put("keyed.op", key, "{}");
    m_audit.onZoneClosed(zone);
    m_closedZones.insert(zone);
}

void Soak::injectZoneRequest()
{
    requestZoneChange(HostStandIn::zoneOf(static_cast<int>(m_zoneRandom() % zoneCount)));
    if (m_zoneRandom() % 3 == 0)
        injectStoreFault(compactionFault);
}

void Soak::noteFault(const std::string& fault)
{
    m_faults.push_back(fault);
    m_audit.note("fault " + fault);
}

void Soak::injectMachineFault()
{
    const std::size_t host = m_machineRandom() % m_hosts.size();
    const unsigned kind = m_machineRandom() % machineFaultKinds;
    const std::chrono::milliseconds duration(500 + m_machineRandom() % 3500);
    Relay& relay = *m_hostRelays[host];
    switch (kind) {
    case 0:
        stopMachine(host);
        return;
    case 1:
        noteFault("few-connections:host-" + std::to_string(host));
        relay.setConnectionLimit(1 + m_machineRandom() % 3);
        scheduleRecovery(duration, [&relay] { relay.setConnectionLimit(hostConnectionLimit); });
        return;
    default:
        noteFault("one-slow-connection:host-" + std::to_string(host));
        // A connection stays slow until it closes, so that its answers are late to those of its successors.
        relay.delayOneConnection(m_machineRandom(), std::chrono::milliseconds(200 + m_machineRandom() % 700));
        return;
    }
}

void Soak::injectSilence()
{
    noteFault("all-silent");
    for (const Node& node : m_nodes)
        node.storeRelay->silenceExisting(true, true);
    for (const std::unique_ptr<Relay>& relay : m_hostRelays)
        relay->silenceExisting(true, true);
    for (const std::unique_ptr<Relay>& relay : m_peerRelays)
        relay->silenceExisting(true, true);
    // For the platform's rules this counts as a reset of all connections.
    changeDisruptions(storeContact(), 1);
    changeDisruptions(storeContact(), -1);
}

void Soak::stopMachine(std::size_t host)
{
    Node& node = m_nodes[static_cast<std::size_t>(m_options.entries) + host];
    const bool portsInUse = node.predecessor && !hasEnded(node.predecessor->pid())
        && SteadyClock::now() < node.stopRequestedAt + stopLimit;
    if (node.unavailable || portsInUse || !handlesTerminationSignal(node.process->pid()))
        return;
    noteFault("machine-stop:host-" + std::to_string(host));
    if (node.predecessor && node.predecessor->stop(std::chrono::seconds(1)) != 0)
        m_audit.reportViolation("FAULT: the predecessor of " + node.name + " did not exit with code 0 after SIGTERM");
    m_hostRelays[host]->resetExisting();
    node.process->requestStop();
    node.stopRequestedAt = SteadyClock::now();
    node.predecessor = std::move(node.process);
    node.usesOtherPorts = !node.usesOtherPorts;
    writeSettings(node);
    launch(node);
    m_hosts[host]->setSidePort(
        portOf(announcePortOffset, static_cast<int>(host) + (node.usesOtherPorts ? otherPortsOffset : 0)));
}

void Soak::injectStoreFault(unsigned kind)
{
    static const char* const names[storeFaultKinds] = { "silent", "busy", "loses-answers", "compacted" };
    m_faults.push_back(std::string(names[kind]) + ":store");
    m_audit.note("fault " + m_faults.back());
    changeDisruptions(storeContact(), 1);
    if (kind == compactionFault) {
        m_store->compact();
        changeDisruptions(storeContact(), -1);
        return;
    }
    static constexpr StoreBehaviour behaviours[]
        = { StoreBehaviour::Silent, StoreBehaviour::Busy, StoreBehaviour::LosesAnswers };
    m_store->setBehaviour(behaviours[kind]);
    scheduleRecovery(500, 4000, [this] {
        m_store->setBehaviour(StoreBehaviour::Normal);
        changeDisruptions(storeContact(), -1);
    });
}

void Soak::injectHostFault(std::size_t number, unsigned kind)
{
    static const char* const names[hostFaultKinds]
        = { "crash", "restart-at-once", "restart", "no-answers", "resets", "ends-over-start", "silent", "reset" };
    HostStandIn& host = *m_hosts[number];
    m_faults.push_back(std::string(names[kind]) + ":host-" + std::to_string(number));
    m_audit.note("fault " + m_faults.back());
    switch (kind) {
    case 0:
        host.crash(std::chrono::milliseconds(200 + draw(3000)), false);
        return;
    case 1:
        host.crash({}, true);
        return;
    case 2:
        host.crash(std::chrono::milliseconds(1 + draw(3000)), true);
        return;
    case unansweredOrdersFault:
    case 4: {
        const unsigned share = 10 + draw(60);
        host.setOrderFaults(
            kind == unansweredOrdersFault ? OrderFaults { share, 0, false } : OrderFaults { 0, share, false });
        scheduleRecovery(1000, 5000, [&host] { host.setOrderFaults({}); });
        if (draw(2) == 0)
            scheduleRecovery(
                300, 6000, [&host, down = draw(2) * draw(3000)] { host.crash(std::chrono::milliseconds(down), true); });
        return;
    }
    case 5:
        host.setOrderFaults(OrderFaults { 0, 0, true });
        scheduleRecovery(2000, 4000, [&host] { host.setOrderFaults({}); });
        return;
    case 6:
        m_hostRelays[number]->silenceExisting(draw(2) == 0, true);
        return;
    default:
        m_hostRelays[number]->resetExisting();
        return;
    }
}

Soak::Node* Soak::owner()
{
    const std::string newestClaim = m_store->newestValue("keyed.plantainpier.owners");
    for (Node& node : m_nodes) {
        if (newestClaim.find(node.name) != std::string::npos)
            return &node;
    }
    return nullptr;
}

void Soak::killAllNodes()
{
    for (Node& node : m_nodes) {
        if (!node.unavailable)
            injectNodeFault(node, 0);
    }
}

void Soak::injectFault()
{
    const bool targetsOwner = SteadyClock::now() < m_ownerFaultsUntil;
    const unsigned choice = draw(8 + m_hostFaultWeight);
    if (choice >= 8) {
        injectHostFault(draw(static_cast<unsigned>(m_hosts.size())), draw(hostFaultKinds));
        return;
    }
    if (!targetsOwner) {
        if (choice < 2) {
            injectStoreFault(draw(storeFaultKinds));
            return;
        }
        if (choice == 2 && draw(5) == 0) {
            killAllNodes();
            return;
        }
        if (choice == 3) {
            m_ownerFaultsUntil = SteadyClock::now() + std::chrono::milliseconds(1500 + draw(4000));
            const bool includesHosts = draw(2) == 0;
            for (std::size_t n = 0; includesHosts && n < m_hosts.size(); ++n)
                injectHostFault(n, unansweredOrdersFault);
            return;
        }
    }
    Node* chosen = targetsOwner || draw(3) == 0 ? owner() : &m_nodes[draw(static_cast<unsigned>(m_nodes.size()))];
    const unsigned kind = draw(nodeFaultKinds);
    if (chosen && !chosen->unavailable)
        injectNodeFault(*chosen, kind);
}

HttpResponse Soak::call(int entry, const std::string& method, const std::string& jobId, const std::string& body)
{
    HttpRequest request;
    request.method = method;
    request.address = loopbackAddress;
    request.port = portOf(clientPortOffset, entry);
    request.path = "/plans/" + jobId;
    request.headers = { "Host: " + hostName, "Request-Deadline: " + std::to_string(requestDeadline.count()) };
    request.body = body;
    request.timeout = milliseconds(3200);
    request.mayResend = !m_plannedStops;
    const SteadyTime sentAt = SteadyClock::now();
    const bool isJudged = m_plannedStops;
    HttpResponse response = m_http->fetch(std::move(request));
    if (isJudged)
        judgeEnd(entry, method + " " + jobId, sentAt, response);
    return response;
}

void Soak::judgeEnd(int entry, const std::string& request, SteadyTime sentAt, const HttpResponse& response)
{
    const SteadyTime now = SteadyClock::now();
    {
        const std::lock_guard<std::mutex> guard(m_contactsMutex);
        const std::optional<SteadyTime>& stopAt = m_contacts[static_cast<std::size_t>(entry)].plannedStopAt;
        if (!stopAt || now < *stopAt || now > *stopAt + plannedStopTime)
            return;
    }
    if (response.kind == HttpResponse::Kind::Answered) {
        ++m_answeredAroundStops;
        return;
    }
    if (response.kind == HttpResponse::Kind::NotConnected || now - sentAt >= requestDeadline)
        return;
    const std::chrono::milliseconds time = std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt);
    const std::string text = request + " to entry-" + std::to_string(entry) + " was cut off after "
        + std::to_string(time.count()) + " ms around a planned stop: " + response.text;
    if (time > lossSlack) {
        m_audit.reportViolation("LOST: " + text);
        return;
    }
    ++m_cutUnreadAroundStops;
    m_audit.note(text);
}

void Soak::stopEntry()
{
    Node* ownerNode = owner();
    const bool stopsOwner = m_plannedStopCount++ % 2 == 0 && ownerNode && ownerNode->role == Role::Entry;
    Node& node = stopsOwner ? *ownerNode : m_nodes[draw(static_cast<unsigned>(m_options.entries))];
    noteFault("planned-stop:" + node.name + (&node == ownerNode ? ",owner" : ""));
    {
        const std::lock_guard<std::mutex> guard(m_contactsMutex);
        m_contacts[static_cast<std::size_t>(node.number)].plannedStopAt = SteadyClock::now();
    }
    beginDisruption(node);
    node.unavailable = true;
    node.process->requestStop();
    node.stopRequestedAt = SteadyClock::now();
    scheduleRecovery(500, 1500, [this, &node] { restartWhenStopped(node, false); });
}

void Soak::runPlannedStops()
{
    m_audit.note("planned stops");
    const SteadyTime startedAt = SteadyClock::now() + minimumSettleTime;
    const SteadyTime endsAt = startedAt + m_options.plannedStopDuration;
    SteadyTime nextStopAt = startedAt + calmTime;
    SteadyTime calmFrom = startedAt + calmTime;
    for (SteadyTime now = SteadyClock::now(); now < endsAt || !m_recoveries.empty(); now = SteadyClock::now()) {
        m_plannedStops = now >= startedAt;
        runRecoveries(false);
        if (now >= nextStopAt && now + plannedStopInterval <= endsAt) {
            stopEntry();
            nextStopAt = now + plannedStopInterval;
        }
        if (!m_recoveries.empty())
            calmFrom = now + calmTime;
        m_audit.checkLongRunningTasks(now >= calmFrom);
        pause(50);
    }
    m_plannedStops = false;
}

void Soak::submitJob(std::mt19937& random, int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", m_options.seed, static_cast<unsigned>(number));
    SoakJob job;
    job.longRunning = number % longRunningPeriod == longRunningRemainder;
    // Beyond the room that long-running tasks must find, a job is an ordinary one.
    job.longRunning = job.longRunning
        && m_audit.admitLongRunning(id, m_hosts.size() * static_cast<std::size_t>(RunAudit::placesPerHost));
    const bool alwaysFails = number % failingPeriod == failingRemainder;
    job.payload = (job.longRunning      ? longRunningPayloadPrefix
                          : alwaysFails ? failingPayloadPrefix
                                        : "payload")
        + " of " + std::string(id);
    Json steps = Json::array();
    const unsigned stepCount = job.longRunning ? 1 : 1 + random() % 3;
    for (unsigned step = 0; step < stepCount; ++step) {
        const int width = job.longRunning ? 1 : 1 + static_cast<int>(random() % 4);
        job.widths.push_back(width);
        Json wire { { "count", width }, { "cpu", 1000 }, { "mem_mb", 100 }, { "estimate_ms", 450 } };
        if (job.longRunning)
            wire["long_running"] = true;
        if (step > 0)
            wire["after"] = { step - 1 };
        steps.push_back(wire);
    }
    const std::string body = Json { { "spec", job.payload }, { "steps", steps } }.dump();
    const bool isLongRunning = job.longRunning;
    m_audit.onSubmit(id, std::move(job));
    bool refused = true;
    for (int n = 0; n < maximumCallAttempts; ++n) {
        const HttpResponse response
            = call(static_cast<int>(random() % static_cast<unsigned>(m_options.entries)), "POST", id, body);
        const bool answered = response.kind == HttpResponse::Kind::Answered;
        if (answered && response.status == 200) {
            m_audit.onAccepted(id);
            if (random() % 10 == 0 || (isLongRunning && random() % 4 == 0))
                cancelJob(random, id);
            return;
        }
        refused = refused && answered && response.status == 503;
        pause(answered && response.status == 503 ? 1000 : 300);
    }
    if (refused)
        m_audit.onRefused(id);
}

void Soak::cancelJob(std::mt19937& random, const std::string& jobId)
{
    m_audit.onCancelRequested(jobId);
    for (int n = 0; n < maximumCallAttempts; ++n) {
        const HttpResponse response
            = call(static_cast<int>(random() % static_cast<unsigned>(m_options.entries)), "DELETE", jobId, {});
        if (response.kind == HttpResponse::Kind::Answered && (response.status == 200 || response.status == 410)) {
            m_audit.onCancelAcknowledged(jobId);
            return;
        }
        pause(300);
    }
}

void Soak::pollJobStatus(std::mt19937& random)
{
    const unsigned entries = static_cast<unsigned>(m_options.entries);
    for (const std::string& jobId : m_audit.unfinishedJobs())
        pollJobStatus(static_cast<int>(random() % entries), jobId);
    for (const std::string& jobId : m_audit.longRunningJobs())
        pollJobStatus(static_cast<int>(random() % entries), jobId);
}

void Soak::statusLoop(int entry)
{
    std::mt19937 random(m_options.seed + static_cast<unsigned>(entry));
    for (; !m_stopping; pause(statusIntervalMilliseconds)) {
        const std::vector<std::string> jobs = m_audit.knownJobs();
        if (!jobs.empty())
            pollJobStatus(entry, jobs[random() % jobs.size()]);
        pollWaitingCount(entry);
    }
}

void Soak::pollWaitingCount(int entry)
{
    if (m_stopping)
        return;
    const SteadyTime sentAt = SteadyClock::now();
    const HttpResponse response = call(entry, "GET", {}, {});
    if (response.kind != HttpResponse::Kind::Answered || response.status != 200 || !isInTouch(entry))
        return;
    const std::string name = "entry-" + std::to_string(entry);
    const Json body = Json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("waiting") || !body["waiting"].is_number_integer())
        m_audit.reportViolation("MIXED: the count of " + name + " cannot be read: " + response.body);
    else
        m_audit.onWaitingCount(name, sentAt, body["waiting"].get<std::int64_t>());
}

void Soak::pollJobStatus(int entry, const std::string& jobId)
{
    if (m_stopping)
        return;
    const HttpResponse response = call(entry, "GET", jobId, {});
    if (response.kind != HttpResponse::Kind::Answered || (response.status != 200 && response.status != 410))
        return;
    const bool inTouch = !m_submitting || isInTouch(entry);
    if (m_submitting)
        ++(inTouch ? m_statesInTouch : m_statesOutOfTouch);
    if (response.status == 410) {
        const std::string text = jobId + " was accepted but entry-" + std::to_string(entry) + " has no record of it";
        if (inTouch)
            m_audit.reportViolation("LOST: " + text);
        else
            m_audit.note(text);
        return;
    }
    const Json body = Json::parse(response.body, nullptr, false);
    const std::string state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (state == "running")
        m_audit.onReportedRunning(jobId);
    else if (state == "completed")
        m_audit.onReportedCompleted(jobId);
    else if (state == "failed")
        m_audit.onReportedFailed(jobId);
    else if (state == "cancelled")
        m_audit.onReportedCancelled(jobId);
    else if (state.empty())
        m_audit.reportViolation("MIXED: the state of " + jobId + " cannot be read: " + response.body);
}

bool Soak::isSettled() const
{
    return m_audit.unfinishedJobs().empty() && m_audit.runsOfCancelledJobs().empty()
        && m_audit.idleLongRunningTasks().empty();
}

void Soak::clientLoop(unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<std::thread> submitters;
    try {
        while (submitters.size() < submittingThreads)
            submitters.emplace_back([this] { submitLoop(); });
    } catch (const std::system_error& error) {
        m_audit.reportViolation(std::string("FAULT: cannot start a client thread: ") + error.what());
    }
    int number = 0;
    while (!m_stopping) {
        if (m_submitting) {
            const std::pair<unsigned, int> job(random(), number++);
            const std::lock_guard<std::mutex> guard(m_jobQueueMutex);
            if (m_jobQueue.size() < maximumQueuedJobs)
                m_jobQueue.push_back(job);
            else
                ++m_skippedJobs;
            m_jobQueued.notify_one();
        } else {
            pollJobStatus(random);
        }
        pause(1000U / static_cast<unsigned>(m_options.jobsPerSecond));
    }
    m_jobQueued.notify_all();
    for (std::thread& thread : submitters)
        thread.join();
}

void Soak::submitLoop()
{
    while (!m_stopping) {
        std::unique_lock<std::mutex> lock(m_jobQueueMutex);
        m_jobQueued.wait_for(lock, std::chrono::milliseconds(100), [this] { return !m_jobQueue.empty(); });
        if (m_jobQueue.empty())
            continue;
        const std::pair<unsigned, int> job = m_jobQueue.front();
        m_jobQueue.pop_front();
        lock.unlock();
        std::mt19937 jobRandom(job.first);
        submitJob(jobRandom, job.second);
    }
}

std::vector<std::string> Soak::run()
{
    if (!start())
        return m_audit.violations();
    pause(2500);
    std::thread client([this, seed = draw(~0U)] { clientLoop(seed); });
    std::vector<std::thread> statusClients;
    statusClients.reserve(static_cast<std::size_t>(m_options.entries));
    for (int entry = 0; entry < m_options.entries; ++entry)
        statusClients.emplace_back([this, entry] { statusLoop(entry); });
    const SteadyTime faultsEnd = SteadyClock::now() + m_options.faultDuration;
    try {
        while (SteadyClock::now() < faultsEnd) {
            runRecoveries(false);
            injectFault();
            if (m_foreignRandom() % foreignAnnouncementPeriod == 0)
                injectForeignAnnouncement();
            if (m_options.machineFaults && m_machineRandom() % machineFaultPeriod == 0)
                injectMachineFault();
            if (m_options.silences && m_silenceRandom() % silencePeriod == 0)
                injectSilence();
            if (m_options.zoneClosures && m_zoneRandom() % zoneRequestPeriod == 0)
                injectZoneRequest();
            pause(50 + draw(600));
        }
    } catch (const std::system_error& error) {
        m_audit.reportViolation(std::string("FAULT: ") + error.what());
    }
    runRecoveries(true);
    while (!m_closedZones.empty())
        requestZoneChange(std::string(*m_closedZones.begin()));
    if (m_options.plannedStopDuration > std::chrono::seconds::zero())
        runPlannedStops();
    m_submitting = false;
    settle();
    for (const std::string& task : m_audit.runsOfCancelledJobs())
        m_audit.reportViolation("UNASKED: " + task + " is still running although its job was cancelled");
    if (m_audit.acceptedCount() == 0)
        m_audit.reportViolation("FAULT: no job was accepted");
    m_stopping = true;
    client.join();
    for (std::thread& statusClient : statusClients)
        statusClient.join();
    return m_audit.violations();
}

void Soak::settle()
{
    m_audit.note("calm");
    const SteadyTime startedAt = SteadyClock::now();
    // The time that the accepted jobs take on half of the room, beside the time that each job may take.
    const std::chrono::milliseconds work = std::chrono::milliseconds(jobWork) * m_audit.unfinishedJobs().size() * 2
        / (m_hosts.size() * static_cast<std::size_t>(RunAudit::placesPerHost));
    const SteadyTime latestEnd = startedAt + work + 2 * m_options.settleLimit;
    SteadyClock::duration timeWithRoom {};
    bool hostsListed = false;
    for (SteadyTime now = startedAt; timeWithRoom < m_options.settleLimit && now < latestEnd;) {
        const bool isCalm = now >= startedAt + minimumSettleTime + calmTime;
        m_audit.checkLongRunningTasks(isCalm);
        if (!hostsListed && now >= startedAt + calmTime) {
            m_audit.onHostsListed();
            hostsListed = true;
        }
        if (now >= startedAt + minimumSettleTime && isSettled())
            break;
        if (isCalm)
            m_audit.checkStandingJobs();
        pause(100);
        const SteadyTime before = std::exchange(now, SteadyClock::now());
        if (m_audit.isHalfFree())
            timeWithRoom += now - before;
    }
    m_audit.checkLongRunningTasks(false);
    m_longRunningTasks = m_audit.judgedLongRunningTasks(startedAt + minimumSettleTime);
    if (m_longRunningTasks.second > 0)
        m_audit.reportViolation("FAULT: " + std::to_string(m_longRunningTasks.second)
            + " long-running tasks could not be judged for want of room");
    const std::vector<std::string> unfinished = m_audit.unfinishedJobs();
    if (timeWithRoom < m_options.settleLimit) {
        if (!unfinished.empty())
            m_audit.reportViolation("FAULT: " + std::to_string(unfinished.size())
                + " jobs have not finished and could not be judged for want of room");
        return;
    }
    for (const std::string& jobId : unfinished)
        m_audit.reportViolation("LOST: " + jobId + " was accepted but has not finished");
}

std::string Soak::summary() const
{
    std::string text = "seed " + std::to_string(m_options.seed) + ": " + std::to_string(m_audit.acceptedCount())
        + " jobs accepted, " + std::to_string(m_audit.startCount()) + " starts, long-running tasks: "
        + std::to_string(m_longRunningTasks.first) + " judged, " + std::to_string(m_longRunningTasks.second)
        + " not judged, waiting counts: " + std::to_string(m_audit.waitingCounts()) + " judged, "
        + std::to_string(m_audit.waitingCountsAfterFaults())
        + " of them after the faults, states asked under traffic: " + std::to_string(m_statesInTouch)
        + " of entries in touch, " + std::to_string(m_statesOutOfTouch) + " of others, ";
    if (m_plannedStopCount > 0)
        text += std::to_string(m_plannedStopCount) + " planned stops: " + std::to_string(m_answeredAroundStops)
            + " requests answered, " + std::to_string(m_cutUnreadAroundStops) + " cut unread, ";
    if (m_options.zoneClosures)
        text += std::to_string(m_audit.startsInClosingZones()) + " starts in zones closed within the bound, ";
    text += "faults:";
    for (const std::string& fault : m_faults)
        text += " " + fault;
    if (m_skippedJobs > 0)
        text += "; " + std::to_string(m_skippedJobs) + " submissions skipped";
    return text;
}

} // namespace Plantainpier
