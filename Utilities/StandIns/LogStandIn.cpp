#include "StandIns/LogStandIn.h"

#include <thread>

namespace Plantainpier {

namespace {

    constexpr int httpOk = 200;
    constexpr std::size_t maximumWithheldCalls = 1000;
    constexpr std::size_t defaultReadLimit = 1000;

    std::int64_t parseNumber(const std::string& text)
    {
        return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
    }

    Error makeError(ErrorCode code, const std::string& text) { return Error { code, text }; }

} // namespace

LogStandIn::LogStandIn(const LogStandInOptions& options)
    : m_options(options)
{
}

void LogStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->path == "/v1/switches") {
        applyFaultSwitches(call);
        return;
    }
    int delayMilliseconds = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_unavailable) {
            call->reply(makeError(ErrorCode::LogUnavailable,
                "the simulated log service is switched off; POST the switch down as false to /v1/switches"));
            return;
        }
        delayMilliseconds = m_delayMilliseconds;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(delayMilliseconds));
    if (call->path == "/v1/records" && call->method == "POST")
        appendRecords(call);
    else if (call->path == "/v1/records" && call->method == "GET")
        readRecords(call);
    else
        call->reply(makeError(
            ErrorCode::UnknownResource, "unknown path or method; use GET or POST /v1/records, or /v1/switches"));
}

bool LogStandIn::countAppend()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_appendsInWindow = 0;
    }
    return ++m_appendsInWindow <= m_options.appendsPerSecond;
}

void LogStandIn::appendRecords(const std::shared_ptr<HttpCall>& call)
{
    const Result<Json> parsed = parseJsonObject(call->body);
    if (!isOk(parsed)) {
        call->reply(errorOf(parsed));
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!countAppend()) {
        call->reply(
            makeError(ErrorCode::QuotaExceeded, "more appends within one second than --appends-per-second allows"));
        return;
    }
    const std::int64_t firstOffset = m_oldestOffset + static_cast<std::int64_t>(m_records.size());
    for (const Json& record : valueOf(parsed).value("records", Json::array()))
        m_records.push_back(record.get<std::string>());
    while (m_records.size() > m_options.retainedRecords) {
        m_records.pop_front();
        ++m_oldestOffset;
    }
    ++m_appendCount;
    if (m_responsesToWithhold > 0) {
        --m_responsesToWithhold;
        m_withheldCalls.push_back(call);
        if (m_withheldCalls.size() > maximumWithheldCalls)
            m_withheldCalls.pop_front();
        return;
    }
    call->reply(httpOk, Json { { "first", firstOffset } }.dump());
}

void LogStandIn::readRecords(const std::shared_ptr<HttpCall>& call)
{
    const std::string limitText = queryValue(call->query, "limit");
    const std::size_t limit = limitText.empty() ? defaultReadLimit : static_cast<std::size_t>(parseNumber(limitText));
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t endOffset = m_oldestOffset + static_cast<std::int64_t>(m_records.size());
    std::int64_t offset = std::max(parseNumber(queryValue(call->query, "from")), m_oldestOffset);
    Json records = Json::array();
    for (; offset < endOffset && records.size() < limit; ++offset)
        records.push_back(m_records[static_cast<std::size_t>(offset - m_oldestOffset)]);
    const Json response { { "oldest", m_oldestOffset }, { "next", offset }, { "end", offset >= endOffset },
        { "records", records } };
    call->reply(httpOk, response.dump());
}

void LogStandIn::applyFaultSwitches(const std::shared_ptr<HttpCall>& call)
{
    const Result<Json> parsed = parseJsonObject(call->method == "POST" ? call->body : "{}");
    if (!isOk(parsed)) {
        call->reply(errorOf(parsed));
        return;
    }
    const Json& switches = valueOf(parsed);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_unavailable = switches.value("down", m_unavailable);
    m_delayMilliseconds = switches.value("slow_ms", m_delayMilliseconds);
    m_responsesToWithhold = switches.value("lose_answers", m_responsesToWithhold);
    if (switches.contains("retained_records"))
        m_options.retainedRecords = switches["retained_records"].get<std::size_t>();
    call->reply(httpOk, Json { { "appends", m_appendCount }, { "records", m_records.size() } }.dump());
}

} // namespace Plantainpier
