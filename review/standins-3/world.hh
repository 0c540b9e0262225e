// Stand-ins for the users' platform, for the cases of this review: the store, executors, clients, and the start and end
// of the project's own processes. Each machine has a loopback address of its own, so that all use the same ports, as
// on the platform. They follow PROTOCOL.md; where a page is silent, they behave like a sound server.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace World {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline Time now() { return Clock::now(); }
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline std::int64_t msBetween(Time from, Time to) { return std::chrono::duration_cast<Ms>(to - from).count(); }

// ---------------------------------------------------------------------------------------------------- record

/// What was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(now())
    {
    }
    void add(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        snprintf(time, sizeof time, "%8.3f  ", std::chrono::duration<double>(now() - m_start).count());
        m_file << time << text << "\n";
        m_file.flush();
    }
    double seconds() const { return std::chrono::duration<double>(now() - m_start).count(); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Time m_start;
};

// ------------------------------------------------------------------------------------------------------ HTTP

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// When the client connected.
    Time connectedAt;
};

struct Response {
    /// 0: the connection is closed without a response.
    static constexpr int silence = -1;
    /// A status, 0, or silence: no response, and the connection stays open.
    int status = 0;
    std::string body;
};

inline std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            result += text[n];
        }
    }
    return result;
}

inline bool writeAll(int socket, const std::string& bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t n = ::send(socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads one message. The first line goes to `first`. Returns false if the connection ends or `until` passes.
inline bool readMessage(int socket, std::string& buffer, std::string& first,
    std::map<std::string, std::string>& headers, std::string& body, std::optional<Time> until)
{
    const auto more = [&] {
        int timeout = -1;
        if (until) {
            const std::int64_t left = msBetween(now(), *until);
            if (left <= 0)
                return false;
            timeout = static_cast<int>(left) + 1;
        }
        pollfd entry { socket, POLLIN, 0 };
        if (::poll(&entry, 1, timeout) <= 0)
            return false;
        char bytes[65536];
        const ssize_t n = ::recv(socket, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    headers.clear();
    const std::string head = buffer.substr(0, end);
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    while (at != std::string::npos) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(c));
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            headers[name] = line.substr(value);
        }
        at = next;
    }
    const std::size_t length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline sockaddr_in endpoint(const std::string& address, int port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

/// Serves each connection on a thread of its own and keeps it open.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    /// Whether a connection that was opened then is silent: nothing that is sent on it arrives any more.
    using IsSilent = std::function<bool(Time connectedAt)>;
    Server(const std::string& address, int port, Handler handler, IsSilent isSilent = {})
        : m_handler(std::move(handler))
        , m_isSilent(std::move(isSilent))
        , m_endpoint(endpoint(address, port))
    {
        start();
    }
    /// Opens the port.
    void start()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (::bind(listener, reinterpret_cast<const sockaddr*>(&m_endpoint), sizeof m_endpoint) != 0
            || ::listen(listener, 512) != 0) {
            fprintf(stderr, "cannot listen: %s\n", strerror(errno));
            std::_Exit(2);
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_listener = listener;
        std::thread([this, listener] { accept(listener); }).detach();
    }
    /// Closes the port and all connections, as the end of a process does.
    void stop()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_sockets.insert(socket);
            }
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }
    void serve(int socket)
    {
        std::string buffer;
        std::string first;
        Request request;
        request.connectedAt = now();
        while (readMessage(socket, buffer, first, request.headers, request.body, std::nullopt)) {
            const std::size_t one = first.find(' ');
            const std::size_t two = first.find(' ', one + 1);
            request.method = first.substr(0, one);
            std::string target = first.substr(one + 1, two - one - 1);
            request.query.clear();
            const std::size_t mark = target.find('?');
            request.path = target.substr(0, mark);
            while (mark != std::string::npos && !target.empty()) {
                target = target.substr(target.find_first_of("?&") + 1);
                const std::size_t end = std::min(target.find('&'), target.size());
                const std::size_t equal = target.find('=');
                if (equal < end)
                    request.query[target.substr(0, equal)] = unescape(target.substr(equal + 1, end - equal - 1));
                if (end == target.size())
                    break;
                target = target.substr(end);
            }
            Response response { Response::silence, {} };
            if (!isSilent(request))
                response = m_handler(request);
            if (response.status == Response::silence || isSilent(request)) {
                pollfd entry { socket, POLLIN, 0 };
                ::poll(&entry, 1, -1);
                break;
            }
            if (response.status == 0)
                break;
            const std::string head = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n";
            if (!writeAll(socket, head + response.body))
                break;
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
    }

    bool isSilent(const Request& request) const { return m_isSilent && m_isSilent(request.connectedAt); }

    Handler m_handler;
    IsSilent m_isSilent;
    sockaddr_in m_endpoint;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    int m_listener = -1;
};

/// One call on a new connection. Status 0: no response.
inline Response call(const std::string& address, int port, const std::string& method, const std::string& path,
    const std::string& body, Ms timeout, const std::string& host = "", const std::string& source = "")
{
    const Time until = now() + timeout;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!source.empty()) {
        const sockaddr_in from = endpoint(source, 0);
        ::bind(socket, reinterpret_cast<const sockaddr*>(&from), sizeof from);
    }
    const sockaddr_in at = endpoint(address, port);
    Response response;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + (host.empty() ? address : host)
            + "\r\nContent-Type: application/json\r\nRequest-Deadline: " + std::to_string(timeout.count())
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> headers;
        if (writeAll(socket, head + body) && readMessage(socket, buffer, first, headers, response.body, until))
            response.status = std::stoi(first.substr(9, 3));
    }
    ::close(socket);
    return response;
}

