/// A TCP relay between two processes that can go silent, one way or both, for connections that exist.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Plantainpier {

/// Listens on one loopback port and passes bytes on to another.
class Relay {
public:
    Relay(int listenPort, int targetPort);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Connections that exist now carry nothing any more, in the directions given, and stay open. New ones work.
    void silenceExisting(bool towardsTarget, bool towardsCaller);
    /// Connections that exist now are reset; new ones work.
    void resetExisting();
    /// Bytes of all connections are passed on this much later.
    void setDelay(std::chrono::milliseconds delay) { m_delayMilliseconds = delay.count(); }
    /// While held, no connection carries anything; what was sent meanwhile arrives afterwards.
    void setHeld(bool held) { m_held = held; }
    /// Without listening, new connections are refused.
    void setListening(bool listening) { m_listening = listening; }

private:
    struct Connection {
        int caller = -1;
        int target = -1;
        std::atomic<bool> silentTowardsTarget { false };
        std::atomic<bool> silentTowardsCaller { false };
        std::atomic<bool> closed { false };
        std::thread forward;
        std::thread backward;
    };

    bool listen();
    void accept();
    void pump(Connection& connection, int from, int to, const std::atomic<bool>& silent) const;

    int m_listener = -1;
    int m_listenPort;
    int m_targetPort;
    std::atomic<bool> m_stopping { false };
    std::atomic<long> m_delayMilliseconds { 0 };
    std::atomic<bool> m_held { false };
    std::atomic<bool> m_listening { true };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::thread m_acceptor;
};

} // namespace Plantainpier
