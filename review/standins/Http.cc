#include "Http.hh"

#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    sockaddr_in makeAddress(const std::string& address, int port)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, address.c_str(), &result.sin_addr);
        return result;
    }

    bool sendAll(int descriptor, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    std::string lower(std::string text)
    {
        for (char& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }

    /// Reads one message. first receives the first line. Returns false at the end of the connection or the deadline.
    bool readMessage(int descriptor, std::string& buffer, std::string& first,
        std::map<std::string, std::string>& headers, std::string& body, std::chrono::steady_clock::time_point deadline)
    {
        const auto readMore = [&] {
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
            pollfd waiting { descriptor, POLLIN, 0 };
            if (left.count() <= 0
                || ::poll(&waiting, 1, static_cast<int>(std::min<long long>(left.count(), 60'000))) <= 0)
                return false;
            char chunk[65'536];
            const ssize_t n = ::recv(descriptor, chunk, sizeof chunk, 0);
            if (n <= 0)
                return false;
            buffer.append(chunk, static_cast<std::size_t>(n));
            return true;
        };
        std::size_t end = buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!readMore())
                return false;
            end = buffer.find("\r\n\r\n");
        }
        const std::string head = buffer.substr(0, end + 2);
        std::size_t at = head.find("\r\n");
        first = head.substr(0, at);
        headers.clear();
        while (at + 2 < head.size()) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ')
                    ++value;
                headers[lower(line.substr(0, colon))] = line.substr(value);
            }
            at = next;
        }
        const auto length = headers.find("content-length");
        const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
        while (buffer.size() < end + 4 + size) {
            if (!readMore())
                return false;
        }
        body = buffer.substr(end + 4, size);
        buffer.erase(0, end + 4 + size);
        return true;
    }

} // namespace

std::string Request::parameter(const std::string& name) const
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string pair = query.substr(begin, end - begin);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            std::string value;
            for (std::size_t n = name.size() + 1; n < pair.size(); ++n) {
                if (pair[n] == '%' && n + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                } else {
                    value += pair[n];
                }
            }
            return value;
        }
        begin = end + 1;
    }
    return {};
}

Server::Server(const std::string& address, int port, Handler handler)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = makeAddress(address, port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0
        || ::listen(m_listener, 256) != 0) {
        ::close(m_listener);
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port));
    }
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server() { stop(); }

void Server::stop()
{
    if (m_stopping.exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const int descriptor : m_descriptors)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    while (m_open > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void Server::accept()
{
    while (!m_stopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++m_open;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_descriptors.insert(descriptor);
        }
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    std::string buffer;
    std::string first;
    Request request;
    while (!m_stopping) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(300);
        if (!readMessage(descriptor, buffer, first, request.headers, request.body, deadline))
            break;
        const std::size_t space = first.find(' ');
        const std::size_t second = first.find(' ', space + 1);
        request.method = first.substr(0, space);
        std::string target = first.substr(space + 1, second - space - 1);
        const std::size_t question = target.find('?');
        request.query = question == std::string::npos ? "" : target.substr(question + 1);
        request.path = target.substr(0, question);
        const Response response = m_handler(request);
        if (response.drop || m_stopping)
            break;
        const std::string type
            = !response.body.empty() && response.body[0] == '{' ? "application/json" : "application/octet-stream";
        if (!sendAll(descriptor,
                "HTTP/1.1 " + std::to_string(response.status) + " Status\r\nContent-Type: " + type
                    + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
            break;
    }
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_descriptors.erase(descriptor);
    }
    ::close(descriptor);
    --m_open;
}

Answer fetch(const std::string& address, int port, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMilliseconds)
{
    Answer answer;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMilliseconds);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = makeAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        if (headers.find("Host") == headers.end())
            text += "Host: " + address + "\r\n";
        for (const auto& header : headers)
            text += header.first + ": " + header.second + "\r\n";
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> answered;
        if (sendAll(descriptor, text) && readMessage(descriptor, buffer, first, answered, answer.body, deadline)
            && first.size() > 12)
            answer.status = std::atoi(first.c_str() + 9);
    }
    ::close(descriptor);
    return answer;
}

} // namespace Review