// ----------------------------------------------------------------------------------------------------- store

/// The platform's store in its form "log": keyed topics with one partition.
class Store {
public:
    /// As in the settings: record_bytes and call_bytes.
    static constexpr std::size_t recordBytes = 262144;
    static constexpr std::size_t callBytes = 2097152;
    static constexpr Ms appendTime { 4 };

    explicit Store(Record& record)
        : m_record(record)
    {
    }

    /// Opens an address of the store for one machine, so that it can be turned away alone.
    void open(const std::string& machine, const std::string& address, int port)
    {
        Front* front = (m_fronts[machine] = std::make_unique<Front>()).get();
        front->server = std::make_unique<Server>(
            address, port,
            [this, front, machine](const Request& request) { return handleAt(*front, machine, request); },
            [this, front](Time connectedAt) {
                std::lock_guard<std::mutex> lock(m_mutex);
                return now() < front->turnedAwayUntil || connectedAt < front->silentBefore;
            });
    }
    /// Gives the machine no answer for this long; its calls have no effect.
    void turnAway(const std::string& machine, Ms time)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_fronts.at(machine)->turnedAwayUntil = now() + time;
        m_changed.notify_all();
    }
    /// The machine's open connections go silent for good; new ones work.
    void silenceConnections(const std::string& machine)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_fronts.at(machine)->silentBefore = now();
    }
    /// The machine that last wrote as a producer with an epoch.
    std::string lastWriter()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_lastWriter;
    }
    /// When the machine last began a read that waits for this long or longer.
    Time lastLongRead(const std::string& machine)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_fronts.at(machine)->longReadAt;
    }

    /// Writes a record as the operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        add(m_topics[topic], key, value);
        m_changed.notify_all();
    }
    /// Appends that were refused since a record or the call was too large.
    int tooLarge() const { return m_tooLarge; }

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Producer {
        std::int64_t epoch = -1;
        std::optional<std::int64_t> seq;
        std::map<std::int64_t, Response> answers;
    };
    struct Topic {
        std::int64_t first = 0;
        std::deque<std::pair<Time, Entry>> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    struct Front {
        Time turnedAwayUntil;
        Time silentBefore;
        Time longReadAt;
        std::unique_ptr<Server> server;
    };

    Response handleAt(Front& front, const std::string& machine, const Request& request)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (parameter(request, "wait_ms", 0) >= 5000)
                front.longReadAt = now();
        }
        const Response response = handle(request);
        std::lock_guard<std::mutex> lock(m_mutex);
        if (response.status == 200 && request.query.count("epoch"))
            m_lastWriter = machine;
        return response;
    }

    static std::uint64_t number(const std::string& bytes, std::size_t at, int size)
    {
        std::uint64_t result = 0;
        for (int n = 0; n < size; ++n)
            result = result << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(n)]);
        return result;
    }
    static void addNumber(std::string& bytes, std::uint64_t value, int size)
    {
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>(value >> shift & 0xff);
    }
    static std::string base64(const std::string& bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t n = 0; n < bytes.size(); n += 3) {
            std::uint32_t group = 0;
            for (std::size_t m = 0; m < 3; ++m)
                group = group << 8 | (n + m < bytes.size() ? static_cast<unsigned char>(bytes[n + m]) : 0);
            for (std::size_t m = 0; m < 4; ++m)
                text += n + m <= bytes.size() ? digits[group >> (18 - 6 * m) & 63] : '=';
        }
        return text;
    }
    static std::int64_t parameter(const Request& request, const char* name, std::int64_t otherwise)
    {
        const std::map<std::string, std::string>::const_iterator it = request.query.find(name);
        return it == request.query.end() ? otherwise : std::stoll(it->second);
    }
    static std::string text(const Request& request, const char* name)
    {
        const std::map<std::string, std::string>::const_iterator it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    }

    /// The oldest records expire after keep_s.
    void expire(Topic& topic)
    {
        while (!topic.records.empty() && now() - topic.records.front().first > std::chrono::seconds(20)) {
            topic.records.pop_front();
            ++topic.first;
        }
    }
    void add(Topic& topic, const std::string& key, const std::string& value)
    {
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { value, topic.end() };
        topic.records.emplace_back(now(), Entry { key, value });
    }

    Response handle(const Request& request)
    {
        if (request.path == "/plantainpier/log-append") {
            std::this_thread::sleep_for(appendTime);
            std::lock_guard<std::mutex> lock(m_mutex);
            return append(request);
        }
        if (request.path == "/plantainpier/log-read")
            return read(request);
        if (request.path == "/plantainpier/log-newest") {
            std::lock_guard<std::mutex> lock(m_mutex);
            return newest(request);
        }
        return Response { 404, "{}" };
    }

    Response append(const Request& request)
    {
        Topic& topic = m_topics[text(request, "topic")];
        expire(topic);
        std::vector<Entry> entries;
        if (request.body.size() > callBytes)
            return refuseSize(request, request.body.size());
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            const std::size_t length = number(request.body, at, 4);
            at += 4;
            if (length > recordBytes)
                return refuseSize(request, length);
            if (length > request.body.size() - at || length < 1)
                return Response { 400, "{}" };
            const std::size_t keyLength = static_cast<unsigned char>(request.body[at]);
            entries.push_back(Entry { request.body.substr(at + 1, keyLength),
                request.body.substr(at + 1 + keyLength, length - 1 - keyLength) });
            at += length;
        }
        const std::string name = text(request, "producer");
        const std::int64_t epoch = parameter(request, "epoch", 0);
        const std::int64_t seq = parameter(request, "seq", 0);
        Producer* producer = name.empty() ? nullptr : &topic.producers[name];
        if (producer) {
            if (epoch < producer->epoch)
                return Response { 409, Json { { "reason", "fenced" } }.dump() };
            if (epoch > producer->epoch)
                *producer = Producer { epoch, std::nullopt, {} };
            if (request.body.empty())
                return Response { 200, Json { { "offset", topic.end() }, { "end", topic.end() } }.dump() };
            const std::map<std::int64_t, Response>::const_iterator repeat = producer->answers.find(seq);
            if (repeat != producer->answers.end())
                return repeat->second;
            if (producer->seq && seq != *producer->seq + 1)
                return Response { 409, Json { { "reason", "seq" }, { "expected", *producer->seq + 1 } }.dump() };
        }
        const std::int64_t at = parameter(request, "at", -1);
        if (at >= 0 && at != topic.end())
            return Response { 412, Json { { "end", topic.end() } }.dump() };
        const std::int64_t offset = topic.end();
        for (const Entry& entry : entries)
            add(topic, entry.key, entry.value);
        const Response response { 200, Json { { "offset", offset }, { "end", topic.end() } }.dump() };
        if (producer) {
            producer->seq = seq;
            producer->answers[seq] = response;
            if (producer->answers.size() > 5)
                producer->answers.erase(producer->answers.begin());
        }
        m_changed.notify_all();
        return response;
    }

    Response refuseSize(const Request& request, std::size_t bytes)
    {
        if (++m_tooLarge <= 3)
            m_record.add("store: append to %s refused with 413: a record of %zu bytes, record_bytes is %zu",
                text(request, "topic").c_str(), bytes, recordBytes);
        return Response { 413, "{}" };
    }

    Response read(const Request& request)
    {
        const Time until = now() + Ms(parameter(request, "wait_ms", 0));
        const std::int64_t from = parameter(request, "from", 0);
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string name = text(request, "topic");
        while (true) {
            Topic& topic = m_topics[name];
            expire(topic);
            if (from < topic.first)
                return Response { 410, Json { { "first", topic.first } }.dump() };
            if (from < topic.end() || now() >= until) {
                Response response { 200, {} };
                addNumber(response.body, static_cast<std::uint64_t>(topic.end()), 8);
                addNumber(response.body, static_cast<std::uint64_t>(topic.first), 8);
                for (std::int64_t offset = from; offset < topic.end() && response.body.size() < 1U << 20; ++offset) {
                    const Entry& entry = topic.records[static_cast<std::size_t>(offset - topic.first)].second;
                    addNumber(response.body, 1 + entry.key.size() + entry.value.size(), 4);
                    addNumber(response.body, entry.key.size(), 1);
                    response.body += entry.key + entry.value;
                }
                return response;
            }
            m_changed.wait_until(lock, until);
        }
    }

    Response newest(const Request& request)
    {
        const Topic& topic = m_topics[text(request, "topic")];
        Json items = Json::array();
        std::size_t bytes = 0;
        std::map<std::string, std::pair<std::string, std::int64_t>>::const_iterator it
            = topic.newest.upper_bound(text(request, "after"));
        for (; it != topic.newest.end() && items.size() < 500 && bytes < 1U << 20; ++it) {
            items.push_back(
                { { "key", it->first }, { "value", base64(it->second.first) }, { "offset", it->second.second } });
            bytes += it->second.first.size();
        }
        return Response { 200,
            Json { { "items", items }, { "more", it != topic.newest.end() }, { "end", topic.end() } }.dump() };
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::atomic<int> m_tooLarge { 0 };
    std::string m_lastWriter;
    std::map<std::string, std::unique_ptr<Front>> m_fronts;
};

