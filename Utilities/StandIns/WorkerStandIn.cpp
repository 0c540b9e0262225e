#include "StandIns/WorkerStandIn.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::int64_t defaultRunMilliseconds = 100;
    /// Time that an ended task remains in the task list.
    constexpr std::int64_t endedTaskRetentionMilliseconds = 60'000;

} // namespace

WorkerStandIn::WorkerStandIn(std::chrono::milliseconds usageLag)
    : m_usageLag(usageLag)
    , m_startTime(std::chrono::steady_clock::now())
{
}

std::int64_t WorkerStandIn::clockMilliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startTime)
        .count();
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
    const std::int64_t now = clockMilliseconds();
    endDueTasks(now);
    Json response = Json::object();
    if (call->path == "/v1/tasks" && call->method == "GET")
        response = listTasks(now);
    else if (call->path == "/v1/starts")
        response = listStarts();
    else if (call->path == "/v1/tasks")
        startTask(body);
    else if (call->path == "/v1/tasks/lease")
        renewLease(body);
    else if (call->path == "/v1/tasks/stop")
        stopTask(body);
    call->reply(httpOk, response.dump());
}

void WorkerStandIn::endTask(Task& task, const std::string& state, std::int64_t endTime)
{
    task.state = state;
    task.endedAt = endTime;
    task.checkpoint = std::to_string(task.previousWorkMilliseconds + endTime - task.startedAt);
}

void WorkerStandIn::endDueTasks(std::int64_t now)
{
    for (Task& task : m_tasks) {
        if (task.state != "running")
            continue;
        if (task.workDoneAt <= now && task.workDoneAt <= task.leaseUntil)
            endTask(task, task.shouldFail ? "failed" : "completed", task.workDoneAt);
        else if (task.leaseUntil <= now)
            endTask(task, "stopped", task.leaseUntil);
    }
}

WorkerStandIn::Task* WorkerStandIn::findTask(const Json& body)
{
    const std::string job = body.value("job", "");
    const int attempt = body.value("attempt", 0);
    const auto isSameAttempt = [&](const Task& task) { return task.job == job && task.attempt == attempt; };
    std::deque<Task>::iterator it = std::find_if(m_tasks.begin(), m_tasks.end(), isSameAttempt);
    return it == m_tasks.end() ? nullptr : &*it;
}

void WorkerStandIn::startTask(const Json& body)
{
    const Json payload = Json::parse(body.value("payload", "{}"), nullptr, false);
    const std::int64_t totalWorkMilliseconds
        = payload.is_object() ? payload.value("run_ms", defaultRunMilliseconds) : defaultRunMilliseconds;
    Task task;
    task.job = body.value("job", "");
    task.attempt = body.value("attempt", 0);
    task.milliProcessors = body.value("milli_processors", std::int64_t(0));
    task.memoryMegabytes = body.value("memory_mb", std::int64_t(0));
    task.accelerators = body.value("accelerators", 0);
    task.startedAt = clockMilliseconds();
    task.leaseUntil = body.value("lease_until_ms", std::int64_t(0));
    task.shouldFail = payload.is_object() && payload.value("fail", false);
    task.previousWorkMilliseconds = std::strtoll(body.value("checkpoint", "").c_str(), nullptr, 10);
    task.workDoneAt = task.startedAt + std::max<std::int64_t>(0, totalWorkMilliseconds - task.previousWorkMilliseconds);
    m_tasks.push_back(task);
    endDueTasks(task.startedAt);
}

void WorkerStandIn::renewLease(const Json& body)
{
    Task* task = findTask(body);
    if (task && task->state == "running")
        task->leaseUntil = body.value("lease_until_ms", task->leaseUntil);
}

void WorkerStandIn::stopTask(const Json& body)
{
    Task* task = findTask(body);
    if (task && task->state == "running")
        endTask(*task, "stopped", clockMilliseconds());
}

Json WorkerStandIn::taskToJson(const Task& task) const
{
    Json json { { "job", task.job }, { "attempt", task.attempt }, { "state", task.state },
        { "milli_processors", task.milliProcessors }, { "memory_mb", task.memoryMegabytes },
        { "accelerators", task.accelerators }, { "checkpoint", task.checkpoint } };
    if (task.state == "completed")
        json["result"] = "ran " + std::to_string(task.endedAt - task.startedAt) + " ms";
    return json;
}

Json WorkerStandIn::listTasks(std::int64_t now) const
{
    Json tasks = Json::array();
    std::int64_t usedMilliProcessors = 0;
    for (const Task& task : m_tasks) {
        const bool running = task.state == "running";
        if (running || now - task.endedAt < endedTaskRetentionMilliseconds)
            tasks.push_back(taskToJson(task));
        const std::int64_t usageTime = now - m_usageLag.count();
        const bool wasRunning = task.startedAt <= usageTime && (running || task.endedAt > usageTime);
        usedMilliProcessors += wasRunning ? task.milliProcessors : 0;
    }
    return { { "clock_ms", now }, { "tasks", tasks }, { "used_milli_processors", usedMilliProcessors } };
}

Json WorkerStandIn::listStarts() const
{
    Json starts = Json::array();
    for (const Task& task : m_tasks) {
        Json json = taskToJson(task);
        json["started_ms"] = task.startedAt;
        json["ended_ms"] = task.state == "running" ? Json() : Json(task.endedAt);
        starts.push_back(json);
    }
    return { { "clock_ms", clockMilliseconds() }, { "starts", starts } };
}

} // namespace Plantainpier
