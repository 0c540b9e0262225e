/// HTTP requests by libcurl: one thread drives all transfers of a process.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"

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
    /// Whether the request may be sent again, on another connection, when a kept one breaks before a byte of the answer
    /// came. Only for what does no harm when it is carried out twice, or by whoever listens there next. Otherwise it
    /// ends as Broken.
    bool mayRepeat = false;
    /// Takes a new connection that is closed afterwards: no kept one can break under it.
    bool ownConnection = false;
    std::string contentType = "application/json";
};

/// How a request ended.
struct HttpResponse {
    enum class Kind {
        Answered,
        /// No connection was made at any time, so nothing was sent.
        NotConnected,
        /// Anything may have happened.
        Broken,
    };
    Kind kind = Kind::Broken;
    int status = 0;
    std::string body;
    /// What the library says about a failure.
    std::string text;
};

/// A pool of connections with one thread. Lives for the process.
class HttpClient {
public:
    /// Hook: called once for each request, on the client's thread.
    using OnResponse = std::function<void(HttpResponse&& response)>;

    static Result<std::shared_ptr<HttpClient>> create();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void submit(HttpRequest request, OnResponse onResponse);
    /// Sends and waits. Not for the client's own thread.
    HttpResponse fetch(HttpRequest request);
    /// Ends the thread; requests under way end as Broken.
    void stop();

private:
    struct Transfer;

    HttpClient() = default;
    void run();
    void beginSubmitted();
    void collectFinished();
    void failAll();

    void* m_multi = nullptr;
    std::mutex m_mutex;
    std::deque<std::unique_ptr<Transfer>> m_submitted;
    std::unordered_map<void*, std::unique_ptr<Transfer>> m_running;
    /// Handles to use again; setting one up costs more than a request on loopback.
    std::vector<void*> m_idleHandles;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Plantainpier
