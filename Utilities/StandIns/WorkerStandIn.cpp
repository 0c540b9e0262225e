#include "StandIns/WorkerStandIn.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::int64_t defaultRunMilliseconds = 100;
    /// How long a task that has ended stays on the list.
    constexpr std::int64_t listEndedMilliseconds = 60'000;

} // namespace

WorkerStandIn::WorkerStandIn(std::chrono::milliseconds usageLag)
    : m_usageLag(usageLag)
    , m_began(std::chrono::steady_clock::now())
{
}

std::int64_t WorkerStandIn::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_began).count();
}

void WorkerStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    const Result<Json> parsed = parseJsonObject(call->body.empty() ? "{}" : call->body);
    if (!isOk(parsed)) {
        call->reply(errorOf(parsed));
        return;
    }
    const Json& body = valueOf(parsed);
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t now = clock();
    advance(now);
    Json answer = Json::object();
    if (call->path == "/v1/tasks" && call->method == "GET")
        answer = list(now);
    else if (call->path == "/v1/starts")
        answer = audit();
    else if (call->path == "/v1/tasks")
        start(body);
    else if (call->path == "/v1/tasks/lease")
        renew(body);
    else if (call->path == "/v1/tasks/stop")
        stop(body);
    call->reply(httpOk, answer.dump());
}

void WorkerStandIn::end(Task& task, const std::string& state, std::int64_t at)
{
    task.state = state;
    task.endedAt = at;
    task.checkpoint = std::to_string(task.resumedAt + at - task.startedAt);
}

void WorkerStandIn::advance(std::int64_t now)
{
    for (Task& task : m_tasks) {
        if (task.state != "running")
            continue;
        if (task.doneAt <= now && task.doneAt <= task.leaseUntil)
            end(task, task.fails ? "failed" : "completed", task.doneAt);
        else if (task.leaseUntil <= now)
            end(task, "stopped", task.leaseUntil);
    }
}

WorkerStandIn::Task* WorkerStandIn::find(const Json& body)
{
    const std::string job = body.value("job", "");
    const int attempt = body.value("attempt", 0);
    const auto isThis = [&](const Task& task) { return task.job == job && task.attempt == attempt; };
    std::deque<Task>::iterator it = std::find_if(m_tasks.begin(), m_tasks.end(), isThis);
    return it == m_tasks.end() ? nullptr : &*it;
}

void WorkerStandIn::start(const Json& body)
{
    const Json work = Json::parse(body.value("payload", "{}"), nullptr, false);
    const std::int64_t runFor
        = work.is_object() ? work.value("run_ms", defaultRunMilliseconds) : defaultRunMilliseconds;
    Task task;
    task.job = body.value("job", "");
    task.attempt = body.value("attempt", 0);
    task.milliProcessors = body.value("milli_processors", std::int64_t(0));
    task.memoryMegabytes = body.value("memory_mb", std::int64_t(0));
    task.accelerators = body.value("accelerators", 0);
    task.startedAt = clock();
    task.leaseUntil = body.value("lease_until_ms", std::int64_t(0));
    task.fails = work.is_object() && work.value("fail", false);
    task.resumedAt = std::strtoll(body.value("checkpoint", "").c_str(), nullptr, 10);
    task.doneAt = task.startedAt + std::max<std::int64_t>(0, runFor - task.resumedAt);
    m_tasks.push_back(task);
    advance(task.startedAt);
}

void WorkerStandIn::renew(const Json& body)
{
    Task* task = find(body);
    if (task && task->state == "running")
        task->leaseUntil = body.value("lease_until_ms", task->leaseUntil);
}

void WorkerStandIn::stop(const Json& body)
{
    Task* task = find(body);
    if (task && task->state == "running")
        end(*task, "stopped", clock());
}

Json WorkerStandIn::describe(const Task& task) const
{
    Json json { { "job", task.job }, { "attempt", task.attempt }, { "state", task.state },
        { "milli_processors", task.milliProcessors }, { "memory_mb", task.memoryMegabytes },
        { "accelerators", task.accelerators }, { "checkpoint", task.checkpoint } };
    if (task.state == "completed")
        json["result"] = "ran " + std::to_string(task.endedAt - task.startedAt) + " ms";
    return json;
}

Json WorkerStandIn::list(std::int64_t now) const
{
    Json tasks = Json::array();
    std::int64_t used = 0;
    for (const Task& task : m_tasks) {
        const bool running = task.state == "running";
        if (running || now - task.endedAt < listEndedMilliseconds)
            tasks.push_back(describe(task));
        const std::int64_t then = now - m_usageLag.count();
        const bool ranThen = task.startedAt <= then && (running || task.endedAt > then);
        used += ranThen ? task.milliProcessors : 0;
    }
    return { { "clock_ms", now }, { "tasks", tasks }, { "used_milli_processors", used } };
}

Json WorkerStandIn::audit() const
{
    Json starts = Json::array();
    for (const Task& task : m_tasks) {
        Json json = describe(task);
        json["started_ms"] = task.startedAt;
        json["ended_ms"] = task.state == "running" ? Json() : Json(task.endedAt);
        starts.push_back(json);
    }
    return { { "clock_ms", clock() }, { "starts", starts } };
}

} // namespace Plantainpier
