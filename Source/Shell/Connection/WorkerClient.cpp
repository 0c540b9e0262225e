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
        const Wire::AttemptState::type* known = valueIn(stateTable, state);
        if (known)
            task.state = *known;
        else
            reader.fault(ErrorCode::InvalidField, "state", state + " is no state of a task");
        task.demand.milliProcessors = reader.requiredInteger("milli_processors", 0, maximumNumber);
        task.demand.memoryMegabytes = reader.requiredInteger("memory_mb", 0, maximumNumber);
        task.demand.accelerators = static_cast<std::int32_t>(reader.requiredInteger("accelerators", 0, 1'000'000));
        task.result = reader.optionalString("result", maximumTextBytes, "");
        task.checkpoint = reader.optionalString("checkpoint", maximumTextBytes, "");
        outer.adopt(reader.faults());
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
        if (!reader.faults().empty())
            return joinFaults(reader.faults());
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
    // Whether it started is learned from listings; an answer that was lost changes nothing.
    HttpRequest request = makePost("/v1/tasks", body.dump());
    request.ownConnection = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::renew(const RenewTask& task)
{
    const Json body { { "job", task.taskId }, { "attempt", task.attempt },
        { "lease_until_ms", task.leaseUntilMilliseconds } };
    // The end is a point in time: the second of two changes nothing.
    HttpRequest request = makePost("/v1/tasks/lease", body.dump());
    request.mayRepeat = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::stop(const StopTask& task)
{
    const Json body { { "job", task.taskId }, { "attempt", task.attempt }, { "checkpoint", task.checkpoint } };
    HttpRequest request = makePost("/v1/tasks/stop", body.dump());
    request.mayRepeat = true;
    m_http->submit(std::move(request), [](HttpResponse&&) {});
}

void WorkerClient::list(OnListing onListing)
{
    if (m_listing->exchange(true))
        return;
    HttpRequest request;
    request.address = m_address;
    request.port = m_port;
    request.path = "/v1/tasks";
    request.timeout = callTimeout;
    request.mayRepeat = true;
    m_http->submit(
        std::move(request), [listing = m_listing, onListing = std::move(onListing)](HttpResponse&& response) {
            *listing = false;
            if (response.kind != HttpResponse::Kind::Answered || response.status != httpOk)
                return;
            Result<WorkerListing> parsed = parseListing(response.body);
            if (isOk(parsed))
                onListing(takeValue(std::move(parsed)));
        });
}

} // namespace Plantainpier
