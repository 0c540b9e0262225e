#include "Soak/HostStandIn.h"

namespace Plantainpier {

namespace {

    using Guard = std::lock_guard<std::mutex>;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds tendInterval(10);
    constexpr std::chrono::milliseconds announceInterval(700);
    constexpr std::int64_t capacityMilliCores = 4000;
    constexpr std::int64_t capacityMegabytes = 8000;
    constexpr std::int64_t longestLease = 10'000;
    constexpr unsigned failingPercent = 3;
    constexpr unsigned longStopMilliseconds = 600;
    /// Ends that are listed at a time.
    constexpr std::size_t endsPerList = 500;
    constexpr unsigned lateLeastMilliseconds = 1000;
    constexpr unsigned lateMostMilliseconds = 12'000;
    constexpr unsigned restartMostMilliseconds = 3000;
    const std::string pathPrefix = "/plantainpier/";

    SoakTask taskOf(const std::string& text)
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
    begin(SteadyClock::now());
}

Result<std::unique_ptr<HostStandIn>> HostStandIn::create(
    int number, int port, Relay& relay, int sidePort, RunAudit& audit, std::shared_ptr<HttpClient> http, unsigned seed)
{
    std::unique_ptr<HostStandIn> host(new HostStandIn(number, relay, sidePort, audit, std::move(http), seed));
    Result<std::unique_ptr<HttpServer>> server = HttpServer::create("127.0.0.1", port, 1,
        [raw = host.get()](const std::shared_ptr<HttpCall>& call) { raw->onCall(call); }, { "Target-Instance" });
    if (!isOk(server))
        return errorOf(server);
    host->m_server = takeValue(std::move(server));
    host->m_tender = std::thread([raw = host.get()] { raw->tend(); });
    return host;
}

HostStandIn::~HostStandIn()
{
    {
        const Guard guard(m_mutex);
        m_stopping = true;
    }
    if (m_tender.joinable())
        m_tender.join();
    if (m_server)
        m_server->stop();
}

void HostStandIn::begin(SteadyTime now)
{
    m_born = std::max(unixMillisecondsNow(), m_born + 1);
    if (!m_keepsId)
        m_id = "host-" + std::to_string(m_number) + "-" + std::to_string(m_born);
    m_life = m_id + "/" + std::to_string(m_born);
    // Hosts' clocks may be 2% slow.
    m_clockRate = 980 + static_cast<int>(draw(21));
    m_begunAt = now;
    m_announcedAt = SteadyTime();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_lastNumber = 0;
    m_acknowledged = 0;
    m_relay.setListening(true);
    m_audit.note("born " + m_life);
}

void HostStandIn::crash(std::chrono::milliseconds pause, bool keepsId)
{
    const Guard guard(m_mutex);
    if (!m_life.empty())
        endLife(SteadyClock::now(), pause, keepsId);
}

void HostStandIn::endLife(SteadyTime now, std::chrono::milliseconds pause, bool keepsId)
{
    m_audit.onHostGone(m_life);
    m_runs.clear();
    m_over.clear();
    m_ends.clear();
    m_waiting.clear();
    m_life.clear();
    m_keepsId = keepsId;
    m_downUntil = now + pause;
    if (keepsId && draw(3) == 0) {
        m_oldBeatAt = m_downUntil + std::chrono::milliseconds(draw(restartMostMilliseconds));
        m_oldBorn = m_born;
        m_oldId = m_id;
    }
    if (pause == std::chrono::milliseconds::zero())
        begin(now);
    else
        m_relay.setListening(draw(2) == 0);
    m_relay.resetExisting();
}

void HostStandIn::setTrouble(const OrderTrouble& trouble)
{
    const Guard guard(m_mutex);
    m_trouble = trouble;
}

std::int64_t HostStandIn::clockMilliseconds(SteadyTime now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_begunAt).count() * m_clockRate / 1000;
}

HostStandIn::Answer HostStandIn::refuse(const char* reason) const
{
    return Answer { 409,
        Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born }, { "reason", reason } } };
}

void HostStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    const Guard guard(m_mutex);
    // A process that is gone answers nobody.
    if (m_life.empty())
        return;
    std::map<std::string, std::string>::const_iterator meant = call->headers.find("Target-Instance");
    if (meant != call->headers.end() && !meant->second.empty() && meant->second != m_id) {
        call->reply(421, "{}");
        return;
    }
    const Json body = Json::parse(call->body, nullptr, false);
    if (!body.is_object()) {
        call->reply(400, "{}");
        return;
    }
    const std::string path = call->path.substr(std::min(call->path.size(), pathPrefix.size()));
    if (path == "run-start" && m_trouble.endsOverStart) {
        m_trouble.endsOverStart = false;
        if (draw(2) == 0)
            carryOut(path, body, {});
        m_audit.note(m_life + " ends over a start");
        endLife(SteadyClock::now(), std::chrono::milliseconds(draw(2) * draw(restartMostMilliseconds)), true);
        return;
    }
    const unsigned drawn = draw(100);
    if (drawn < m_trouble.reset + m_trouble.unanswered) {
        onTrouble(path, body, drawn < m_trouble.reset);
        return;
    }
    const Answer answer = carryOut(path, body, {});
    const std::int64_t wait = body.value("wait_ms", std::int64_t(0));
    if (path == "hold" && answer.status == 200 && m_ends.empty() && wait > 0) {
        m_waiting.push_back(WaitingList { call, SteadyClock::now() + std::chrono::milliseconds(wait) });
        return;
    }
    call->reply(answer.status, answer.body.dump());
}

