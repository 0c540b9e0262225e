/// An asynchronous HTTP client on libcurl. One thread drives all transfers of a process.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"
#include "Shell/Connection/ConnectionTable.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Plantainpier {

/// One request to an IP address and port.
struct HttpRequest {
    std::string method = "GET";
    std::string address;
    int port = 0;
    /// Path and query.
    std::string path;
    std::string body;
    std::vector<std::string> headers;
    Duration timeout = seconds(5);
    /// The part of the timeout for which the peer may delay its answer on purpose (long polling). The answer is overdue
    /// after the rest of the timeout.
    Duration pollWait = Duration::zero();
    /// Whether the request may be sent again on another connection if a reused connection is lost before any byte of
    /// the response arrives. Only for requests that may safely be executed twice, or by a different process that now
    /// listens at the same address. Other requests end as Broken.
    bool mayResend = false;
    /// Uses a new connection and closes it afterwards, so that the request cannot fail because a reused connection is
    /// lost.
    bool useNewConnection = false;
    std::string contentType = "application/json";
};

/// How a request ended.
struct HttpResponse {
    enum class Kind {
        /// A complete response was received.
        Answered,
        /// No connection was established, so nothing was sent.
        NotConnected,
        /// The outcome is unknown: the request may have been executed.
        Broken,
    };
    Kind kind = Kind::Broken;
    int status = 0;
    std::string body;
    /// Description of a failure, from libcurl.
    std::string text;
};

/// A connection pool with one thread. Lives for the process.
///
/// Connections may go silent without a reset while new ones work. A request that times out is the first sign of this,
/// so the client then closes all idle connections to that peer that have not proved to work since the answer was
/// overdue; see docs/design/0002.
class HttpClient {
public:
    /// Hook: called exactly once for each request, on the client's thread.
    using OnResponse = std::function<void(HttpResponse&& response)>;

    static Result<std::shared_ptr<HttpClient>> create();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Starts a request without waiting for the response.
    void submit(HttpRequest request, OnResponse onResponse);
    /// Sends a request and waits for the response. Must not be called on the client's thread.
    HttpResponse fetch(HttpRequest request);
    /// Ends the thread. Requests in progress end as Broken.
    void stop();
    /// Number of idle connections that were closed because a request to the same peer had timed out.
    std::uint64_t idleConnectionsClosed() const { return m_idleConnectionsClosed; }

private:
    struct Transfer;

    HttpClient() = default;
    void run();
    void startSubmitted();
    void collectFinished();
    void closeIdleConnections(const Transfer& timedOut);
    void failAll();

    void* m_multi = nullptr;
    std::mutex m_mutex;
    std::deque<std::unique_ptr<Transfer>> m_submitted;
    std::unordered_map<void*, std::unique_ptr<Transfer>> m_running;
    ConnectionTable m_connections;
    std::atomic<std::uint64_t> m_idleConnectionsClosed { 0 };
    /// Handles for reuse: creating a handle costs more than a request on the loopback interface.
    std::vector<void*> m_idleHandles;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Plantainpier