// ------------------------------------------------------------------------------------------------- executors

/// What executors have begun and ended, over all of them.
struct RunEvent {
    std::string task;
    int run = 0;
    std::string executor;
    Time began;
    std::optional<Time> ended;
    std::string how;
    /// When acked_upto reached the end.
    std::optional<Time> noted;
    /// The executor left the order unanswered and carried it out late.
    bool late = false;
};

/// The first words of a spec tell an executor how long the task takes, "work=MS", and whether it always fails: "fails".
inline Ms workOf(const std::string& spec)
{
    const std::size_t at = spec.find("work=");
    return Ms(at == std::string::npos ? 100 : std::atoi(spec.c_str() + at + 5));
}

class Executor {
public:
    static constexpr std::int64_t maximumHold = 10000;
    static constexpr std::size_t endsPerList = 500;

    Executor(
        std::string id, std::string address, std::string zone, std::string rack, std::int64_t cpu, std::int64_t memory)
        : m_id(std::move(id))
        , m_address(std::move(address))
        , m_zone(std::move(zone))
        , m_rack(std::move(rack))
        , m_cpu(cpu)
        , m_memory(memory)
        , m_born(unixMs())
        , m_start(now())
        , m_server(m_address, 8080, [this](const Request& request) { return handle(request); })
    {
        std::thread([this] { beat(); }).detach();
        std::thread([this] { work(); }).detach();
    }

