#include "Support/KeepAliveServer.h"

#include "Process/Loopback.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    constexpr int pollMilliseconds = 20;
    const std::string headersEnd = "\r\n\r\n";

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

} // namespace

/// One accepted connection. Calls without an answer keep it, and with it the descriptor.
class KeepAliveServer::Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection() { ::close(m_descriptor); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int descriptor() const { return m_descriptor; }
    void shutDown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

    bool send(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (std::size_t sent = 0; sent < text.size();) {
            const ssize_t n = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// What was received and not yet passed on. Used on the server's thread only.
    std::string buffer;

private:
    int m_descriptor;
    std::mutex m_mutex;
};

class KeepAliveServer::Call : public HttpCall {
public:
    Call(std::shared_ptr<Connection> connection, const std::string& head, std::string content)
        : m_connection(std::move(connection))
    {
        const std::size_t methodEnd = head.find(' ');
        const std::string target = head.substr(methodEnd + 1, head.find(' ', methodEnd + 1) - methodEnd - 1);
        const std::size_t mark = target.find('?');
        method = head.substr(0, methodEnd);
        path = target.substr(0, mark);
        query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
        body = std::move(content);
        for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
            const std::size_t colon = head.find(": ", at + 2);
            if (colon != std::string::npos)
                headers[head.substr(at + 2, colon - at - 2)]
                    = head.substr(colon + 2, head.find("\r\n", colon) - colon - 2);
        }
    }

    bool reply(int status, const std::string& text, Duration) override { return replyWithHeaders(status, text, {}); }

    bool replyWithHeaders(int status, const std::string& text,
        const std::vector<std::pair<std::string, std::string>>& extraHeaders) override
    {
        if (m_answered.exchange(true))
            return false;
        std::string response = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        for (const std::pair<std::string, std::string>& header : extraHeaders)
            response += header.first + ": " + header.second + "\r\n";
        return m_connection->send(response + "Content-Length: " + std::to_string(text.size()) + headersEnd + text);
    }

private:
    std::shared_ptr<Connection> m_connection;
    std::atomic<bool> m_answered { false };
};

Result<std::unique_ptr<KeepAliveServer>> KeepAliveServer::create(int port, OnCall onCall)
{
    const int on = 1;
    const sockaddr_in address = loopback(port);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(listener, SOMAXCONN) != 0) {
        ::close(listener);
        return Error { ErrorCode::AddressInUse, "cannot listen on port " + std::to_string(port) };
    }
    return std::unique_ptr<KeepAliveServer>(new KeepAliveServer(listener, std::move(onCall)));
}

KeepAliveServer::KeepAliveServer(int listener, OnCall onCall)
    : m_listener(listener)
    , m_onCall(std::move(onCall))
{
    m_thread = std::thread([this] { run(); });
}

KeepAliveServer::~KeepAliveServer() { stop(); }

void KeepAliveServer::stop()
{
    if (m_stopping.exchange(true))
        return;
    m_thread.join();
    ::close(m_listener);
    for (const std::shared_ptr<Connection>& connection : m_connections)
        connection->shutDown();
    m_connections.clear();
}

void KeepAliveServer::run()
{
    while (!m_stopping) {
        std::vector<pollfd> entries { pollfd { m_listener, POLLIN, 0 } };
        for (const std::shared_ptr<Connection>& connection : m_connections)
            entries.push_back(pollfd { connection->descriptor(), POLLIN, 0 });
        if (::poll(entries.data(), entries.size(), pollMilliseconds) <= 0)
            continue;
        for (std::size_t n = m_connections.size(); n > 0; --n) {
            if (entries[n].revents == 0 || serve(m_connections[n - 1]))
                continue;
            m_connections[n - 1]->shutDown();
            m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(n - 1));
        }
        if (entries[0].revents == 0)
            continue;
        const int on = 1;
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_connections.push_back(std::make_shared<Connection>(descriptor));
    }
}

bool KeepAliveServer::serve(const std::shared_ptr<Connection>& connection)
{
    char buf[65536];
    const ssize_t n = ::recv(connection->descriptor(), buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    std::string& buffer = connection->buffer;
    buffer.append(buf, static_cast<std::size_t>(n));
    for (std::size_t end = buffer.find(headersEnd); end != std::string::npos; end = buffer.find(headersEnd)) {
        const std::string lengthHeader = "\r\ncontent-length: ";
        const std::string head = buffer.substr(0, end + 2);
        const std::size_t lengthAt = lowerCase(head).find(lengthHeader);
        const std::size_t length
            = lengthAt == std::string::npos ? 0 : std::stoul(head.substr(lengthAt + lengthHeader.size()));
        const std::size_t bodyAt = end + headersEnd.size();
        if (buffer.size() < bodyAt + length)
            return true;
        std::string body = buffer.substr(bodyAt, length);
        buffer.erase(0, bodyAt + length);
        m_onCall(std::make_shared<Call>(connection, head, std::move(body)));
    }
    return true;
}

} // namespace Plantainpier
