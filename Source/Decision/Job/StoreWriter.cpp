#include "Decision/Job/StoreWriter.h"

namespace Plantainpier {

StoreWriter::StoreWriter(StoreTopic topic, std::int64_t epoch, StoreWriterTiming timing)
    : m_topic(topic)
    , m_epoch(epoch)
    , m_timing(timing)
{
}

std::uint64_t StoreWriter::add(Instant now, StoreRecord record, Urgency urgency)
{
    m_waiting.push_back(Entry { ++m_lastTicket, now, urgency, std::move(record) });
    return m_lastTicket;
}

std::optional<AppendToStore> StoreWriter::next(Instant now)
{
    if (m_inFlight || now < m_notBefore)
        return std::nullopt;
    if (m_batch.empty()) {
        if (m_waiting.empty() || now - m_lastSent < m_timing.interval)
            return std::nullopt;
        bool due = now - m_waiting.front().added >= m_timing.lazyInterval;
        for (const Entry& entry : m_waiting)
            due = due || entry.urgency == Urgency::Waited;
        if (!due)
            return std::nullopt;
        std::size_t bytes = 0;
        while (!m_waiting.empty() && bytes < m_timing.batchBytes) {
            Entry& entry = m_waiting.front();
            bytes += entry.record.key.size() + entry.record.value.size();
            m_batchTicket = entry.ticket;
            m_batch.push_back(std::move(entry.record));
            m_waiting.pop_front();
        }
        ++m_number;
        m_batchSince = now;
    }
    m_inFlight = true;
    m_lastSent = now;
    AppendToStore append;
    append.topic = m_topic;
    append.records = m_batch;
    append.epoch = m_epoch;
    append.number = m_number;
    append.timeout = m_timing.timeout;
    return append;
}

bool StoreWriter::onResponse(Instant now, const AppendResponse& response)
{
    m_inFlight = false;
    switch (response.outcome) {
    case AppendOutcome::Stored:
        m_lastConfirmed = m_lastSent;
        m_storedTicket = m_batchTicket;
        m_batch.clear();
        return true;
    case AppendOutcome::Fenced:
    case AppendOutcome::WrongEnd:
        return false;
    case AppendOutcome::TurnedAway:
    case AppendOutcome::Uncertain:
        m_notBefore = now + m_timing.pause;
        return true;
    }
    return true;
}

Duration StoreWriter::stalledFor(Instant now) const { return m_batch.empty() ? Duration::zero() : now - m_batchSince; }

} // namespace Plantainpier
