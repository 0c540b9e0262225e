/// Finds connections that have gone silent: a heartbeat on the same connection with a bound on every wait.
#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Plantainpier {

/// How often a link is probed and when it is given up.
struct LinkTiming {
    /// Silence after which a heartbeat is sent, while answers are awaited on the link and while none is.
    Duration busyHeartbeat = milliseconds(50);
    Duration idleHeartbeat = milliseconds(1000);
    /// Silence after which a link is suspect, while answers are awaited on it and while none is.
    Duration busySilence = milliseconds(300);
    Duration idleSilence = milliseconds(2500);
    /// Longest wait for a connection to be made.
    Duration connect = milliseconds(700);
};

/// What to do about a link now.
enum class LinkAction {
    Fine,
    SendHeartbeat,
    Suspect,
};

/// Watches one connection. Used by entries for data links and by sides for announcement links.
class LinkMonitor {
public:
    LinkMonitor(const LinkTiming& timing, Instant now);

    void onUp(Instant now);
    void onHeard(Instant now);
    /// Call often; busy says that an answer is awaited on this link.
    LinkAction tick(Instant now, bool busy);

    bool isUp() const { return m_up; }
    std::int64_t heartbeatNumber() const { return m_heartbeatNumber; }

private:
    LinkTiming m_timing;
    bool m_up = false;
    /// When the wait for a sign of life began; moves with each sign of life.
    Instant m_waitingSince;
    Instant m_lastHeartbeat;
    Instant m_lastTick;
    bool m_busy = false;
    std::int64_t m_heartbeatNumber = 0;
};

} // namespace Plantainpier
