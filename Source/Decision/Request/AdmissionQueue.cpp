#include "Decision/Request/AdmissionQueue.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    /// Weight of the newest service time in the smoothed one, as 1/n.
    constexpr int serviceSmoothing = 16;
    /// Most slot grants that a class can be owed.
    constexpr double maximumCredit = 2;
    constexpr Duration shortestRetryAfter = milliseconds(10);

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

const RequestClass& AdmissionQueue::rules(int classIndex) const
{
    // A class that a newer bundle dropped may still have requests waiting under the older one.
    const std::size_t last = m_bundle->classes().size() - 1;
    return m_bundle->classes()[std::min(static_cast<std::size_t>(classIndex), last)];
}

int AdmissionQueue::waiting() const
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
    std::int64_t ahead = 1;
    for (std::size_t n = 0; n < m_classes.size(); ++n) {
        const bool goesFirst = rules(static_cast<int>(n)).priority <= rules(classIndex).priority;
        ahead += goesFirst ? static_cast<std::int64_t>(m_classes[n].queue.size()) : 0;
    }
    const Duration byPriority = m_serviceTime * ahead / m_slots;
    const int share = rules(classIndex).guaranteedPercent;
    if (share == 0)
        return byPriority;
    const std::int64_t own
        = static_cast<std::int64_t>(m_classes[static_cast<std::size_t>(classIndex)].queue.size()) + 1;
    const Duration byShare = m_serviceTime * own * 100 / (static_cast<std::int64_t>(m_slots) * share);
    return std::min(byPriority, byShare);
}

bool AdmissionQueue::isTooLate(Instant now, Instant deadline) const
{
    // An idle target always gets a try, so that a stale service time cannot shut everything out.
    const Duration needed = m_running == 0 ? Duration::zero() : m_serviceTime;
    return now + needed >= deadline;
}

AdmissionAnswer AdmissionQueue::offer(Instant now, const std::string& dispatchId, int classIndex, Instant deadline)
{
    const Duration wait = expectedWait(classIndex);
    const Duration retryAfter = std::max(shortestRetryAfter, wait);
    if (isTooLate(now + wait, deadline))
        return { AdmissionAnswer::Kind::Refuse, ErrorCode::DeadlineTooShort, retryAfter };
    ClassState& state = classState(classIndex);
    if (m_running < m_slots && waiting() == 0) {
        ++m_running;
        ++state.running;
        return { AdmissionAnswer::Kind::Start, ErrorCode::Ok, {} };
    }
    if (static_cast<int>(state.queue.size()) >= rules(classIndex).queueLimit)
        return { AdmissionAnswer::Kind::Refuse, ErrorCode::ShareExhausted, retryAfter };
    state.queue.push_back(Waiting { dispatchId, deadline });
    return { AdmissionAnswer::Kind::Wait, ErrorCode::Ok, wait };
}

void AdmissionQueue::onFinished(int classIndex, Duration service)
{
    onAborted(classIndex);
    if (m_serviceTime == Duration::zero())
        m_serviceTime = service;
    else
        m_serviceTime += (service - m_serviceTime) / serviceSmoothing;
}

void AdmissionQueue::onAborted(int classIndex)
{
    --m_running;
    --classState(classIndex).running;
}

int AdmissionQueue::pickClass()
{
    int byCredit = -1;
    int byPriority = -1;
    for (int n = 0; n < static_cast<int>(m_classes.size()); ++n) {
        ClassState& state = classState(n);
        if (state.queue.empty()) {
            state.credit = 0;
            continue;
        }
        state.credit = std::min(maximumCredit, state.credit + rules(n).guaranteedPercent / 100.0);
        if (state.credit >= 1 && (byCredit < 0 || rules(n).priority < rules(byCredit).priority))
            byCredit = n;
        if (byPriority < 0 || rules(n).priority < rules(byPriority).priority)
            byPriority = n;
    }
    const int chosen = byCredit >= 0 ? byCredit : byPriority;
    if (byCredit >= 0)
        classState(chosen).credit -= 1;
    return chosen;
}

void AdmissionQueue::dropLate(Instant now, std::vector<QueueExit>& exits)
{
    for (ClassState& state : m_classes) {
        for (std::deque<Waiting>::iterator it = state.queue.begin(); it != state.queue.end();) {
            if (!isTooLate(now, it->deadline)) {
                ++it;
                continue;
            }
            exits.push_back(QueueExit { it->dispatchId, false });
            it = state.queue.erase(it);
        }
    }
}

std::vector<QueueExit> AdmissionQueue::advance(Instant now)
{
    std::vector<QueueExit> exits;
    dropLate(now, exits);
    while (m_running < m_slots) {
        const int chosen = pickClass();
        if (chosen < 0)
            break;
        ClassState& state = classState(chosen);
        exits.push_back(QueueExit { state.queue.front().dispatchId, true });
        state.queue.pop_front();
        ++m_running;
        ++state.running;
    }
    return exits;
}

bool AdmissionQueue::withdraw(const std::string& dispatchId)
{
    for (ClassState& state : m_classes) {
        for (std::deque<Waiting>::iterator it = state.queue.begin(); it != state.queue.end(); ++it) {
            if (it->dispatchId != dispatchId)
                continue;
            state.queue.erase(it);
            return true;
        }
    }
    return false;
}

} // namespace Plantainpier