void HostStandIn::onTrouble(const std::string& path, const Json& body, bool resets)
{
    const SteadyTime now = SteadyClock::now();
    const unsigned late = lateLeastMilliseconds + draw(lateMostMilliseconds - lateLeastMilliseconds);
    const unsigned fate = draw(4);
    if (fate == 0)
        carryOut(path, body, "an order without an answer");
    else if (fate < 3)
        m_late.push_back(Late { m_id, m_life, path, body, now + std::chrono::milliseconds(late) });
    if (path != "hold")
        m_audit.note("unanswered " + path + " " + body.value("task", std::string()) + " run "
            + std::to_string(body.value("run", 0)) + " on " + m_life + (resets ? ", reset" : "")
            + (fate == 0       ? ", carried out"
                    : fate < 3 ? ", late by " + std::to_string(late) + " ms"
                               : ", never"));
    if (resets)
        m_relay.resetExisting();
}

HostStandIn::Answer HostStandIn::carryOut(const std::string& path, const Json& body, const std::string& origin)
{
    const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
    if (!origin.empty())
        m_audit.note(origin + " on " + m_life + ": " + path + " " + body.dump());
    if (fence < m_fence)
        return refuse("fence");
    if (fence > m_fence)
        m_audit.note("fence " + std::to_string(fence) + " on " + m_life + " by " + path + " " + origin);
    m_fence = fence;
    lapse(SteadyClock::now());
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
    const SoakTask task = taskOf(body.at("task").get<std::string>());
    const int number = body.at("run").get<int>();
    const std::int64_t until
        = std::min(body.value("expires_ms", std::int64_t(0)), clockMilliseconds(now) + longestLease);
    if (until <= clockMilliseconds(now))
        return refuse("late");
    m_leaseUntil = std::max(m_leaseUntil, until);
    Answer done { 200, Json { { "clock_ms", clockMilliseconds(now) }, { "born", m_born } } };
    std::map<SoakTask, Run>::const_iterator it = m_runs.find(task);
    if (it != m_runs.end() && it->second.run == number)
        return done;
    std::map<SoakTask, int>::const_iterator over = m_over.find(task);
    if (it != m_runs.end() || (over != m_over.end() && number <= over->second))
        return refuse("old");
    const std::string payload = body.value("spec", std::string());
    const bool lasts = payload.starts_with(lastingPayload);
    const bool fails = payload.starts_with(hopelessPayload) || draw(100) < failingPercent;
    const unsigned length = lasts ? 2000 + draw(6000) : draw(10) == 0 ? 1500 + draw(2500) : 100 + draw(700);
    m_runs[task] = Run { task, number, now + std::chrono::milliseconds(length), fails ? "failed" : "done", false };
    m_audit.onStart(m_life, task, number, payload, origin);
    if (static_cast<std::int64_t>(m_runs.size()) * 1000 > capacityMilliCores) {
        std::string breach = "LIMIT: " + m_life + " was given more than it holds by run " + std::to_string(number)
            + " of " + task.text() + (origin.empty() ? "" : " by " + origin) + " beside";
        for (const std::pair<const SoakTask, Run>& entry : m_runs) {
            if (entry.first.text() != task.text())
                breach += " " + entry.first.text() + (entry.second.stopping ? " (stopping)" : "");
        }
        m_audit.report(breach);
    }
    return done;
}

HostStandIn::Answer HostStandIn::stop(const Json& body)
{
    const SoakTask task = taskOf(body.at("task").get<std::string>());
    const int number = body.at("run").get<int>();
    m_over[task] = std::max(m_over[task], number);
    std::map<SoakTask, Run>::iterator it = m_runs.find(task);
    if (it != m_runs.end() && it->second.run <= number && !it->second.stopping) {
        it->second.stopping = true;
        it->second.endsAt = SteadyClock::now() + std::chrono::milliseconds(draw(longStopMilliseconds));
    }
    return Answer { 200, Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born } } };
}

