#include "Decision/Connection/LinkMonitor.h"

#include <algorithm>

namespace Plantainpier {

LinkMonitor::LinkMonitor(const LinkTiming& timing, Instant now)
    : m_timing(timing)
    , m_silentSince(now)
    , m_lastHeartbeat(now)
    , m_lastTick(now)
{
}

void LinkMonitor::onUp(Instant now)
{
    m_up = true;
    m_silentSince = now;
    m_lastHeartbeat = now;
}

void LinkMonitor::onReceived(Instant now) { m_silentSince = now; }

LinkAction LinkMonitor::tick(Instant now, bool busy)
{
    // After a long gap between ticks this process was paused, and messages of the peer may still be in the receive
    // buffer; the time-out therefore starts again. The time-out also starts again when the link becomes busy, because
    // the peer had nothing to answer before.
    const bool paused = now - m_lastTick > m_timing.busyTimeout / 2;
    if (paused || (busy && !m_busy))
        m_silentSince = now;
    m_lastTick = now;
    m_busy = busy;
    const Duration silenceLimit = busy ? m_timing.busyTimeout : m_timing.idleTimeout;
    if (now - m_silentSince > (m_up ? silenceLimit : m_timing.connectTimeout))
        return LinkAction::Close;
    const Duration heartbeatInterval = busy ? m_timing.busyHeartbeatInterval : m_timing.idleHeartbeatInterval;
    // No heartbeat is due until this long after the last heartbeat sent and the last message received.
    if (!m_up || now - std::max(m_lastHeartbeat, m_silentSince) < heartbeatInterval)
        return LinkAction::None;
    m_lastHeartbeat = now;
    ++m_heartbeatNumber;
    return LinkAction::SendHeartbeat;
}

} // namespace Plantainpier
