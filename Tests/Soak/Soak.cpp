#include "Soak/Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>

namespace Plantainpier {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr int storeBlock = 0;
    constexpr int storeRelayBlock = 100;
    constexpr int clientBlock = 200;
    constexpr int healthBlock = 300;
    constexpr int announceBlock = 400;
    constexpr int hostBlock = 500;
    constexpr int hostRelayBlock = 600;
    constexpr int peerBlock = 700;
    constexpr unsigned nodeFaults = 9;
    constexpr unsigned storeFaults = 4;
    constexpr unsigned hostFaults = 8;
    constexpr unsigned noAnswers = 3;
    /// Orders that got no answer may still be carried out for this long after the last fault.
    constexpr std::chrono::seconds leastCalm(13);
    /// A task that lasts runs again 6 s after its last run, with 3 s more; see LOST in the platform's rules.
    constexpr std::chrono::seconds lastingAwayLimit(9);
    /// One job of so many lasts, and another one cannot succeed.
    constexpr int lastingEvery = 8;
    constexpr int lastingNumber = 3;
    constexpr int hopelessEvery = 16;
    constexpr int hopelessNumber = 6;
    constexpr int attempts = 5;
    /// A process that was told to stop has ended by then: the settings give it 6 s.
    constexpr std::chrono::seconds stopLimit(8);
    const std::string loopbackText = "127.0.0.1";
    const std::string hostName = "desk.example";

    /// One route to one service, as the operator of the platform writes it.
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