    /// From now on, leaves this share of the starts unanswered and carries each out 2 to 12 s later.
    void setLateShare(double share)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_lateShare = share;
    }
    /// Crashes, and starts again under the same id after this time. Nothing of before is left.
    void crash(Ms time)
    {
        m_server.stop();
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_isDown = true;
            for (const std::pair<const std::string, Run>& entry : m_runs) {
                m_events[entry.second.event].ended = now();
                m_events[entry.second.event].how = "crash";
            }
            m_runs.clear();
            m_highest.clear();
            m_ends.clear();
            m_changed.notify_all();
        }
        std::this_thread::sleep_for(time);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_born = unixMs();
            m_start = now();
            m_fence = 0;
            m_leaseUntil = 0;
            m_lastEnd = 0;
            m_seq = 0;
            m_isDown = false;
        }
        m_server.start();
    }
    const std::string& id() const { return m_id; }
    std::int64_t cpu() const { return m_cpu; }
    /// All runs so far.
    std::vector<RunEvent> events()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<RunEvent> result;
        for (const RunEvent& event : m_events)
            result.push_back(event);
        return result;
    }
    std::size_t running()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs.size();
    }
    std::size_t started()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_events.size();
    }
    /// Ends that were not yet taken note of.
    std::size_t unacknowledged()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_ends.size();
    }

