#include "Executor.hh"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Review {

namespace {

    using Json = nlohmann::json;
    constexpr std::int64_t maximumHold = 10'000;
    constexpr auto stopTime = std::chrono::milliseconds(100);
    constexpr auto heartbeatInterval = std::chrono::milliseconds(1100);
    constexpr std::size_t listedEnds = 500;

} // namespace

void RunLog::add(RunEvent event)
{
    event.at = seconds();
    std::lock_guard<std::mutex> lock(m_mutex);
    if (event.what == "start")
        ++m_running[event.task];
    else if (--m_running[event.task] <= 0)
        m_running.erase(event.task);
    m_events.push_back(std::move(event));
}

std::vector<RunEvent> RunLog::events() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_events;
}

int RunLog::count(const std::string& prefix, const std::string& what) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<int>(std::count_if(m_events.begin(), m_events.end(), [&](const RunEvent& event) {
        return event.what == what && event.task.compare(0, prefix.size(), prefix) == 0;
    }));
}

int RunLog::running(const std::string& prefix) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    int count = 0;
    for (auto it = m_running.lower_bound(prefix);
         it != m_running.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
        count += it->second;
    return count;
}

Executor::Executor(ExecutorSettings settings, RunLog& log, Plan plan)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_plan(std::move(plan))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_server(std::make_unique<Server>(
          m_settings.address, m_settings.port, [this](const Request& request) { return handle(request); }))
{
    m_background = std::thread([this] { background(); });
    m_heartbeats = std::thread([this] {
        for (int sequence = 1; !m_stopping; ++sequence) {
            const Json beat { { "service", m_settings.service },
                { "address", m_settings.address + ":" + std::to_string(m_settings.port) }, { "zone", m_settings.zone },
                { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
                { "capacity", { { "cpu", m_settings.milliCores }, { "mem_mb", m_settings.megabytes }, { "gpu", 0 } } },
                { "labels", m_settings.labels }, { "clock_ms", clock() }, { "born", m_born }, { "seq", sequence } };
            if (!m_cut)
                fetch(m_settings.sideAddress, m_settings.sidePort, "PUT", "/plantainpier/instances/" + m_settings.id,
                    {}, beat.dump(), 1000);
            const auto next = Clock::now() + heartbeatInterval;
            while (!m_stopping && Clock::now() < next)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
}

Executor::~Executor()
{
    loseForGood();
    m_heartbeats.join();
    m_background.join();
}

void Executor::loseForGood()
{
    if (m_stopping.exchange(true))
        return;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& entry : m_runs)
            m_log.add(RunEvent { 0, m_settings.id, entry.second.task, entry.second.run, "lost" });
        m_runs.clear();
    }
    m_changed.notify_all();
    m_server->stop();
}

std::int64_t Executor::clock() const
{
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
}

int Executor::milliCoresInUse(const std::function<int(const std::string& task)>& demand) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    int sum = 0;
    for (const auto& entry : m_runs)
        sum += demand(entry.second.task);
    return sum;
}

void Executor::finish(const Run& run, const std::string& how)
{
    int& highest = m_highestEnded[run.task];
    highest = std::max(highest, run.run);
    const std::int64_t number = ++m_lastEnd;
    m_ends.push_back(End { number,
        "[" + std::to_string(number) + ",\"" + run.task + "\"," + std::to_string(run.run) + ",\"" + how + "\",\"\"]" });
    ++m_log.ends;
    m_log.add(RunEvent { 0, m_settings.id, run.task, run.run, how });
}

void Executor::background()
{
    while (!m_stopping) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto now = Clock::now();
        const bool lapsed = clock() >= m_leaseUntil;
        bool changed = false;
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const bool due = !it->second.lasting && now >= it->second.endsAt;
            if (!due && !lapsed) {
                ++it;
                continue;
            }
            const Run run = it->second;
            it = m_runs.erase(it);
            finish(run, due ? run.outcome : "lapsed");
            changed = true;
        }
        if (changed)
            m_changed.notify_all();
    }
}

