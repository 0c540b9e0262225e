/// Detects silent connections by heartbeats on the connection itself, with a time-out for every wait.
#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace Plantainpier {

/// Heartbeat intervals and time-outs of a link. A link is busy while an answer is awaited on it, otherwise idle.
struct LinkTiming {
    /// Time without received messages after which a heartbeat is sent.
    Duration busyHeartbeatInterval = milliseconds(50);
    Duration idleHeartbeatInterval = milliseconds(1000);
    /// Time without received messages after which the link must be closed.
    Duration busyTimeout = milliseconds(300);
    Duration idleTimeout = milliseconds(2500);
    /// Time-out for establishing the connection.
    Duration connectTimeout = milliseconds(700);
};

/// What the owner of a link must do with the link now.
enum class LinkAction {
    None,
    SendHeartbeat,
    Close,
};

/// Monitors one connection. Used by entries for data links, by sides for announcement links and by PeerLink.
class LinkMonitor {
public:
    LinkMonitor(const LinkTiming& timing, Instant now);

    void onUp(Instant now);
    void onReceived(Instant now);
    /// Returns the action that is due now; busy means that an answer is awaited on the link. A gap of more than half of
    /// the busy time-out between two calls counts as a pause of this process.
    LinkAction tick(Instant now, bool busy);

    bool isUp() const { return m_up; }
    std::int64_t heartbeatNumber() const { return m_heartbeatNumber; }

private:
    LinkTiming m_timing;
    bool m_up = false;
    /// Start of the current silence: the time of the last received message, or a later time from which the peer has a
    /// full time-out to answer.
    Instant m_silentSince;
    Instant m_lastHeartbeat;
    Instant m_lastTick;
    bool m_busy = false;
    std::int64_t m_heartbeatNumber = 0;
};

} // namespace Plantainpier
