#include "Decision/Request/DispatchTable.h"

namespace Plantainpier {

namespace {

    /// Limit on the total size of kept answer bodies; the oldest bodies are dropped first.
    constexpr std::size_t maximumKeptBytes = 16U << 20;

} // namespace

Dispatch* DispatchTable::find(const std::string& dispatchId)
{
    std::unordered_map<std::string, Dispatch>::iterator it = m_dispatches.find(dispatchId);
    return it == m_dispatches.end() ? nullptr : &it->second;
}

Dispatch& DispatchTable::add(const std::string& dispatchId) { return m_dispatches[dispatchId]; }

void DispatchTable::close(const std::string& dispatchId, Instant keepUntil)
{
    Dispatch* dispatch = find(dispatchId);
    dispatch->body.clear();
    dispatch->body.shrink_to_fit();
    m_expiries.emplace(keepUntil, dispatchId);
    if (dispatch->answer.body.empty())
        return;
    m_keptBytes += dispatch->answer.body.size();
    m_idsWithBody.push_back(dispatchId);
    enforceByteLimit();
}

void DispatchTable::dropBody(Dispatch& dispatch)
{
    m_keptBytes -= dispatch.answer.body.size();
    dispatch.answer.body.clear();
    dispatch.answer.body.shrink_to_fit();
}

void DispatchTable::enforceByteLimit()
{
    while (!m_idsWithBody.empty()) {
        Dispatch* oldest = find(m_idsWithBody.front());
        if (oldest && m_keptBytes <= maximumKeptBytes)
            return;
        if (oldest) {
            dropBody(*oldest);
            oldest->state = DispatchState::AnswerDropped;
        }
        m_idsWithBody.pop_front();
    }
}

void DispatchTable::removeExpired(Instant now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        Dispatch* dispatch = find(m_expiries.begin()->second);
        if (dispatch) {
            dropBody(*dispatch);
            m_dispatches.erase(m_expiries.begin()->second);
        }
        m_expiries.erase(m_expiries.begin());
    }
    enforceByteLimit();
}

} // namespace Plantainpier
