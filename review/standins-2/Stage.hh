/// Stand-ins for the scripts of the second review: the platform's store, executors with gangs, leases and fences, a
/// client, and the start of the project's own programs as separate processes. They follow PROTOCOL.md and DEPLOY.md of
/// the users' pages and use nothing of the project's code. All addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Stage {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Milliseconds since the start of the script.
inline std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Writes record.txt: what was sent, answered and run.
class Record {
public:
    static Record& get()
    {
        static Record record;
        return record;
    }
    void open(const std::string& path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(nowMs()) / 1000);
        m_file << stamp << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};
inline void note(const std::string& text) { Record::get().line(text); }

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An answer; status 0 stands for none.
struct Response {
    int status = 0;
    std::string body;
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Reads one HTTP message: the first line, the headers and a body with a length.
class MessageReader {
public:
    explicit MessageReader(int fd)
        : m_fd(fd)
    {
    }
    bool read(std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body)
    {
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        firstLine = head.substr(0, at);
        headers.clear();
        for (at += 2; at < head.size();) {
            const std::size_t next = head.find("\r\n", at);
            const std::string line = head.substr(at, next - at);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos)
                headers[lower(line.substr(0, colon))] = line.substr(line.find_first_not_of(' ', colon + 1));
            at = next + 2;
        }
        const std::size_t length
            = headers.count("content-length") ? std::strtoul(headers["content-length"].c_str(), nullptr, 10) : 0;
        while (m_buffer.size() < length) {
            if (!fill())
                return false;
        }
        body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

private:
    bool fill()
    {
        char data[65536];
        const ssize_t n = ::recv(m_fd, data, sizeof data, 0);
        if (n <= 0)
            return false;
        m_buffer.append(data, static_cast<std::size_t>(n));
        return true;
    }
    int m_fd;
    std::string m_buffer;
};

inline bool sendAll(int fd, const std::string& data)
{
    for (std::size_t sent = 0; sent < data.size();) {
        const ssize_t n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// An HTTP server with one thread a connection. A handler may block, for waiting reads.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    /// Further connections than maximumConnections are closed at once.
    Server(std::string ip, int port, Handler handler, std::size_t maximumConnections = 4000)
        : m_state(std::make_shared<State>())
    {
        m_state->handler = std::move(handler);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socketAddress(ip, port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || ::listen(m_listener, 256) != 0) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
            std::_Exit(2);
        }
        m_acceptor = std::thread([listener = m_listener, state = m_state, maximumConnections] {
            for (;;) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int yes = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                {
                    const std::lock_guard<std::mutex> guard(state->mutex);
                    if (state->stopped) {
                        ::close(fd);
                        return;
                    }
                    if (state->connections.size() >= maximumConnections) {
                        const linger reset { 1, 0 };
                        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                        ::close(fd);
                        continue;
                    }
                    state->connections.insert(fd);
                }
                std::thread([fd, state] { serve(fd, state); }).detach();
            }
        });
    }
    /// Closes the port and all connections, as the end of a process does.
    ~Server()
    {
        {
            const std::lock_guard<std::mutex> guard(m_state->mutex);
            m_state->stopped = true;
            for (const int fd : m_state->connections)
                ::shutdown(fd, SHUT_RDWR);
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Makes all open connections silent for good, without a reset: what arrives on them is lost. New ones work.
    /// Returns how many there are.
    std::size_t silenceOpenConnections()
    {
        const std::lock_guard<std::mutex> guard(m_state->mutex);
        m_state->silent = m_state->connections;
        return m_state->silent.size();
    }

private:
    struct State {
        std::mutex mutex;
        bool stopped = false;
        std::set<int> connections;
        std::set<int> silent;
        Handler handler;
    };
    static void serve(int fd, const std::shared_ptr<State>& state)
    {
        MessageReader reader(fd);
        std::string first;
        Request request;
        while (reader.read(first, request.headers, request.body)) {
            const std::size_t space = first.find(' ');
            request.method = first.substr(0, space);
            std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
            const std::size_t mark = target.find('?');
            request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
            request.path = target.substr(0, mark);
            const auto isSilent = [&state, fd] {
                const std::lock_guard<std::mutex> guard(state->mutex);
                return state->silent.count(fd) > 0;
            };
            if (isSilent())
                continue;
            const Response response = state->handler(request);
            if (isSilent())
                continue;
            {
                const std::lock_guard<std::mutex> guard(state->mutex);
                if (state->stopped)
                    break;
            }
            if (response.status == 0)
                break;
            const std::string text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, text))
                break;
        }
        const std::lock_guard<std::mutex> guard(state->mutex);
        state->connections.erase(fd);
        state->silent.erase(fd);
        ::close(fd);
    }
    std::shared_ptr<State> m_state;
    int m_listener = -1;
    std::thread m_acceptor;
};

