#include "Soak/HostStandIn.h"

namespace Plantainpier {

namespace {

    using Guard = std::lock_guard<std::mutex>;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds backgroundInterval(10);
    constexpr std::chrono::milliseconds announceInterval(700);
    constexpr std::int64_t capacityMilliCores = std::int64_t(1000) * RunAudit::placesPerHost;
    constexpr std::int64_t capacityMegabytes = 8000;
    constexpr std::int64_t maximumLeaseMilliseconds = 10'000;
    constexpr unsigned failurePercent = 3;
    constexpr unsigned maximumStopMilliseconds = 600;
    /// Ends in one list response; further ends are left out.
    constexpr std::size_t maximumListedEnds = 500;
    constexpr unsigned minimumLateMilliseconds = 1000;
    constexpr unsigned maximumLateMilliseconds = 12'000;
    constexpr unsigned maximumRestartMilliseconds = 3000;
    const std::string pathPrefix = "/plantainpier/";

    SoakTask parseTask(const std::string& text)
    {
        SoakTask task;
        const std::size_t index = text.rfind('.');
        const std::size_t step = text.rfind('.', index - 1);
        task.jobId = text.substr(0, text.find('.'));
        task.step = std::stoi(text.substr(step + 1, index - step - 1));
        task.index = std::stoi(text.substr(index + 1));
        return task;
    }

    std::int64_t unixMillisecondsNow()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

} // namespace

HostStandIn::HostStandIn(
    int number, Relay& relay, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed)
    : m_number(number)
    , m_relay(relay)
    , m_sidePort(sidePort)
    , m_audit(audit)
    , m_http(std::move(http))
    , m_random(seed)
{
    startIncarnation(SteadyClock::now());
}

Result<std::unique_ptr<HostStandIn>> HostStandIn::create(
    int number, int port, Relay& relay, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed)
{
    std::unique_ptr<HostStandIn> host(new HostStandIn(number, relay, sidePort, audit, std::move(http), seed));
    Result<std::unique_ptr<KeepAliveServer>> server = KeepAliveServer::create(
        port, [raw = host.get()](const std::shared_ptr<HttpCall>& call) { raw->onCall(call); });
    if (!isOk(server))
        return errorOf(server);
    host->m_server = takeValue(std::move(server));
    host->m_backgroundThread = std::thread([raw = host.get()] { raw->runBackgroundLoop(); });
    return host;
}

HostStandIn::~HostStandIn()
{
    {
        const Guard guard(m_mutex);
        m_stopping = true;
    }
    if (m_backgroundThread.joinable())
        m_backgroundThread.join();
    if (m_server)
        m_server->stop();
}

void HostStandIn::startIncarnation(SteadyTime now)
{
    m_born = std::max(unixMillisecondsNow(), m_born + 1);
    if (!m_reusesId)
        m_id = "host-" + std::to_string(m_number) + "-" + std::to_string(m_born);
    m_incarnation = m_id + "/" + std::to_string(m_born);
    // Host clocks may run up to 2% slow.
    m_clockRatePerMille = 980 + static_cast<int>(draw(21));
    m_startedAt = now;
    m_announcedAt = SteadyTime();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_lastEndNumber = 0;
    m_acknowledgedUpTo = 0;
    m_relay.setListening(true);
    m_audit.onIncarnationStarted(m_incarnation, zoneOf(m_number));
}

void HostStandIn::crash(std::chrono::milliseconds pause, bool reusesId)
{
    const Guard guard(m_mutex);
    if (!m_incarnation.empty())
        endIncarnation(SteadyClock::now(), pause, reusesId);
}

void HostStandIn::endIncarnation(SteadyTime now, std::chrono::milliseconds pause, bool reusesId)
{
    m_audit.onIncarnationEnded(m_incarnation);
    m_runs.clear();
    m_highestEndedRuns.clear();
    m_ends.clear();
    m_waitingListCalls.clear();
    m_incarnation.clear();
    m_reusesId = reusesId;
    m_downUntil = now + pause;
    if (reusesId && draw(3) == 0) {
        m_staleAnnouncementAt = m_downUntil + std::chrono::milliseconds(draw(maximumRestartMilliseconds));
        m_staleBorn = m_born;
        m_staleId = m_id;
    }
    if (pause == std::chrono::milliseconds::zero())
        startIncarnation(now);
    else
        m_relay.setListening(draw(2) == 0);
    m_relay.resetExisting();
}

void HostStandIn::setSidePort(int sidePort)
{
    const Guard guard(m_mutex);
    m_sidePort = sidePort;
    m_announcedAt = SteadyTime();
}

void HostStandIn::setOrderFaults(const OrderFaults& faults)
{
    const Guard guard(m_mutex);
    m_orderFaults = faults;
}

std::int64_t HostStandIn::clockMilliseconds(SteadyTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt).count() * m_clockRatePerMille
        / 1000;
}

