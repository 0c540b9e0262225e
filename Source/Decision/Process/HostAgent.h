/// The decisions of a side: keeps what the host beside it says of itself, carries the owner's orders out and reports
/// what runs. It grants nothing by itself: leases are absolute times of the host's clock, only passed on.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Process/Ownership.h"
#include "Decision/Process/PeerLink.h"

#include <map>

namespace Plantainpier {

/// What a host says of itself.
struct HostDescription {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Wire::Resources capacity;
    bool draining = false;
    std::int64_t remainingMilliseconds = 0;
    /// Counts up within an incarnation, so that a late announcement is known as such.
    std::int64_t sequence = 0;
};

/// When the host is looked at.
struct HostAgentTiming {
    /// A list waits this long for an end; its usage figures are for half a second.
    Duration listWait = milliseconds(450);
    /// Pause after a list while ends wait for their acknowledgement, and after one without an answer.
    Duration listPause = milliseconds(40);
    Duration failurePause = milliseconds(100);
    Duration haltPause = milliseconds(150);
    /// News of the owner are at most this late while there is no connection to one.
    Duration ownerNewsWait = milliseconds(700);
};

/// One side. Lives for the process; no clock, thread or socket.
class HostAgent {
public:
    HostAgent(NodeIdentity identity, const HostAgentTiming& timing);

    /// The host announced itself or said that it leaves.
    void onAnnouncement(Instant now, const HostDescription& facts, Actions& actions);
    void onFarewell(Instant now, const std::string& hostId, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onStarted(Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions);
    void onHalted(Instant now, const HaltOnHost& order, const HostResponse& response, Actions& actions);
    void onPaced(Instant now, const PaceOnHost& order, const HostResponse& response, Actions& actions);
    void onListed(Instant now, const ListHost& order, const HostResponse& response, Actions& actions);
    void onRead(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    void onNewest(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, Actions& actions);

    bool isLinked() const { return m_link.isUp(); }
    std::int64_t term() const { return m_term; }
    /// What calls to the host carry.
    std::int64_t fence() const { return m_fence + m_raises; }

private:
    /// An order to stop, until it is certain that the run is over.
    struct Halt {
        Wire::HaltOrder order;
        /// Told to the owner when the run turns out not to be there.
        std::string reason;
        bool inFlight = false;
        bool answered = false;
        Instant answeredAt;
        Instant notBefore;
    };

    struct PendingPace {
        Wire::PaceOrder order;
        bool inFlight = false;
        Instant notBefore;
    };

    void takeClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    void onOrders(Instant now, const Wire::HostOrders& orders, Actions& actions);
    void paceFromStart(Instant now, const Wire::StartOrder& start, Actions& actions);
    void sendPaces(Instant now, Actions& actions);
    /// The order was meant for the life that this side stands beside now.
    template <typename Order> bool isCurrent(const Order& order) const
    {
        return m_facts && m_facts->hostId == order.hostId && m_facts->incarnation == order.incarnation;
    }
    void raiseFence(Instant now, std::int64_t fence);
    void addHalt(Instant now, const Wire::TaskName& task, int run, const std::string& reason);
    void onListFailed(Instant now);
    void raiseOwnFence();
    /// The answer of a host does not always name its life; its clock starts anew with each.
    bool isOtherLife(const HostResponse& response, std::int64_t clockBefore) const;
    ListHost makeList(Instant now);
    void settleHalts(const HostResponse& response, Wire::HostReport& report);
    void replaceHost(Instant now, const char* why, Actions& actions);
    Wire::HostReport makeReport() const;
    void send(Wire::HostReport report, Actions& actions);
    void sendResult(const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason,
        Actions& actions);

    NodeIdentity m_identity;
    HostAgentTiming m_timing;
    StoreTopicWatcher m_claims;
    std::uint64_t m_claimsCall = 0;
    std::uint64_t m_lastCall = 0;
    PeerLink m_link;
    CurrentOwner m_owner;
    /// The highest term that has given orders.
    std::int64_t m_term = 0;
    /// The fence that the owner gave.
    std::int64_t m_fence = 0;
    /// Added to it since: an order that was sent before contact was lost must not reach a later life of the host.
    std::int64_t m_raises = 0;
    std::optional<HostDescription> m_facts;
    /// The host has said that it ends: a closed port is then no accident.
    bool m_farewellHeard = false;
    /// The host has not answered lately: whoever answers next may be a later life, for which neither the lease
    /// nor the acknowledgements of this one are meant.
    bool m_contactUnconfirmed = false;
    /// The newest list failed; the own fence has been raised since.
    bool m_contactLost = false;
    /// The newest reading of the host's clock.
    std::int64_t m_clockMilliseconds = 0;
    /// The host beside this side has answered under the id that was announced.
    bool m_answersAsAnnounced = false;
    std::int64_t m_leaseUntilMilliseconds = 0;
    std::int64_t m_acknowledgedNumber = 0;
    bool m_listInFlight = false;
    bool m_listWanted = false;
    /// No list has been asked for under the present fence.
    bool m_fenceIsNew = false;
    std::uint64_t m_listNumber = 0;
    Instant m_listSentAt;
    /// When the host last answered a list.
    Instant m_answeredAt;
    Instant m_notBefore;
    int m_refusedConnections = 0;
    std::map<RunKey, Halt> m_halts;
    /// The newest pace of each run that the host has not confirmed: an older order must not be repeated over it.
    std::map<RunKey, PendingPace> m_paces;
};

} // namespace Plantainpier
