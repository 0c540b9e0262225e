#include "Store.hh"

namespace Review {

namespace {

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

    std::string base64(const std::string& bytes)
    {
        static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t n = 0; n < bytes.size(); n += 3) {
            std::uint32_t value = 0;
            for (std::size_t m = 0; m < 3; ++m)
                value = value << 8 | (n + m < bytes.size() ? static_cast<unsigned char>(bytes[n + m]) : 0U);
            for (std::size_t m = 0; m < 4; ++m)
                text += n + m <= bytes.size() ? digits[value >> (18 - 6 * m) & 63] : '=';
        }
        return text;
    }

    std::string escape(const std::string& text)
    {
        std::string escaped;
        for (const char c : text) {
            if (c == '"' || c == '\\')
                escaped += '\\';
            escaped += c;
        }
        return escaped;
    }

    std::int64_t number(const std::string& text, std::int64_t missing)
    {
        return text.empty() ? missing : std::stoll(text);
    }

    Response conflict(const std::string& reason) { return Response { 409, "{\"reason\":\"" + reason + "\"}" }; }

} // namespace

Store::Store(const std::string& address, int port)
    : m_server(std::make_unique<Server>(address, port, [this](const Request& request) { return handle(request); }))
{
}

Store::~Store() { stop(); }

void Store::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void Store::add(Topic& topic, const std::string& record)
{
    const std::size_t keyLength = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, keyLength);
    const std::string value = record.substr(1 + keyLength);
    const std::int64_t offset = static_cast<std::int64_t>(topic.records.size());
    topic.records.push_back(record);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = { value, offset };
    m_largestStoredRecord = std::max<std::size_t>(m_largestStoredRecord, record.size());
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        add(m_topics[topic], static_cast<char>(key.size()) + key + value);
    }
    m_changed.notify_all();
}

std::string Store::newestValue(const std::string& topic, const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_topics[topic].newest.find(key);
    return it == m_topics[topic].newest.end() ? std::string() : it->second.first;
}

Response Store::handle(const Request& request)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    if (request.path == "/plantainpier/log-append")
        return append(request);
    if (request.path == "/plantainpier/log-read")
        return read(request);
    if (request.path == "/plantainpier/log-newest")
        return newest(request);
    return Response { 404, "{}" };
}

Response Store::append(const Request& request)
{
    std::vector<std::string> records;
    std::size_t largest = 0;
    std::size_t total = 0;
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        const std::size_t length = numberAt(request.body, at, 4);
        if (length == 0 || at + 4 + length > request.body.size())
            return Response { 400, "{\"reason\":\"body\"}" };
        records.push_back(request.body.substr(at + 4, length));
        largest = std::max(largest, length);
        total += length;
        at += 4 + length;
    }
    if (largest > recordBytes || total > callBytes) {
        ++m_refusedForSize;
        m_largestRefusedRecord = std::max<std::size_t>(m_largestRefusedRecord, largest);
        return Response { 413, "{\"reason\":\"size\"}" };
    }
    Response response;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        Topic& topic = m_topics[request.parameter("topic")];
        const std::int64_t end = static_cast<std::int64_t>(topic.records.size());
        Producer* producer = nullptr;
        const std::int64_t sequence = number(request.parameter("seq"), 0);
        if (!request.parameter("producer").empty()) {
            producer = &topic.producers[request.parameter("producer")];
            const std::int64_t epoch = number(request.parameter("epoch"), 0);
            if (epoch < producer->epoch)
                return conflict("fenced");
            if (epoch > producer->epoch) {
                producer->epoch = epoch;
                producer->sequence.reset();
                producer->answers.clear();
            }
            const auto repeated = producer->answers.find(sequence);
            if (!records.empty() && repeated != producer->answers.end())
                return repeated->second;
            if (!records.empty() && producer->sequence && sequence != *producer->sequence + 1)
                return conflict("seq");
        }
        const std::string at = request.parameter("at");
        if (!at.empty() && std::stoll(at) != end)
            return Response { 412, "{\"end\":" + std::to_string(end) + "}" };
        for (const std::string& record : records)
            add(topic, record);
        response.body = "{\"offset\":" + std::to_string(end) + ",\"end\":" + std::to_string(topic.records.size()) + "}";
        if (producer && !records.empty()) {
            producer->sequence = sequence;
            producer->answers[sequence] = response;
            if (producer->answers.size() > 5)
                producer->answers.erase(producer->answers.begin());
        }
    }
    m_changed.notify_all();
    return response;
}

Response Store::read(const Request& request)
{
    const std::string name = request.parameter("topic");
    const std::size_t from = static_cast<std::size_t>(number(request.parameter("from"), 0));
    const auto until
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(request.parameter("wait_ms"), 0));
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_until(lock, until, [&] { return m_stopping || m_topics[name].records.size() > from; });
    const Topic& topic = m_topics[name];
    Response response;
    response.body.clear();
    addNumber(response.body, topic.records.size(), 8);
    addNumber(response.body, 0, 8);
    for (std::size_t n = from; n < topic.records.size() && response.body.size() < 1'000'000; ++n) {
        addNumber(response.body, topic.records[n].size(), 4);
        response.body += topic.records[n];
    }
    return response;
}

Response Store::newest(const Request& request)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const Topic& topic = m_topics[request.parameter("topic")];
    std::string items;
    int count = 0;
    auto it = topic.newest.upper_bound(request.parameter("after"));
    for (; it != topic.newest.end() && count < 500 && items.size() < 1'000'000; ++it, ++count)
        items += (count > 0 ? "," : "") + std::string("{\"key\":\"") + escape(it->first) + "\",\"value\":\""
            + base64(it->second.first) + "\",\"offset\":" + std::to_string(it->second.second) + "}";
    return Response { 200,
        "{\"items\":[" + items + "],\"more\":" + (it == topic.newest.end() ? "false" : "true")
            + ",\"end\":" + std::to_string(topic.records.size()) + "}" };
}

} // namespace Review