/// Sends one request over a connection of its own.
inline Response call(const std::string& ip, int port, const std::string& method, const std::string& path,
    const std::string& host, const std::string& body, int timeoutMs)
{
    Response response;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = socketAddress(ip, port);
    std::string first;
    std::map<std::string, std::string> headers;
    const std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nRequest-Deadline: " + std::to_string(timeoutMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && sendAll(fd, text)) {
        MessageReader reader(fd);
        if (reader.read(first, headers, response.body) && first.size() > 12) {
            response.status = std::atoi(first.c_str() + 9);
        }
    }
    ::close(fd);
    return response;
}

inline std::string parameter(const std::string& query, const std::string& key, const std::string& otherwise = "")
{
    for (std::size_t at = 0; at < query.size();) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        if (query.compare(at, key.size() + 1, key + "=") == 0) {
            std::string value;
            for (std::size_t n = at + key.size() + 1; n < end; ++n) {
                if (query[n] == '%' && n + 2 < end) {
                    value += static_cast<char>(std::stoi(query.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                } else {
                    value += query[n];
                }
            }
            return value;
        }
        at = end + 1;
    }
    return otherwise;
}

/// The platform's store: keyed topics with one partition, conditions, producers, waiting reads and size limits.
class Store {
public:
    static constexpr std::size_t recordBytes = 262'144;
    static constexpr std::size_t callBytes = 2'097'152;

    Store(const std::string& ip, int port)
        : m_server(ip, port, [this](const Request& request) { return handle(request); })
    {
    }
    /// Writes a record as the operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::string body;
        addNumber(body, 1 + key.size() + value.size(), 4);
        addNumber(body, key.size(), 1);
        const std::lock_guard<std::mutex> guard(m_mutex);
        addRecords(m_topics[topic], body + key + value);
        m_changed.notify_all();
    }
    std::int64_t oversizedAppends() const { return m_oversized; }
    /// Whether every call is turned away with 503, as while the store is down.
    std::atomic<bool> isBusy { false };

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    struct Producer {
        std::int64_t epoch = -1;
        std::optional<std::int64_t> number;
        std::map<std::int64_t, Response> answers;
    };
    struct Topic {
        std::vector<Entry> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;
        std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }
    };

    static void addNumber(std::string& bytes, std::uint64_t number, int size)
    {
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>((number >> shift) & 0xff);
    }
    static std::size_t numberAt(const std::string& bytes, std::size_t at)
    {
        std::size_t number = 0;
        for (std::size_t n = 0; n < 4; ++n)
            number = number << 8 | static_cast<unsigned char>(bytes[at + n]);
        return number;
    }
    static std::string base64(const std::string& bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t n = 0; n < bytes.size(); n += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k)
                group = group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
            for (std::size_t k = 0; k < 4; ++k)
                text += n + k <= bytes.size() ? digits[(group >> (18 - 6 * k)) & 63] : '=';
        }
        return text;
    }
    static void addRecords(Topic& topic, const std::string& body)
    {
        for (std::size_t at = 0; at + 4 < body.size();) {
            const std::size_t length = numberAt(body, at);
            const std::size_t keyLength = static_cast<unsigned char>(body[at + 4]);
            Entry entry { body.substr(at + 5, keyLength), body.substr(at + 5 + keyLength, length - 1 - keyLength) };
            at += 4 + length;
            if (entry.value.empty())
                topic.newest.erase(entry.key);
            else
                topic.newest[entry.key] = { entry.value, topic.end() };
            topic.records.push_back(std::move(entry));
        }
    }
    static bool isTooLarge(const std::string& body)
    {
        if (body.size() > callBytes)
            return true;
        for (std::size_t at = 0; at + 4 < body.size(); at += 4 + numberAt(body, at)) {
            if (numberAt(body, at) > recordBytes)
                return true;
        }
        return false;
    }

    Response handle(const Request& request)
    {
        if (isBusy)
            return Response { 503, "{}" };
        std::unique_lock<std::mutex> lock(m_mutex);
        Topic& topic = m_topics[parameter(request.query, "topic")];
        if (request.path == "/plantainpier/log-append")
            return append(topic, request);
        if (request.path == "/plantainpier/log-newest")
            return newest(topic, parameter(request.query, "after"));
        if (request.path != "/plantainpier/log-read")
            return Response { 404, "{}" };
        const std::int64_t from = std::stoll(parameter(request.query, "from", "0"));
        const Clock::time_point until
            = Clock::now() + milliseconds(std::stoll(parameter(request.query, "wait_ms", "0")));
        m_changed.wait_until(lock, until, [&topic, from] { return topic.end() > from; });
        std::string body;
        addNumber(body, static_cast<std::uint64_t>(topic.end()), 8);
        addNumber(body, 0, 8);
        for (std::int64_t n = std::max<std::int64_t>(0, from); n < topic.end() && body.size() < (1U << 20); ++n) {
            const Entry& entry = topic.records[static_cast<std::size_t>(n)];
            addNumber(body, 1 + entry.key.size() + entry.value.size(), 4);
            addNumber(body, entry.key.size(), 1);
            body += entry.key + entry.value;
        }
        return Response { 200, body };
    }
    Response append(Topic& topic, const Request& request)
    {
        const auto conflict
            = [](const char* reason) { return Response { 409, Json { { "reason", reason } }.dump() }; };
        if (isTooLarge(request.body)) {
            if (m_oversized++ == 0)
                note("store: an append holds a record over record_bytes; answered 413, nothing stored");
            return Response { 413, Json { { "error", "a record is larger than record_bytes" } }.dump() };
        }
        const std::string name = parameter(request.query, "producer");
        const std::int64_t epoch = std::stoll(parameter(request.query, "epoch", "-1"));
        const std::int64_t number = std::stoll(parameter(request.query, "seq", "0"));
        Producer* producer = name.empty() ? nullptr : &topic.producers[name];
        if (producer) {
            if (epoch < producer->epoch)
                return conflict("fenced");
            if (epoch > producer->epoch)
                *producer = Producer { epoch, std::nullopt, {} };
            if (request.body.empty())
                return Response { 200, Json { { "offset", topic.end() }, { "end", topic.end() } }.dump() };
            if (producer->answers.count(number))
                return producer->answers[number];
            if (producer->number && number != *producer->number + 1)
                return conflict("seq");
        }
        const std::int64_t expected = std::stoll(parameter(request.query, "at", "-1"));
        if (expected >= 0 && expected != topic.end())
            return Response { 412, Json { { "end", topic.end() } }.dump() };
        const std::int64_t offset = topic.end();
        addRecords(topic, request.body);
        const Response answer { 200, Json { { "offset", offset }, { "end", topic.end() } }.dump() };
        if (producer) {
            producer->number = number;
            producer->answers[number] = answer;
            if (producer->answers.size() > 5)
                producer->answers.erase(producer->answers.begin());
        }
        m_changed.notify_all();
        return answer;
    }
    static Response newest(const Topic& topic, const std::string& after)
    {
        Json items = Json::array();
        std::size_t bytes = 0;
        std::map<std::string, std::pair<std::string, std::int64_t>>::const_iterator it = topic.newest.upper_bound(after);
        for (; it != topic.newest.end() && items.size() < 500 && bytes < (1U << 20); ++it) {
            items.push_back({ { "key", it->first }, { "value", base64(it->second.first) },
                { "offset", it->second.second } });
            bytes += it->second.first.size();
        }
        return Response { 200,
            Json { { "items", items }, { "more", it != topic.newest.end() }, { "end", topic.end() } }.dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::atomic<std::int64_t> m_oversized { 0 };
    Server m_server;
};

struct TaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    std::string text;
};

