/// An HTTP server on loopback that breaks connections at a given request, for tests of the HTTP client.
#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Plantainpier {

/// Answers requests over persistent connections, except as its behaviour says.
class HttpStandIn {
public:
    static constexpr int noRequest = 0;
    static constexpr int lateAnswerMilliseconds = 400;

    /// The requests that break connections, counted from 1 over all connections.
    struct Behaviour {
        /// This request is read and not answered; its connection is closed.
        int unansweredRequest = noRequest;
        /// Whether the port is closed before that connection.
        bool closesPort = false;
        /// This request is answered only after lateAnswerMilliseconds.
        int lateRequest = noRequest;
        /// This request is answered; its connection is closed afterwards.
        int lastBeforeClose = noRequest;
        /// The first requests, this many, are answered once all of them have arrived, so that each needs a connection.
        int requestsAtOnce = noRequest;
    };

    explicit HttpStandIn(const Behaviour& behaviour);
    ~HttpStandIn();
    HttpStandIn(const HttpStandIn&) = delete;
    HttpStandIn& operator=(const HttpStandIn&) = delete;

    int port() const { return m_port; }
    int acceptedCount() const { return m_accepted; }
    int closedCount() const { return m_closed; }
    /// Number of received requests that contain the text.
    int countReceived(const std::string& text);
    /// What arrives from now on over the connections that are open now is lost, without a reset. New connections work.
    void silenceOpenConnections();

private:
    struct Connection {
        int descriptor = -1;
        std::string buffer;
        bool silent = false;
    };

    void runServer();
    void serveReadable();
    bool serveConnection(Connection& connection);
    bool answer(const Connection& connection, int number);
    bool answerHeld();

    const Behaviour m_behaviour;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<int> m_accepted { 0 };
    std::atomic<int> m_closed { 0 };
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<Connection> m_connections;
    /// Connections whose requests wait for the others of Behaviour::requestsAtOnce.
    std::vector<int> m_heldDescriptors;
    std::thread m_thread;
};

} // namespace Plantainpier
