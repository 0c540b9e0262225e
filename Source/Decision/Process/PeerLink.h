/// The connection of an entry or a side to the owner: dials, greets, watches for silence, dials again.
#pragma once

#include "Decision/Connection/LinkMonitor.h"
#include "Decision/Process/Message.h"

#include <optional>

namespace Plantainpier {

/// One connection at a time to whoever owns. Lives for the process.
class PeerLink {
public:
    PeerLink();

    /// The owner to be connected to; the connection to another one is closed.
    void setOwner(Instant now, std::int64_t term, const std::string& address, int port, Actions& actions);
    /// Nobody to be connected to.
    void clear(Actions& actions);
    /// True when the link is this one.
    bool onUp(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions);
    bool onDown(Instant now, LinkId link);
    /// Something came over the link.
    void onHeard(Instant now, LinkId link);
    /// True when the connection was given up in this call. Busy says that an answer is awaited.
    bool tick(Instant now, bool busy, Actions& actions);

    bool isUp() const { return m_up; }
    LinkId link() const { return m_link; }

private:
    LinkId newLink();

    LinkTiming m_timing;
    std::string m_address;
    int m_port = 0;
    std::int64_t m_term = 0;
    LinkId m_link = noLink;
    LinkId m_lastLink;
    std::optional<LinkMonitor> m_monitor;
    bool m_up = false;
    Instant m_notBefore;
};

} // namespace Plantainpier
