#include "StandIns/TargetStandIn.h"

#include "Base/Json.h"

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::chrono::milliseconds announceEvery(500);
    constexpr std::chrono::milliseconds leavePoll(50);
    constexpr std::chrono::seconds leaveLimit(30);
    constexpr Duration callTimeout = seconds(1);

    /// The number after "NAME=" at the start of a body, up to a semicolon; -1 when the body starts otherwise.
    std::int64_t directive(const std::string& body, const std::string& directiveName)
    {
        if (!body.starts_with(directiveName + "="))
            return -1;
        return std::strtoll(body.c_str() + directiveName.size() + 1, nullptr, 10);
    }

} // namespace

TargetStandIn::TargetStandIn(const TargetStandInOptions& options, std::shared_ptr<HttpClient> http)
    : m_options(options)
    , m_http(std::move(http))
{
    if (!m_options.auditFile.empty())
        m_audit.open(m_options.auditFile, std::ios::app);
    m_server = std::thread([this] { serve(); });
    m_announcer = std::thread([this] { announceRepeatedly(); });
}

TargetStandIn::~TargetStandIn()
{
    m_stopping = true;
    m_changed.notify_all();
    m_server.join();
    m_announcer.join();
}

void TargetStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->path == "/v1/run" && call->method == "POST") {
        run(call);
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    Json runs = Json::array();
    for (const std::string& body : m_runs)
        runs.push_back(body);
    call->reply(httpOk, Json { { "target", m_options.targetId }, { "runs", runs } }.dump());
}

std::chrono::milliseconds TargetStandIn::serviceTimeOf(const std::string& body) const
{
    const std::int64_t asked = directive(body, "ms");
    const std::chrono::milliseconds base = asked >= 0 ? std::chrono::milliseconds(asked) : m_options.service;
    return base + base * m_usedMilliProcessors.load() / m_options.doublesAtMilliProcessors;
}

std::string TargetStandIn::answerTo(const std::string& body) const
{
    std::string answer = "ran:" + m_options.targetId + ":" + body;
    const std::int64_t size = directive(body, "size");
    if (size > static_cast<std::int64_t>(answer.size()))
        answer.append(static_cast<std::size_t>(size) - answer.size(), 'x');
    return answer;
}

void TargetStandIn::begin(const std::shared_ptr<HttpCall>& call)
{
    m_runs.push_back(call->body);
    if (m_audit.is_open())
        m_audit << call->body << std::endl;
    m_running.emplace(Clock::now() + serviceTimeOf(call->body), call);
}

void TargetStandIn::run(const std::shared_ptr<HttpCall>& call)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (static_cast<int>(m_running.size() + m_waiting.size()) >= m_options.connections) {
        call->reply(Error { ErrorCode::Overloaded, "the target has no free connection; nothing was started" });
        return;
    }
    if (static_cast<int>(m_running.size()) < m_options.slots)
        begin(call);
    else
        m_waiting.push_back(call);
    m_changed.notify_all();
}

void TargetStandIn::serve()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (m_running.empty()) {
            m_changed.wait_for(lock, announceEvery);
            continue;
        }
        const Clock::time_point next = m_running.begin()->first;
        if (Clock::now() < next) {
            m_changed.wait_until(lock, next);
            continue;
        }
        const std::shared_ptr<HttpCall> call = m_running.begin()->second;
        m_running.erase(m_running.begin());
        if (!m_waiting.empty()) {
            begin(m_waiting.front());
            m_waiting.pop_front();
        }
        lock.unlock();
        call->reply(httpOk, answerTo(call->body));
        lock.lock();
    }
}

int TargetStandIn::announce(bool leaving)
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
    const Json answer = Json::parse(response.body, nullptr, false);
    return response.status == httpOk && answer.is_object() ? answer.value("in_progress", -1) : -1;
}

void TargetStandIn::watchWorker()
{
    if (m_options.workerPort == 0)
        return;
    HttpRequest request;
    request.address = m_options.address;
    request.port = m_options.workerPort;
    request.path = "/v1/tasks";
    request.timeout = callTimeout;
    const HttpResponse response = m_http->fetch(std::move(request));
    const Json answer = Json::parse(response.body, nullptr, false);
    if (answer.is_object())
        m_usedMilliProcessors = answer.value("used_milli_processors", std::int64_t(0));
}

void TargetStandIn::announceRepeatedly()
{
    while (!m_stopping) {
        announce(m_leaving);
        watchWorker();
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, announceEvery, [this] { return m_stopping.load(); });
    }
}

void TargetStandIn::leave()
{
    m_leaving = true;
    const Clock::time_point limit = Clock::now() + leaveLimit;
    while (Clock::now() < limit) {
        const int inProgress = announce(true);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (inProgress <= 0 && m_running.empty() && m_waiting.empty())
                return;
        }
        std::this_thread::sleep_for(leavePoll);
    }
}

} // namespace Plantainpier
