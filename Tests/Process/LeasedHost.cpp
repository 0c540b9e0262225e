#include "Process/LeasedHost.h"

#include <algorithm>
#include <stdexcept>

namespace Plantainpier {

namespace {

    using Guard = std::lock_guard<std::mutex>;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds backgroundInterval(10);
    constexpr std::chrono::milliseconds announceInterval(700);
    constexpr std::int64_t capacityMilliCores = 64'000;
    constexpr std::int64_t capacityMegabytes = 250'000;

} // namespace

LeasedHost::LeasedHost(std::string id, int port, int sidePort, std::shared_ptr<HttpClient> http)
    : m_id(std::move(id))
    , m_sidePort(sidePort)
    , m_http(std::move(http))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    Result<std::unique_ptr<KeepAliveServer>> server
        = KeepAliveServer::create(port, [this](const std::shared_ptr<HttpCall>& call) { onCall(call); });
    if (!isOk(server))
        throw std::runtime_error(errorOf(server).message);
    m_server = takeValue(std::move(server));
    m_background = std::thread([this] { runBackground(); });
}

LeasedHost::~LeasedHost()
{
    {
        const Guard guard(m_mutex);
        m_stopping = true;
    }
    m_background.join();
    m_server->stop();
}

std::optional<LeasedHost::SteadyTime> LeasedHost::firstStart(const std::string& jobId)
{
    const Guard guard(m_mutex);
    const std::map<std::string, SteadyTime>::const_iterator it = m_firstStarts.find(jobId);
    return it == m_firstStarts.end() ? std::nullopt : std::optional<SteadyTime>(it->second);
}

std::size_t LeasedHost::runningCount()
{
    const Guard guard(m_mutex);
    return m_runs.size();
}

std::size_t LeasedHost::lapsedCount()
{
    const Guard guard(m_mutex);
    return m_lapsed;
}

std::int64_t LeasedHost::clockMilliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - m_startedAt).count();
}

Json LeasedHost::listRuns() const
{
    Json running = Json::array();
    for (const std::pair<const std::string, Run>& entry : m_runs)
        running.push_back({ entry.first, entry.second.number, "", 100, 0 });
    Json ended = Json::array();
    for (const std::pair<const std::int64_t, Json>& entry : m_ends)
        ended.push_back(entry.second);
    return Json { { "clock_ms", clockMilliseconds() }, { "born", m_born }, { "running", running }, { "ended", ended } };
}

void LeasedHost::onCall(const std::shared_ptr<HttpCall>& call)
{
    constexpr int httpOk = 200;
    constexpr int httpConflict = 409;
    const Guard guard(m_mutex);
    const Json body = Json::parse(call->body, nullptr, false);
    const Json clock { { "clock_ms", clockMilliseconds() }, { "born", m_born } };
    const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
    if (fence < m_fence) {
        Json refusal = clock;
        refusal["reason"] = "fence";
        call->reply(httpConflict, refusal.dump());
        return;
    }
    m_fence = fence;
    m_leaseUntil = std::max(m_leaseUntil, body.value("expires_ms", std::int64_t(0)));
    const std::string task = body.value("task", std::string());
    const std::map<std::string, Run>::const_iterator it = m_runs.find(task);
    if (call->path.ends_with("/run-start") && it == m_runs.end()) {
        const bool longRunning = body.value("spec", std::string()).starts_with(longRunningPayload);
        m_runs[task] = Run { body.value("run", 0), longRunning, SteadyClock::now() + taskDuration };
        m_firstStarts.try_emplace(task.substr(0, task.find('.')), SteadyClock::now());
    } else if (call->path.ends_with("/run-stop") && it != m_runs.end()) {
        const Run stopped = it->second;
        m_runs.erase(it);
        endRun(task, stopped, "stopped");
    } else if (call->path.ends_with("/hold")) {
        m_ends.erase(m_ends.begin(), m_ends.upper_bound(body.value("acked_upto", std::int64_t(0))));
        const std::chrono::milliseconds wait(body.value("wait_ms", 0));
        m_waitingLists.push_back(WaitingList { call, SteadyClock::now() + wait });
        answerLists();
        return;
    }
    call->reply(httpOk, clock.dump());
}

void LeasedHost::answerLists()
{
    std::erase_if(m_waitingLists, [this](const WaitingList& list) {
        if (m_ends.empty() && SteadyClock::now() < list.until)
            return false;
        list.call->reply(200, listRuns().dump());
        return true;
    });
}

void LeasedHost::endRun(const std::string& task, const Run& run, const char* how)
{
    const std::int64_t number = ++m_lastEnd;
    m_ends[number] = Json { number, task, run.number, how, "" };
}

void LeasedHost::endDueRuns()
{
    const bool lapsed = clockMilliseconds() >= m_leaseUntil;
    std::erase_if(m_runs, [this, lapsed](const std::pair<const std::string, Run>& entry) {
        const bool done = !entry.second.longRunning && SteadyClock::now() >= entry.second.endsAt;
        if (!done && !lapsed)
            return false;
        m_lapsed += done ? 0 : 1;
        endRun(entry.first, entry.second, done ? "done" : "lapsed");
        return true;
    });
}

void LeasedHost::announce()
{
    HttpRequest request;
    request.method = "PUT";
    request.address = "127.0.0.1";
    request.port = m_sidePort;
    request.path = "/plantainpier/instances/" + m_id;
    request.timeout = seconds(1);
    request.mayResend = true;
    request.body = Json {
        { "service", "desk" }, { "address", "127.0.0.1:1" }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 },
        { "state", "ready" }, { "born", m_born }, { "seq", ++m_announcements },
        { "capacity", { { "cpu", capacityMilliCores }, { "mem_mb", capacityMegabytes }, { "gpu", 0 } } },
        { "labels", { "a", "rack-1" } }, { "clock_ms", clockMilliseconds() }
    }.dump();
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void LeasedHost::runBackground()
{
    SteadyTime nextAnnouncement;
    for (;;) {
        std::this_thread::sleep_for(backgroundInterval);
        const Guard guard(m_mutex);
        if (m_stopping)
            return;
        if (SteadyClock::now() >= nextAnnouncement) {
            nextAnnouncement = SteadyClock::now() + announceInterval;
            announce();
        }
        endDueRuns();
        answerLists();
    }
}

} // namespace Plantainpier