Response Executor::lists() const
{
    std::string running;
    for (const auto& entry : m_runs) {
        const Run& run = entry.second;
        running += (running.empty() ? "[\"" : ",[\"") + run.task + "\"," + std::to_string(run.run) + ",\"\",100,"
            + std::to_string(run.usage) + "]";
    }
    std::string ended;
    for (std::size_t n = 0; n < m_ends.size() && n < listedEnds; ++n)
        ended += (n > 0 ? "," : "") + m_ends[n].row;
    return Response { 200,
        "{\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(m_born) + ",\"running\":[" + running
            + "],\"ended\":[" + ended + "]}" };
}

std::map<std::string, int> Executor::refusedRuns() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_refusedRuns;
}

void Executor::cutOff(bool cut)
{
    m_cut = cut;
    m_changed.notify_all();
}

Response Executor::handle(const Request& request)
{
    if (m_cut) {
        // The request is lost on its way.
        while (m_cut && !m_stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return Response { 0, "", true };
    }
    if (request.path == "/health")
        return Response { 200, "{}" };
    const auto instance = request.headers.find("target-instance");
    if (instance != request.headers.end() && instance->second != m_settings.id)
        return Response { 421, "{}" };
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return Response { 400, "{}" };
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_stopping)
        return Response { 0, "", true };
    const auto refuse = [this](const char* reason) {
        return Response { 409, "{\"clock_ms\":" + std::to_string(clock()) + ",\"reason\":\"" + reason + "\"}" };
    };
    const Response done { 200, "{\"clock_ms\":" + std::to_string(clock()) + "}" };
    const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
    if (fence < m_fence)
        return refuse("fence");
    m_fence = fence;
    const std::int64_t expires = std::min(body.value("expires_ms", std::int64_t(0)), clock() + maximumHold);
    if (request.path == "/plantainpier/run-start" && m_refuses) {
        int& highest = m_refusedRuns[body.at("task").get<std::string>()];
        highest = std::max(highest, body.at("run").get<int>());
        return Response { 503, "{}" };
    }
    if (request.path == "/plantainpier/run-start") {
        const std::string task = body.at("task").get<std::string>();
        const int run = body.at("run").get<int>();
        if (expires <= clock())
            return refuse("late");
        m_leaseUntil = std::max(m_leaseUntil, expires);
        const std::string key = task + "#" + std::to_string(run);
        if (m_runs.count(key) > 0)
            return done;
        const auto highest = m_highestEnded.find(task);
        if (highest != m_highestEnded.end() && run <= highest->second)
            return refuse("old");
        const TaskPlan plan = m_plan(task, body.value("spec", std::string()));
        Run started { task, run, Clock::now() + std::chrono::milliseconds(std::max(plan.milliseconds, 0)),
            plan.milliseconds < 0, plan.outcome, plan.usage };
        if (m_fails) {
            started.lasting = false;
            started.endsAt = Clock::now() + std::chrono::milliseconds(100);
            started.outcome = "failed";
        }
        m_runs[key] = started;
        m_log.add(RunEvent { 0, m_settings.id, task, run, "start" });
        return done;
    }
    if (request.path == "/plantainpier/run-stop") {
        const std::string task = body.at("task").get<std::string>();
        const int run = body.at("run").get<int>();
        int& highest = m_highestEnded[task];
        highest = std::max(highest, run);
        const auto it = m_runs.find(task + "#" + std::to_string(run));
        if (it != m_runs.end()) {
            it->second.lasting = false;
            it->second.outcome = "stopped";
            it->second.endsAt = Clock::now() + stopTime;
        }
        return done;
    }
    if (request.path == "/plantainpier/hold") {
        m_leaseUntil = std::max(m_leaseUntil, expires);
        const std::int64_t acknowledged = body.value("acked_upto", std::int64_t(0));
        while (!m_ends.empty() && m_ends.front().number <= acknowledged) {
            m_ends.pop_front();
            ++m_log.acknowledged;
        }
        const auto until = Clock::now() + std::chrono::milliseconds(body.value("wait_ms", 0));
        const std::int64_t last = m_lastEnd;
        if (m_ends.empty())
            m_changed.wait_until(lock, until, [&] { return m_stopping || m_cut || m_lastEnd > last; });
        if (m_cut)
            return Response { 0, "", true };
        return lists();
    }
    return done;
}

} // namespace Review