inline TaskId parseTask(const std::string& text)
{
    TaskId task;
    task.text = text;
    std::string rest = text;
    const auto cut = [&rest] {
        const std::size_t dot = rest.rfind('.');
        const int number = std::stoi(rest.substr(dot + 1));
        rest.resize(dot);
        return number;
    };
    task.index = cut();
    task.step = cut();
    task.occurrence = cut();
    task.job = rest;
    return task;
}

class Executor;

/// What the executors of one script have run, and the gangs that run over several of them. The text `spec` of a job is
/// a JSON list with an entry a step: how long a task works ("ms"), how many members its gang has ("gang"), whether it
/// fails ("fails"). Only executors read it.
class Fleet {
public:
    struct RunSeen {
        std::string executor;
        std::string task;
        int run = 0;
        std::int64_t startedMs = 0;
        std::int64_t endedMs = -1;
        std::string how;
        /// The end was acknowledged, and the lease had not lapsed in between: it is taken note of for good.
        bool isNoted = false;
    };
    std::recursive_mutex mutex;
    std::vector<std::shared_ptr<Executor>> executors;
    std::vector<RunSeen> runs;
    /// Whether each start and end is written to the record.
    bool isVerbose = true;

    /// Starts of tasks of a step so far.
    int starts(const std::string& job, int step)
    {
        const std::lock_guard<std::recursive_mutex> guard(mutex);
        const std::string infix = "." + std::to_string(step) + ".";
        return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const RunSeen& run) {
            return run.task.starts_with(job) && run.task.find(infix, job.size() + 2) != std::string::npos;
        }));
    }
    int ends(const std::string& job, const std::string& how)
    {
        const std::lock_guard<std::recursive_mutex> guard(mutex);
        return static_cast<int>(std::count_if(runs.begin(), runs.end(),
            [&](const RunSeen& run) { return run.task.starts_with(job) && run.how == how; }));
    }
    void gangMemberEnded(const std::string& gang, int run, const Executor* except);
    int gangMembersPresent(const std::string& gang, int run);
};

