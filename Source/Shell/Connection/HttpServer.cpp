#include "Shell/Connection/HttpServer.h"

#include "Base/Json.h"

#include <atomic>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <thread>
#include <unordered_map>

namespace Plantainpier {

namespace {

    /// Larger than any allowed body, so that a body over the limit is answered with an error code.
    constexpr std::size_t maximumRequestBytes = 4U << 20;
    constexpr std::size_t maximumResponseBytes = 64U << 20;
    constexpr Duration headerTimeout = seconds(5);
    constexpr Duration bodyTimeout = seconds(10);
    constexpr int listenBacklog = 1024;
    /// How long stop() waits for the process to answer the requests that were read.
    constexpr Duration pendingAnswerTimeout = milliseconds(150);
    /// How long stop() waits until the answers are written. Writing usually takes a few milliseconds; a caller that
    /// does not read delays the shutdown for the whole time.
    constexpr Duration pendingWriteTimeout = milliseconds(250);
    constexpr Duration pendingAnswerPollInterval = milliseconds(1);

    std::string methodName(Pistache::Http::Method method) { return Pistache::Http::methodString(method); }

    /// Counts one request as open from the time it was completely read until its answer was written, failed to be
    /// written or can no longer be given.
    class OpenRequest {
    public:
        using Count = std::atomic<std::size_t>;

        explicit OpenRequest(std::shared_ptr<Count> count)
            : m_count(std::move(count))
        {
            ++*m_count;
        }

        ~OpenRequest() { close(); }
        OpenRequest(const OpenRequest&) = delete;
        OpenRequest& operator=(const OpenRequest&) = delete;

        void close()
        {
            if (!m_closed.exchange(true))
                --*m_count;
        }

    private:
        std::shared_ptr<Count> m_count;
        std::atomic<bool> m_closed { false };
    };

    /// The requests that were read in full and have no answer yet. stop() answers the ones that are left.
    class UnansweredCalls {
    public:
        void add(const std::shared_ptr<HttpCall>& call)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_calls[call.get()] = call;
        }

        void remove(const HttpCall* call)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_calls.erase(call);
        }

        std::vector<std::shared_ptr<HttpCall>> all() const
        {
            std::vector<std::shared_ptr<HttpCall>> calls;
            std::lock_guard<std::mutex> lock(m_mutex);
            for (const std::pair<const HttpCall* const, std::weak_ptr<HttpCall>>& entry : m_calls) {
                if (std::shared_ptr<HttpCall> call = entry.second.lock())
                    calls.push_back(std::move(call));
            }
            return calls;
        }

