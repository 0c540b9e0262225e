#include "Decision/Request/AdmissionQueue.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// The newest service time enters the exponentially weighted average with weight 1/n.
    constexpr int serviceTimeSmoothing = 16;
    /// Limit on the slot grants that a class can accumulate through its guaranteed share.
    constexpr double maximumCredit = 2;
    constexpr Duration minimumRetryAfter = milliseconds(10);

} // namespace

void AdmissionQueue::setBundle(std::shared_ptr<const Bundle> bundle)
{
    m_bundle = std::move(bundle);
    m_classes.resize(std::max(m_classes.size(), m_bundle->classes().size()));
}

AdmissionQueue::ClassState& AdmissionQueue::classState(int classIndex)
{
    return m_classes[static_cast<std::size_t>(classIndex)];
}

const RequestClass& AdmissionQueue::classRules(int classIndex) const
{
    // A class that was removed by a newer bundle may still have queued requests from the older one.
    const std::size_t last = m_bundle->classes().size() - 1;
    return m_bundle->classes()[std::min(static_cast<std::size_t>(classIndex), last)];
}

int AdmissionQueue::waitingCount() const
{
    int total = 0;
    for (const ClassState& state : m_classes)
        total += static_cast<int>(state.queue.size());
    return total;
}

Duration AdmissionQueue::expectedWait(int classIndex) const
{
    if (m_slots == 0)
        return Duration::zero();
    if (m_running < m_slots)
        return Duration::zero();
    std::int64_t requestsAhead = 1;
    for (std::size_t n = 0; n < m_classes.size(); ++n) {
        const bool hasPrecedence = classRules(static_cast<int>(n)).priority <= classRules(classIndex).priority;
        requestsAhead += hasPrecedence ? static_cast<std::int64_t>(m_classes[n].queue.size()) : 0;
    }
    const Duration byPriority = m_serviceTime * requestsAhead / m_slots;
    const int share = classRules(classIndex).guaranteedPercent;
    if (share == 0)
        return byPriority;
    const std::int64_t requestsOfClass
        = static_cast<std::int64_t>(m_classes[static_cast<std::size_t>(classIndex)].queue.size()) + 1;
    const Duration byShare = m_serviceTime * requestsOfClass * 100 / (static_cast<std::int64_t>(m_slots) * share);
    return std::min(byPriority, byShare);
}

bool AdmissionQueue::missesDeadline(Instant now, Instant deadline) const
{
    // An idle target is assumed to answer at once. Otherwise an outdated service time could cause every request to be
    // refused, and no new service time would ever be measured.
    const Duration needed = m_running == 0 ? Duration::zero() : m_serviceTime;
    return now + needed >= deadline;
}

AdmissionDecision AdmissionQueue::offer(Instant now, const std::string& dispatchId, int classIndex, Instant deadline)
{
    const Duration wait = expectedWait(classIndex);
    const Duration retryAfter = std::max(minimumRetryAfter, wait);
    if (missesDeadline(now + wait, deadline))
        return { AdmissionDecision::Kind::Refuse, ErrorCode::DeadlineTooShort, retryAfter };
    ClassState& state = classState(classIndex);
    if (m_running < m_slots && waitingCount() == 0) {
        ++m_running;
        ++state.running;
        return { AdmissionDecision::Kind::Start, ErrorCode::Ok, {} };
    }
    if (static_cast<int>(state.queue.size()) >= classRules(classIndex).queueLimit)
        return { AdmissionDecision::Kind::Refuse, ErrorCode::ShareExhausted, retryAfter };
    state.queue.push_back(QueuedRequest { dispatchId, deadline });
    return { AdmissionDecision::Kind::Wait, ErrorCode::Ok, wait };
}

void AdmissionQueue::onFinished(int classIndex, Duration service)
{
    onAborted(classIndex);
    if (m_serviceTime == Duration::zero())
        m_serviceTime = service;
    else
        m_serviceTime += (service - m_serviceTime) / serviceTimeSmoothing;
}

void AdmissionQueue::onAborted(int classIndex)
{
    --m_running;
    --classState(classIndex).running;
}

int AdmissionQueue::selectClass()
{
    int byCredit = -1;
    int byPriority = -1;
    for (int n = 0; n < static_cast<int>(m_classes.size()); ++n) {
        ClassState& state = classState(n);
        if (state.queue.empty()) {
            state.credit = 0;
            continue;
        }
        state.credit = std::min(maximumCredit, state.credit + classRules(n).guaranteedPercent / 100.0);
        if (state.credit >= 1 && (byCredit < 0 || classRules(n).priority < classRules(byCredit).priority))
            byCredit = n;
        if (byPriority < 0 || classRules(n).priority < classRules(byPriority).priority)
            byPriority = n;
    }
    const int selected = byCredit >= 0 ? byCredit : byPriority;
    if (byCredit >= 0)
        classState(selected).credit -= 1;
    return selected;
}

void AdmissionQueue::rejectLate(Instant now, std::vector<DequeuedRequest>& exits)
{
    for (ClassState& state : m_classes) {
        for (std::deque<QueuedRequest>::iterator it = state.queue.begin(); it != state.queue.end();) {
            if (!missesDeadline(now, it->deadline)) {
                ++it;
                continue;
            }
            exits.push_back(DequeuedRequest { it->dispatchId, false });
            it = state.queue.erase(it);
        }
    }
}

std::vector<DequeuedRequest> AdmissionQueue::fillFreeSlots(Instant now)
{
    std::vector<DequeuedRequest> exits;
    rejectLate(now, exits);
    while (m_running < m_slots) {
        const int selected = selectClass();
        if (selected < 0)
            break;
        ClassState& state = classState(selected);
        exits.push_back(DequeuedRequest { state.queue.front().dispatchId, true });
        state.queue.pop_front();
        ++m_running;
        ++state.running;
    }
    return exits;
}

bool AdmissionQueue::withdraw(const std::string& dispatchId)
{
    for (ClassState& state : m_classes) {
        for (std::deque<QueuedRequest>::iterator it = state.queue.begin(); it != state.queue.end(); ++it) {
            if (it->dispatchId != dispatchId)
                continue;
            state.queue.erase(it);
            return true;
        }
    }
    return false;
}

} // namespace Plantainpier
