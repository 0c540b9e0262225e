/// A TCP relay between two processes, for tests that silence, reset, delay or refuse connections.
#pragma once

#include <atomic>
#include <chrono>
#include <limits>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Plantainpier {

/// Listens on one loopback port and forwards connections to another.
class Relay {
public:
    Relay(int listenPort, int targetPort);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Drops all further data of existing connections in the given directions; the connections stay open. New
    /// connections work.
    void silenceExisting(bool towardsTarget, bool towardsCaller);
    /// Number of open connections, silent ones included.
    std::size_t connectionCount() { return openConnections().size(); }
    /// Resets existing connections; new connections work.
    void resetExisting();
    /// Delays all data of all connections by this time.
    void setDelay(std::chrono::milliseconds delay) { m_delayMilliseconds = delay.count(); }
    /// While paused, no connection forwards data; data that was sent meanwhile is forwarded afterwards.
    void setPaused(bool paused) { m_paused = paused; }
    /// Resets new connections while this many are open; open connections go on.
    void setConnectionLimit(std::size_t limit) { m_connectionLimit = limit; }
    /// Delays the data that one open connection forwards to its caller; other connections are not delayed.
    void delayOneConnection(unsigned choice, std::chrono::milliseconds delay);
    /// While the relay is not listening, new connections are refused.
    void setListening(bool listening) { m_listening = listening; }

private:
    struct Connection {
        int caller = -1;
        int target = -1;
        std::atomic<bool> silentTowardsTarget { false };
        std::atomic<bool> silentTowardsCaller { false };
        std::atomic<bool> closed { false };
        std::atomic<long> delayTowardsCallerMilliseconds { 0 };
        /// Threads that have not returned yet.
        std::atomic<int> activeThreads { 2 };
        std::thread forward;
        std::thread backward;
    };

    bool listen();
    void accept();
    /// Joins the threads of connections that have ended and closes their descriptors, which would run out in a long
    /// test.
    void releaseEnded();
    static void release(Connection& connection);
    std::vector<std::shared_ptr<Connection>> openConnections();
    void forwardData(Connection& connection, int from, int to, const std::atomic<bool>& silent) const;
    void forwardUntilClosed(Connection& connection, int from, int to, const std::atomic<bool>& silent) const;

    int m_listener = -1;
    int m_listenPort;
    int m_targetPort;
    std::atomic<bool> m_stopping { false };
    std::atomic<long> m_delayMilliseconds { 0 };
    std::atomic<bool> m_paused { false };
    std::atomic<bool> m_listening { true };
    std::atomic<std::size_t> m_connectionLimit { std::numeric_limits<std::size_t>::max() };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

} // namespace Plantainpier
