/// The connection of an entry or a side to the owner: connects, sends the greeting (NodeHello), detects
/// silence and reconnects.
/// Used by JobEntryCore and HostAgent.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// Keeps one connection at a time to the current owner. One object per process.
class PeerLink {
public:
    PeerLink();

    /// Sets the owner to connect to and leaves any other owner.
    void setOwner(Instant now, std::int64_t term, const std::string& address, int port, const Wire::NodeHello& farewell,
        Actions& actions);
    /// Leaves the owner and makes no new connection until an owner is set. The farewell carries the term of a later
    /// owner: the former one may have no other way to learn that it has been followed, as when the store turns it away.
    void disconnect(Instant now, const Wire::NodeHello& farewell, Actions& actions);
    /// Closes the connection and makes a new one to the same owner.
    void redial(Instant now, Actions& actions);
    /// Returns true if the link is this connection.
    bool onUp(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions);
    bool onDown(Instant now, LinkId link);
    /// A message was received on the link.
    void onMessageReceived(Instant now, LinkId link);
    /// Returns true if this call closed a silent connection. `busy` says that an answer is awaited on it.
    bool tick(Instant now, bool busy, Actions& actions);

    bool isUp() const { return m_up; }
    LinkId link() const { return m_link; }

private:
    LinkId nextLinkId();

    LinkTiming m_timing;
    std::string m_address;
    int m_port = 0;
    std::int64_t m_term = 0;
    LinkId m_link = noLink;
    LinkId m_lastLinkId;
    /// The connection to the former owner. It stays open for a while so that the farewell is sent.
    LinkId m_formerLink = noLink;
    Instant m_closeFormerLinkAt;
    std::optional<LinkMonitor> m_monitor;
    bool m_up = false;
    Instant m_nextDialAt;
};

} // namespace Plantainpier
