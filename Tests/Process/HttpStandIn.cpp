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
    constexpr std::string_view cannedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":7}";

    bool isCompleteRequest(const std::string& request)
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
        throw std::runtime_error("the HTTP stand-in cannot listen on loopback");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { runServer(); });
}

HttpStandIn::~HttpStandIn()
{
    m_stopping = true;
    m_thread.join();
    for (const Connection& connection : m_connections)
        ::close(connection.descriptor);
    if (m_listener >= 0)
        ::close(m_listener);
}

int HttpStandIn::countReceived(const std::string& text)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<int>(std::count_if(m_requests.begin(), m_requests.end(),
        [&text](const std::string& request) { return request.find(text) != std::string::npos; }));
}

void HttpStandIn::silenceOpenConnections()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (Connection& connection : m_connections)
        connection.silent = true;
}

void HttpStandIn::runServer()
{
    while (!m_stopping)
        serveReadable();
}

void HttpStandIn::serveReadable()
{
    // poll() ignores the listener if it is negative, that is closed.
    std::vector<pollfd> entries { pollfd { m_listener, POLLIN, 0 } };
    for (const Connection& connection : m_connections)
        entries.push_back(pollfd { connection.descriptor, POLLIN, 0 });
    if (::poll(entries.data(), entries.size(), pollMilliseconds) <= 0)
        return;
    for (std::size_t n = m_connections.size(); n > 0; --n) {
        if (entries[n].revents == 0 || serveConnection(m_connections[n - 1]))
            continue;
        std::lock_guard<std::mutex> lock(m_mutex);
        ::close(m_connections[n - 1].descriptor);
        m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(n - 1));
        ++m_closed;
    }
    if (m_listener < 0 || entries[0].revents == 0)
        return;
    std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.push_back(Connection { ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC), {}, false });
    ++m_accepted;
}

/// Returns false if the connection must be closed.
bool HttpStandIn::serveConnection(Connection& connection)
{
    char buf[4096];
    const ssize_t n = ::recv(connection.descriptor, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    // The buffer holds one request at most: the client waits for an answer before it sends the next one.
    connection.buffer.append(buf, static_cast<std::size_t>(n));
    if (!isCompleteRequest(connection.buffer))
        return true;
    int number = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (connection.silent) {
            connection.buffer.clear();
            return true;
        }
        m_requests.push_back(std::move(connection.buffer));
        number = static_cast<int>(m_requests.size());
    }
    connection.buffer.clear();
    if (number <= m_behaviour.requestsAtOnce) {
        m_heldDescriptors.push_back(connection.descriptor);
        return number < m_behaviour.requestsAtOnce || answerHeld();
    }
    return answer(connection, number);
}

/// Answers the requests that were held until all of them had arrived.
bool HttpStandIn::answerHeld()
{
    bool sent = true;
    for (const int descriptor : m_heldDescriptors)
        sent = ::send(descriptor, cannedResponse.data(), cannedResponse.size(), MSG_NOSIGNAL) > 0 && sent;
    m_heldDescriptors.clear();
    return sent;
}

/// Returns false if the connection must be closed.
bool HttpStandIn::answer(const Connection& connection, int number)
{
    if (number == m_behaviour.unansweredRequest) {
        if (m_behaviour.closesPort) {
            ::close(m_listener);
            m_listener = -1;
        }
        return false;
    }
    std::string response(cannedResponse);
    if (number == m_behaviour.lateRequest) {
        std::this_thread::sleep_for(std::chrono::milliseconds(lateAnswerMilliseconds));
        response.replace(response.find(" 200 "), 5, " 409 ");
    }
    const bool sent = ::send(connection.descriptor, response.data(), response.size(), MSG_NOSIGNAL) > 0;
    return sent && number != m_behaviour.lastBeforeClose;
}

} // namespace Plantainpier
