/// How soon places of a rack become free: from the runs that occupy the rack and the durations of earlier runs, and
/// from the ends that were seen since the rack became full. Used by LocalityWait.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Locality/RunDurations.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// Equal places on the hosts of one rack.
struct PlaceDemand {
    std::string service;
    std::string rack;
    /// Places on idle processors rather than on reserved ones.
    bool filler = false;
    std::int64_t milliCores = 0;
    /// Number of places that must be free at the same time, those for tasks that wait in front included.
    std::size_t places = 1;

    auto operator<=>(const PlaceDemand&) const = default;
};

/// When the demanded places are expected to be free.
struct PlaceForecast {
    Duration expectedWait {};
    /// Share of the observed time in which the rack had such places free. The lower it is, the more later tasks are
    /// delayed by one that waits.
    double idleShare = 0;
};

/// The room of racks over the last seconds. Lives as long as the term and knows nothing at first.
class PlaceTurnover {
public:
    /// Returns the processors of a host that are free for fillers or for tasks with reserved processors.
    using RoomOfHost = std::function<std::int64_t(const Host& host, bool filler)>;

    /// Takes note of the hosts and from time to time of their room. Called at the start of each pass; the hosts must
    /// stay until the last question of the pass.
    void observe(Instant now, const HostRegistry& hosts, const RoomOfHost& room);
    void recordEnd(Instant now, const Host& host, const HostRun& run);
    /// Whether the rack has a host that may take tasks: not gone, draining, quarantined or in a closed zone.
    bool isOpen(const std::string& service, const std::string& rack);
    /// The open racks of a service.
    std::vector<std::string> openRacks(const std::string& service);
    /// Returns nothing if the rack has not been observed for long enough, or never has so many places.
    std::optional<PlaceForecast> forecast(Instant now, const PlaceDemand& demand, const RunDurations& durations);

private:
    using Rack = std::pair<std::string, std::string>;
    /// A rack, and whether its room for fillers is meant.
    using RoomKey = std::pair<Rack, bool>;
    struct Sample {
        Instant at;
        std::int64_t largestFree = 0;
        std::int64_t totalFree = 0;
    };
    struct End {
        Instant at;
        std::int64_t milliCores = 0;
    };
    struct RackHistory {
        std::deque<Sample> samples;
        std::deque<End> ends;
    };

    struct ExpectedPlaces {
        /// Times from now at which the first, second and further place becomes free, by the durations of the runs.
        std::vector<Duration> times;
        /// Mean duration of the runs in the rack.
        Duration meanDuration {};
    };

    static bool isOpen(Instant now, const Host& host);
    /// Collects the open hosts, once a pass and only if a question needs them.
    void collectOpenHosts();
    void addSamples(Instant now);
    const ExpectedPlaces& expectedPlaces(Instant now, const PlaceDemand& demand, const RunDurations& durations);
    /// The wait by the rate of ends since the rack became full; zero if that is too recent to tell.
    static Duration waitByRate(
        Instant now, const RackHistory& history, const PlaceDemand& demand, Duration meanDuration);

    RoomOfHost m_room;
    /// All hosts and the time of the pass.
    const HostRegistry* m_hosts = nullptr;
    Instant m_passAt;
    bool m_openHostsCollected = false;
    std::map<Rack, std::vector<const Host*>> m_openHosts;
    std::map<RoomKey, RackHistory> m_histories;
    Instant m_sampledAt;
    /// Results for demands of this pass; their number of places is left out.
    std::map<PlaceDemand, ExpectedPlaces> m_expectedPlaces;
};

} // namespace Plantainpier