/// One executor, with a fixed address and id. A restart under the id begins a new life that knows nothing of before.
class Executor {
public:
    struct Options {
        std::string id;
        std::string ip;
        int port = 8080;
        std::string sideIp;
        int sidePort = 8166;
        std::string service = "desk";
        std::string zone = "zone-a";
        std::string kind = "a";
        std::string rack = "r1-1";
        std::int64_t cpu = 64'000;
        std::int64_t memoryMb = 256'000;
        /// How long a call takes.
        std::int64_t answerMs = 2;
    };

    Executor(Fleet& fleet, Options options)
        : m_fleet(fleet)
        , m_options(std::move(options))
    {
        m_thread = std::thread([this] { runBackground(); });
    }
    ~Executor()
    {
        m_stopping = true;
        m_thread.join();
        crash();
    }
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    const std::string& id() const { return m_options.id; }

    /// Begins a life: nothing runs, no fence has been seen, the counts start anew.
    void start()
    {
        const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
        m_born = std::max(unixMs(), m_born + 1);
        m_startedAt = Clock::now();
        m_sequence = 0;
        m_fence = 0;
        m_leaseUntil = 0;
        m_lastEnd = 0;
        m_acknowledged = 0;
        m_announcedMs = -100'000;
        m_isUp = true;
        m_server = std::make_unique<Server>(
            m_options.ip, m_options.port, [this](const Request& request) { return handle(request); },
            maximumConnections);
        note("executor " + m_options.id + " starts, born " + std::to_string(m_born));
    }
    /// Ends the process: everything that runs is lost, the port is closed.
    void crash()
    {
        std::unique_ptr<Server> server;
        {
            const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            note("executor " + m_options.id + " crashes with " + std::to_string(m_runs.size()) + " runs");
            for (const std::pair<const std::string, Run>& entry : m_runs) {
                m_fleet.runs[entry.second.seen].how = "crashed";
                m_fleet.runs[entry.second.seen].endedMs = nowMs();
                if (entry.second.gangSize > 0)
                    m_fleet.gangMemberEnded(entry.second.gang, entry.second.run, this);
            }
            m_runs.clear();
            m_ended.clear();
            m_ends.clear();
            server = std::move(m_server);
        }
        m_changed.notify_all();
        server.reset();
    }
    std::size_t silenceOpenConnections()
    {
        const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
        return m_server ? m_server->silenceOpenConnections() : 0;
    }
    /// While set, everything that the executor starts fails soon; it goes on announcing itself and answering.
    std::atomic<bool> failsAll { false };
    /// When the executor last answered with its lists.
    std::int64_t lastListMs() const { return m_lastListMs; }
    std::size_t unacknowledgedEnds()
    {
        const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
        return m_ends.size();
    }
    std::size_t running()
    {
        const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
        return m_runs.size();
    }

private:
    friend class Fleet;
    struct Run {
        TaskId task;
        int run = 0;
        std::size_t seen = 0;
        std::int64_t workMs = 0;
        bool fails = false;
        bool stopping = false;
        std::string gang;
        int gangSize = 0;
        /// Unset while the run waits for the other members of its gang.
        std::optional<Clock::time_point> endsAt;
        Clock::time_point startedAt;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t seen = 0;
        bool leaseLapsed = false;
    };

