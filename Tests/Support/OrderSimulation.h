/// Hosts, sides and owners of jobs over an unreliable network in virtual time. The sides and owners are the real ones.
/// Used by OrderHistoryTest and OrderHistoryAtOnceTest.
#pragma once

#include "Decision/Process/HostAgent.h"
#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"
#include "Support/VirtualStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Plantainpier {

/// How hosts come back after a crash.
enum class Restarts {
    /// No sooner than a process starts, and announced at once. What comes late for an earlier life has no effect before
    /// the side has called the next one.
    Ordinary,
    /// At any time, announced up to a second later, and open to whatever comes late.
    AtOnce,
};

/// Plays one seed.
class OrderSimulation {
public:
    OrderSimulation(unsigned seed, Restarts restarts);

    /// Faults for some time, then calm until everything is settled.
    void play(int milliseconds);
    /// What broke a promise; empty when nothing did.
    std::vector<std::string> faults() const;
    std::size_t starts() const { return m_records.size(); }

private:
    /// An owner that lives or has been replaced without knowing it.
    struct OwnerModel {
        std::int64_t term = 0;
        std::unique_ptr<JobOwner> owner;
        /// Frozen until then; what comes meanwhile is read afterwards, one connection after the other in any order.
        int frozenUntil = 0;
        std::map<LinkId, std::deque<std::function<void()>>> backlog;
    };

    /// One connection of a side to an owner.
    struct Connection {
        std::size_t side = 0;
        /// Of which process of the side.
        int process = 0;
        std::int64_t term = 0;
        LinkId sideLink = noLink;
        bool closed = false;
        int lastToOwner = 0;
        int lastToSide = 0;
    };

    /// One side and the host beside it.
    struct Side {
        std::unique_ptr<HostAgent> agent;
        /// Counts the processes of this side: what an earlier one waited for is lost.
        int process = 0;
        std::unique_ptr<VirtualHost> host;
        /// Null while the host is down.
        bool hostUp = true;
        int hostBackAt = 0;
        std::int64_t announcements = 0;
        int announceAt = 0;
        /// Messages are held up until then.
        int cutUntil = 0;
    };

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    int any(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }
    void after(int delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    void step();
    void hurt();
    void submit();
    void changeOwner();
    void restartSide(std::size_t n);
    void crashHost(std::size_t n);
    void stepHost(std::size_t n);
    void stepOwner(OwnerModel& model);
    OwnerModel* findOwner(std::int64_t term);
    std::vector<StoreRecord> newestRecords();

    /// Carries out what a side or an owner decided.
    void performSide(std::size_t n, Actions&& actions);
    void performOwner(std::int64_t term, Actions&& actions);
    void open(std::size_t n, const OpenLink& order);
    void close(std::size_t n, LinkId sideLink);
    void sendToOwner(LinkId link, std::function<void(JobOwner&, Actions&)> deliver);
    void sendToSide(LinkId link, PeerMessage message);
    void deliverToOwner(std::int64_t term, LinkId link, const std::function<void(JobOwner&, Actions&)>& deliver);
    void readClaims(std::size_t n, std::uint64_t callId, std::int64_t from, bool newest, int until);

    /// Lets a host carry an order out, now, late or never, and tells the side how it was answered.
    void callHost(std::size_t n, const std::function<HostResponse(VirtualHost&)>& carryOut,
        const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer);
    void listHost(std::size_t n, const ListHost& order);
    /// Whether an order that comes late has any effect.
    bool takesLateOrders(std::size_t n) const;
    HostResponse carryOutList(VirtualHost& host, const ListHost& order) const;
    void awaitEnd(std::size_t n, int process, std::int64_t incarnation, int until, const ListHost& order);
    void answerList(std::size_t n, int process, int delay, const ListHost& order, const HostResponse& response);
    void answerSide(std::size_t n, int process, int delay, const HostResponse& response,
        const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer);

    void checkStart(const RunRecord& start, std::vector<std::string>& found) const;
    void checkOutcome(const Wire::JobDefinition& job, std::vector<std::string>& found) const;

    std::mt19937 m_random;
    const Restarts m_restarts;
    /// Prints the logs of owners and sides.
    const bool m_trace;
    int m_now = 0;
    bool m_calm = false;
    int m_storeAwayUntil = 0;
    /// Orders are carried out late until then.
    int m_lateUntil = 0;
    LinkId m_lastLink = 100;
    VirtualStore m_store;
    std::vector<StoreRecord> m_claims;
    std::vector<RunRecord> m_records;
    std::vector<Side> m_sides;
    std::vector<OwnerModel> m_owners;
    std::map<LinkId, Connection> m_connections;
    std::multimap<int, std::function<void()>> m_events;
    std::vector<Wire::JobDefinition> m_jobs;
};

/// Plays histories, or those that PLANTAINPIER_HISTORIES or PLANTAINPIER_SEED name; their faults, a line each.
std::string playOrderHistories(unsigned histories, Restarts restarts);

} // namespace Plantainpier