private:
    struct Run {
        int run = 0;
        Time endsAt;
        std::string how = "done";
        std::size_t event = 0;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t event = 0;
    };

    std::int64_t clock() const { return msBetween(m_start, now()); }
    Json base() const { return Json { { "clock_ms", clock() }, { "born", m_born } }; }
    Response refuse(const char* reason) const
    {
        Json body = base();
        body["reason"] = reason;
        return Response { 409, body.dump() };
    }

    Response handle(const Request& request)
    {
        const std::map<std::string, std::string>::const_iterator target = request.headers.find("target-instance");
        if (target != request.headers.end() && target->second != m_id)
            return Response { 421, "{}" };
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return Response { 400, base().dump() };
        std::unique_lock<std::mutex> lock(m_mutex);
        const bool isStart = request.path == "/plantainpier/run-start";
        if (isStart && std::uniform_real_distribution<double>(0, 1)(m_random) < m_lateShare) {
            m_lateStarts.emplace_back(now() + Ms(2000 + m_random() % 10000), body);
            return Response { Response::silence, {} };
        }
        const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (isStart)
            return start(body, false);
        if (request.path == "/plantainpier/run-stop")
            return stop(body);
        if (request.path == "/plantainpier/pace")
            return Response { 200, base().dump() };
        if (request.path != "/plantainpier/hold")
            return Response { 404, base().dump() };
        hold(body);
        const Time until = now() + Ms(body.value("wait_ms", 0));
        const std::int64_t last = m_lastEnd;
        while (m_ends.empty() && m_lastEnd == last && now() < until)
            m_changed.wait_until(lock, until);
        return list();
    }

    Response start(const Json& body, bool late)
    {
        const std::string task = body.value("task", "");
        const int run = body.value("run", 0);
        const std::int64_t until = std::min(body.value("expires_ms", std::int64_t(0)), clock() + maximumHold);
        if (until <= clock())
            return refuse("late");
        m_leaseUntil = std::max(m_leaseUntil, until);
        const std::map<std::string, Run>::const_iterator it = m_runs.find(task);
        if (it != m_runs.end() && it->second.run == run)
            return Response { 200, base().dump() };
        const std::map<std::string, int>::const_iterator highest = m_highest.find(task);
        if (it != m_runs.end() || (highest != m_highest.end() && run <= highest->second))
            return refuse("old");
        const std::string spec = body.value("spec", "");
        m_events.push_back(RunEvent { task, run, m_id, now(), std::nullopt, {}, std::nullopt, late });
        m_runs[task] = Run { run, now() + workOf(spec), spec.find(" fails") == std::string::npos ? "done" : "failed",
            m_events.size() - 1 };
        return Response { 200, base().dump() };
    }

    Response stop(const Json& body)
    {
        const std::string task = body.value("task", "");
        const int run = body.value("run", 0);
        m_highest[task] = std::max(m_highest[task], run);
        const std::map<std::string, Run>::iterator it = m_runs.find(task);
        if (it != m_runs.end() && it->second.run <= run && it->second.how != "stopped") {
            it->second.how = "stopped";
            it->second.endsAt = now() + Ms(100);
        }
        return Response { 200, base().dump() };
    }

    void hold(const Json& body)
    {
        m_leaseUntil
            = std::max(m_leaseUntil, std::min(body.value("expires_ms", std::int64_t(0)), clock() + maximumHold));
        const std::int64_t acked = body.value("acked_upto", std::int64_t(0));
        while (!m_ends.empty() && m_ends.front().number <= acked) {
            m_events[m_ends.front().event].noted = now();
            m_ends.pop_front();
        }
    }

    Response list()
    {
        Json body = base();
        Json running = Json::array();
        for (const std::pair<const std::string, Run>& entry : m_runs)
            running.push_back({ entry.first, entry.second.run, "", 50, 100 });
        Json ended = Json::array();
        for (const End& end : m_ends) {
            if (ended.size() == endsPerList)
                break;
            ended.push_back({ end.number, end.task, end.run, end.how, "" });
        }
        body["running"] = std::move(running);
        body["ended"] = std::move(ended);
        return Response { 200, body.dump() };
    }

    void end(std::map<std::string, Run>::iterator it, const std::string& how)
    {
        RunEvent& event = m_events[it->second.event];
        event.ended = now();
        event.how = how;
        m_highest[it->first] = std::max(m_highest[it->first], it->second.run);
        m_ends.push_back(End { ++m_lastEnd, it->first, it->second.run, how, it->second.event });
        m_runs.erase(it);
    }

    void work()
    {
        while (true) {
            std::this_thread::sleep_for(Ms(5));
            std::lock_guard<std::mutex> lock(m_mutex);
            for (std::size_t n = 0; n < m_lateStarts.size();) {
                if (now() < m_lateStarts[n].first) {
                    ++n;
                    continue;
                }
                const Json body = std::move(m_lateStarts[n].second);
                m_lateStarts.erase(m_lateStarts.begin() + static_cast<std::ptrdiff_t>(n));
                // An order on its way finds the life that has the id then, or none.
                if (m_isDown)
                    continue;
                const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
                if (fence < m_fence)
                    continue;
                m_fence = fence;
                start(body, true);
            }
            const bool lapsed = clock() > m_leaseUntil;
            const std::int64_t last = m_lastEnd;
            for (std::map<std::string, Run>::iterator it = m_runs.begin(); it != m_runs.end();) {
                const std::map<std::string, Run>::iterator entry = it++;
                if (lapsed)
                    end(entry, "lapsed");
                else if (now() >= entry->second.endsAt)
                    end(entry, entry->second.how);
            }
            if (m_lastEnd != last)
                m_changed.notify_all();
        }
    }

    void beat()
    {
        while (true) {
            std::string body;
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                const Json capacity { { "cpu", m_cpu }, { "mem_mb", m_memory }, { "gpu", 0 } };
                const Json beat { { "service", "desk" }, { "address", m_address + ":8080" }, { "zone", m_zone },
                    { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
                    { "capacity", capacity }, { "labels", { "a", m_rack } }, { "clock_ms", clock() },
                    { "seq", ++m_seq }, { "born", m_born } };
                if (!m_isDown)
                    body = beat.dump();
            }
            int status = 0;
            if (!body.empty())
                status = call(m_address, 8166, "PUT", "/plantainpier/instances/" + m_id, body, Ms(1000)).status;
            std::this_thread::sleep_for(Ms(status == 200 ? 1500 : 300));
        }
    }

    std::string m_id;
    std::string m_address;
    std::string m_zone;
    std::string m_rack;
    std::int64_t m_cpu;
    std::int64_t m_memory;
    std::int64_t m_born;
    Time m_start;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_seq = 0;
    bool m_isDown = false;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_highest;
    std::deque<End> m_ends;
    std::deque<RunEvent> m_events;
    std::mt19937 m_random { std::random_device {}() };
    double m_lateShare = 0;
    std::vector<std::pair<Time, Json>> m_lateStarts;
    Server m_server;
};

