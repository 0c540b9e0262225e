#include "Decision/Locality/PlaceTurnover.h"

#include "Decision/Placement/OpenHosts.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr Duration sampleInterval = milliseconds(100);
    constexpr Duration observedTime = seconds(20);
    /// Less history says nothing about the load of a rack.
    constexpr Duration minimumObservedTime = seconds(3);
    /// A host that has not reported for longer gets no tasks; see PlacementRules.
    constexpr Duration maximumReportAge = milliseconds(1500);
    /// A run that has lasted longer than expected is assumed to need at least this share of the expected duration yet.
    constexpr int leastRemainingShare = 4;

    struct ExpectedEnd {
        Duration in;
        Duration duration;
        std::size_t host;
        std::int64_t milliCores;
    };

    std::vector<ExpectedEnd> expectedEnds(
        Instant now, const std::vector<const Host*>& hosts, bool fillers, const RunDurations& durations)
    {
        std::vector<ExpectedEnd> ends;
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            for (const std::pair<const RunKey, HostRun>& entry : hosts[n]->runs) {
                const HostRun& run = entry.second;
                if (run.longRunning || run.filler != fillers)
                    continue;
                const std::optional<Duration> expected = durations.find(hosts[n]->service, run.task, run.image);
                if (!expected)
                    continue;
                const Duration remaining = *expected - (now - run.placedAt);
                ends.push_back(ExpectedEnd {
                    std::max(remaining, *expected / leastRemainingShare), *expected, n, run.demand.milliProcessors });
            }
        }
        std::sort(ends.begin(), ends.end(),
            [](const ExpectedEnd& one, const ExpectedEnd& other) { return one.in < other.in; });
        return ends;
    }

} // namespace

bool PlaceTurnover::isOpen(Instant now, const Host& host)
{
    return OpenHosts::eligibility(host) == HostEligibility::Eligible && now - host.lastContactAt <= maximumReportAge
        && now >= host.health.quarantinedUntil && !host.health.onProbation;
}

void PlaceTurnover::observe(Instant now, const HostRegistry& hosts, const RoomOfHost& room)
{
    m_room = room;
    m_hosts = &hosts;
    m_passAt = now;
    m_openHostsCollected = false;
    m_openHosts.clear();
    m_expectedPlaces.clear();
    if (now - m_sampledAt >= sampleInterval)
        addSamples(now);
}

void PlaceTurnover::collectOpenHosts()
{
    if (m_openHostsCollected || !m_hosts)
        return;
    m_openHostsCollected = true;
    for (const std::pair<const std::string, Host>& entry : m_hosts->hosts()) {
        const Host& host = entry.second;
        if (isOpen(m_passAt, host))
            m_openHosts[Rack { host.service, host.rack }].push_back(&host);
    }
}

void PlaceTurnover::addSamples(Instant now)
{
    m_sampledAt = now;
    collectOpenHosts();
    for (const std::pair<const Rack, std::vector<const Host*>>& rack : m_openHosts) {
        for (const bool filler : { false, true }) {
            Sample sample { now };
            for (const Host* host : rack.second) {
                const std::int64_t free = std::max<std::int64_t>(0, m_room(*host, filler));
                sample.largestFree = std::max(sample.largestFree, free);
                sample.totalFree += free;
            }
            m_histories[RoomKey { rack.first, filler }].samples.push_back(sample);
        }
    }
    for (std::pair<const RoomKey, RackHistory>& entry : m_histories) {
        RackHistory& history = entry.second;
        while (!history.samples.empty() && now - history.samples.front().at > observedTime)
            history.samples.pop_front();
        while (!history.ends.empty() && now - history.ends.front().at > observedTime)
            history.ends.pop_front();
    }
    std::erase_if(
        m_histories, [](const std::pair<const RoomKey, RackHistory>& entry) { return entry.second.samples.empty(); });
}

void PlaceTurnover::recordEnd(Instant now, const Host& host, const HostRun& run)
{
    const std::map<RoomKey, RackHistory>::iterator it
        = m_histories.find(RoomKey { Rack { host.service, host.rack }, run.filler });
    if (it != m_histories.end() && !run.longRunning)
        it->second.ends.push_back(End { now, run.demand.milliProcessors });
}

