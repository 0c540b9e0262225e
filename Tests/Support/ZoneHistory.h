/// Closes and reopens availability zones at random in virtual time, and checks that no task starts in a zone that has
/// been closed for longer than the bound. Used by the histories of runs and orders.
#pragma once

#include "Decision/Job/JobOwner.h"
#include "Decision/Process/StoreTopicWatcher.h"
#include "Support/VirtualHost.h"
#include "Support/VirtualStore.h"

#include <random>
#include <variant>

namespace Plantainpier {

/// The operators' requests, the store that holds them, and the orders of all owners.
class ZoneHistory {
public:
    explicit ZoneHistory(unsigned seed)
        : m_random(seed)
    {
    }

    /// Rules of an owner that keeps the bound.
    static OwnerRules ownerRules();
    /// Hosts whose ids begin with host-0, host-2 and so on are in the zone north, the others in the zone south.
    static std::string zoneOfHost(const std::string& hostId);

    /// Closes or reopens zones at random. The store may drop its history with a request, and its pages may then be up
    /// to 6 s old.
    void step(int now);
    /// Reopens all zones and ends the faults of the store.
    void endFaults(int now);

    /// An owner has sent orders to a host.
    void onOrders(int now, const Wire::HostOrders& orders);
    void checkStart(const RunRecord& start, std::vector<std::string>& violations) const;
    /// Orders of owners that must have known the zone to be closed, one sentence each.
    const std::vector<std::string>& orderViolations() const { return m_orderViolations; }
    /// Starts in zones that were closed within the bound, which shows that closures hit zones in use.
    std::size_t countStartsWithinBound(const std::vector<RunRecord>& starts) const;

    const VirtualStore& store() const { return m_store; }
    int droppedHistories() const { return m_droppedHistories; }
    int below(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    bool hasFaults() const { return m_hasFaults; }

private:
    struct Closure {
        std::string zone;
        int closedAt = 0;
        /// Negative while the zone is closed.
        int reopenedAt = -1;
    };

    Closure* openRequest(const std::string& zone);
    void storeRequest(int now, const std::string& zone, bool closed);
    /// For how long the zone has been closed; negative if it is open.
    int closedFor(const std::string& zone, int now) const;

    std::mt19937 m_random;
    VirtualStore m_store;
    bool m_hasFaults = true;
    int m_droppedHistories = 0;
    int m_pagesOldUntil = 0;
    std::vector<Closure> m_closures;
    /// When each start was ordered, by job, task and run.
    std::map<std::tuple<std::string, int, int>, std::vector<int>> m_orderedAt;
    std::vector<std::string> m_orderViolations;
};

/// Reads the operators' requests for one owner, as its entry does. Some answers are late or lost.
class ZoneReader {
public:
    explicit ZoneReader(ZoneHistory& history)
        : m_history(history)
    {
    }

    void step(int now, bool isStoreAvailable, JobOwner& owner);

private:
    /// The response of the read in flight, once the store has one.
    void takeAnswer(int now);
    void applyRecords(int now, const std::vector<StoreRecord>& records);

    ZoneHistory& m_history;
    StoreTopicWatcher m_watcher { StoreTopic::Policy,
        WatchTiming { milliseconds(700), milliseconds(250), milliseconds(500), ZoneClosures::maximumAnswerAge } };
    ZoneClosures m_closures;
    std::optional<Action> m_read;
    std::optional<std::variant<ReadResponse, NewestResponse>> m_answer;
    int m_sentAt = 0;
    int m_answerAt = 0;
    bool m_isLost = false;
    int m_droppedHistories = 0;
    int m_cutOffUntil = 0;
};

} // namespace Plantainpier
