#include "Shell/Connection/HttpClient.h"

#include "Base/LogLine.h"
#include "Shell/Process/Clock.h"

#include <curl/curl.h>
#include <future>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr Duration connectTimeout = milliseconds(1000);
    constexpr int pollMilliseconds = 1000;
    constexpr std::size_t maximumResponseBytes = 64U << 20;
    constexpr std::size_t maximumIdleHandles = 64;
    constexpr long maximumKeptConnections = 128;

    std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* target)
    {
        std::string& body = *static_cast<std::string*>(target);
        if (body.size() + size * count > maximumResponseBytes)
            return 0;
        body.append(data, size * count);
        return size * count;
    }

    /// Called by libcurl when it closes a connection, which may happen long after the transfer that opened it.
    int closeSocket(void* data, curl_socket_t descriptor)
    {
        static_cast<ConnectionTable*>(data)->remove(descriptor);
        return ::close(descriptor);
    }

} // namespace

struct HttpClient::Transfer {
    HttpRequest request;
    OnResponse onResponse;
    HttpResponse response;
    ConnectionTable* connections = nullptr;
    /// Address and port of the peer.
    std::string peer;
    curl_slist* headers = nullptr;
    /// How many times the request has been sent, completely or in part.
    int sendCount = 0;
    /// The connection that was opened for this transfer last, until the request is sent on it.
    ConnectionId openedConnection = noConnection;
    /// The connection on which the request was sent last.
    ConnectionId connection = noConnection;

    ~Transfer() { curl_slist_free_all(headers); }

    /// Called by libcurl to open a connection.
    static curl_socket_t openSocket(void* data, curlsocktype, curl_sockaddr* address)
    {
        Transfer& transfer = *static_cast<Transfer*>(data);
        const int descriptor = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        if (descriptor < 0)
            return CURL_SOCKET_BAD;
        transfer.openedConnection = transfer.connections->add(descriptor, transfer.peer);
        return descriptor;
    }

    /// Called by libcurl when a connection is established, before any byte of the request is sent on it. Aborts the
    /// transfer instead of sending a request again that must not be repeated.
    static int onBeforeSend(void* data, char*, char*, int, int localPort)
    {
        Transfer& transfer = *static_cast<Transfer*>(data);
        if (transfer.sendCount > 0 && !transfer.request.mayResend)
            return CURL_PREREQFUNC_ABORT;
        ++transfer.sendCount;
        transfer.connection = std::exchange(transfer.openedConnection, noConnection);
        if (transfer.connection != noConnection)
            transfer.connections->onEstablished(steadyNow(), transfer.connection, localPort);
        else
            transfer.connection = transfer.connections->onReused(transfer.peer, localPort);
        return CURL_PREREQFUNC_OK;
    }

    void configure(CURL* handle)
    {
        const std::string url = "http://" + peer + request.path;
        curl_easy_reset(handle);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (!request.body.empty() || request.method == "POST") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        }
        headers = curl_slist_append(headers, "Expect:");
        headers = curl_slist_append(headers, ("Content-Type: " + request.contentType).c_str());
        for (const std::string& header : request.headers)
            headers = curl_slist_append(headers, header.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onBeforeSend);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, openSocket);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, connections);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(request.timeout)));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(connectTimeout)));
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.useNewConnection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, request.useNewConnection ? 1L : 0L);
    }

    void finish(CURL* handle, CURLcode code)
    {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
        response.text = code == CURLE_ABORTED_BY_CALLBACK ? "connection lost; the request was not sent again"
                                                          : curl_easy_strerror(code);
        if (code == CURLE_OK)
            response.kind = HttpResponse::Kind::Answered;
        else if (code == CURLE_COULDNT_CONNECT && sendCount == 0)
            response.kind = HttpResponse::Kind::NotConnected;
        else
            response.kind = HttpResponse::Kind::Broken;
    }
};

Result<std::shared_ptr<HttpClient>> HttpClient::create()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::shared_ptr<HttpClient> client(new HttpClient());
    client->m_multi = curl_multi_init();
    if (!client->m_multi)
        return Error { ErrorCode::Internal, "libcurl cannot be initialized" };
    curl_multi_setopt(static_cast<CURLM*>(client->m_multi), CURLMOPT_MAXCONNECTS, maximumKeptConnections);
    HttpClient* self = client.get();
    client->m_thread = std::thread([self] { self->run(); });
    return client;
}

