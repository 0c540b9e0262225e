#include "Decision/Process/PeerLink.h"

#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    /// Ids of dialed links start here, apart from those of accepted links.
    constexpr LinkId firstDialedLinkId = LinkId(1) << 32;
    constexpr Duration redialDelay = milliseconds(150);
    /// Time for the farewell to a former owner to be sent. That owner closes the connection sooner if it receives it.
    constexpr Duration farewellTime = seconds(1);

    /// Machines of the platform run with a twentieth of a core at times, so answers may take nearly as long as these
    /// limits.
    LinkTiming ownerLinkTiming()
    {
        LinkTiming timing;
        timing.busyHeartbeatInterval = milliseconds(200);
        timing.busyTimeout = milliseconds(900);
        timing.idleHeartbeatInterval = milliseconds(700);
        timing.idleTimeout = milliseconds(2000);
        return timing;
    }

} // namespace

PeerLink::PeerLink()
    : m_timing(ownerLinkTiming())
    , m_lastLinkId(firstDialedLinkId)
{
}

LinkId PeerLink::nextLinkId() { return ++m_lastLinkId; }

void PeerLink::setOwner(Instant now, std::int64_t term, const std::string& address, int port,
    const Wire::NodeHello& farewell, Actions& actions)
{
    if (term == m_term && address == m_address && port == m_port)
        return;
    disconnect(now, farewell, actions);
    m_term = term;
    m_address = address;
    m_port = port;
    m_nextDialAt = now;
}

void PeerLink::disconnect(Instant now, const Wire::NodeHello& farewell, Actions& actions)
{
    if (m_up) {
        if (m_formerLink != noLink)
            actions.push_back(CloseLink { m_formerLink });
        m_formerLink = m_link;
        m_closeFormerLinkAt = now + farewellTime;
        actions.push_back(SendMessage { m_link, farewell });
    } else if (m_link != noLink) {
        actions.push_back(CloseLink { m_link });
    }
    m_link = noLink;
    m_up = false;
    m_monitor.reset();
    m_address.clear();
    m_term = 0;
}

void PeerLink::redial(Instant now, Actions& actions)
{
    if (m_link == noLink)
        return;
    actions.push_back(CloseLink { m_link });
    m_link = noLink;
    m_up = false;
    m_monitor.reset();
    m_nextDialAt = now;
}

bool PeerLink::onUp(Instant now, LinkId link, const Wire::NodeHello& hello, Actions& actions)
{
    if (link != m_link)
        return false;
    m_up = true;
    m_monitor->onUp(now);
    actions.push_back(SendMessage { link, hello });
    return true;
}

bool PeerLink::onDown(Instant now, LinkId link)
{
    if (link == m_formerLink)
        m_formerLink = noLink;
    if (link != m_link || link == noLink)
        return false;
    m_link = noLink;
    m_up = false;
    m_monitor.reset();
    m_nextDialAt = now + redialDelay;
    return true;
}

void PeerLink::onMessageReceived(Instant now, LinkId link)
{
    if (link == m_link && m_monitor)
        m_monitor->onReceived(now);
}

bool PeerLink::tick(Instant now, bool busy, Actions& actions)
{
    if (m_formerLink != noLink && now >= m_closeFormerLinkAt) {
        actions.push_back(CloseLink { m_formerLink });
        m_formerLink = noLink;
    }
    if (m_address.empty())
        return false;
    if (m_link == noLink) {
        if (now < m_nextDialAt)
            return false;
        m_link = nextLinkId();
        m_monitor.emplace(m_timing, now);
        actions.push_back(OpenLink { m_link, m_address, m_port });
        return false;
    }
    switch (m_monitor->tick(now, busy)) {
    case LinkAction::None:
        return false;
    case LinkAction::SendHeartbeat: {
        Wire::Ping ping;
        ping.number = m_monitor->heartbeatNumber();
        actions.push_back(SendMessage { m_link, ping });
        return false;
    }
    case LinkAction::Close:
        actions.push_back(WriteLog { LogLine("owner_link_silent").add("owner", m_address).add("busy", busy).text() });
        actions.push_back(CloseLink { m_link });
        onDown(now, m_link);
        return true;
    }
    return false;
}

} // namespace Plantainpier
