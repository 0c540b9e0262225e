/// An HTTP server on loopback that breaks connections at a given request, for tests of the HTTP client.
#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Plantainpier {

/// Answers requests over connections that it keeps, but for those that its behaviour names.
class HttpStandIn {
public:
    static constexpr int noRequest = 0;

    /// Requests are counted from 1 over all connections.
    struct Behaviour {
        /// Is read and not answered; its connection is closed.
        int unanswered = noRequest;
        /// The port is closed before that connection is.
        bool closesPort = false;
        /// Is answered; its connection is closed after that.
        int lastOfItsConnection = noRequest;
    };

    explicit HttpStandIn(const Behaviour& behaviour);
    ~HttpStandIn();
    HttpStandIn(const HttpStandIn&) = delete;
    HttpStandIn& operator=(const HttpStandIn&) = delete;

    int port() const { return m_port; }
    int connections() const { return m_accepted; }
    int closed() const { return m_closed; }
    /// How many requests held this text.
    int received(const std::string& text);

private:
    struct Connection {
        int file = -1;
        std::string unread;
    };

    void run();
    void serveReadable();
    bool serve(Connection& connection);

    const Behaviour m_behaviour;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<int> m_accepted { 0 };
    std::atomic<int> m_closed { 0 };
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<Connection> m_connections;
    std::thread m_thread;
};

} // namespace Plantainpier
