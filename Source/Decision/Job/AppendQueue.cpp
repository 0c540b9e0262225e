#include "Decision/Job/AppendQueue.h"

#include <algorithm>

namespace Plantainpier {

AppendQueue::AppendQueue(const AppendLimits& limits)
    : m_limits(limits)
{
}

bool AppendQueue::add(const std::vector<LogRecord>& records)
{
    if (m_entries.size() + records.size() > m_limits.waitingRecords)
        return false;
    for (const LogRecord& record : records)
        m_entries.push_back(Entry { encodeRecord(record), State::Waiting, {} });
    return true;
}

std::optional<std::vector<std::string>> AppendQueue::nextBatch(Instant now)
{
    if (m_underWay || now - m_lastAppend < m_limits.interval)
        return std::nullopt;
    std::vector<std::string> texts;
    for (Entry& entry : m_entries) {
        if (texts.size() == m_limits.recordsPerAppend)
            break;
        if (entry.state != State::Waiting)
            continue;
        entry.state = State::UnderWay;
        texts.push_back(entry.text);
    }
    if (texts.empty())
        return std::nullopt;
    m_underWay = true;
    m_lastAppend = now;
    ++m_appends;
    return texts;
}

void AppendQueue::onResult(Instant now, AppendResult result)
{
    m_underWay = false;
    m_lastAppend = now;
    if (result == AppendResult::Stored) {
        std::erase_if(m_entries, [](const Entry& entry) { return entry.state == State::UnderWay; });
        return;
    }
    for (Entry& entry : m_entries) {
        if (entry.state != State::UnderWay)
            continue;
        entry.state = result == AppendResult::Refused ? State::Waiting : State::Uncertain;
        entry.since = now;
    }
}

void AppendQueue::onRead(const std::string& text)
{
    const auto isThis = [&text](const Entry& entry) { return entry.state == State::Uncertain && entry.text == text; };
    std::erase_if(m_entries, isThis);
}

void AppendQueue::onReadToEnd(Instant readBegan)
{
    for (Entry& entry : m_entries) {
        if (entry.state == State::Uncertain && readBegan - entry.since >= m_limits.settle)
            entry.state = State::Waiting;
    }
}

} // namespace Plantainpier
