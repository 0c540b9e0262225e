/// Decision logic of a side: keeps the description that its host announces, carries out the owner's orders and reports
/// what runs. A side grants no leases itself: it passes on the owner's leases, which are absolute times of the host's
/// clock.
#pragma once

#include "Base/LogLine.h"
#include "Decision/Job/HostRegistry.h"
#include "Decision/Process/LeaseBound.h"
#include "Decision/Process/OrderSlots.h"
#include "Decision/Process/Ownership.h"
#include "Decision/Process/OwnershipCheck.h"
#include "Decision/Process/PeerLink.h"
#include "Decision/Process/PendingHalts.h"
#include "Decision/Process/ReportedRuns.h"

#include <deque>
#include <map>
#include <set>

namespace Plantainpier {

/// A host's description of itself, from its announcements.
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
    /// Increases within an incarnation, so that a late announcement can be recognized.
    std::int64_t sequence = 0;
};

/// Wait times of lists and reads, and delays before calls are repeated.
struct HostAgentTiming {
    /// How long the host may delay its answer to a list until a run ends. Listed usage figures cover half a second.
    Duration listWait = milliseconds(450);
    /// Delay after a list with ends that are not yet acknowledged, and after a failed list once the host has announced
    /// its departure. Also the wait of a list that expects a change soon.
    Duration shortListDelay = milliseconds(40);
    /// Delay after a list that failed or was refused.
    Duration failureRetryDelay = milliseconds(100);
    /// A host that refuses the newest fence for this long was taken by another process of the side.
    Duration fenceRefusalTolerance = seconds(1);
    /// Delay before a halt or pace order is sent again.
    Duration orderRetryDelay = milliseconds(150);
    /// The delay of a pace order doubles with each attempt up to this one.
    Duration longestPaceRetryDelay = milliseconds(600);
    /// Longest wait of a read of the owner claims while this side is not connected to an owner. Bounds how late a new
    /// owner is found.
    Duration ownerReadWait = milliseconds(700);
    OwnershipCheckTiming ownershipCheck;
    /// The platform's longest lease.
    Duration longestLease = seconds(10);
    /// Orders to the host that may be unanswered at a time; each takes a connection, as do two lists. The platform's
    /// hosts serve 64 connections and go on counting those that have gone silent, so less than half of them are used:
    /// then as many new ones can take their place.
    std::size_t maximumOrdersInFlight = 28;
    /// Of these, the number that only halts may take, and as many that starts leave to paces and halts. A host that
    /// leaves starts unanswered holds each of them for the timeout of a call.
    std::size_t reservedOrdersInFlight = 4;
};

/// Runs one side without a clock, threads or sockets. One object per process.
class HostAgent {
public:
    HostAgent(NodeIdentity identity, const HostAgentTiming& timing);

