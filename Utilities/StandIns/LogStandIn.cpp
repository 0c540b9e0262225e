#include "StandIns/LogStandIn.h"

#include <thread>

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::size_t maximumUnanswered = 1000;
    constexpr std::size_t defaultReadLimit = 1000;

    std::int64_t numberOf(const std::string& text)
    {
        return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
    }

    Error refusal(ErrorCode code, const std::string& text) { return Error { code, text }; }

} // namespace

LogStandIn::LogStandIn(const LogStandInOptions& options)
    : m_options(options)
{
}

void LogStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->path == "/v1/switches") {
        setSwitches(call);
        return;
    }
    int slow = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_down) {
            call->reply(refusal(ErrorCode::LogUnavailable, "the log service is down"));
            return;
        }
        slow = m_slowMilliseconds;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(slow));
    if (call->path == "/v1/records" && call->method == "POST")
        append(call);
    else if (call->path == "/v1/records" && call->method == "GET")
        read(call);
    else
        call->reply(refusal(ErrorCode::UnknownResource, "no such path"));
}

bool LogStandIn::takeAppend()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (now - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_appendsThisSecond = 0;
    }
    return ++m_appendsThisSecond <= m_options.appendsPerSecond;
}

void LogStandIn::append(const std::shared_ptr<HttpCall>& call)
{
    const Result<Json> parsed = parseJsonObject(call->body);
    if (!isOk(parsed)) {
        call->reply(errorOf(parsed));
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!takeAppend()) {
        call->reply(refusal(ErrorCode::QuotaExceeded, "too many appends"));
        return;
    }
    const std::int64_t first = m_oldest + static_cast<std::int64_t>(m_records.size());
    for (const Json& record : valueOf(parsed).value("records", Json::array()))
        m_records.push_back(record.get<std::string>());
    while (m_records.size() > m_options.retainedRecords) {
        m_records.pop_front();
        ++m_oldest;
    }
    ++m_appends;
    if (m_answersToLose > 0) {
        --m_answersToLose;
        m_unanswered.push_back(call);
        if (m_unanswered.size() > maximumUnanswered)
            m_unanswered.pop_front();
        return;
    }
    call->reply(httpOk, Json { { "first", first } }.dump());
}

void LogStandIn::read(const std::shared_ptr<HttpCall>& call)
{
    const std::string limitText = queryValue(call->query, "limit");
    const std::size_t limit = limitText.empty() ? defaultReadLimit : static_cast<std::size_t>(numberOf(limitText));
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t end = m_oldest + static_cast<std::int64_t>(m_records.size());
    std::int64_t at = std::max(numberOf(queryValue(call->query, "from")), m_oldest);
    Json records = Json::array();
    for (; at < end && records.size() < limit; ++at)
        records.push_back(m_records[static_cast<std::size_t>(at - m_oldest)]);
    const Json answer { { "oldest", m_oldest }, { "next", at }, { "end", at >= end }, { "records", records } };
    call->reply(httpOk, answer.dump());
}

void LogStandIn::setSwitches(const std::shared_ptr<HttpCall>& call)
{
    const Result<Json> parsed = parseJsonObject(call->method == "POST" ? call->body : "{}");
    if (!isOk(parsed)) {
        call->reply(errorOf(parsed));
        return;
    }
    const Json& switches = valueOf(parsed);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_down = switches.value("down", m_down);
    m_slowMilliseconds = switches.value("slow_ms", m_slowMilliseconds);
    m_answersToLose = switches.value("lose_answers", m_answersToLose);
    if (switches.contains("retained_records"))
        m_options.retainedRecords = switches["retained_records"].get<std::size_t>();
    call->reply(httpOk, Json { { "appends", m_appends }, { "records", m_records.size() } }.dump());
}

} // namespace Plantainpier