bool PlaceTurnover::isOpen(const std::string& service, const std::string& rack)
{
    collectOpenHosts();
    return m_openHosts.contains(Rack { service, rack });
}

std::vector<std::string> PlaceTurnover::openRacks(const std::string& service)
{
    collectOpenHosts();
    std::vector<std::string> racks;
    for (const std::pair<const Rack, std::vector<const Host*>>& entry : m_openHosts) {
        if (entry.first.first == service)
            racks.push_back(entry.first.second);
    }
    return racks;
}

const PlaceTurnover::ExpectedPlaces& PlaceTurnover::expectedPlaces(
    Instant now, const PlaceDemand& demand, const RunDurations& durations)
{
    PlaceDemand key = demand;
    key.places = 0;
    const std::pair<std::map<PlaceDemand, ExpectedPlaces>::iterator, bool> entry
        = m_expectedPlaces.try_emplace(std::move(key));
    ExpectedPlaces& places = entry.first->second;
    if (!entry.second)
        return places;
    std::vector<Duration>& times = places.times;
    collectOpenHosts();
    const std::vector<const Host*>& hosts = m_openHosts[Rack { demand.service, demand.rack }];
    const std::int64_t perPlace = std::max<std::int64_t>(1, demand.milliCores);
    std::vector<std::int64_t> free;
    for (const Host* host : hosts) {
        free.push_back(std::max<std::int64_t>(0, m_room(*host, demand.filler)));
        times.insert(times.end(), static_cast<std::size_t>(free.back() / perPlace), Duration::zero());
    }
    const std::vector<ExpectedEnd> ends = expectedEnds(now, hosts, demand.filler, durations);
    for (const ExpectedEnd& end : ends) {
        places.meanDuration += end.duration / static_cast<std::int64_t>(ends.size());
        const std::int64_t before = free[end.host] / perPlace;
        free[end.host] += end.milliCores;
        times.insert(times.end(), static_cast<std::size_t>(free[end.host] / perPlace - before), end.in);
    }
    return places;
}

Duration PlaceTurnover::waitByRate(
    Instant now, const RackHistory& history, const PlaceDemand& demand, Duration meanDuration)
{
    // Runs that started together end together, so a shorter spell without ends is no sign of a low rate.
    const Duration minimumSpell = std::max<Duration>(milliseconds(500), 2 * meanDuration);
    const std::int64_t perPlace = std::max<std::int64_t>(1, demand.milliCores);
    Instant fullSince = history.samples.front().at;
    for (const Sample& sample : history.samples) {
        if (sample.largestFree >= perPlace)
            fullSince = sample.at;
    }
    const Duration spell = now - fullSince;
    if (spell < minimumSpell)
        return Duration::zero();
    std::int64_t freed = 0;
    for (const End& end : history.ends)
        freed += end.at >= fullSince ? end.milliCores : 0;
    // Counts one more place than was seen: none may have become free yet.
    const double places = 1 + static_cast<double>(freed) / static_cast<double>(perPlace);
    return std::chrono::duration_cast<Duration>(spell * (static_cast<double>(demand.places) / places));
}

std::optional<PlaceForecast> PlaceTurnover::forecast(
    Instant now, const PlaceDemand& demand, const RunDurations& durations)
{
    const std::map<RoomKey, RackHistory>::const_iterator it
        = m_histories.find(RoomKey { Rack { demand.service, demand.rack }, demand.filler });
    if (it == m_histories.end() || it->second.samples.empty()
        || now - it->second.samples.front().at < minimumObservedTime)
        return std::nullopt;
    const ExpectedPlaces& expected = expectedPlaces(now, demand, durations);
    if (demand.places == 0 || expected.times.size() < demand.places)
        return std::nullopt;
    const std::deque<Sample>& samples = it->second.samples;
    const std::int64_t total = demand.milliCores * static_cast<std::int64_t>(demand.places);
    const std::int64_t idle = std::count_if(samples.begin(), samples.end(), [&demand, total](const Sample& sample) {
        return sample.largestFree >= demand.milliCores && sample.totalFree >= total;
    });
    PlaceForecast forecast;
    forecast.expectedWait
        = std::max(expected.times[demand.places - 1], waitByRate(now, it->second, demand, expected.meanDuration));
    forecast.idleShare = static_cast<double>(idle) / static_cast<double>(samples.size());
    return forecast;
}

} // namespace Plantainpier
