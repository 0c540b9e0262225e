#include "Process/HttpStandIn.h"

#include "Process/Loopback.h"

#include <algorithm>
#include <cstdlib>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr int pollMilliseconds = 10;
    constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":7}";

    bool isWhole(const std::string& request)
    {
        constexpr std::string_view headersEnd = "\r\n\r\n";
        constexpr std::string_view lengthHeader = "Content-Length: ";
        const std::size_t end = request.find(headersEnd);
        if (end == std::string::npos)
            return false;
        const std::size_t at = request.find(lengthHeader);
        const std::size_t length = at < end ? std::strtoul(request.c_str() + at + lengthHeader.size(), nullptr, 10) : 0;
        return request.size() >= end + headersEnd.size() + length;
    }

} // namespace

HttpStandIn::HttpStandIn(const Behaviour& behaviour)
    : m_behaviour(behaviour)
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    sockaddr* const raw = reinterpret_cast<sockaddr*>(&address);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(m_listener, raw, size) != 0 || ::listen(m_listener, SOMAXCONN) != 0
        || ::getsockname(m_listener, raw, &size) != 0)
        throw std::runtime_error("the stand-in cannot listen");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

HttpStandIn::~HttpStandIn()
{
    m_stopping = true;
    m_thread.join();
    for (const Connection& connection : m_connections)
        ::close(connection.file);
    if (m_listener >= 0)
        ::close(m_listener);
}

int HttpStandIn::received(const std::string& text)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<int>(std::count_if(m_requests.begin(), m_requests.end(),
        [&text](const std::string& request) { return request.find(text) != std::string::npos; }));
}

void HttpStandIn::run()
{
    while (!m_stopping)
        serveReadable();
}

void HttpStandIn::serveReadable()
{
    // A negative file is passed over.
    std::vector<pollfd> entries { pollfd { m_listener, POLLIN, 0 } };
    for (const Connection& connection : m_connections)
        entries.push_back(pollfd { connection.file, POLLIN, 0 });
    if (::poll(entries.data(), entries.size(), pollMilliseconds) <= 0)
        return;
    for (std::size_t n = m_connections.size(); n > 0; --n) {
        if (entries[n].revents == 0 || serve(m_connections[n - 1]))
            continue;
        ::close(m_connections[n - 1].file);
        m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(n - 1));
        ++m_closed;
    }
    if (m_listener < 0 || entries[0].revents == 0)
        return;
    m_connections.push_back(Connection { ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC), {} });
    ++m_accepted;
}

/// False when the connection is to be closed.
bool HttpStandIn::serve(Connection& connection)
{
    char buf[4096];
    const ssize_t n = ::recv(connection.file, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    // The client waits for an answer before it sends the next request of a connection.
    connection.unread.append(buf, static_cast<std::size_t>(n));
    if (!isWhole(connection.unread))
        return true;
    int number = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.push_back(std::move(connection.unread));
        number = static_cast<int>(m_requests.size());
    }
    connection.unread.clear();
    if (number == m_behaviour.unanswered) {
        if (m_behaviour.closesPort) {
            ::close(m_listener);
            m_listener = -1;
        }
        return false;
    }
    const bool sent = ::send(connection.file, answer.data(), answer.size(), MSG_NOSIGNAL) > 0;
    return sent && number != m_behaviour.lastOfItsConnection;
}

} // namespace Plantainpier
