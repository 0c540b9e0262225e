#include "Shell/Connection/WorkerClient.h"

#include "Base/Json.h"
#include "Base/NameTable.h"

namespace Plantainpier {

namespace {

    constexpr Duration callTimeout = seconds(2);
    constexpr std::size_t maximumTextBytes = 1U << 20;
    constexpr std::int64_t maximumNumber = std::numeric_limits<std::int64_t>::max();
    constexpr int httpOk = 200;

    constexpr std::array stateTable {
        NamedValue { Wire::AttemptState::Running, "running" },
        NamedValue { Wire::AttemptState::Completed, "completed" },
        NamedValue { Wire::AttemptState::Failed, "failed" },
        NamedValue { Wire::AttemptState::Stopped, "stopped" },
    };

    WorkerTask parseTask(const Json& entry, JsonReader& outer)
    {
        JsonReader reader(entry, "/tasks");
        WorkerTask task;
        task.id.jobId = reader.requiredString("job", maximumTextBytes);
        task.id.number = static_cast<std::int32_t>(reader.requiredInteger("attempt", 1, 1'000'000));
        const std::string state = reader.requiredString("state", maximumTextBytes);
        const Wire::AttemptState::type* parsedState = valueIn(stateTable, state);
        if (parsedState)
            task.state = *parsedState;
        else
            reader.addError(ErrorCode::InvalidField, "state", state + " is not a valid task state");
        task.demand.milliProcessors = reader.requiredInteger("milli_processors", 0, maximumNumber);
        task.demand.memoryMegabytes = reader.requiredInteger("memory_mb", 0, maximumNumber);
        task.demand.accelerators = static_cast<std::int32_t>(reader.requiredInteger("accelerators", 0, 1'000'000));
        task.result = reader.optionalString("result", maximumTextBytes, "");
        task.checkpoint = reader.optionalString("checkpoint", maximumTextBytes, "");
        outer.addErrors(reader.errors());
        return task;
    }

    Result<WorkerListing> parseListing(const std::string& text)
    {
        const Result<Json> parsed = parseJsonObject(text);
        if (!isOk(parsed))
            return errorOf(parsed);
        JsonReader reader(valueOf(parsed), "");
        WorkerListing listing;
        listing.clockMilliseconds = reader.requiredInteger("clock_ms", 0, maximumNumber);
        for (const Json& entry : reader.optionalArray("tasks")) {
            if (entry.is_object())
                listing.tasks.push_back(parseTask(entry, reader));
        }
        if (!reader.errors().empty())
            return joinErrors(reader.errors());
        return listing;
    }

} // namespace

WorkerClient::WorkerClient(std::shared_ptr<HttpClient> http, std::string address, int port)
    : m_http(std::move(http))
    , m_address(std::move(address))
    , m_port(port)
{
}

HttpRequest WorkerClient::makePost(const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method = "POST";
    request.address = m_address;
    request.port = m_port;
    request.path = path;
    request.body = body;
    request.timeout = callTimeout;
    return request;
}

void WorkerClient::start(const StartTask& task)
{
    const Json body { { "job", task.taskId }, { "attempt", task.attempt },
        { "lease_until_ms", task.leaseUntilMilliseconds }, { "milli_processors", task.demand.milliProcessors },
        { "memory_mb", task.demand.memoryMegabytes }, { "accelerators", task.demand.accelerators },
        { "payload", task.payload }, { "checkpoint", task.checkpoint } };
    // Listings show whether the task has started, so the response is ignored.
    HttpRequest request = makePost("/v1/tasks", body.dump());
    request.useNewConnection = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::renew(const RenewTask& task)
{
    const Json body { { "job", task.taskId }, { "attempt", task.attempt },
        { "lease_until_ms", task.leaseUntilMilliseconds } };
    // The lease ends at a fixed point in time, so a repeated renewal has no effect.
    HttpRequest request = makePost("/v1/tasks/lease", body.dump());
    request.mayResend = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::stop(const StopTask& task)
{
    const Json body { { "job", task.taskId }, { "attempt", task.attempt }, { "checkpoint", task.checkpoint } };
    HttpRequest request = makePost("/v1/tasks/stop", body.dump());
    request.mayResend = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::list(OnListing onListing)
{
    if (m_isListing->exchange(true))
        return;
    HttpRequest request;
    request.address = m_address;
    request.port = m_port;
    request.path = "/v1/tasks";
    request.timeout = callTimeout;
    request.mayResend = true;
    m_http->submit(
        std::move(request), [isListing = m_isListing, onListing = std::move(onListing)](HttpResponse&& response) {
            *isListing = false;
            if (response.kind != HttpResponse::Kind::Answered || response.status != httpOk)
                return;
            Result<WorkerListing> parsed = parseListing(response.body);
            if (isOk(parsed))
                onListing(takeValue(std::move(parsed)));
        });
}

} // namespace Plantainpier
