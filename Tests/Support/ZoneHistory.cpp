#include "Support/ZoneHistory.h"

#include "Support/TestPolicy.h"
#include "Support/VirtualTime.h"

#include <algorithm>
#include <array>

namespace Plantainpier {

namespace {

    constexpr int boundMilliseconds = 5000;
    constexpr int maximumPageAgeMilliseconds = 6000;
    constexpr int maximumCutOffMilliseconds = 8000;
    /// Times after which calls to the store are given up: as StoreProtocol does.
    constexpr int readMarginMilliseconds = 900;
    constexpr int newestTimeoutMilliseconds = 2500;
    constexpr std::array zoneNames { "north", "south" };

    std::tuple<std::string, int, int> orderKey(const Wire::TaskName& task, int run)
    {
        return { task.jobId, task.index, run };
    }

} // namespace

OwnerRules ZoneHistory::ownerRules()
{
    OwnerRules rules;
    rules.zoneClosureBound = milliseconds(boundMilliseconds);
    return rules;
}

std::string ZoneHistory::zoneOfHost(const std::string& hostId)
{
    const std::string prefix = "host-";
    if (!hostId.starts_with(prefix))
        return {};
    return zoneNames[std::stoul(hostId.substr(prefix.size())) % zoneNames.size()];
}

ZoneHistory::Closure* ZoneHistory::openRequest(const std::string& zone)
{
    const std::vector<Closure>::iterator it = std::find_if(m_closures.begin(), m_closures.end(),
        [&zone](const Closure& closure) { return closure.zone == zone && closure.reopenedAt < 0; });
    return it == m_closures.end() ? nullptr : &*it;
}

void ZoneHistory::storeRequest(int now, const std::string& zone, bool closed)
{
    AppendToStore append;
    append.topic = StoreTopic::Policy;
    append.records.push_back(StoreRecord { "closed/" + zone, closed ? "{}" : "" });
    m_store.append(append);
    Closure* request = openRequest(zone);
    if (closed && !request)
        m_closures.push_back(Closure { zone, now });
    else if (!closed && request)
        request->reopenedAt = now;
}

void ZoneHistory::step(int now)
{
    if (now >= m_pagesOldUntil)
        m_store.thawPages();
    if (!m_hasFaults || !chance(0.0015))
        return;
    const std::string zone = zoneNames[static_cast<std::size_t>(below(static_cast<int>(zoneNames.size())))];
    const bool isRepeated = chance(0.2);
    const bool dropsHistory = chance(0.4);
    if (dropsHistory && now >= m_pagesOldUntil && chance(0.5)) {
        m_store.freezePages();
        m_pagesOldUntil = now + below(maximumPageAgeMilliseconds);
    }
    storeRequest(now, zone, isRepeated || !openRequest(zone));
    if (dropsHistory) {
        m_store.compact();
        ++m_droppedHistories;
    }
}

void ZoneHistory::endFaults(int now)
{
    m_hasFaults = false;
    for (const char* zone : zoneNames)
        storeRequest(now, zone, false);
}

int ZoneHistory::closedFor(const std::string& zone, int now) const
{
    for (const Closure& closure : m_closures) {
        const bool isOver = closure.reopenedAt >= 0 && closure.reopenedAt <= now;
        if (closure.zone == zone && closure.closedAt <= now && !isOver)
            return now - closure.closedAt;
    }
    return -1;
}

void ZoneHistory::onOrders(int now, const Wire::HostOrders& orders)
{
    const int margin = static_cast<int>(toMilliseconds(OwnerRules {}.startDeliveryMargin));
    for (const Wire::StartOrder& start : orders.starts) {
        m_orderedAt[orderKey(start.task, start.run)].push_back(now);
        const int closed = closedFor(zoneOfHost(orders.hostId), now);
        if (closed > boundMilliseconds - margin)
            m_orderViolations.push_back(start.task.jobId + " task " + std::to_string(start.task.index) + " run "
                + std::to_string(start.run) + " was ordered at " + std::to_string(now) + " in a zone closed for "
                + std::to_string(closed) + " ms");
    }
}

void ZoneHistory::checkStart(const RunRecord& start, std::vector<std::string>& violations) const
{
    const int closed = closedFor(zoneOfHost(start.hostId), start.startedAt);
    if (closed <= boundMilliseconds)
        return;
    // The simulations delay orders for seconds. The owner leaves startDeliveryMargin of the bound for the delivery, and
    // nothing recalls an order whose delivery takes longer, so such a start is allowed. The order itself is checked in
    // onOrders() by the stricter limit that applies to owners.
    const int margin = static_cast<int>(toMilliseconds(OwnerRules {}.startDeliveryMargin));
    const std::map<std::tuple<std::string, int, int>, std::vector<int>>::const_iterator it
        = m_orderedAt.find(orderKey(start.task, start.run));
    const bool isTimely
        = it == m_orderedAt.end() || std::any_of(it->second.begin(), it->second.end(), [&start, margin](int orderedAt) {
              return orderedAt <= start.startedAt && start.startedAt - orderedAt <= margin;
          });
    if (isTimely)
        violations.push_back(start.task.jobId + " task " + std::to_string(start.task.index) + " run "
            + std::to_string(start.run) + " started at " + std::to_string(start.startedAt) + " on " + start.hostId
            + " in a zone closed for " + std::to_string(closed) + " ms");
}

std::size_t ZoneHistory::countStartsWithinBound(const std::vector<RunRecord>& starts) const
{
    return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(), [this](const RunRecord& start) {
        const int closed = closedFor(zoneOfHost(start.hostId), start.startedAt);
        return closed >= 0 && closed <= boundMilliseconds;
    }));
}