HttpClient::~HttpClient()
{
    stop();
    for (void* handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(static_cast<CURLM*>(m_multi));
}

void HttpClient::stop()
{
    m_stopping = true;
    curl_multi_wakeup(static_cast<CURLM*>(m_multi));
    if (m_thread.joinable())
        m_thread.join();
}

void HttpClient::submit(HttpRequest request, OnResponse onResponse)
{
    std::unique_ptr<Transfer> transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->peer = transfer->request.address + ":" + std::to_string(transfer->request.port);
    transfer->connections = &m_connections;
    transfer->onResponse = std::move(onResponse);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_submitted.push_back(std::move(transfer));
    }
    curl_multi_wakeup(static_cast<CURLM*>(m_multi));
}

HttpResponse HttpClient::fetch(HttpRequest request)
{
    const std::shared_ptr<std::promise<HttpResponse>> promise = std::make_shared<std::promise<HttpResponse>>();
    std::future<HttpResponse> response = promise->get_future();
    submit(std::move(request), [promise](HttpResponse&& response) { promise->set_value(std::move(response)); });
    return response.get();
}

void HttpClient::startSubmitted()
{
    std::deque<std::unique_ptr<Transfer>> submitted;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        submitted.swap(m_submitted);
    }
    for (std::unique_ptr<Transfer>& transfer : submitted) {
        CURL* handle = nullptr;
        if (m_idleHandles.empty()) {
            handle = curl_easy_init();
        } else {
            handle = m_idleHandles.back();
            m_idleHandles.pop_back();
        }
        transfer->configure(handle);
        curl_multi_add_handle(static_cast<CURLM*>(m_multi), handle);
        m_running[handle] = std::move(transfer);
    }
}

void HttpClient::collectFinished()
{
    int left = 0;
    for (CURLMsg* message = curl_multi_info_read(static_cast<CURLM*>(m_multi), &left); message;
         message = curl_multi_info_read(static_cast<CURLM*>(m_multi), &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* handle = message->easy_handle;
        const CURLcode code = message->data.result;
        std::unordered_map<void*, std::unique_ptr<Transfer>>::iterator it = m_running.find(handle);
        const std::unique_ptr<Transfer> transfer = std::move(it->second);
        m_running.erase(it);
        transfer->finish(handle, code);
        if (code == CURLE_OK)
            m_connections.onAnswered(steadyNow(), transfer->connection);
        else if (code == CURLE_OPERATION_TIMEDOUT && transfer->sendCount > 0)
            closeIdleConnections(*transfer);
        curl_multi_remove_handle(static_cast<CURLM*>(m_multi), handle);
        if (m_idleHandles.size() < maximumIdleHandles)
            m_idleHandles.push_back(handle);
        else
            curl_easy_cleanup(handle);
        transfer->onResponse(std::move(transfer->response));
    }
}

void HttpClient::closeIdleConnections(const Transfer& timedOut)
{
    // If the peer lives, it has been silent on this connection at the latest since the answer was overdue. A connection
    // that has answered since then works.
    const Duration overdueFor = timedOut.request.timeout - timedOut.request.pollWait;
    const std::vector<int> descriptors = m_connections.findIdleUnprovedSince(timedOut.peer, steadyNow() - overdueFor);
    if (descriptors.empty())
        return;
    // libcurl finds a connection that has been shut down when it is about to use it again, and closes it.
    for (const int descriptor : descriptors)
        ::shutdown(descriptor, SHUT_RDWR);
    m_idleConnectionsClosed += descriptors.size();
    spdlog::info("{}",
        LogLine("idle_connections_closed")
            .add("peer", timedOut.peer)
            .add("count", descriptors.size())
            .add("path", timedOut.request.path.substr(0, timedOut.request.path.find('?')))
            .add("overdue_ms", toMilliseconds(overdueFor))
            .text());
}

void HttpClient::failAll()
{
    for (std::pair<void* const, std::unique_ptr<Transfer>>& entry : m_running) {
        curl_multi_remove_handle(static_cast<CURLM*>(m_multi), entry.first);
        curl_easy_cleanup(entry.first);
        entry.second->onResponse(HttpResponse {});
    }
    m_running.clear();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (std::unique_ptr<Transfer>& transfer : m_submitted)
        transfer->onResponse(HttpResponse {});
    m_submitted.clear();
}

void HttpClient::run()
{
    while (!m_stopping) {
        startSubmitted();
        int running = 0;
        curl_multi_perform(static_cast<CURLM*>(m_multi), &running);
        collectFinished();
        curl_multi_poll(static_cast<CURLM*>(m_multi), nullptr, 0, pollMilliseconds, nullptr);
    }
    failAll();
}

} // namespace Plantainpier
