#include "StandIns/TargetStandIn.h"

#include "Base/Json.h"

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::chrono::milliseconds announceInterval(500);
    constexpr std::chrono::milliseconds drainPollInterval(50);
    constexpr std::chrono::seconds drainTimeout(30);
    constexpr Duration callTimeout = seconds(1);

    /// Returns the number after "NAME=" if the body starts with this directive, such as "ms=20;...", and -1
    /// otherwise.
    std::int64_t directiveValue(const std::string& body, const std::string& directiveKey)
    {
        if (!body.starts_with(directiveKey + "="))
            return -1;
        return std::strtoll(body.c_str() + directiveKey.size() + 1, nullptr, 10);
    }

} // namespace

TargetStandIn::TargetStandIn(const TargetStandInOptions& options, std::shared_ptr<HttpClient> http)
    : m_options(options)
    , m_http(std::move(http))
{
    if (!m_options.auditFile.empty())
        m_auditStream.open(m_options.auditFile, std::ios::app);
    m_serviceThread = std::thread([this] { runServiceLoop(); });
    m_announceThread = std::thread([this] { runAnnounceLoop(); });
}

TargetStandIn::~TargetStandIn()
{
    m_stopping = true;
    m_stateChanged.notify_all();
    m_serviceThread.join();
    m_announceThread.join();
}

void TargetStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->path == "/v1/run" && call->method == "POST") {
        handleRun(call);
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    Json runs = Json::array();
    for (const std::string& body : m_startedBodies)
        runs.push_back(body);
    call->reply(httpOk, Json { { "target", m_options.targetId }, { "runs", runs } }.dump());
}

std::chrono::milliseconds TargetStandIn::serviceTimeFor(const std::string& body) const
{
    const std::int64_t requestedMilliseconds = directiveValue(body, "ms");
    const std::chrono::milliseconds baseTime
        = requestedMilliseconds >= 0 ? std::chrono::milliseconds(requestedMilliseconds) : m_options.serviceTime;
    return baseTime + baseTime * m_workerMilliProcessors.load() / m_options.milliProcessorsAtDoubleServiceTime;
}

std::string TargetStandIn::responseBodyFor(const std::string& body) const
{
    std::string responseBody = "ran:" + m_options.targetId + ":" + body;
    const std::int64_t requestedSize = directiveValue(body, "size");
    if (requestedSize > static_cast<std::int64_t>(responseBody.size()))
        responseBody.append(static_cast<std::size_t>(requestedSize) - responseBody.size(), 'x');
    return responseBody;
}

void TargetStandIn::startRequest(const std::shared_ptr<HttpCall>& call)
{
    m_startedBodies.push_back(call->body);
    if (m_auditStream.is_open())
        m_auditStream << call->body << std::endl;
    m_running.emplace(Clock::now() + serviceTimeFor(call->body), call);
}

void TargetStandIn::handleRun(const std::shared_ptr<HttpCall>& call)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (static_cast<int>(m_running.size() + m_waiting.size()) >= m_options.maximumConnections) {
        call->reply(Error { ErrorCode::Overloaded, "all connections of the target are in use; nothing was started" });
        return;
    }
    if (static_cast<int>(m_running.size()) < m_options.slots)
        startRequest(call);
    else
        m_waiting.push_back(call);
    m_stateChanged.notify_all();
}

void TargetStandIn::runServiceLoop()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (m_running.empty()) {
            m_stateChanged.wait_for(lock, announceInterval);
            continue;
        }
        const Clock::time_point nextCompletion = m_running.begin()->first;
        if (Clock::now() < nextCompletion) {
            m_stateChanged.wait_until(lock, nextCompletion);
            continue;
        }
        const std::shared_ptr<HttpCall> call = m_running.begin()->second;
        m_running.erase(m_running.begin());
        if (!m_waiting.empty()) {
            startRequest(m_waiting.front());
            m_waiting.pop_front();
        }
        lock.unlock();
        call->reply(httpOk, responseBodyFor(call->body));
        lock.lock();
    }
}

int TargetStandIn::sendAnnouncement(bool leaving)
{
    HttpRequest request;
    request.method = "POST";
    request.address = m_options.address;
    request.port = m_options.sidePort;
    request.path = "/v1/target";
    request.timeout = callTimeout;
    request.body = Json { { "address", m_options.address }, { "port", m_options.port }, { "slots", m_options.slots },
        { "leaving",
            leaving } }.dump();
    const HttpResponse response = m_http->fetch(std::move(request));
    const Json json = Json::parse(response.body, nullptr, false);
    return response.status == httpOk && json.is_object() ? json.value("in_progress", -1) : -1;
}

void TargetStandIn::updateWorkerUsage()
{
    if (m_options.workerPort == 0)
        return;
    HttpRequest request;
    request.address = m_options.address;
    request.port = m_options.workerPort;
    request.path = "/v1/tasks";
    request.timeout = callTimeout;
    const HttpResponse response = m_http->fetch(std::move(request));
    const Json json = Json::parse(response.body, nullptr, false);
    if (json.is_object())
        m_workerMilliProcessors = json.value("used_milli_processors", std::int64_t(0));
}

void TargetStandIn::runAnnounceLoop()
{
    while (!m_stopping) {
        sendAnnouncement(m_leaving);
        updateWorkerUsage();
        std::unique_lock<std::mutex> lock(m_mutex);
        m_stateChanged.wait_for(lock, announceInterval, [this] { return m_stopping.load(); });
    }
}

void TargetStandIn::announceDepartureAndDrain()
{
    m_leaving = true;
    const Clock::time_point drainDeadline = Clock::now() + drainTimeout;
    while (Clock::now() < drainDeadline) {
        const int inProgress = sendAnnouncement(true);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (inProgress <= 0 && m_running.empty() && m_waiting.empty())
                return;
        }
        std::this_thread::sleep_for(drainPollInterval);
    }
}

} // namespace Plantainpier