    static constexpr std::int64_t longestLeaseMs = 10'000;
    static constexpr std::int64_t gangTimeoutMs = 3000;
    static constexpr std::int64_t stopMs = 100;
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::size_t maximumConnections = 64;

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count();
    }
    Json answerBase() const { return Json { { "clock_ms", clockMs() }, { "born", m_born } }; }
    Response refuse(const char* reason) const
    {
        Json body = answerBase();
        body["reason"] = reason;
        return Response { 409, body.dump() };
    }

    Response handle(const Request& request)
    {
        if (m_options.answerMs > 0)
            sleepMs(m_options.answerMs);
        std::unique_lock<std::recursive_mutex> lock(m_fleet.mutex);
        if (!m_isUp)
            return Response {};
        const std::map<std::string, std::string>::const_iterator target = request.headers.find("target-instance");
        if (target != request.headers.end() && target->second != m_options.id)
            return Response { 421, "{}" };
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return Response { 400, "{}" };
        const std::int64_t fence = body.value("fencing_token", std::int64_t(0));
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        expireLease();
        if (request.path == "/plantainpier/run-start")
            return startRun(body);
        if (request.path == "/plantainpier/run-stop")
            return stopRun(body);
        if (request.path == "/plantainpier/pace")
            return Response { 200, answerBase().dump() };
        if (request.path != "/plantainpier/hold")
            return Response { 404, "{}" };
        m_leaseUntil = std::max(
            m_leaseUntil, std::min(body.value("expires_ms", std::int64_t(0)), clockMs() + longestLeaseMs));
        m_acknowledged = std::max(m_acknowledged, body.value("acked_upto", std::int64_t(0)));
        while (!m_ends.empty() && m_ends.front().number <= m_acknowledged) {
            m_fleet.runs[m_ends.front().seen].isNoted = !m_ends.front().leaseLapsed;
            m_ends.pop_front();
        }
        const Clock::time_point until = Clock::now() + milliseconds(body.value("wait_ms", std::int64_t(0)));
        const std::int64_t life = m_born;
        m_changed.wait_until(
            lock, until, [this, life] { return !m_ends.empty() || !m_isUp || m_born != life; });
        if (!m_isUp || m_born != life)
            return Response {};
        m_lastListMs = nowMs();
        Json running = Json::array();
        for (const std::pair<const std::string, Run>& entry : m_runs)
            running.push_back({ entry.first, entry.second.run, "", 0, 500 });
        Json ended = Json::array();
        for (const End& end : m_ends) {
            if (ended.size() == 500)
                break;
            ended.push_back({ end.number, end.task, end.run, end.how, "" });
        }
        Json answer = answerBase();
        answer["running"] = std::move(running);
        answer["ended"] = std::move(ended);
        return Response { 200, answer.dump() };
    }
    Response startRun(const Json& body)
    {
        const std::string name = body.at("task").get<std::string>();
        const int number = body.at("run").get<int>();
        const std::int64_t until
            = std::min(body.value("expires_ms", std::int64_t(0)), clockMs() + longestLeaseMs);
        if (until <= clockMs())
            return refuse("late");
        m_leaseUntil = std::max(m_leaseUntil, until);
        const std::map<std::string, Run>::const_iterator it = m_runs.find(name);
        if (it != m_runs.end() && it->second.run == number)
            return Response { 200, answerBase().dump() };
        if (it != m_runs.end() || (m_ended.count(name) && number <= m_ended[name]))
            return refuse("old");
        Run run;
        run.task = parseTask(name);
        run.run = number;
        run.startedAt = Clock::now();
        const Json work = Json::parse(body.value("spec", std::string("[]")), nullptr, false);
        const Json step = work.is_array() && static_cast<std::size_t>(run.task.step) < work.size()
            ? work[static_cast<std::size_t>(run.task.step)]
            : Json::object();
        run.workMs = step.value("ms", std::int64_t(200));
        run.fails = step.value("fails", false);
        if (failsAll) {
            run.fails = true;
            run.workMs = std::min<std::int64_t>(run.workMs, 100);
        }
        run.gangSize = step.value("gang", 0);
        run.gang = name.substr(0, name.rfind('.'));
        if (run.gangSize == 0)
            run.endsAt = run.startedAt + milliseconds(run.workMs);
        run.seen = m_fleet.runs.size();
        m_fleet.runs.push_back(Fleet::RunSeen { m_options.id, name, number, nowMs(), -1, "", false });
        if (m_fleet.isVerbose)
            note("start " + name + " run " + std::to_string(number) + " on " + m_options.id);
        m_runs[name] = run;
        return Response { 200, answerBase().dump() };
    }
    Response stopRun(const Json& body)
    {
        const std::string name = body.at("task").get<std::string>();
        const int number = body.at("run").get<int>();
        m_ended[name] = std::max(m_ended[name], number);
        const std::map<std::string, Run>::iterator it = m_runs.find(name);
        if (it != m_runs.end() && it->second.run <= number && !it->second.stopping) {
            it->second.stopping = true;
            it->second.endsAt = Clock::now() + milliseconds(stopMs);
        }
        return Response { 200, answerBase().dump() };
    }
    void endRun(const std::string& name, const std::string& how)
    {
        const std::map<std::string, Run>::iterator it = m_runs.find(name);
        const Run run = it->second;
        m_runs.erase(it);
        m_ended[name] = std::max(m_ended[name], run.run);
        m_fleet.runs[run.seen].how = how;
        m_fleet.runs[run.seen].endedMs = nowMs();
        if (m_fleet.isVerbose)
            note("end " + name + " run " + std::to_string(run.run) + " on " + m_options.id + ": " + how);
        ++m_lastEnd;
        if (m_lastEnd > m_acknowledged)
            m_ends.push_back(End { m_lastEnd, name, run.run, how, run.seen, false });
        else
            m_fleet.runs[run.seen].isNoted = true;
        if (run.gangSize > 0 && how != "done" && how != "broken" && how != "alone")
            m_fleet.gangMemberEnded(run.gang, run.run, nullptr);
        m_changed.notify_all();
    }
    void expireLease()
    {
        if (clockMs() < m_leaseUntil)
            return;
        for (End& end : m_ends)
            end.leaseLapsed = true;
        while (!m_runs.empty())
            endRun(std::string(m_runs.begin()->first), "lapsed");
    }
    void processRuns()
    {
        const Clock::time_point now = Clock::now();
        std::vector<std::pair<std::string, std::string>> over;
        for (std::pair<const std::string, Run>& entry : m_runs) {
            Run& run = entry.second;
            if (!run.endsAt && m_fleet.gangMembersPresent(run.gang, run.run) == run.gangSize)
                run.endsAt = now + milliseconds(run.workMs);
            if (!run.endsAt && now - run.startedAt > milliseconds(gangTimeoutMs))
                over.emplace_back(entry.first, "alone");
            else if (run.endsAt && now >= *run.endsAt)
                over.emplace_back(entry.first, run.stopping ? "stopped" : run.fails ? "failed" : "done");
        }
        for (const std::pair<std::string, std::string>& end : over) {
            if (m_runs.count(end.first))
                endRun(end.first, end.second);
        }
    }
    void runBackground()
    {
        while (!m_stopping) {
            sleepMs(5);
            std::string announcement;
            {
                const std::lock_guard<std::recursive_mutex> guard(m_fleet.mutex);
                if (!m_isUp)
                    continue;
                expireLease();
                processRuns();
                if (nowMs() - m_announcedMs >= heartbeatMs) {
                    m_announcedMs = nowMs();
                    announcement = Json { { "service", m_options.service },
                        { "address", m_options.ip + ":" + std::to_string(m_options.port) },
                        { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
                        { "cold_remaining_ms", 0 }, { "born", m_born }, { "seq", ++m_sequence },
                        { "capacity", { { "cpu", m_options.cpu }, { "mem_mb", m_options.memoryMb }, { "gpu", 0 } } },
                        { "labels", { m_options.kind, m_options.rack } }, { "clock_ms", clockMs() } }
                                       .dump();
                }
            }
            if (!announcement.empty())
                std::thread([options = m_options, announcement] {
                    call(options.sideIp, options.sidePort, "PUT", "/plantainpier/instances/" + options.id, "side",
                        announcement, 1000);
                }).detach();
        }
    }

    Fleet& m_fleet;
    Options m_options;
    std::condition_variable_any m_changed;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::int64_t> m_lastListMs { 0 };
    bool m_isUp = false;
    std::int64_t m_born = 0;
    Clock::time_point m_startedAt;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_acknowledged = 0;
    std::int64_t m_announcedMs = -100'000;
    std::map<std::string, Run> m_runs;
    /// The highest run that was stopped or has ended, by task.
    std::map<std::string, int> m_ended;
    std::deque<End> m_ends;
    std::unique_ptr<Server> m_server;
    std::thread m_thread;
};