HostStandIn::Answer HostStandIn::refuse(const char* reason) const
{
    return Answer { 409,
        Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born }, { "reason", reason } } };
}

void HostStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    const Guard guard(m_mutex);
    // A host that is down does not answer.
    if (m_incarnation.empty())
        return;
    std::map<std::string, std::string>::const_iterator targetInstance = call->headers.find("Target-Instance");
    if (targetInstance != call->headers.end() && !targetInstance->second.empty() && targetInstance->second != m_id) {
        call->reply(421, "{}");
        return;
    }
    const Json body = Json::parse(call->body, nullptr, false);
    if (!body.is_object()) {
        call->reply(400, "{}");
        return;
    }
    const std::string path = call->path.substr(std::min(call->path.size(), pathPrefix.size()));
    if (path == "run-start" && m_orderFaults.crashesOnStart) {
        m_orderFaults.crashesOnStart = false;
        if (draw(2) == 0)
            execute(path, body, {});
        m_audit.note(m_incarnation + " crashes during a start");
        endIncarnation(SteadyClock::now(), std::chrono::milliseconds(draw(2) * draw(maximumRestartMilliseconds)), true);
        return;
    }
    const unsigned percent = draw(100);
    if (percent < m_orderFaults.resetPercent + m_orderFaults.unansweredPercent) {
        injectOrderFault(path, body, percent < m_orderFaults.resetPercent);
        return;
    }
    const Answer answer = execute(path, body, {});
    const std::int64_t wait = body.value("wait_ms", std::int64_t(0));
    if (path == "hold" && answer.status == 200 && m_ends.empty() && wait > 0) {
        m_waitingListCalls.push_back(WaitingListCall { call, SteadyClock::now() + std::chrono::milliseconds(wait) });
        return;
    }
    call->reply(answer.status, answer.body.dump());
}

void HostStandIn::injectOrderFault(const std::string& path, const Json& body, bool resets)
{
    const SteadyTime now = SteadyClock::now();
    const unsigned lateMilliseconds = minimumLateMilliseconds + draw(maximumLateMilliseconds - minimumLateMilliseconds);
    const unsigned execution = draw(4);
    if (execution == 0)
        execute(path, body, "an unanswered order");
    else if (execution < 3)
        m_lateOrders.push_back(
            LateOrder { m_id, m_incarnation, path, body, now + std::chrono::milliseconds(lateMilliseconds) });
    if (path != "hold")
        m_audit.note("unanswered " + path + " " + body.value("task", std::string()) + " run "
            + std::to_string(body.value("run", 0)) + " on " + m_incarnation + (resets ? ", reset" : "")
            + (execution == 0       ? ", executed"
                    : execution < 3 ? ", late by " + std::to_string(lateMilliseconds) + " ms"
                                    : ", never"));
    if (resets)
        m_relay.resetExisting();
}

HostStandIn::Answer HostStandIn::execute(const std::string& path, const Json& body, const std::string& origin)
{
    const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
    if (!origin.empty())
        m_audit.note(origin + " on " + m_incarnation + ": " + path + " " + body.dump());
    if (fence < m_fence)
        return refuse("fence");
    if (fence > m_fence)
        m_audit.note("fence " + std::to_string(fence) + " on " + m_incarnation + " by " + path + " " + origin);
    m_fence = fence;
    expireLease(SteadyClock::now());
    if (path == "run-start")
        return start(body, origin);
    if (path == "run-stop")
        return stop(body);
    if (path == "hold") {
        hold(body);
        return list();
    }
    return Answer { 200, Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born } } };
}

