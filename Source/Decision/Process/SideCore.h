/// The whole decision logic of a side process: events in, actions out.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Job/AttemptManager.h"
#include "Decision/Request/KeyWitness.h"
#include "Decision/Request/SideRequests.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// Where a process of the system listens for its peers.
struct PeerAddress {
    std::string address;
    int port = 0;
};

/// What a side process is told at its start.
struct SideIdentity {
    std::string sideId;
    /// Grows with every start of the process.
    std::int64_t incarnation = 0;
    PeerAddress listen;
    std::string zone;
    std::string rack;
    Wire::Resources capacity;
    std::vector<PeerAddress> entries;
};

/// A target's announcement to the side beside it.
struct TargetAnnouncement {
    int slots = 0;
    bool leaving = false;
};

/// A side process without clock, threads and sockets. Lives for the process.
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
    /// Graceful shutdown: refuse new work, say so, finish what runs.
    void leave(Instant now, Actions& actions);

    /// Nothing of a caller is in progress any more.
    bool isDrained() const { return m_requests.inProgress() == 0; }
    bool isReady() const { return m_bundles.current() && m_attempts.isReady(); }
    const BundleRegistry& bundles() const { return m_bundles; }
    Wire::Load load() const { return m_requests.load(); }
    std::size_t dispatchesKept() const { return m_requests.dispatchesKept(); }
    std::size_t attempts() const { return m_attempts.attempts(); }

private:
    /// The announcement link to one entry.
    struct EntryLink {
        PeerAddress address;
        LinkId link = noLink;
        std::optional<LinkMonitor> monitor;
        Instant nextDial;
        Instant lastAnnounced;
        /// The last acknowledgement: how many sides the entry sees.
        int sidesPresent = 0;
        Instant acknowledgedAt;
    };

    void onAcknowledgement(Instant now, LinkId link, const Wire::AnnouncementAck& ack, Actions& actions);
    void onBundle(Instant now, LinkId link, const Wire::BundleNotice& notice, Actions& actions);
    /// An entry that is behind gets the bundle from here, in case it cannot read the log.
    void passBundleOn(LinkId link, std::int64_t version, Actions& actions) const;
    void applyBundle();
    void dialEntries(Instant now, Actions& actions);
    void watch(Instant now, EntryLink& entry, Actions& actions);
    void drop(Instant now, EntryLink& entry);
    /// The most sides that an entry reported of late.
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
    AttemptManager m_attempts;
    std::vector<EntryLink> m_entries;
    LinkId m_lastLink = noLink;
    int m_targetSlots = 0;
    bool m_targetLeaving = false;
    bool m_targetWasPresent = false;
    bool m_leaving = false;
    std::optional<Instant> m_targetHeard;
};

} // namespace Plantainpier