// ------------------------------------------------------------------------------------------------- processes

/// One process of the project, started with a command of the deploy file. It is started again after it ends, as the
/// platform does.
class Process {
public:
    Process(std::string name, std::string role, std::string settings, std::string log, Record& record)
        : m_name(std::move(name))
        , m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
        , m_record(record)
    {
        start();
    }
    ~Process() { stop(); }

    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// Starts the process again if it has ended. Called at short intervals.
    void watch()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return;
        m_record.add("%s: the process has ended (%s %d) and is started again", m_name.c_str(),
            WIFSIGNALED(status) ? "signal" : "code", WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        ++m_restarts;
        start();
    }
    void stop()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    int restarts() const { return m_restarts; }

private:
    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const std::string variable = "PLANTAINPIER_SETTINGS=" + m_settings;
        FILE* log = ::fopen(m_log.c_str(), "a");
        ::dup2(::fileno(log), 1);
        ::dup2(::fileno(log), 2);
        const char* arguments[]
            = { "target/platform/plantainpier-node", m_role.c_str(), "--metrics-port", "9464", nullptr };
        const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
        ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        ::_exit(127);
    }

    std::string m_name;
    std::string m_role;
    std::string m_settings;
    std::string m_log;
    Record& m_record;
    pid_t m_pid = -1;
    int m_restarts = 0;
};