HostStandIn::Answer HostStandIn::start(const Json& body, const std::string& origin)
{
    const SteadyTime now = SteadyClock::now();
    const SoakTask task = parseTask(body.at("task").get<std::string>());
    const int number = body.at("run").get<int>();
    const std::int64_t until
        = std::min(body.value("expires_ms", std::int64_t(0)), clockMilliseconds(now) + maximumLeaseMilliseconds);
    if (until <= clockMilliseconds(now))
        return refuse("late");
    m_leaseUntil = std::max(m_leaseUntil, until);
    Answer accepted { 200, Json { { "clock_ms", clockMilliseconds(now) }, { "born", m_born } } };
    std::map<SoakTask, Run>::const_iterator it = m_runs.find(task);
    if (it != m_runs.end() && it->second.run == number)
        return accepted;
    std::map<SoakTask, int>::const_iterator highestEnded = m_highestEndedRuns.find(task);
    if (it != m_runs.end() || (highestEnded != m_highestEndedRuns.end() && number <= highestEnded->second))
        return refuse("old");
    const std::string payload = body.value("spec", std::string());
    const bool longRunning = payload.starts_with(longRunningPayloadPrefix);
    const bool fails = payload.starts_with(failingPayloadPrefix) || draw(100) < failurePercent;
    const unsigned durationMilliseconds = longRunning ? 2000 + draw(6000)
        : draw(10) == 0                               ? 1500 + draw(2500)
                                                      : 100 + draw(700);
    m_runs[task]
        = Run { task, number, now + std::chrono::milliseconds(durationMilliseconds), fails ? "failed" : "done", false };
    m_audit.onStart(m_incarnation, task, number, payload, origin);
    if (static_cast<std::int64_t>(m_runs.size()) * 1000 > capacityMilliCores) {
        std::string violation = "LIMIT: " + m_incarnation + " exceeds its capacity with run " + std::to_string(number)
            + " of " + task.text() + (origin.empty() ? "" : " by " + origin) + " beside";
        for (const std::pair<const SoakTask, Run>& entry : m_runs) {
            if (entry.first.text() != task.text())
                violation += " " + entry.first.text() + (entry.second.stopping ? " (stopping)" : "");
        }
        m_audit.reportViolation(violation);
    }
    return accepted;
}

HostStandIn::Answer HostStandIn::stop(const Json& body)
{
    const SoakTask task = parseTask(body.at("task").get<std::string>());
    const int number = body.at("run").get<int>();
    m_highestEndedRuns[task] = std::max(m_highestEndedRuns[task], number);
    std::map<SoakTask, Run>::iterator it = m_runs.find(task);
    if (it != m_runs.end() && it->second.run <= number && !it->second.stopping) {
        it->second.stopping = true;
        it->second.endsAt = SteadyClock::now() + std::chrono::milliseconds(draw(maximumStopMilliseconds));
    }
    return Answer { 200, Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born } } };
}

void HostStandIn::hold(const Json& body)
{
    const std::int64_t now = clockMilliseconds(SteadyClock::now());
    m_leaseUntil
        = std::max(m_leaseUntil, std::min(body.value("expires_ms", std::int64_t(0)), now + maximumLeaseMilliseconds));
    // The acknowledgement also applies to later ends up to this number: they are dropped as soon as they occur.
    const std::int64_t acknowledged = body.value("acked_upto", std::int64_t(0));
    if (acknowledged > std::max(m_acknowledgedUpTo, m_lastEndNumber))
        m_audit.note(
            "acknowledged on " + m_incarnation + " up to " + std::to_string(acknowledged) + ", which has not ended");
    m_acknowledgedUpTo = std::max(m_acknowledgedUpTo, acknowledged);
    while (!m_ends.empty() && m_ends.front().number <= m_acknowledgedUpTo) {
        acknowledge(m_ends.front());
        m_ends.pop_front();
    }
}

void HostStandIn::acknowledge(const End& end)
{
    if (!end.leaseLapsed)
        m_audit.onAcknowledged(m_incarnation, end.task, end.run);
}

HostStandIn::Answer HostStandIn::list() const
{
    Json running = Json::array();
    for (const std::pair<const SoakTask, Run>& entry : m_runs)
        running.push_back({ entry.first.text(), entry.second.run, "", 0, 1000 });
    Json ended = Json::array();
    for (const End& end : m_ends) {
        if (ended.size() < maximumListedEnds)
            ended.push_back({ end.number, end.task.text(), end.run, end.outcome, "" });
    }
    return Answer { 200,
        Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born }, { "running", running },
            { "ended", ended } } };
}