inline int Fleet::gangMembersPresent(const std::string& gang, int run)
{
    int count = 0;
    for (const std::shared_ptr<Executor>& executor : executors) {
        for (const std::pair<const std::string, Executor::Run>& entry : executor->m_runs)
            count += entry.second.gang == gang && entry.second.run == run && !entry.second.stopping ? 1 : 0;
    }
    return count;
}

inline void Fleet::gangMemberEnded(const std::string& gang, int run, const Executor* except)
{
    for (const std::shared_ptr<Executor>& executor : executors) {
        if (executor.get() == except)
            continue;
        std::vector<std::string> members;
        for (const std::pair<const std::string, Executor::Run>& entry : executor->m_runs) {
            if (entry.second.gang == gang && entry.second.run == run)
                members.push_back(entry.first);
        }
        for (const std::string& member : members)
            executor->endRun(member, "broken");
    }
}

/// One process of the project, started with the command of the deploy file.
class Node {
public:
    Node(std::string role, std::string ip, Json settings, std::string folder)
        : m_role(std::move(role))
        , m_ip(std::move(ip))
        , m_folder(std::move(folder))
    {
        m_settingsPath = m_folder + "/" + settings.at("id").get<std::string>() + ".json";
        m_logPath = m_folder + "/" + settings.at("id").get<std::string>() + ".log";
        std::ofstream(m_settingsPath) << settings.dump(2) << "\n";
    }
    ~Node() { kill(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    const std::string& ip() const { return m_ip; }
    const std::string& logPath() const { return m_logPath; }
    void start()
    {
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                std::_Exit(2);
            const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string variable = "PLANTAINPIER_SETTINGS=" + m_settingsPath;
            const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
            const char* arguments[]
                = { "target/platform/plantainpier-node", m_role.c_str(), "--metrics-port", "9464", nullptr };
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            std::_Exit(2);
        }
    }
    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    bool hasEnded()
    {
        return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid && (m_pid = -1, true);
    }

private:
    std::string m_role;
    std::string m_ip;
    std::string m_folder;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = -1;
};

/// A small deployment: a store, entries, and a side beside each executor.
class Deployment {
public:
    /// Kind and rack of an executor.
    struct Place {
        std::string kind;
        std::string rack;
    };
    struct Shape {
        int entries = 2;
        std::vector<Place> executors;
        double processorShare = 0.1;
    };

