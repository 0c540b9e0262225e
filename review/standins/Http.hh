/// A small blocking HTTP/1.1 server and client for the stand-ins: one thread per connection, bodies with
/// Content-Length.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace Review {

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The value of a query parameter, unescaped; empty if there is none.
    std::string parameter(const std::string& name) const;
};

struct Response {
    int status = 200;
    std::string body = "{}";
    /// Close the connection without an answer.
    bool drop = false;
};

class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    /// Throws std::runtime_error if the address is not free.
    Server(const std::string& address, int port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    /// Stops listening and closes all connections; further handlers' results are not sent.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_open { 0 };
    std::mutex m_mutex;
    std::set<int> m_descriptors;
    std::thread m_acceptor;
};

/// Status 0 means that there was no complete answer.
struct Answer {
    int status = 0;
    std::string body;
};

Answer fetch(const std::string& address, int port, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMilliseconds);

} // namespace Review