void HostStandIn::end(const Run& run, const std::string& outcome)
{
    const End ended { ++m_lastEndNumber, run.task, run.run, outcome, false };
    m_highestEndedRuns[run.task] = std::max(m_highestEndedRuns[run.task], run.run);
    m_audit.onEnd(m_incarnation, run.task, run.run, outcome);
    if (ended.number <= m_acknowledgedUpTo)
        acknowledge(ended);
    else
        m_ends.push_back(ended);
}

void HostStandIn::announce(SteadyTime now)
{
    if (now - m_announcedAt < announceInterval)
        return;
    m_announcedAt = now;
    announce(m_sidePort, m_id, m_born, now);
}

void HostStandIn::announceToOtherSide(int sidePort, bool exists)
{
    const Guard guard(m_mutex);
    if (m_incarnation.empty())
        return;
    const std::string id = exists ? m_id : "host-unknown-" + std::to_string(unixMillisecondsNow());
    announce(sidePort, id, exists ? m_born : unixMillisecondsNow(), SteadyClock::now());
}

void HostStandIn::announce(int sidePort, const std::string& id, std::int64_t born, SteadyTime now)
{
    HttpRequest request;
    request.method = "PUT";
    request.address = "127.0.0.1";
    request.port = sidePort;
    request.path = pathPrefix + "instances/" + id;
    request.timeout = seconds(1);
    request.mayResend = true;
    request.body = Json {
        { "service", "desk" }, { "address", "127.0.0.1:1" }, { "zone", zoneOf(m_number) }, { "version", "v1" },
        { "slots", 4 }, { "state", "ready" }, { "born", born }, { "seq", ++m_sequence },
        { "capacity", { { "cpu", capacityMilliCores }, { "mem_mb", capacityMegabytes }, { "gpu", 0 } } },
        { "labels", { "a", "rack-1" } }, { "clock_ms", clockMilliseconds(now) }
    }.dump();
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void HostStandIn::expireLease(SteadyTime now)
{
    if (clockMilliseconds(now) < m_leaseUntil)
        return;
    for (End& end : m_ends)
        end.leaseLapsed = true;
    for (const std::pair<const SoakTask, Run>& entry : m_runs)
        end(entry.second, "lapsed");
    m_runs.clear();
}

void HostStandIn::processDue(SteadyTime now)
{
    expireLease(now);
    for (std::map<SoakTask, Run>::iterator it = m_runs.begin(); it != m_runs.end();) {
        const Run run = it->second;
        if (now < run.endsAt) {
            ++it;
            continue;
        }
        it = m_runs.erase(it);
        end(run, run.stopping ? "stopped" : run.outcome);
    }
    executeLateOrders(now);
    for (std::vector<WaitingListCall>::iterator it = m_waitingListCalls.begin(); it != m_waitingListCalls.end();) {
        if (m_ends.empty() && now < it->until) {
            ++it;
            continue;
        }
        it->call->reply(200, list().body.dump());
        it = m_waitingListCalls.erase(it);
    }
}

void HostStandIn::executeLateOrders(SteadyTime now)
{
    std::vector<LateOrder> due;
    for (std::vector<LateOrder>::iterator it = m_lateOrders.begin(); it != m_lateOrders.end();) {
        if (it->at > now) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = m_lateOrders.erase(it);
    }
    for (const LateOrder& order : due) {
        if (!m_incarnation.empty() && order.id == m_id)
            execute(order.path, order.body,
                order.incarnation == m_incarnation ? "a late order"
                                                   : "a late order to the earlier incarnation " + order.incarnation);
    }
}

void HostStandIn::runBackgroundLoop()
{
    for (;;) {
        std::this_thread::sleep_for(backgroundInterval);
        const Guard guard(m_mutex);
        if (m_stopping)
            return;
        const SteadyTime now = SteadyClock::now();
        if (m_incarnation.empty()) {
            executeLateOrders(now);
            if (now >= m_downUntil)
                startIncarnation(now);
            continue;
        }
        if (m_staleAnnouncementAt && now >= *m_staleAnnouncementAt) {
            m_staleAnnouncementAt.reset();
            announce(m_sidePort, m_staleId, m_staleBorn, now);
        }
        announce(now);
        processDue(now);
    }
}

} // namespace Plantainpier
