#include "Decision/Connection/LinkMonitor.h"

#include <algorithm>

namespace Plantainpier {

LinkMonitor::LinkMonitor(const LinkTiming& timing, Instant now)
    : m_timing(timing)
    , m_waitingSince(now)
    , m_lastHeartbeat(now)
    , m_lastTick(now)
{
}

void LinkMonitor::onUp(Instant now)
{
    m_up = true;
    m_waitingSince = now;
    m_lastHeartbeat = now;
}

void LinkMonitor::onHeard(Instant now) { m_waitingSince = now; }

LinkAction LinkMonitor::tick(Instant now, bool busy)
{
    // A gap between ticks is a pause of this process, not silence of the peer: what was sent meanwhile still waits
    // in the receive buffer, so the peer gets a fresh wait. So does a peer that nothing was asked of until now.
    const bool paused = now - m_lastTick > m_timing.busySilence / 2;
    if (paused || (busy && !m_busy))
        m_waitingSince = now;
    m_lastTick = now;
    m_busy = busy;
    const Duration silence = busy ? m_timing.busySilence : m_timing.idleSilence;
    if (now - m_waitingSince > (m_up ? silence : m_timing.connect))
        return LinkAction::Suspect;
    const Duration heartbeat = busy ? m_timing.busyHeartbeat : m_timing.idleHeartbeat;
    // Whatever is heard is as good as the answer to a heartbeat.
    if (!m_up || now - std::max(m_lastHeartbeat, m_waitingSince) < heartbeat)
        return LinkAction::Fine;
    m_lastHeartbeat = now;
    ++m_heartbeatNumber;
    return LinkAction::SendHeartbeat;
}

} // namespace Plantainpier
