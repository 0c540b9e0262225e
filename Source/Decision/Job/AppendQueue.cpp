#include "Decision/Job/AppendQueue.h"

#include <algorithm>

namespace Plantainpier {

AppendQueue::AppendQueue(const AppendLimits& limits)
    : m_limits(limits)
{
}

bool AppendQueue::add(const std::vector<LogRecord>& records)
{
    if (m_records.size() + records.size() > m_limits.maximumQueuedRecords)
        return false;
    for (const LogRecord& record : records)
        m_records.push_back(QueuedRecord { encodeRecord(record), State::Waiting, {} });
    return true;
}

std::optional<std::vector<std::string>> AppendQueue::nextBatch(Instant now)
{
    if (m_appendInFlight || now - m_lastAppendAt < m_limits.minimumInterval)
        return std::nullopt;
    std::vector<std::string> texts;
    for (QueuedRecord& queued : m_records) {
        if (texts.size() == m_limits.maximumRecordsPerAppend)
            break;
        if (queued.state != State::Waiting)
            continue;
        queued.state = State::InFlight;
        texts.push_back(queued.text);
    }
    if (texts.empty())
        return std::nullopt;
    m_appendInFlight = true;
    m_lastAppendAt = now;
    ++m_appendCount;
    return texts;
}

void AppendQueue::onAppendResult(Instant now, AppendResult result)
{
    m_appendInFlight = false;
    m_lastAppendAt = now;
    if (result == AppendResult::Stored) {
        std::erase_if(m_records, [](const QueuedRecord& queued) { return queued.state == State::InFlight; });
        return;
    }
    for (QueuedRecord& queued : m_records) {
        if (queued.state != State::InFlight)
            continue;
        queued.state = result == AppendResult::Refused ? State::Waiting : State::Uncertain;
        queued.resultAt = now;
    }
}

void AppendQueue::onRecordRead(const std::string& text)
{
    const auto hasThisText
        = [&text](const QueuedRecord& queued) { return queued.state == State::Uncertain && queued.text == text; };
    std::erase_if(m_records, hasThisText);
}

void AppendQueue::onLogReadToEnd(Instant readBegan)
{
    for (QueuedRecord& queued : m_records) {
        if (queued.state == State::Uncertain && readBegan - queued.resultAt >= m_limits.settleTime)
            queued.state = State::Waiting;
    }
}

} // namespace Plantainpier
