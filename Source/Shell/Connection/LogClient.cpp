#include "Shell/Connection/LogClient.h"

#include "Base/Json.h"

namespace Plantainpier {

namespace {

    constexpr Duration appendTimeout = seconds(2);
    constexpr Duration readTimeout = seconds(2);
    constexpr int recordsPerRead = 2'000;
    constexpr int httpOk = 200;
    constexpr int httpTooManyRequests = 429;
    constexpr int httpUnavailable = 503;

    AppendResult resultOf(const HttpResponse& response)
    {
        if (response.kind == HttpResponse::Kind::NotConnected)
            return AppendResult::Refused;
        if (response.kind == HttpResponse::Kind::Broken)
            return AppendResult::Uncertain;
        if (response.status == httpOk)
            return AppendResult::Stored;
        const bool refused = response.status == httpTooManyRequests || response.status == httpUnavailable;
        return refused ? AppendResult::Refused : AppendResult::Uncertain;
    }

    Result<LogPage> parsePage(const std::string& text)
    {
        const Result<Json> parsed = parseJsonObject(text);
        if (!isOk(parsed))
            return Error { ErrorCode::ProtocolViolation, "log: " + errorOf(parsed).message };
        JsonReader reader(valueOf(parsed), "");
        LogPage page;
        page.oldest = reader.requiredInteger("oldest", 0, std::numeric_limits<std::int64_t>::max());
        page.next = reader.requiredInteger("next", 0, std::numeric_limits<std::int64_t>::max());
        page.reachedEnd = reader.requiredBool("end");
        for (const Json& record : reader.optionalArray("records")) {
            if (!record.is_string())
                return Error { ErrorCode::ProtocolViolation, "log: a record is not a string" };
            page.texts.push_back(record.get<std::string>());
        }
        if (!reader.errors().empty())
            return Error { ErrorCode::ProtocolViolation, "log: " + joinErrors(reader.errors()).message };
        return page;
    }

} // namespace

LogClient::LogClient(std::shared_ptr<HttpClient> http, std::string address, int port)
    : m_http(std::move(http))
    , m_address(std::move(address))
    , m_port(port)
{
}

void LogClient::append(const std::vector<std::string>& texts, OnAppended onAppended)
{
    HttpRequest request;
    request.method = "POST";
    request.address = m_address;
    request.port = m_port;
    request.path = "/v1/records";
    request.body = Json { { "records", texts } }.dump();
    request.timeout = appendTimeout;
    request.useNewConnection = true;
    m_http->submit(std::move(request),
        [onAppended = std::move(onAppended)](HttpResponse&& response) { onAppended(resultOf(response)); });
}

Result<LogPage> LogClient::read(std::int64_t from)
{
    HttpRequest request;
    request.address = m_address;
    request.port = m_port;
    request.path = "/v1/records?from=" + std::to_string(from) + "&limit=" + std::to_string(recordsPerRead);
    request.timeout = readTimeout;
    request.mayResend = true;
    const HttpResponse response = m_http->fetch(std::move(request));
    if (response.kind != HttpResponse::Kind::Answered || response.status != httpOk)
        return Error { ErrorCode::LogUnavailable, "log: " + response.text };
    return parsePage(response.body);
}

} // namespace Plantainpier