void ZoneReader::step(int now, bool isStoreAvailable, JobOwner& owner)
{
    if (m_history.hasFaults() && m_history.chance(0.0005))
        m_cutOffUntil = now + m_history.below(maximumCutOffMilliseconds);
    const bool isCutOff = !isStoreAvailable || (m_history.hasFaults() && now < m_cutOffUntil);
    if (!m_read) {
        m_read = m_watcher.nextRead(at(now), 1);
        m_sentAt = now;
        m_isLost = false;
        m_droppedHistories = m_history.droppedHistories();
    }
    if (!m_read)
        return;
    m_isLost = m_isLost || (isCutOff && !m_answer);
    if (!m_answer)
        takeAnswer(now);
    if (!m_answer || now < m_answerAt)
        return;
    const std::variant<ReadResponse, NewestResponse> answer = std::move(*m_answer);
    m_answer.reset();
    m_read.reset();
    if (const ReadResponse* response = std::get_if<ReadResponse>(&answer))
        applyRecords(now, m_watcher.onReadResponse(at(now), *response));
    else
        applyRecords(now, m_watcher.onNewestResponse(at(now), std::get<NewestResponse>(answer)));
    owner.setZoneClosures(m_closures);
}

void ZoneReader::takeAnswer(int now)
{
    m_answerAt = now + m_history.below(m_history.hasFaults() && m_history.chance(0.05) ? 800 : 20);
    if (const ReadNewest* newest = std::get_if<ReadNewest>(&*m_read)) {
        m_answer = m_isLost ? NewestResponse {} : m_history.store().newest(*newest);
        if (m_isLost)
            m_answerAt = now + newestTimeoutMilliseconds;
        return;
    }
    const ReadStore& read = std::get<ReadStore>(*m_read);
    const int until = m_sentAt + static_cast<int>(toMilliseconds(read.wait));
    // The store does not answer reads that wait while it drops its history.
    m_isLost = m_isLost || (now > m_sentAt && m_droppedHistories != m_history.droppedHistories());
    if (m_isLost) {
        m_answer = ReadResponse {};
        m_answerAt = until + readMarginMilliseconds;
        return;
    }
    const ReadResponse response = m_history.store().read(read);
    if (response.truncated || !response.records.empty() || now >= until)
        m_answer = response;
}

void ZoneReader::applyRecords(int now, const std::vector<StoreRecord>& records)
{
    for (const StoreRecord& record : records) {
        if (const std::optional<std::string> zone = closedZoneOfTestKey(record.key))
            m_closures.applyRecord(at(now), *zone, !record.value.empty(), record.offset);
    }
    if (const std::optional<Instant> startedAt = m_watcher.takeCompleteRead())
        m_closures.applyCompleteRead(*startedAt);
    if (const std::optional<Instant> asOf = m_watcher.knownAsOf())
        m_closures.setKnownAsOf(*asOf);
}

} // namespace Plantainpier
