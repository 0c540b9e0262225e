/// A stand-in for the platform's store: keyed topics with one partition, conditions, producers with epochs, reads that
/// wait, and the ways in which the real one fails. Used by the soak, in its own process.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpServer.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace Plantainpier {

/// How calls are served now.
enum class StoreMood {
    Well,
    /// No call is answered, and none has an effect.
    Silent,
    /// Every call is turned away.
    Busy,
    /// Some appends are stored without an answer, some are stored seconds later.
    LosesAnswers,
};

/// Lives for one run of the soak.
class StoreStandIn {
public:
    static Result<std::unique_ptr<StoreStandIn>> create(int port, unsigned seed);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn&) = delete;
    StoreStandIn& operator=(const StoreStandIn&) = delete;

    void setMood(StoreMood mood);
    /// Drops all history but the newest record of each key; reads that wait are never answered.
    void compact();
    /// What the operator writes.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// The newest record of a topic; empty when there is none.
    std::string newestValue(const std::string& topic);

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Answer {
        int status = 0;
        std::string body;
    };
    struct Producer {
        std::int64_t epoch = -1;
        /// The newest number; none yet in this epoch, which may begin with any.
        std::optional<std::int64_t> number;
        /// The newest answers by number, for repeats.
        std::map<std::int64_t, Answer> answers;
    };
    struct Topic {
        std::int64_t first = 0;
        std::vector<Record> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };
    struct Waiting {
        std::shared_ptr<HttpCall> call;
        std::string topic;
        std::int64_t from = 0;
        std::chrono::steady_clock::time_point until;
    };
    struct Delayed {
        std::string query;
        std::string body;
        std::chrono::steady_clock::time_point at;
    };

    explicit StoreStandIn(unsigned seed);
    void onCall(const std::shared_ptr<HttpCall>& call);
    void onAppend(const std::shared_ptr<HttpCall>& call);
    void onRead(const std::shared_ptr<HttpCall>& call);
    Answer newest(const std::string& query);
    Answer append(const std::string& query, const std::string& body);
    static Answer conflict(const char* reason);
    static void addRecords(Topic& topic, const std::string& body);
    void answerRead(const Waiting& waiting);
    void wake();
    void tend();

    std::mutex m_mutex;
    std::mt19937 m_random;
    StoreMood m_mood = StoreMood::Well;
    std::map<std::string, Topic> m_topics;
    std::vector<Waiting> m_waiting;
    std::vector<Delayed> m_delayed;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_tender;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Plantainpier