void HostStandIn::hold(const Json& body)
{
    const std::int64_t now = clockMilliseconds(SteadyClock::now());
    m_leaseUntil = std::max(m_leaseUntil, std::min(body.value("expires_ms", std::int64_t(0)), now + longestLease));
    // Holds for ends that come later, too: they are forgotten at once.
    const std::int64_t acknowledged = body.value("acked_upto", std::int64_t(0));
    if (acknowledged > std::max(m_acknowledged, m_lastNumber))
        m_audit.note("acknowledged on " + m_life + " up to " + std::to_string(acknowledged) + ", which has not ended");
    m_acknowledged = std::max(m_acknowledged, acknowledged);
    while (!m_ends.empty() && m_ends.front().number <= m_acknowledged) {
        acknowledge(m_ends.front());
        m_ends.pop_front();
    }
}

void HostStandIn::acknowledge(const End& end)
{
    if (!end.leaseLapsed)
        m_audit.onAcknowledged(m_life, end.task, end.run);
}

HostStandIn::Answer HostStandIn::list() const
{
    Json running = Json::array();
    for (const std::pair<const SoakTask, Run>& entry : m_runs)
        running.push_back({ entry.first.text(), entry.second.run, "", 0, 1000 });
    Json ended = Json::array();
    for (const End& end : m_ends) {
        if (ended.size() < endsPerList)
            ended.push_back({ end.number, end.task.text(), end.run, end.how, "" });
    }
    return Answer { 200,
        Json { { "clock_ms", clockMilliseconds(SteadyClock::now()) }, { "born", m_born }, { "running", running },
            { "ended", ended } } };
}

void HostStandIn::end(const Run& run, const std::string& how)
{
    const End ended { ++m_lastNumber, run.task, run.run, how, false };
    m_over[run.task] = std::max(m_over[run.task], run.run);
    m_audit.onEnd(m_life, run.task, run.run, how);
    if (ended.number <= m_acknowledged)
        acknowledge(ended);
    else
        m_ends.push_back(ended);
}

void HostStandIn::announce(SteadyTime now)
{
    if (now - m_announcedAt < announceInterval)
        return;
    m_announcedAt = now;
    announce(m_id, m_born, now);
}

void HostStandIn::announce(const std::string& id, std::int64_t born, SteadyTime now)
{
    HttpRequest request;
    request.method = "PUT";
    request.address = "127.0.0.1";
    request.port = m_sidePort;
    request.path = pathPrefix + "instances/" + id;
    request.timeout = seconds(1);
    request.mayRepeat = true;
    request.body = Json {
        { "service", "desk" }, { "address", "127.0.0.1:1" }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 4 },
        { "state", "ready" }, { "born", born }, { "seq", ++m_sequence },
        { "capacity", { { "cpu", capacityMilliCores }, { "mem_mb", capacityMegabytes }, { "gpu", 0 } } },
        { "labels", { "a", "rack-1" } }, { "clock_ms", clockMilliseconds(now) }
    }.dump();
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void HostStandIn::lapse(SteadyTime now)
{
    if (clockMilliseconds(now) < m_leaseUntil)
        return;
    for (End& end : m_ends)
        end.leaseLapsed = true;
    for (const std::pair<const SoakTask, Run>& entry : m_runs)
        end(entry.second, "lapsed");
    m_runs.clear();
}

void HostStandIn::work(SteadyTime now)
{
    lapse(now);
    for (std::map<SoakTask, Run>::iterator it = m_runs.begin(); it != m_runs.end();) {
        const Run run = it->second;
        if (now < run.endsAt) {
            ++it;
            continue;
        }
        it = m_runs.erase(it);
        end(run, run.stopping ? "stopped" : run.how);
    }
    carryOutLate(now);
    for (std::vector<WaitingList>::iterator it = m_waiting.begin(); it != m_waiting.end();) {
        if (m_ends.empty() && now < it->until) {
            ++it;
            continue;
        }
        it->call->reply(200, list().body.dump());
        it = m_waiting.erase(it);
    }
}

void HostStandIn::carryOutLate(SteadyTime now)
{
    std::vector<Late> due;
    for (std::vector<Late>::iterator it = m_late.begin(); it != m_late.end();) {
        if (it->at > now) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = m_late.erase(it);
    }
    for (const Late& order : due) {
        if (!m_life.empty() && order.id == m_id)
            carryOut(order.path, order.body,
                order.life == m_life ? "a late order" : "a late order to the earlier life " + order.life);
    }
}

void HostStandIn::tend()
{
    for (;;) {
        std::this_thread::sleep_for(tendInterval);
        const Guard guard(m_mutex);
        if (m_stopping)
            return;
        const SteadyTime now = SteadyClock::now();
        if (m_life.empty()) {
            carryOutLate(now);
            if (now >= m_downUntil)
                begin(now);
            continue;
        }
        if (m_oldBeatAt && now >= *m_oldBeatAt) {
            m_oldBeatAt.reset();
            announce(m_oldId, m_oldBorn, now);
        }
        announce(now);
        work(now);
    }
}

} // namespace Plantainpier
