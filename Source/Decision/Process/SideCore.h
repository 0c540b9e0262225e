/// The complete decision logic of a side process: takes events and returns actions. Used by SideDaemon.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Job/AttemptManager.h"
#include "Decision/Request/KeyWitness.h"
#include "Decision/Request/SideRequests.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// Address at which a process listens for its peers.
struct PeerAddress {
    std::string address;
    int port = 0;
};

/// Identifies a side process and its environment; set at its start.
struct SideIdentity {
    std::string sideId;
    /// Increases with every start of the process.
    std::int64_t incarnation = 0;
    PeerAddress listen;
    std::string zone;
    std::string rack;
    Wire::Resources capacity;
    std::vector<PeerAddress> entries;
};

/// A target's announcement to its side.
struct TargetAnnouncement {
    int slots = 0;
    bool leaving = false;
};

/// Runs one side without a clock, threads or sockets. One object per process.
class SideCore {
public:
    SideCore(SideIdentity identity, BundleRegistry bundles, Instant now);

    void onTargetAnnouncement(Instant now, const TargetAnnouncement& announcement, Actions& actions);
    void onTargetResult(Instant now, const std::string& dispatchId, const TargetResult& result, Actions& actions);
    void onWorkerListing(Instant now, const WorkerListing& listing, Actions& actions);
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions);
    void onLinkUp(Instant now, LinkId link, Actions& actions);
    void onLinkDown(Instant now, LinkId link, Actions& actions);
    void tick(Instant now, Actions& actions);
    /// Starts a graceful shutdown: refuses new work, announces this to the entries and completes running work.
    void beginShutdown(Instant now, Actions& actions);

    /// Whether no request of a caller is in progress.
    bool isDrained() const { return m_requests.inProgress() == 0; }
    bool isReady() const { return m_bundles.current() && m_attemptManager.isReady(); }
    const BundleRegistry& bundles() const { return m_bundles; }
    Wire::Load load() const { return m_requests.load(); }
    std::size_t dispatchesKept() const { return m_requests.dispatchesKept(); }
    std::size_t attempts() const { return m_attemptManager.attemptCount(); }

private:
    /// The announcement link to one entry.
    struct EntryLink {
        PeerAddress address;
        LinkId link = noLink;
        std::optional<LinkMonitor> monitor;
        Instant nextDialAt;
        Instant lastAnnouncedAt;
        /// Number of sides that the entry reported in its last acknowledgement.
        int sidesPresent = 0;
        Instant acknowledgedAt;
    };

    void onAcknowledgement(Instant now, LinkId link, const Wire::AnnouncementAck& ack, Actions& actions);
    void onBundle(Instant now, LinkId link, const Wire::BundleNotice& notice, Actions& actions);
    /// Sends the bundle to an entry that has an older version, in case the entry cannot read the log.
    void sendNewerBundle(LinkId link, std::int64_t version, Actions& actions) const;
    void applyBundle();
    void dialEntries(Instant now, Actions& actions);
    void checkEntryLink(Instant now, EntryLink& entry, Actions& actions);
    void scheduleRedial(Instant now, EntryLink& entry);
    /// The highest number of sides that any entry has reported recently.
    int sidesReported(Instant now) const;
    void announce(Instant now, EntryLink& entry, Actions& actions);
    void announceToAll(Instant now, Actions& actions);
    void updateSlots(Instant now, Actions& actions);
    bool isTargetPresent(Instant now) const;
    EntryLink* findEntry(LinkId link);

    SideIdentity m_identity;
    BundleRegistry m_bundles;
    SideRequests m_requests;
    KeyWitness m_witness;
    AttemptManager m_attemptManager;
    std::vector<EntryLink> m_entries;
    LinkId m_lastLinkId = noLink;
    int m_targetSlots = 0;
    bool m_targetLeaving = false;
    bool m_targetWasPresent = false;
    bool m_leaving = false;
    std::optional<Instant> m_targetAnnouncedAt;
};

} // namespace Plantainpier
