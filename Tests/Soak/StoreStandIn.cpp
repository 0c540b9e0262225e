#include "Soak/StoreStandIn.h"

#include "Decision/Process/OwnerRecords.h"
#include "Wire/Codec.h"

#include <sodium.h>

namespace Plantainpier {

namespace {

    using Guard = std::lock_guard<std::mutex>;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds backgroundInterval(5);
    constexpr std::size_t maximumRememberedAnswers = 5;
    constexpr std::size_t newestPageSize = 500;

    std::int64_t integerParameter(const std::string& query, const std::string& key, std::int64_t defaultValue)
    {
        const std::string text = queryValue(query, key);
        return text.empty() ? defaultValue : std::stoll(text);
    }

    std::uint64_t numberAt(const std::string& bytes, std::size_t at, std::size_t size)
    {
        std::uint64_t number = 0;
        for (std::size_t n = 0; n < size; ++n)
            number = number << 8 | static_cast<unsigned char>(bytes[at + n]);
        return number;
    }

    void addNumber(std::string& bytes, std::uint64_t number, int size)
    {
        for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            bytes += static_cast<char>((number >> shift) & 0xff);
    }

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
        sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
            sodium_base64_VARIANT_ORIGINAL);
        text.resize(text.size() - 1);
        return text;
    }

} // namespace

StoreStandIn::StoreStandIn(unsigned seed)
    : m_random(seed)
{
    m_backgroundThread = std::thread([this] { runBackgroundLoop(); });
}

Result<std::unique_ptr<StoreStandIn>> StoreStandIn::create(int port, unsigned seed)
{
    std::unique_ptr<StoreStandIn> store(new StoreStandIn(seed));
    Result<std::unique_ptr<KeepAliveServer>> server = KeepAliveServer::create(
        port, [raw = store.get()](const std::shared_ptr<HttpCall>& call) { raw->onCall(call); });
    if (!isOk(server))
        return errorOf(server);
    store->m_server = takeValue(std::move(server));
    return store;
}

