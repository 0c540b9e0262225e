#include "Process/Relay.h"

#include "Process/Loopback.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr int backlog = 64;
    constexpr int pollMilliseconds = 50;
    constexpr std::chrono::milliseconds waitInterval(5);

    bool isReadable(int descriptor)
    {
        pollfd entry { descriptor, POLLIN, 0 };
        return ::poll(&entry, 1, pollMilliseconds) > 0;
    }

} // namespace

Relay::Relay(int listenPort, int targetPort)
    : m_listenPort(listenPort)
    , m_targetPort(targetPort)
{
    if (!listen())
        throw std::runtime_error("the relay cannot listen on its port");
    m_acceptor = std::thread([this] { accept(); });
}

bool Relay::listen()
{
    const int on = 1;
    const sockaddr_in address = loopback(m_listenPort);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && ::listen(m_listener, backlog) == 0)
        return true;
    ::close(m_listener);
    m_listener = -1;
    return false;
}

Relay::~Relay()
{
    m_stopping = true;
    m_acceptor.join();
    if (m_listener >= 0)
        ::close(m_listener);
    for (const std::shared_ptr<Connection>& connection : m_connections) {
        connection->closed = true;
        release(*connection);
    }
}

void Relay::release(Connection& connection)
{
    connection.forward.join();
    connection.backward.join();
    ::close(connection.caller);
    ::close(connection.target);
}

void Relay::releaseEnded()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::erase_if(m_connections, [](const std::shared_ptr<Connection>& connection) {
        if (connection->activeThreads > 0)
            return false;
        release(*connection);
        return true;
    });
}

void Relay::accept()
{
    while (!m_stopping) {
        releaseEnded();
        if (!m_listening && m_listener >= 0) {
            ::close(m_listener);
            m_listener = -1;
        }
        if (m_listener < 0 && (!m_listening || !listen())) {
            std::this_thread::sleep_for(waitInterval);
            continue;
        }
        if (!isReadable(m_listener))
            continue;
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>();
        const sockaddr_in address = loopback(m_targetPort);
        const int on = 1;
        connection->caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (openConnections().size() >= m_connectionLimit) {
            const linger resetOnClose { 1, 0 };
            ::setsockopt(connection->caller, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
            ::close(connection->caller);
            continue;
        }
        connection->target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(connection->caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(connection->target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(connection->target, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            connection->closed = true;
        connection->forward = std::thread([this, connection] {
            forwardData(*connection, connection->caller, connection->target, connection->silentTowardsTarget);
        });
        connection->backward = std::thread([this, connection] {
            forwardData(*connection, connection->target, connection->caller, connection->silentTowardsCaller);
        });
        std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.push_back(connection);
    }
}

void Relay::forwardData(Connection& connection, int from, int to, const std::atomic<bool>& silent) const
{
    forwardUntilClosed(connection, from, to, silent);
    --connection.activeThreads;
}

void Relay::forwardUntilClosed(Connection& connection, int from, int to, const std::atomic<bool>& silent) const
{
    char buf[65536];
    while (!connection.closed) {
        if (!isReadable(from))
            continue;
        const ssize_t n = ::recv(from, buf, sizeof buf, 0);
        if (n <= 0)
            break;
        const long ownDelay = from == connection.target ? connection.delayTowardsCallerMilliseconds.load() : 0;
        if (m_delayMilliseconds + ownDelay > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMilliseconds + ownDelay));
        while (m_paused && !connection.closed && !m_stopping)
            std::this_thread::sleep_for(waitInterval);
        for (ssize_t sent = 0; sent < n && !silent;) {
            const ssize_t written = ::send(to, buf + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (written <= 0)
                break;
            sent += written;
        }
    }
    // A silenced connection does not forward the close either.
    if (!silent) {
        connection.closed = true;
        ::shutdown(to, SHUT_RDWR);
    }
}

std::vector<std::shared_ptr<Relay::Connection>> Relay::openConnections()
{
    std::vector<std::shared_ptr<Connection>> open;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Connection>& connection : m_connections) {
        if (!connection->closed)
            open.push_back(connection);
    }
    return open;
}

void Relay::delayOneConnection(unsigned choice, std::chrono::milliseconds delay)
{
    const std::vector<std::shared_ptr<Connection>> open = openConnections();
    if (!open.empty())
        open[choice % open.size()]->delayTowardsCallerMilliseconds = delay.count();
}

void Relay::resetExisting()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Connection>& connection : m_connections) {
        if (connection->closed.exchange(true))
            continue;
        ::shutdown(connection->caller, SHUT_RDWR);
        ::shutdown(connection->target, SHUT_RDWR);
    }
}

void Relay::silenceExisting(bool towardsTarget, bool towardsCaller)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Connection>& connection : m_connections) {
        connection->silentTowardsTarget = connection->silentTowardsTarget || towardsTarget;
        connection->silentTowardsCaller = connection->silentTowardsCaller || towardsCaller;
    }
}

} // namespace Plantainpier
