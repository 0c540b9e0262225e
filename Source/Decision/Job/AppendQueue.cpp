#include "Decision/Job/AppendQueue.h"

#include <algorithm>

namespace Plantainpier {

AppendQueue::AppendQueue(const AppendLimits& limits)
    : m_limits(limits)
{
}

bool AppendQueue::add(const std::vector<LogRecord>& records)
{
    if (m_entries.size() + records.size() > m_limits.maximumQueuedRecords)
        return false;
    for (const LogRecord& record : records)
        m_entries.push_back(Entry { encodeRecord(record), State::Waiting, {} });
    return true;
}

std::optional<std::vector<std::string>> AppendQueue::nextBatch(Instant now)
{
    if (m_appendInFlight || now - m_lastAppendAt < m_limits.minimumInterval)
        return std::nullopt;
    std::vector<std::string> texts;
    for (Entry& entry : m_entries) {
        if (texts.size() == m_limits.maximumRecordsPerAppend)
            break;
        if (entry.state != State::Waiting)
            continue;
        entry.state = State::InFlight;
        texts.push_back(entry.text);
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
        std::erase_if(m_entries, [](const Entry& entry) { return entry.state == State::InFlight; });
        return;
    }
    for (Entry& entry : m_entries) {
        if (entry.state != State::InFlight)
            continue;
        entry.state = result == AppendResult::Refused ? State::Waiting : State::Uncertain;
        entry.resultAt = now;
    }
}

void AppendQueue::onRecordRead(const std::string& text)
{
    const auto hasThisText
        = [&text](const Entry& entry) { return entry.state == State::Uncertain && entry.text == text; };
    std::erase_if(m_entries, hasThisText);
}

void AppendQueue::onLogReadToEnd(Instant readBegan)
{
    for (Entry& entry : m_entries) {
        if (entry.state == State::Uncertain && readBegan - entry.resultAt >= m_limits.settleTime)
            entry.state = State::Waiting;
    }
}

} // namespace Plantainpier