    explicit Deployment(const Shape& shape)
    {
        std::random_device random;
        m_net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        m_store = std::make_unique<Store>(m_net + "250", 8169);
        Json routes = Json::array();
        for (int n = 0; n < 2; ++n)
            routes.push_back({ { "name", "queue-" + std::to_string(n) }, { "hostname", "jobs.example" },
                { "path_prefix", "/queue" + std::to_string(n) + "/" }, { "service", "desk" }, { "priority", n },
                { "max_attempts", 4 }, { "stretch", 2.0 }, { "slo_ms", 1000 }, { "timeout_ms", 3000 } });
        m_store->put("keyed.op", "config",
            Json { { "version", 3 }, { "routes", routes },
                { "services", { { { "name", "desk" }, { "enforces_capacity", false } } } },
                { "limits", { { "max_body_bytes", 262144 } } } }
                .dump());
        for (int n = 0; n < shape.entries; ++n) {
            const std::string ip = m_net + std::to_string(1 + n);
            Json settings = common("entry-" + std::to_string(n), ip, shape.processorShare);
            settings["client_address"] = ip + ":8161";
            settings["health_address"] = ip + ":8167";
            entries.push_back(std::make_unique<Node>("entry", ip, settings, m_folder));
        }
        for (std::size_t n = 0; n < shape.executors.size(); ++n) {
            const std::string ip = m_net + std::to_string(100 + n);
            Json settings = common("side-" + std::to_string(n), ip, 0.15);
            settings["announce_address"] = ip + ":8166";
            settings["host_address"] = ip + ":8080";
            settings["service"] = "desk";
            sides.push_back(std::make_unique<Node>("side", ip, settings, m_folder));
            Executor::Options options;
            options.id = "i-000" + std::to_string(n);
            options.ip = ip;
            options.sideIp = ip;
            options.kind = shape.executors[n].kind;
            options.rack = shape.executors[n].rack;
            fleet.executors.push_back(std::make_shared<Executor>(fleet, options));
        }
    }
    ~Deployment()
    {
        entries.clear();
        sides.clear();
        for (const std::shared_ptr<Executor>& executor : fleet.executors)
            executor->crash();
        if (std::getenv("KEEP"))
            std::fprintf(stderr, "logs in %s\n", m_folder.c_str());
        else
            std::filesystem::remove_all(m_folder);
    }