StoreStandIn::~StoreStandIn()
{
    {
        const Guard guard(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_backgroundThread.join();
    if (m_server)
        m_server->stop();
}

void StoreStandIn::setBehaviour(StoreBehaviour behaviour)
{
    const Guard guard(m_mutex);
    m_behaviour = behaviour;
}

void StoreStandIn::compact()
{
    const Guard guard(m_mutex);
    for (std::pair<const std::string, Topic>& entry : m_topics) {
        entry.second.first = entry.second.end();
        entry.second.records.clear();
    }
    m_waitingReads.clear();
}

void StoreStandIn::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::string body;
    addNumber(body, 1 + key.size() + value.size(), 4);
    addNumber(body, key.size(), 1);
    const Guard guard(m_mutex);
    addRecords(m_topics[topic], body + key + value);
    answerDueReads();
}

std::string StoreStandIn::newestValue(const std::string& topic)
{
    const Guard guard(m_mutex);
    std::pair<std::string, std::int64_t> newest { {}, -1 };
    for (const std::pair<const std::string, std::pair<std::string, std::int64_t>>& entry : m_topics[topic].newest) {
        if (entry.second.second > newest.second)
            newest = entry.second;
    }
    return newest.first;
}

void StoreStandIn::onCall(const std::shared_ptr<HttpCall>& call)
{
    const Guard guard(m_mutex);
    if (m_behaviour == StoreBehaviour::Silent)
        return;
    if (m_behaviour == StoreBehaviour::Busy) {
        call->reply(503, "{}");
        return;
    }
    if (call->path == "/plantainpier/log-append") {
        onAppend(call);
    } else if (call->path == "/plantainpier/log-read") {
        onRead(call);
    } else if (call->path == "/plantainpier/log-newest") {
        const Answer answer = newest(call->query);
        call->reply(answer.status, answer.body);
    } else {
        call->reply(404, "{}");
    }
}

void StoreStandIn::onAppend(const std::shared_ptr<HttpCall>& call)
{
    const unsigned percent = m_random() % 100;
    if (m_behaviour == StoreBehaviour::LosesAnswers && percent < 30) {
        // Half of the unanswered appends are executed at once, the other half seconds later if their condition still
        // holds then.
        if (percent < 15)
            append(call->query, call->body);
        else
            m_delayedAppends.push_back(DelayedAppend {
                call->query, call->body, SteadyClock::now() + std::chrono::milliseconds(500 + m_random() % 2500) });
        return;
    }
    const Answer answer = append(call->query, call->body);
    call->reply(answer.status, answer.body);
}

StoreStandIn::Answer StoreStandIn::conflict(const char* reason)
{
    return Answer { 409, Json { { "reason", reason } }.dump() };
}

StoreStandIn::Answer StoreStandIn::append(const std::string& query, const std::string& body)
{
    Topic& topic = m_topics[queryValue(query, "topic")];
    const std::string name = queryValue(query, "producer");
    const std::int64_t epoch = integerParameter(query, "epoch", -1);
    const std::int64_t number = integerParameter(query, "seq", 0);
    Producer* producer = name.empty() ? nullptr : &topic.producers[name];
    if (producer) {
        if (epoch < producer->epoch)
            return conflict("fenced");
        if (epoch > producer->epoch) {
            producer->epoch = epoch;
            producer->number.reset();
            producer->answers.clear();
        }
        if (body.empty())
            return Answer { 200, Json { { "offset", topic.end() }, { "end", topic.end() } }.dump() };
        std::map<std::int64_t, Answer>::const_iterator it = producer->answers.find(number);
        if (it != producer->answers.end())
            return it->second;
        if (producer->number && number != *producer->number + 1)
            return conflict("seq");
    }
    const std::int64_t expected = integerParameter(query, "at", -1);
    if (expected >= 0 && expected != topic.end())
        return Answer { 412, Json { { "end", topic.end() } }.dump() };
    const std::int64_t offset = topic.end();
    addRecords(topic, body);
    Answer answer { 200, Json { { "offset", offset }, { "end", topic.end() } }.dump() };
    if (producer) {
        producer->number = number;
        producer->answers[number] = answer;
        if (producer->answers.size() > maximumRememberedAnswers)
            producer->answers.erase(producer->answers.begin());
    }
    answerDueReads();
    return answer;
}

void StoreStandIn::addRecords(Topic& topic, const std::string& body) const
{
    for (std::size_t at = 0; at + 4 < body.size();) {
        const std::size_t length = numberAt(body, at, 4);
        at += 4;
        const std::size_t keyLength = static_cast<unsigned char>(body[at]);
        Record record { body.substr(at + 1, keyLength), body.substr(at + 1 + keyLength, length - 1 - keyLength) };
        at += length;
        redirectOwnerClaim(record);
        if (record.value.empty())
            topic.newest.erase(record.key);
        else
            topic.newest[record.key] = { record.value, topic.end() };
        topic.records.push_back(std::move(record));
    }
}

void StoreStandIn::redirectOwnerClaim(Record& record) const
{
    if (m_ownerPortOffset == 0 || record.key != OwnerRecords::claimKey)
        return;
    std::optional<Wire::OwnerClaim> claim = Wire::decode<Wire::OwnerClaim>(record.value);
    if (!claim)
        return;
    claim->port += m_ownerPortOffset;
    record.value = Wire::encode(*claim);
}

void StoreStandIn::onRead(const std::shared_ptr<HttpCall>& call)
{
    WaitingRead read { call, queryValue(call->query, "topic"), integerParameter(call->query, "from", 0), {} };
    read.until = SteadyClock::now() + std::chrono::milliseconds(integerParameter(call->query, "wait_ms", 0));
    const Topic& topic = m_topics[read.topic];
    if (read.from < topic.first) {
        call->reply(410, Json { { "first", topic.first } }.dump());
        return;
    }
    m_waitingReads.push_back(std::move(read));
    answerDueReads();
}

void StoreStandIn::answerRead(const WaitingRead& read)
{
    const Topic& topic = m_topics[read.topic];
    std::string body;
    addNumber(body, static_cast<std::uint64_t>(topic.end()), 8);
    addNumber(body, static_cast<std::uint64_t>(topic.first), 8);
    for (std::int64_t offset = std::max(read.from, topic.first); offset < topic.end(); ++offset) {
        const Record& record = topic.records[static_cast<std::size_t>(offset - topic.first)];
        addNumber(body, 1 + record.key.size() + record.value.size(), 4);
        addNumber(body, record.key.size(), 1);
        body += record.key + record.value;
    }
    read.call->reply(200, body);
}

void StoreStandIn::answerDueReads()
{
    std::vector<WaitingRead> stillWaiting;
    for (WaitingRead& read : m_waitingReads) {
        if (read.from < m_topics[read.topic].end() || SteadyClock::now() >= read.until)
            answerRead(read);
        else
            stillWaiting.push_back(std::move(read));
    }
    m_waitingReads = std::move(stillWaiting);
}

StoreStandIn::Answer StoreStandIn::newest(const std::string& query)
{
    const Topic& topic = m_topics[queryValue(query, "topic")];
    // The client escapes a slash in a key as %2F.
    std::string after = queryValue(query, "after");
    for (std::size_t at = after.find("%2F"); at != std::string::npos; at = after.find("%2F", at))
        after.replace(at, 3, "/");
    Json items = Json::array();
    std::map<std::string, std::pair<std::string, std::int64_t>>::const_iterator it = topic.newest.upper_bound(after);
    for (; it != topic.newest.end() && items.size() < newestPageSize; ++it)
        items.push_back(
            { { "key", it->first }, { "value", encodeBase64(it->second.first) }, { "offset", it->second.second } });
    return Answer { 200,
        Json { { "items", items }, { "more", it != topic.newest.end() }, { "end", topic.end() } }.dump() };
}

void StoreStandIn::runBackgroundLoop()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, backgroundInterval);
        const SteadyClock::time_point now = SteadyClock::now();
        std::vector<DelayedAppend> due;
        for (std::vector<DelayedAppend>::iterator it = m_delayedAppends.begin(); it != m_delayedAppends.end();) {
            if (it->at > now) {
                ++it;
                continue;
            }
            due.push_back(std::move(*it));
            it = m_delayedAppends.erase(it);
        }
        for (const DelayedAppend& delayed : due)
            append(delayed.query, delayed.body);
        answerDueReads();
    }
}

} // namespace Plantainpier
