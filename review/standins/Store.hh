/// Stand-in for the platform's store: keyed topics with one partition, conditional appends, producers with epochs,
/// waiting reads, and the limits on the size of a record and of a call. It is always up and loses nothing.
#pragma once

#include "Http.hh"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Review {

class Store {
public:
    Store(const std::string& address, int port);
    ~Store();
    /// Appends a record as the operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    std::string newestValue(const std::string& topic, const std::string& key);
    /// Appends that were refused because a record or the call was too large, and the largest record among them.
    int refusedForSize() const { return m_refusedForSize; }
    std::size_t largestRefusedRecord() const { return m_largestRefusedRecord; }
    std::size_t largestStoredRecord() const { return m_largestStoredRecord; }
    void stop();

    static constexpr std::size_t recordBytes = 262'144;
    static constexpr std::size_t callBytes = 2'097'152;

private:
    struct Producer {
        std::int64_t epoch = -1;
        std::optional<std::int64_t> sequence;
        std::map<std::int64_t, Response> answers;
    };
    struct Topic {
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;
    };
    Response handle(const Request& request);
    Response append(const Request& request);
    Response read(const Request& request);
    Response newest(const Request& request);
    void add(Topic& topic, const std::string& record);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::atomic<int> m_refusedForSize { 0 };
    std::atomic<std::size_t> m_largestRefusedRecord { 0 };
    std::atomic<std::size_t> m_largestStoredRecord { 0 };
    bool m_stopping = false;
    std::unique_ptr<Server> m_server;
};

} // namespace Review