    /// Until a process has taken over its signals, which it does before it opens a port, a signal ends it like any
    /// program.
    bool hasTakenOverSignals(pid_t pid)
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        const std::string field = "SigBlk:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field))
                return (std::stoull(line.substr(field.size()), nullptr, 16) >> (SIGTERM - 1) & 1U) != 0;
        }
        return false;
    }

    void pause(unsigned long milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_hostWeight(3 + draw(12))
{
}

Soak::~Soak()
{
    for (Node& node : m_nodes)
        node.process.reset();
}

int Soak::portOf(int block, int number) const { return m_options.firstPort + block + number; }

void Soak::writeSettings(const Node& node) const
{
    const int number = node.number;
    const int place = static_cast<int>(&node - m_nodes.data());
    Json settings { { "id", node.name }, { "zone", "zone-a" }, { "address", loopbackText },
        { "peer_port", portOf(peerBlock, place) },
        { "store_address", loopbackText + ":" + std::to_string(portOf(storeRelayBlock, place)) }, { "service", "desk" },
        { "processor_share", 0.5 }, { "shutdown_s", 6 } };
    if (node.role == Role::Entry) {
        settings["client_address"] = loopbackText + ":" + std::to_string(portOf(clientBlock, number));
        settings["health_address"] = loopbackText + ":" + std::to_string(portOf(healthBlock, number));
    } else {
        settings["announce_address"] = loopbackText + ":" + std::to_string(portOf(announceBlock, number));
        settings["host_address"] = loopbackText + ":" + std::to_string(portOf(hostRelayBlock, number));
    }
    std::ofstream(m_options.folder + "/" + node.name + ".json") << settings.dump(2) << "\n";
}

void Soak::launch(Node& node)
{
    const std::vector<std::string> command { m_options.program, node.role == Role::Entry ? "entry" : "side",
        "--settings", m_options.folder + "/" + node.name + ".json" };
    node.process = std::make_unique<ChildProcess>(command, m_options.folder + "/" + node.name + ".log");
    node.away = false;
}

bool Soak::start()
{
    std::filesystem::create_directories(m_options.folder);
    Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    Result<std::unique_ptr<StoreStandIn>> store = StoreStandIn::create(portOf(storeBlock, 0), draw(~0U));
    if (!isOk(http) || !isOk(store)) {
        m_audit.report("FAULT: the stand-ins cannot start");
        return false;
    }
    m_audit.openLog(m_options.folder + "/audit.log");
    m_http = takeValue(std::move(http));
    m_store = takeValue(std::move(store));
    m_store->put("keyed.op", "config", configuration(1));
    for (int n = 0; n < m_options.entries + m_options.hosts; ++n) {
        Node node;
        const bool entry = n < m_options.entries;
        node.role = entry ? Role::Entry : Role::Side;
        node.number = entry ? n : n - m_options.entries;
        node.name = (entry ? "entry-" : "side-") + std::to_string(node.number);
        node.store = std::make_unique<Relay>(portOf(storeRelayBlock, n), portOf(storeBlock, 0));
        m_nodes.push_back(std::move(node));
    }
    for (int n = 0; n < m_options.hosts; ++n) {
        m_hostRelays.push_back(std::make_unique<Relay>(portOf(hostRelayBlock, n), portOf(hostBlock, n)));
        Result<std::unique_ptr<HostStandIn>> host = HostStandIn::create(
            n, portOf(hostBlock, n), *m_hostRelays.back(), portOf(announceBlock, n), m_audit, m_http, draw(~0U));
        if (!isOk(host)) {
            m_audit.report("FAULT: " + errorOf(host).message);
            return false;
        }
        m_hosts.push_back(takeValue(std::move(host)));
    }
    for (Node& node : m_nodes) {
        writeSettings(node);
        launch(node);
    }
    return true;
}

void Soak::undoLater(unsigned least, unsigned most, std::function<void()> action)
{
    const std::chrono::milliseconds after(least + draw(most - least));
    m_undo.push_back(Undo { SteadyClock::now() + after, std::move(action) });
}

void Soak::undoDue(bool all)
{
    for (std::size_t n = 0; n < m_undo.size();) {
        if (!all && SteadyClock::now() < m_undo[n].at) {
            ++n;
            continue;
        }
        const std::function<void()> action = std::move(m_undo[n].action);
        m_undo.erase(m_undo.begin() + static_cast<std::ptrdiff_t>(n));
        action();
    }
}

void Soak::startAfterStop(Node& node, bool young)
{
    if (!hasEnded(node.process->pid()) && SteadyClock::now() < node.stoppedAt + stopLimit) {
        pause(10);
        undoLater(50, 100, [this, &node, young] { startAfterStop(node, young); });
        return;
    }
    if (node.process->stop(std::chrono::seconds(1)) != 0 && !young)
        m_audit.report("FAULT: " + node.name + " did not end gracefully");
    launch(node);
}

void Soak::hurtNode(Node& node, unsigned kind)
{
    static const char* const names[nodeFaults] = { "kill", "terminate", "freeze", "hangup", "store-silent",
        "store-one-way", "store-reset", "store-slow", "store-cut" };
    m_faults.push_back(std::string(names[kind]) + ":" + node.name);
    m_audit.note("fault " + m_faults.back());
    switch (kind) {
    case 0:
        node.process->kill();
        node.away = true;
        undoLater(300, 2500, [this, &node] { launch(node); });
        return;
    case 1: {
        const bool young = !hasTakenOverSignals(node.process->pid());
        // It is started again while what it had may still be going on elsewhere.
        node.process->askToStop();
        node.away = true;
        node.stoppedAt = SteadyClock::now();
        undoLater(1500, 4000, [this, &node, young] { startAfterStop(node, young); });
        return;
    }
    case 2:
        node.process->freeze();
        node.away = true;
        undoLater(500, 8000, [this, &node] {
            m_audit.note("awake " + node.name);
            node.process->wake();
            node.away = false;
        });
        return;
    case 3:
        if (hasTakenOverSignals(node.process->pid()))
            ::kill(node.process->pid(), SIGHUP);
        return;
    case 4:
        node.store->silenceExisting(true, true);
        return;
    case 5:
        node.store->silenceExisting(draw(2) == 0, draw(2) == 0);
        return;
    case 6:
        node.store->resetExisting();
        return;
    case 7:
        node.store->setDelay(std::chrono::milliseconds(50 + draw(400)));
        undoLater(500, 4000, [&node] { node.store->setDelay({}); });
        return;
    default:
        node.store->setHeld(true);
        undoLater(1000, 6000, [&node] { node.store->setHeld(false); });
        return;
    }
}

void Soak::hurtStore(unsigned kind)
{
    static const char* const names[storeFaults] = { "silent", "busy", "loses-answers", "compacted" };
    m_faults.push_back(std::string(names[kind]) + ":store");
    m_audit.note("fault " + m_faults.back());
    if (kind == 3) {
        m_store->compact();
        return;
    }
    static constexpr StoreMood moods[] = { StoreMood::Silent, StoreMood::Busy, StoreMood::LosesAnswers };
    m_store->setMood(moods[kind]);
    undoLater(500, 4000, [this] { m_store->setMood(StoreMood::Well); });
}

void Soak::hurtHost(std::size_t number, unsigned kind)
{
    static const char* const names[hostFaults]
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
    case noAnswers:
    case 4: {
        const unsigned share = 10 + draw(60);
        host.setTrouble(kind == noAnswers ? OrderTrouble { share, 0, false } : OrderTrouble { 0, share, false });
        undoLater(1000, 5000, [&host] { host.setTrouble({}); });
        if (draw(2) == 0)
            undoLater(
                300, 6000, [&host, down = draw(2) * draw(3000)] { host.crash(std::chrono::milliseconds(down), true); });
        return;
    }
    case 5:
        host.setTrouble(OrderTrouble { 0, 0, true });
        undoLater(2000, 4000, [&host] { host.setTrouble({}); });
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
    const std::string claim = m_store->newestValue("keyed.plantainpier.owners");
    for (Node& node : m_nodes) {
        if (claim.find(node.name) != std::string::npos)
            return &node;
    }
    return nullptr;
}

void Soak::hurtEverybody()
{
    for (Node& node : m_nodes) {
        if (!node.away)
            hurtNode(node, 0);
    }
}

void Soak::hurt()
{
    const bool ownersInTurn = SteadyClock::now() < m_ownersHurtUntil;
    const unsigned what = draw(8 + m_hostWeight);
    if (what >= 8) {
        hurtHost(draw(static_cast<unsigned>(m_hosts.size())), draw(hostFaults));
        return;
    }
    if (!ownersInTurn) {
        if (what < 2) {
            hurtStore(draw(storeFaults));
            return;
        }
        if (what == 2 && draw(5) == 0) {
            hurtEverybody();
            return;
        }
        if (what == 3) {
            m_ownersHurtUntil = SteadyClock::now() + std::chrono::milliseconds(1500 + draw(4000));
            const bool hostsToo = draw(2) == 0;
            for (std::size_t n = 0; hostsToo && n < m_hosts.size(); ++n)
                hurtHost(n, noAnswers);
            return;
        }
    }
    Node* chosen = ownersInTurn || draw(3) == 0 ? owner() : &m_nodes[draw(static_cast<unsigned>(m_nodes.size()))];
    const unsigned kind = draw(nodeFaults);
    if (chosen && !chosen->away)
        hurtNode(*chosen, kind);
}

HttpResponse Soak::call(int entry, const std::string& method, const std::string& jobId, const std::string& body)
{
    HttpRequest request;
    request.method = method;
    request.address = loopbackText;
    request.port = portOf(clientBlock, entry);
    request.path = "/plans/" + jobId;
    request.headers = { "Host: " + hostName, "Request-Deadline: 3000" };
    request.body = body;
    request.timeout = milliseconds(3200);
    request.mayRepeat = true;
    return m_http->fetch(std::move(request));
}

void Soak::handIn(std::mt19937& random, int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", m_options.seed, static_cast<unsigned>(number));
    SoakJob job;
    job.lasting = number % lastingEvery == lastingNumber;
    const bool hopeless = number % hopelessEvery == hopelessNumber;
    job.payload = (job.lasting ? lastingPayload : hopeless ? hopelessPayload : "payload") + " of " + std::string(id);
    Json steps = Json::array();
    const unsigned depth = job.lasting ? 1 : 1 + random() % 3;
    for (unsigned step = 0; step < depth; ++step) {
        const int width = job.lasting ? 1 : 1 + static_cast<int>(random() % 4);
        job.widths.push_back(width);
        Json wire { { "count", width }, { "cpu", 1000 }, { "mem_mb", 100 }, { "estimate_ms", 450 } };
        if (job.lasting)
            wire["long_running"] = true;
        if (step > 0)
            wire["after"] = { step - 1 };
        steps.push_back(wire);
    }
    const std::string body = Json { { "spec", job.payload }, { "steps", steps } }.dump();
    const bool lasts = job.lasting;
    m_audit.onSubmit(id, std::move(job));
    bool refused = true;
    for (int n = 0; n < attempts; ++n) {
        const HttpResponse response
            = call(static_cast<int>(random() % static_cast<unsigned>(m_options.entries)), "POST", id, body);
        const bool answered = response.kind == HttpResponse::Kind::Answered;
        if (answered && response.status == 200) {
            m_audit.onAccepted(id);
            if (random() % 10 == 0 || (lasts && random() % 4 == 0))
                cancel(random, id);
            return;
        }
        refused = refused && answered && response.status == 503;
        pause(answered && response.status == 503 ? 1000 : 300);
    }
    if (refused)
        m_audit.onRefusedForGood(id);
}

void Soak::cancel(std::mt19937& random, const std::string& jobId)
{
    m_audit.onCancelAsked(jobId);
    for (int n = 0; n < attempts; ++n) {
        const HttpResponse response
            = call(static_cast<int>(random() % static_cast<unsigned>(m_options.entries)), "DELETE", jobId, {});
        if (response.kind == HttpResponse::Kind::Answered && (response.status == 200 || response.status == 410)) {
            m_audit.onCancelAcknowledged(jobId);
            return;
        }
        pause(300);
    }
}

void Soak::follow(std::mt19937& random)
{
    for (const std::string& jobId : m_audit.openJobs())
        follow(random, jobId);
    for (const std::string& jobId : m_audit.lastingJobs())
        follow(random, jobId);
}

void Soak::follow(std::mt19937& random, const std::string& jobId)
{
    if (m_stopping)
        return;
    const HttpResponse response
        = call(static_cast<int>(random() % static_cast<unsigned>(m_options.entries)), "GET", jobId, {});
    if (response.kind != HttpResponse::Kind::Answered || (response.status != 200 && response.status != 410))
        return;
    if (response.status == 410) {
        m_audit.report("LOST: " + jobId + " was accepted and is not known");
        return;
    }
    const Json body = Json::parse(response.body, nullptr, false);
    const std::string state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (state == "completed")
        m_audit.onCompletedShown(jobId);
    else if (state == "failed")
        m_audit.onFailedShown(jobId);
    else if (state == "cancelled")
        m_audit.onCancelledShown(jobId);
    else if (state.empty())
        m_audit.report("MIXED: the state of " + jobId + " cannot be read: " + response.body);
}

bool Soak::isAllWell() const
{
    return m_audit.openJobs().empty() && m_audit.runsOfCancelledJobs().empty()
        && m_audit.lastingTasksAwaySince(SteadyClock::now()).empty();
}

void Soak::clientLoop(unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<std::thread> sending;
    int number = 0;
    while (!m_stopping) {
        if (m_handsIn) {
            const unsigned own = random();
            sending.emplace_back([this, own, number] {
                std::mt19937 drawn(own);
                handIn(drawn, number);
            });
            ++number;
        } else {
            follow(random);
        }
        pause(1000U / static_cast<unsigned>(m_options.jobsPerSecond));
    }
    for (std::thread& thread : sending)
        thread.join();
}

std::vector<std::string> Soak::run()
{
    if (!start())
        return m_audit.breaches();
    pause(2500);
    std::thread client([this, seed = draw(~0U)] { clientLoop(seed); });
    const SteadyTime faultsEnd = SteadyClock::now() + m_options.faults;
    while (SteadyClock::now() < faultsEnd) {
        undoDue(false);
        hurt();
        pause(50 + draw(600));
    }
    undoDue(true);
    m_handsIn = false;
    m_audit.note("calm");
    const SteadyTime calmBegun = SteadyClock::now();
    while (
        SteadyClock::now() < calmBegun + leastCalm || (SteadyClock::now() < calmBegun + m_options.calm && !isAllWell()))
        pause(100);
    for (const std::string& task : m_audit.lastingTasksAwaySince(SteadyClock::now() - lastingAwayLimit))
        m_audit.report("LOST: " + task + " is to last and does not run");
    for (const std::string& jobId : m_audit.openJobs())
        m_audit.report("LOST: " + jobId + " was accepted and is not done");
    for (const std::string& task : m_audit.runsOfCancelledJobs())
        m_audit.report("UNASKED: " + task + " still runs and its job was cancelled");
    if (m_audit.accepted() == 0)
        m_audit.report("FAULT: no job was accepted");
    m_stopping = true;
    client.join();
    return m_audit.breaches();
}

std::string Soak::summary() const
{
    std::string text = "seed " + std::to_string(m_options.seed) + ": " + std::to_string(m_audit.accepted())
        + " jobs accepted, " + std::to_string(m_audit.starts()) + " starts, faults:";
    for (const std::string& fault : m_faults)
        text += " " + fault;
    return text;
}

} // namespace Plantainpier
