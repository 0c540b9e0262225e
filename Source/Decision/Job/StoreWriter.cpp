#include "Decision/Job/StoreWriter.h"

namespace Plantainpier {

StoreWriter::StoreWriter(StoreTopic topic, std::int64_t epoch, StoreWriterTiming timing)
    : m_topic(topic)
    , m_epoch(epoch)
    , m_timing(timing)
{
}

std::uint64_t StoreWriter::enqueue(Instant now, StoreRecord record, Urgency urgency)
{
    m_queue.push_back(QueuedRecord { ++m_lastSequenceNumber, now, urgency, std::move(record) });
    return m_lastSequenceNumber;
}

std::optional<AppendToStore> StoreWriter::nextAppend(Instant now)
{
    if (m_inFlight || now < m_retryNotBefore)
        return std::nullopt;
    if (m_batch.empty()) {
        if (m_queue.empty() || now - m_lastSentAt < m_timing.minimumInterval)
            return std::nullopt;
        bool due = now - m_queue.front().queuedAt >= m_timing.maximumLazyDelay;
        for (const QueuedRecord& entry : m_queue)
            due = due || entry.urgency == Urgency::Immediate;
        if (!due)
            return std::nullopt;
        std::size_t bytes = 0;
        while (!m_queue.empty() && bytes < m_timing.maximumBatchBytes) {
            QueuedRecord& entry = m_queue.front();
            bytes += entry.record.key.size() + entry.record.value.size();
            m_batchSequenceNumber = entry.sequenceNumber;
            m_batch.push_back(std::move(entry.record));
            m_queue.pop_front();
        }
        ++m_appendNumber;
        m_batchCreatedAt = now;
    }
    m_inFlight = true;
    m_lastSentAt = now;
    AppendToStore append;
    append.topic = m_topic;
    append.records = m_batch;
    append.epoch = m_epoch;
    append.appendNumber = m_appendNumber;
    append.timeout = m_timing.timeout;
    return append;
}

bool StoreWriter::onResponse(Instant now, const AppendResponse& response)
{
    m_inFlight = false;
    switch (response.outcome) {
    case AppendOutcome::Stored:
        m_lastConfirmedSentAt = m_lastSentAt;
        m_storedSequenceNumber = m_batchSequenceNumber;
        m_batch.clear();
        return true;
    case AppendOutcome::Fenced:
    case AppendOutcome::EndMismatch:
        return false;
    case AppendOutcome::Rejected:
    case AppendOutcome::Uncertain:
        m_retryNotBefore = now + m_timing.retryDelay;
        return true;
    }
    return true;
}

Duration StoreWriter::stalledFor(Instant now) const
{
    return m_batch.empty() ? Duration::zero() : now - m_batchCreatedAt;
}

} // namespace Plantainpier