    /// Handles an announcement of this side's host, or of another one. Returns whether it may be acknowledged: a host
    /// that may belong to another side and that drains must not take this side's answer for its own side's.
    bool onAnnouncement(Instant now, const HostDescription& host, Actions& actions);
    void onDepartureNotice(Instant now, const std::string& hostId, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onStartResponse(Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions);
    void onHaltResponse(Instant now, const HaltOnHost& order, const HostResponse& response, Actions& actions);
    void onPaceResponse(Instant now, const SetPaceOnHost& order, const HostResponse& response, Actions& actions);
    void onListResponse(Instant now, const ListHost& order, const HostResponse& response, Actions& actions);
    void onReadResponse(Instant now, std::uint64_t callId, const ReadResponse& response, Actions& actions);
    void onNewestResponse(Instant now, std::uint64_t callId, const NewestResponse& response, Actions& actions);
    void tick(Instant now, Actions& actions);

    bool isConnectedToOwner() const { return m_ownerLink.isUp(); }
    std::int64_t term() const { return m_term; }
    /// Number of incarnations that this process has reported as ended.
    std::int64_t endedIncarnations() const { return m_endedIncarnations; }
    /// The fence that calls to the host carry.
    std::int64_t fence() const { return m_ownerFence + m_localFenceRaises; }

private:
    /// The newest pace order of a run, kept until the host has acknowledged it.
    struct PendingPace {
        Wire::PaceOrder order;
        Instant receivedAt;
        /// Calls for this order and earlier ones that are not yet answered.
        std::set<std::uint64_t> callsInFlight;
        /// The newest call for this order; 0 before the first.
        std::uint64_t newestCall = 0;
        /// A call for an earlier order was in flight beside the newest one, so either may be carried out last.
        bool overlapped = false;
        int failedCalls = 0;
        Instant nextSendAt;
    };

    struct AcknowledgedPace {
        int percent = fullPacePercent;
        Instant acknowledgedAt;
    };

    /// A host other than the known one was announced.
    bool onCandidateAnnounced(Instant now, const HostDescription& host, Actions& actions);
    /// A list that only the announced candidate answers.
    ListHost makeInquiry(Instant now);
    void onInquiryResponse(Instant now, const HostResponse& response, Actions& actions);
    /// Makes the candidate this side's host and ends the known one.
    void adoptCandidate(Instant now, Actions& actions);
    /// Forgets the candidate. answeredIncarnation: the incarnation that answered in its place, or 0.
    void passOverCandidate(std::int64_t answeredIncarnation, Actions& actions);
    void logPassedOver(const HostDescription& host, std::int64_t answeredIncarnation, Actions& actions) const;
    void reportAnnouncement(Instant now, Actions& actions);
    void readClaims(Instant now, Actions& actions);
    void applyClaims(Instant now, const std::vector<StoreRecord>& records, Actions& actions);
    Wire::NodeHello makeHello() const;
    /// Drops the orders of a former owner that have not been sent to the host.
    void dropOrders(Actions& actions);
    /// Whether there are orders of the owner that have not been sent to the host.
    bool hasOrdersToSend() const;
    /// Whether orders of the owner may be sent to the host now.
    bool mayFollowOwner(Instant now, Actions& actions);
    void onOrders(Instant now, const Wire::HostOrders& orders, Actions& actions);
    /// Takes in the halts of one message. A start that waits is dropped instead of being halted.
    void addHalts(Instant now, const std::vector<Wire::HaltOrder>& halts, Actions& actions);
    /// Sends the orders that wait, as far as the host's slots allow: halts first, then paces, then starts.
    void sendWaitingOrders(Instant now, Actions& actions);
    void sendHalts(Instant now, bool mayFollow, Actions& actions);
    void sendStarts(Instant now, Actions& actions);
    void addStartPace(Instant now, const Wire::StartOrder& start);
    void addPace(Instant now, const Wire::PaceOrder& order);
    void sendPaces(Instant now, Actions& actions);
    void handleStartResponse(Instant now, const StartOnHost& order, const HostResponse& response, Actions& actions);
    void handlePaceResponse(Instant now, const SetPaceOnHost& order, const HostResponse& response, Actions& actions);
    void onPaceNotSet(Instant now, PendingPace& pace, const HostResponse& response, Actions& actions);
    /// Records what the host has acknowledged, to report it with the next message to the owner.
    void acknowledgePace(Instant now, const Wire::TaskName& task, int run, int percent);
    /// Moves the acknowledged paces that are not yet reported into a report without a list.
    void addAcknowledgedPaces(Wire::HostReport& report);
    void reportAcknowledgedPaces(Instant now, Actions& actions);
    /// Sets the acknowledged paces of listed runs, and forgets the paces of runs that the list shows to be over.
    void resolvePaces(const HostResponse& response, Wire::HostReport& report);
    /// Gives up the pending orders of an earlier fence. Whether the host has carried them out is unknown.
    void abandonPaces();
    /// Whether the order was meant for the current incarnation of this side's host.
    template <typename Order> bool isForCurrentIncarnation(const Order& order) const
    {
        return m_host && m_host->hostId == order.hostId && m_host->incarnation == order.incarnation;
    }
    void adoptOwnerFence(Instant now, std::int64_t fence);
    void onListFenced(Instant now, const ListHost& order, Actions& actions);
    void onListFailed(Instant now, const char* reason, Actions& actions);
    void onConnectionRefused(Instant now, Actions& actions);
    void raiseLocalFence();
    /// Whether the response comes from another incarnation. If the response names no incarnation, a host clock below
    /// its previous reading shows this, because the clock restarts with each incarnation.
    bool isOtherIncarnation(const HostResponse& response, std::int64_t previousClock) const;
    ListHost makeList(Instant now);
    /// The log line of an incarnation's end, to which the caller adds what the end was concluded from.
    LogLine hostEndedLine(Instant now, const char* reason) const;
    void endAfterResponse(
        Instant now, const char* reason, const char* call, const HostResponse& response, Actions& actions);
    void endIncarnation(Instant now, const LogLine& line, Actions& actions);
    /// Reports that an incarnation has ended, and with it all of its runs.
    void reportEnd(const std::string& hostId, std::int64_t incarnation, Actions& actions);
    /// Reports the current host, and the ends of earlier incarnations, to an owner that has taken over or that this
    /// side has connected to.
    void reportToNextOwner(Instant now, Actions& actions);
    /// Resets all state of the incarnation, and raises the local fence against orders that were meant for it.
    void forgetIncarnation(Instant now);
    Wire::HostReport makeReport(Instant now) const;
    void sendReport(Wire::HostReport report, Actions& actions);
    /// Sends the report of a new list, reduced to its changes if the owner accepts that.
    void sendListReport(Instant now, Wire::HostReport report, Actions& actions);
    void sendResult(Instant now, const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome,
        const std::string& reason, Actions& actions);
    void sendResults(Instant now, std::vector<Wire::OrderResult> results, Actions& actions);

    NodeIdentity m_identity;
    HostAgentTiming m_timing;
    StoreTopicWatcher m_claimWatcher;
    std::uint64_t m_claimReadCall = 0;
    OwnershipCheck m_ownershipCheck;
    /// The read of the claims in flight is a check.
    bool m_isCheckInFlight = false;
    /// Orders of the owner wait for evidence that it has no successor.
    bool m_ordersHeld = false;
    std::uint64_t m_lastCallId = 0;
    PeerLink m_ownerLink;
    CurrentOwner m_owner;
    /// The highest term of an owner that has sent orders.
    std::int64_t m_term = 0;
    /// The highest fence received from an owner.
    std::int64_t m_ownerFence = 0;
    /// Added to the owner's fence. Raised when contact with the host is lost or its incarnation ends, so that a later
    /// incarnation refuses orders sent before that.
    std::int64_t m_localFenceRaises = 0;
    std::int64_t m_endedIncarnations = 0;
    /// The ids and numbers of incarnations that ended last, oldest first. They are reported to each next owner: the one
    /// before may have ended without storing the departure, and the next one would wait for the leases.
    std::deque<std::pair<std::string, std::int64_t>> m_endedHosts;
    std::optional<HostDescription> m_host;
    /// Earliest time at which a draining host shuts down, by its newest announcement.
    Instant m_shutdownAt;
    /// The host has announced its departure. The notice names no incarnation, so it counts only while the host is
    /// draining, as every host is before it shuts down.
    bool m_departureNoticeReceived = false;
    /// The newest list or start found no listener. The host may have ended, or its runs may go on while it accepts no
    /// new connection.
    bool m_refusesConnections = false;
    /// The host has not answered recently, so its next answer may come from a later incarnation. Until that is ruled
    /// out, lists carry neither the lease nor the acknowledgements, which are meant for this incarnation only.
    bool m_incarnationUnconfirmed = false;
    /// Since when the host has refused every list for its fence.
    std::optional<Instant> m_fencedSince;
    /// The newest list failed, and the local fence was raised for it.
    bool m_contactLost = false;
    /// The newest reading of the host's clock.
    std::int64_t m_clockMilliseconds = 0;
    /// The host has answered a list as this incarnation. A refusal shows its id only.
    bool m_isIncarnationListed = false;
    /// Announced, but not known to be beside this side: an announcement may be late, or come from another writer or
    /// from the host of another side. It counts once the host at this side's address has answered under its id.
    std::optional<HostDescription> m_candidate;
    Instant m_candidateAnnouncedAt;
    bool m_inquiryInFlight = false;
    std::uint64_t m_inquiryNumber = 0;
    Instant m_nextInquiryAt;
    std::int64_t m_leaseUntilMilliseconds = 0;
    std::optional<LeaseBound> m_leaseBound;
    std::int64_t m_acknowledgedNumber = 0;
    bool m_listInFlight = false;
    bool m_listWanted = false;
    /// No list has been sent under the current fence.
    bool m_fenceIsNew = false;
    std::uint64_t m_lastListNumber = 0;
    std::uint64_t m_listNumber = 0;
    ReportedRuns m_reportedRuns;
    /// The connected owner accepts reports of changes.
    bool m_ownerAcceptsChanges = false;
    Instant m_listSentAt;
    Instant m_lastListAnswerAt;
    Instant m_nextListAt;
    /// Orders that the host has not answered. Those to earlier incarnations count too, because they use connections.
    OrderSlots m_orderSlots;
    /// Starts that wait until fewer orders are in flight, with the fence that was in force when they arrived.
    std::deque<StartOnHost> m_waitingStarts;
    PendingHalts m_halts;
    /// The newest unacknowledged pace order of each run. Only this one is repeated, so that an older order cannot
    /// override it.
    std::map<RunKey, PendingPace> m_paces;
    std::uint64_t m_lastPaceCall = 0;
    /// The pace that the host acknowledged last, by run. A run without an entry has an unknown pace.
    std::map<RunKey, AcknowledgedPace> m_acknowledgedPaces;
    /// Acknowledged paces to report with the next message to the owner.
    std::vector<Wire::RunningTask> m_pacesToReport;
};

} // namespace Plantainpier
