/// The availability zones that operators have closed. No task starts on a host of a closed zone; what runs there goes
/// on. JobEntryCore applies the records of the operator's topic, and JobOwner uses a copy.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Plantainpier {

/// How an answer of the store changed a zone.
struct ZoneChange {
    std::string zone;
    bool closed = false;
    /// Offset of the newest record of the zone.
    std::int64_t offset = 0;
};

/// The newest request for each zone. Requests may repeat and overlap, and may name zones without hosts.
class ZoneClosures {
public:
    /// While the store drops its history, its answers may be this old.
    static constexpr Duration maximumAnswerAge = seconds(10);

    /// Applies a record that the store has shown. Records may be shown again and in any order; the one with the highest
    /// offset counts. Returns the change, if the record makes one.
    std::optional<ZoneChange> applyRecord(Instant now, const std::string& zone, bool closed, std::int64_t offset);
    /// The newest records of all keys have been read in a read that started at the given time. A closed zone without a
    /// record there has been reopened, unless the read may be older than the record. Returns the reopened zones.
    std::vector<ZoneChange> applyCompleteRead(Instant startedAt);
    /// Sets the time as of which the closures are known: all requests stored before it have been read.
    void setKnownAsOf(Instant asOf) { m_knownAsOf = asOf; }

    bool isClosed(const std::string& zone) const;
    std::vector<std::string> closedZones() const;
    /// Nothing until the whole topic has been read.
    std::optional<Instant> knownAsOf() const { return m_knownAsOf; }

private:
    struct Request {
        bool closed = false;
        std::int64_t offset = 0;
        /// When an answer of the store contained the newest record for the first and for the last time.
        Instant firstShownAt;
        Instant lastShownAt;
    };

    /// Reopened zones stay in the map, so that an answer that is older than the removal does not close them again.
    std::map<std::string, Request> m_requests;
    std::optional<Instant> m_knownAsOf;
};

} // namespace Plantainpier