// ------------------------------------------------------------------------------------------------ deployment

/// A small deployment: some entries, and sides with one executor each. Bounds are those of the site bdiq-riga.
class Deployment {
public:
    static constexpr const char* hostName = "nony24.example";
    static constexpr const char* prefix = "/lohu930/";

    Deployment(const std::string& folder, Record& record, int entries, int executors, std::int64_t cpu = 64000,
        std::int64_t memory = 256000)
        : m_record(record)
        , m_folder(folder)
    {
        signal(SIGPIPE, SIG_IGN);
        std::mt19937 random(std::random_device {}());
        m_net = "127." + std::to_string(2 + random() % 250) + "." + std::to_string(1 + random() % 250) + ".";
        m_store = std::make_unique<Store>(record);
        m_store->put("keyed.op", "config", configuration(1));
        for (int n = 0; n < entries; ++n)
            addProcess("entry-" + std::to_string(n + 1), "entry", address(10 + n));
        for (int n = 0; n < executors; ++n) {
            addProcess("side-" + std::to_string(n + 1), "side", address(100 + n));
            m_executors.push_back(
                std::make_unique<Executor>("i-" + std::to_string(n + 1) + "-" + std::to_string(random()),
                    address(100 + n), n % 2 ? "rix-south" : "rix-north", "r1-" + std::to_string(n / 3), cpu, memory));
        }
        m_entries = entries;
        m_watcher = std::thread([this] {
            while (!m_stopping) {
                std::this_thread::sleep_for(Ms(200));
                std::lock_guard<std::mutex> lock(m_mutex);
                for (std::pair<const std::string, std::unique_ptr<Process>>& entry : m_processes)
                    entry.second->watch();
            }
        });
    }
    /// Ends all processes of the project. The stand-ins' threads end with this process.
    void stopProcesses()
    {
        if (m_stopping.exchange(true))
            return;
        m_watcher.join();
        m_processes.clear();
    }

