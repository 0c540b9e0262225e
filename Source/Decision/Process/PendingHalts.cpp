#include "Decision/Process/PendingHalts.h"

namespace Plantainpier {

Wire::OrderResult PendingHalts::makeResult(
    const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason)
{
    Wire::OrderResult result;
    result.task = task;
    result.run = run;
    result.outcome = outcome;
    result.reason = reason;
    return result;
}

void PendingHalts::setDue(const RunKey& key, Halt& halt, std::optional<Instant> dueAt)
{
    if (halt.dueAt)
        dueHalts(halt.origin).erase({ *halt.dueAt, key });
    halt.dueAt = dueAt;
    if (halt.dueAt)
        dueHalts(halt.origin).emplace(*halt.dueAt, key);
}

void PendingHalts::add(Instant now, HaltOrigin origin, const Wire::TaskName& task, int run, const std::string& reason)
{
    const RunKey key = runKey(task, run);
    Halt& halt = m_halts[key];
    setDue(key, halt, std::nullopt);
    halt.order.task = task;
    halt.order.run = run;
    halt.origin = origin;
    halt.reason = reason;
    halt.doneAt.reset();
    setDue(key, halt, now);
}

std::optional<Wire::HaltOrder> PendingHalts::takeDue(Instant now, HaltOrigin origin)
{
    const DueHalts& due = dueHalts(origin);
    if (due.empty() || now < due.begin()->first)
        return std::nullopt;
    const RunKey key = due.begin()->second;
    Halt& halt = m_halts.at(key);
    setDue(key, halt, std::nullopt);
    return halt.order;
}

bool PendingHalts::onAnswer(Instant now, const Wire::HaltOrder& order, bool isDone)
{
    const RunKey key = runKey(order.task, order.run);
    const std::map<RunKey, Halt>::iterator it = m_halts.find(key);
    if (it == m_halts.end())
        return false;
    if (isDone)
        it->second.doneAt = now;
    setDue(key, it->second, isDone ? std::nullopt : std::optional<Instant>(now + m_retryDelay));
    return true;
}

std::vector<Wire::OrderResult> PendingHalts::resolve(const HostResponse& list, Instant listSentAt)
{
    std::vector<Wire::OrderResult> results;
    if (m_halts.empty())
        return results;
    std::set<RunKey> running;
    for (const Wire::RunningTask& row : list.running)
        running.insert(runKey(row.task, row.run));
    std::set<RunKey> ended;
    for (const Wire::EndedTask& row : list.ended)
        ended.insert(runKey(row.task, row.run));
    for (std::map<RunKey, Halt>::iterator it = m_halts.begin(); it != m_halts.end();) {
        const Halt& halt = it->second;
        const bool isEnded = ended.contains(it->first);
        // Only a complete list that was sent after the host accepted the halt shows that the run is absent.
        const bool isComplete = isEnded || !list.isIncomplete;
        const bool isConclusive = halt.doneAt && *halt.doneAt <= listSentAt && isComplete;
        if (!isConclusive || running.contains(it->first)) {
            ++it;
            continue;
        }
        if (!isEnded)
            results.push_back(makeResult(halt.order.task, halt.order.run, Wire::OrderOutcome::Absent, halt.reason));
        it = m_halts.erase(it);
    }
    return results;
}

void PendingHalts::dropUnsent(HaltOrigin origin)
{
    for (const std::pair<Instant, RunKey>& entry : dueHalts(origin))
        m_halts.erase(entry.second);
    dueHalts(origin).clear();
}

void PendingHalts::clear()
{
    m_halts.clear();
    m_dueOfOwner.clear();
    m_dueOfSide.clear();
}

} // namespace Plantainpier