    private:
        mutable std::mutex m_mutex;
        std::unordered_map<const HttpCall*, std::weak_ptr<HttpCall>> m_calls;
    };

    /// State that a server shares with its requests, which may outlive it.
    struct ServerState {
        std::shared_ptr<OpenRequest::Count> openRequests = std::make_shared<OpenRequest::Count>(0);
        UnansweredCalls unanswered;
        std::atomic<bool> isStopping { false };
    };

    /// A Pistache request with its response writer.
    class PistacheCall : public HttpCall {
    public:
        PistacheCall(const Pistache::Http::Request& request, Pistache::Http::ResponseWriter&& response,
            const std::vector<std::string>& keptHeaders, const std::shared_ptr<ServerState>& server)
            : m_response(std::move(response))
            , m_server(server)
            , m_openRequest(std::make_shared<OpenRequest>(server->openRequests))
        {
            method = methodName(request.method());
            const std::shared_ptr<const Pistache::Http::Header::Host> host
                = request.headers().tryGet<Pistache::Http::Header::Host>();
            if (host)
                hostName = host->host();
            for (const std::string& name : keptHeaders) {
                const std::optional<Pistache::Http::Header::Raw> raw = request.headers().tryGetRaw(name);
                if (raw)
                    headers[name] = raw->value();
            }
            path = request.resource();
            query = request.query().as_str();
            if (!query.empty() && query.front() == '?')
                query.erase(0, 1);
            body = request.body();
        }

        ~PistacheCall() override { m_server->unanswered.remove(this); }
        PistacheCall(const PistacheCall&) = delete;
        PistacheCall& operator=(const PistacheCall&) = delete;

        bool reply(int status, const std::string& text, Duration retryAfter) override
        {
            std::vector<std::pair<std::string, std::string>> extraHeaders;
            if (retryAfter > Duration::zero())
                extraHeaders.emplace_back("Retry-After", retryAfterText(retryAfter));
            return replyWithHeaders(status, text, extraHeaders);
        }

        bool replyWithHeaders(int status, const std::string& text,
            const std::vector<std::pair<std::string, std::string>>& extraHeaders) override
        {
            if (m_answered.exchange(true))
                return false;
            m_server->unanswered.remove(this);
            const std::shared_ptr<OpenRequest> open = std::move(m_openRequest);
            try {
                for (const std::pair<std::string, std::string>& header : extraHeaders)
                    m_response.headers().addRaw(Pistache::Http::Header::Raw(header.first, header.second));
                const bool isJson = !text.empty() && text.front() == '{';
                const Pistache::Http::Mime::MediaType mime = isJson ? MIME(Application, Json) : MIME(Text, Plain);
                // The server's thread writes the answer later. If the write fails, the caller has disconnected.
                m_response.send(static_cast<Pistache::Http::Code>(status), text, mime)
                    .then([open](ssize_t) { open->close(); }, [open](std::exception_ptr&) { open->close(); });
                return true;
            } catch (const std::exception&) {
                return false;
            }
        }

    private:
        Pistache::Http::ResponseWriter m_response;
        std::shared_ptr<ServerState> m_server;
        std::shared_ptr<OpenRequest> m_openRequest;
        std::atomic<bool> m_answered { false };
    };

    class CallHandler : public Pistache::Http::Handler {
    public:
        HTTP_PROTOTYPE(CallHandler)

        CallHandler(
            HttpServer::OnCall onCall, std::vector<std::string> keptHeaders, std::shared_ptr<ServerState> server)
            : m_onCall(std::move(onCall))
            , m_keptHeaders(std::move(keptHeaders))
            , m_server(std::move(server))
        {
        }

        void onRequest(const Pistache::Http::Request& request, Pistache::Http::ResponseWriter response) override
        {
            const std::shared_ptr<HttpCall> call
                = std::make_shared<PistacheCall>(request, std::move(response), m_keptHeaders, m_server);
            // The call is registered first, so that stop() finds every call that was passed on.
            m_server->unanswered.add(call);
            if (m_server->isStopping)
                call->reply(Error { ErrorCode::Leaving, "the process is shutting down" });
            else
                m_onCall(call);
        }

    private:
        HttpServer::OnCall m_onCall;
        std::vector<std::string> m_keptHeaders;
        std::shared_ptr<ServerState> m_server;
    };

    class PistacheServer : public HttpServer {
    public:
        PistacheServer(
            const std::string& address, int port, int threads, OnCall onCall, std::vector<std::string> keptHeaders)
            : m_state(std::make_shared<ServerState>())
            , m_endpoint(Pistache::Address(address, Pistache::Port(static_cast<std::uint16_t>(port))))
        {
            Pistache::Http::Endpoint::Options options
                = Pistache::Http::Endpoint::options()
                      .threads(threads)
                      .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                      .backlog(listenBacklog)
                      .maxRequestSize(maximumRequestBytes)
                      .maxResponseSize(maximumResponseBytes)
                      .headerTimeout(headerTimeout)
                      .bodyTimeout(bodyTimeout);
            m_endpoint.init(options);
            m_endpoint.setHandler(std::make_shared<CallHandler>(std::move(onCall), std::move(keptHeaders), m_state));
            m_endpoint.serveThreaded();
        }

        ~PistacheServer() override
        {
            if (!m_state->isStopping.exchange(true))
                m_endpoint.shutdown();
        }
        PistacheServer(const PistacheServer&) = delete;
        PistacheServer& operator=(const PistacheServer&) = delete;

        std::size_t stop() override
        {
            if (m_state->isStopping.exchange(true))
                return 0;
            awaitAnswers(pendingAnswerTimeout);
            for (const std::shared_ptr<HttpCall>& call : m_state->unanswered.all())
                call->reply(Error { ErrorCode::OutcomeUnknown, "the process has ended before it answered" });
            awaitAnswers(pendingWriteTimeout);
            const std::size_t unanswered = *m_state->openRequests;
            m_endpoint.shutdown();
            return unanswered;
        }

    private:
        /// Waits until all answers are written, at most for the timeout.
        void awaitAnswers(Duration timeout) const
        {
            const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
            while (*m_state->openRequests > 0 && std::chrono::steady_clock::now() < deadline)
                std::this_thread::sleep_for(pendingAnswerPollInterval);
        }

        std::shared_ptr<ServerState> m_state;
        Pistache::Http::Endpoint m_endpoint;
    };

} // namespace

bool HttpCall::reply(const Error& error)
{
    const Json json { { "code", static_cast<int>(error.code) }, { "reason", name(error.code) },
        { "text", error.message } };
    return reply(errorCodeRow(error.code).httpStatus, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(
    const std::string& address, int port, int threads, OnCall onCall, std::vector<std::string> keptHeaders)
{
    try {
        std::unique_ptr<HttpServer> server
            = std::make_unique<PistacheServer>(address, port, threads, std::move(onCall), std::move(keptHeaders));
        return server;
    } catch (const std::exception& exception) {
        return Error { ErrorCode::AddressInUse,
            "cannot listen on " + address + ":" + std::to_string(port) + ": " + exception.what() };
    }
}

std::string retryAfterText(Duration delay)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(milliseconds(toMilliseconds(delay))).count());
}

std::string queryValue(const std::string& query, const std::string& key)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string pair = query.substr(begin, end - begin);
        if (pair.compare(0, key.size() + 1, key + "=") == 0)
            return pair.substr(key.size() + 1);
        begin = end + 1;
    }
    return {};
}

} // namespace Plantainpier
