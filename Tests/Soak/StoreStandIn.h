/// Simulates the platform's store: keyed topics with one partition, conditional appends, producers with epochs,
/// long-polling reads, and the ways in which the real store fails. Used by the soak and by NodeDrainTest, in the
/// process of the test.
#pragma once

#include "Base/Json.h"
#include "Support/KeepAliveServer.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace Plantainpier {

/// How the store serves calls.
enum class StoreBehaviour {
    Normal,
    /// No call is answered, and no call has an effect.
    Silent,
    /// Every call is rejected with status 503.
    Busy,
    /// Some appends get no answer: half of those are stored at once, the others seconds later.
    LosesAnswers,
};

/// The store's state lasts as long as the object.
class StoreStandIn {
public:
    static Result<std::unique_ptr<StoreStandIn>> create(int port, unsigned seed);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn&) = delete;
    StoreStandIn& operator=(const StoreStandIn&) = delete;

    /// Owner claims are stored with their port raised by this offset, which leads followers to a relay before the
    /// owner. Set before any process connects.
    void setOwnerPortOffset(int offset) { m_ownerPortOffset = offset; }
    void setBehaviour(StoreBehaviour behaviour);
    /// Drops all history except the newest record of each key; waiting reads are never answered.
    void compact();
    /// Appends a record as the platform's operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// The value of the newest record of a topic; empty if the topic has none.
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
        /// The newest sequence number; unset at the start of an epoch, which may begin with any number.
        std::optional<std::int64_t> number;
        /// The newest answers by sequence number, returned again for repeated appends.
        std::map<std::int64_t, Answer> answers;
    };
    struct Topic {
        std::int64_t first = 0;
        std::vector<Record> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };
    struct WaitingRead {
        std::shared_ptr<HttpCall> call;
        std::string topic;
        std::int64_t from = 0;
        std::chrono::steady_clock::time_point until;
    };
    struct DelayedAppend {
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
    void addRecords(Topic& topic, const std::string& body) const;
    void redirectOwnerClaim(Record& record) const;
    void answerRead(const WaitingRead& read);
    void answerDueReads();
    void runBackgroundLoop();

    std::mutex m_mutex;
    std::mt19937 m_random;
    StoreBehaviour m_behaviour = StoreBehaviour::Normal;
    int m_ownerPortOffset = 0;
    std::map<std::string, Topic> m_topics;
    std::vector<WaitingRead> m_waitingReads;
    std::vector<DelayedAppend> m_delayedAppends;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_backgroundThread;
    std::unique_ptr<KeepAliveServer> m_server;
};

} // namespace Plantainpier