    Store& store() { return *m_store; }
    std::vector<std::unique_ptr<Executor>>& executors() { return m_executors; }
    std::string address(int n) const { return m_net + std::to_string(n); }
    int entries() const { return m_entries; }
    void signalProcess(const std::string& name, int number)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_processes.at(name)->signal(number);
    }

    /// Waits until an entry is ready and all executors can be used, at most for 30 s.
    bool awaitReady()
    {
        const Time until = now() + std::chrono::seconds(30);
        while (now() < until) {
            int ready = 0;
            for (int n = 0; n < m_entries; ++n)
                ready += isReady(n) ? 1 : 0;
            if (ready == m_entries)
                return true;
            std::this_thread::sleep_for(Ms(200));
        }
        return false;
    }

    /// Whether the entry takes new clients: the platform leads none to an entry that is not ready.
    bool isReady(int entry)
    {
        return call(address(10 + entry % m_entries), 8167, "GET", "/plantainpier/ready", "", Ms(500)).status == 200;
    }
    /// A client's call: one try at one entry.
    Response client(int entry, const std::string& method, const std::string& id, const std::string& body = "")
    {
        return call(address(10 + entry % m_entries), 8161, method, prefix + id, body, Ms(3000), hostName);
    }
    /// Hands a job in with up to five tries, at the entries in turn. Returns the last status.
    int submit(const std::string& id, const Json& job)
    {
        const std::string body = job.dump();
        int status = 0;
        for (int n = 0; n < 5; ++n) {
            status = client(m_next++, "POST", id, body).status;
            m_record.add("client: POST %s (%zu bytes) answered %d", id.c_str(), body.size(), status);
            if (status == 200 || status == 400 || status == 404)
                break;
            std::this_thread::sleep_for(Ms(status == 503 || status == 429 ? 1000 : 300));
        }
        return status;
    }
    /// The state of a job, with up to five tries; the status in words if there is none.
    std::string state(const std::string& id)
    {
        Response response;
        for (int n = 0; n < 5; ++n) {
            response = client(m_next++, "GET", id);
            if (response.status == 200 || response.status == 410)
                break;
            std::this_thread::sleep_for(Ms(300));
        }
        if (response.status != 200)
            return "status " + std::to_string(response.status);
        return Json::parse(response.body, nullptr, false).value("state", "unreadable");
    }

private:
    static std::string configuration(int version)
    {
        return Json {
            { "version", version },
            { "routes",
                { { { "name", "plans" }, { "hostname", hostName }, { "path_prefix", prefix }, { "service", "desk" },
                    { "priority", 0 }, { "max_attempts", 4 }, { "stretch", 2 }, { "slo_ms", 1000 },
                    { "timeout_ms", 3000 } } } },
            { "services", { { { "name", "desk" }, { "enforces_capacity", false } } } },
            { "limits", { { "max_body_bytes", 262144 } } }
        }.dump();
    }
    /// Writes the settings as the template of the deploy file gives them.
    void addProcess(const std::string& name, const std::string& role, const std::string& at)
    {
        const std::string storeAddress = m_net + std::to_string(200 + m_processes.size());
        m_store->open(name, storeAddress, 8169);
        Json settings { { "id", name }, { "zone", "rix-north" }, { "address", at }, { "peer_port", 7720 },
            { "store_address", storeAddress + ":8169" }, { "advice_address", "" }, { "machines_address", "" },
            { "processor_share", role == "entry" ? 0.1 : 0.15 }, { "longest_lease_ms", 10000 }, { "harm_ms", 4000 },
            { "halt_ms", 900 }, { "interference_record_s", 2 }, { "remote_factor", 1.5 },
            { "locality_wait", "expected_cost" }, { "filler_placement", "stay" }, { "admission", "off" },
            { "overload_order", "least_slack" }, { "status_memory_s", 120 }, { "shutdown_s", 6 } };
        if (role == "entry") {
            settings["client_address"] = at + ":8161";
            settings["health_address"] = at + ":8167";
        } else {
            settings["announce_address"] = at + ":8166";
            settings["host_address"] = at + ":8080";
            settings["service"] = "desk";
        }
        const std::string path = m_folder + "/" + name + ".json";
        std::ofstream(path) << settings.dump(2) << "\n";
        m_processes[name] = std::make_unique<Process>(name, role, path, m_folder + "/" + name + ".log", m_record);
    }

    Record& m_record;
    std::string m_folder;
    std::string m_net;
    std::mutex m_mutex;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    int m_entries = 0;
    std::atomic<int> m_next { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_watcher;
};

inline std::string jobId(const std::string& start, int n)
{
    char text[17];
    snprintf(text, sizeof text, "%08x", n);
    std::string id = start + std::string(8 - start.size(), '0') + text;
    return id;
}

} // namespace World