    /// Starts everything and waits until an entry is ready and a job can be handed in. Returns false after 20 s.
    bool start()
    {
        for (const std::unique_ptr<Node>& side : sides)
            side->start();
        for (const std::unique_ptr<Node>& entry : entries)
            entry->start();
        for (const std::shared_ptr<Executor>& executor : fleet.executors)
            executor->start();
        for (const std::int64_t limit = nowMs() + 20'000; nowMs() < limit; sleepMs(100)) {
            const bool ready = std::all_of(entries.begin(), entries.end(), [](const std::unique_ptr<Node>& entry) {
                return call(entry->ip(), 8167, "GET", "/plantainpier/ready", "ready", "", 1000).status == 200;
            });
            if (ready) {
                // The sides find the owner, and the leases of an owner before it would have ended.
                sleepMs(10'000);
                note("all entries are ready");
                return true;
            }
        }
        note("the entries are not ready");
        return false;
    }

    /// A client's call; the entry is the next one by turns.
    Response request(const std::string& method, int queue, const std::string& id, const std::string& body = "")
    {
        const std::string path = "/queue" + std::to_string(queue) + "/" + id;
        const std::string ip = entries[m_turn++ % entries.size()]->ip();
        return call(ip, 8161, method, path, "jobs.example", body, 3000);
    }
    /// Hands a job in, at most five times, until it is accepted. Returns whether it was.
    bool submit(int queue, const std::string& id, const Json& steps, const Json& work)
    {
        const std::string body = Json { { "spec", work.dump() }, { "steps", steps } }.dump();
        for (int n = 0; n < 5; ++n) {
            const Response answer = request("POST", queue, id, body);
            note("POST " + id + " (" + std::to_string(body.size()) + " bytes): "
                + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
            if (answer.status == 200)
                return true;
            if (answer.status == 400 || answer.status == 404)
                return false;
            sleepMs(1000);
        }
        return false;
    }
    /// The state that a GET shows; "410", "503" or "none" without one.
    std::string state(int queue, const std::string& id)
    {
        const Response answer = request("GET", queue, id);
        const Json body = Json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object())
            return body.value("state", std::string("?"));
        return answer.status == 0 ? "none" : std::to_string(answer.status);
    }
    /// Waits until the job has the state; returns the last one seen.
    std::string await(int queue, const std::string& id, const std::string& wanted, std::int64_t limitMs)
    {
        std::string seen;
        for (const std::int64_t limit = nowMs() + limitMs; nowMs() < limit; sleepMs(200)) {
            const std::string now = state(queue, id);
            if (now != seen)
                note("GET " + id + ": " + now);
            seen = now;
            if (seen == wanted)
                break;
        }
        return seen;
    }

    Store& store() { return *m_store; }
    Fleet fleet;
    std::vector<std::unique_ptr<Node>> entries;
    std::vector<std::unique_ptr<Node>> sides;

private:
    Json common(const std::string& id, const std::string& ip, double share) const
    {
        // The fields of deploy/node.json.template, with the bounds of the site bdiq-riga.
        return Json { { "id", id }, { "zone", "zone-a" }, { "address", ip }, { "peer_port", 7720 },
            { "store_address", m_net + "250:8169" }, { "advice_address", "" }, { "machines_address", "" },
            { "processor_share", share }, { "longest_lease_ms", 10000 }, { "harm_ms", 4000 }, { "halt_ms", 900 },
            { "interference_record_s", 2 }, { "remote_factor", 1.5 }, { "locality_wait", "expected_cost" },
            { "filler_placement", "stay" }, { "admission", "off" }, { "overload_order", "least_slack" },
            { "status_memory_s", 120 }, { "shutdown_s", 6 } };
    }

    std::string m_net;
    std::string m_folder;
    std::unique_ptr<Store> m_store;
    std::size_t m_turn = 0;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace Stage
