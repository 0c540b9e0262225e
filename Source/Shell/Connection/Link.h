/// One connection between two processes, with one-way Thrift messages in both directions. Used by LinkHub.
#pragma once

#include "Base/BoundedRing.h"
#include "Decision/Process/Message.h"

#include <functional>
#include <memory>
#include <thrift/transport/TSocket.h>

namespace Plantainpier {

/// Whether the message only shows that its sender lives. Its delay must not depend on the amount of other messages.
inline bool isHeartbeat(const PeerMessage& message)
{
    return std::holds_alternative<Wire::Ping>(message) || std::holds_alternative<Wire::Pong>(message);
}

/// Callbacks of a link. Called on the link's reader thread: onUp first, then onMessage, and onDown last.
struct LinkHooks {
    std::function<void(LinkId link)> onUp;
    /// Called exactly once for each link, with the reason for its end. A message after it would bind its sender to a
    /// link that no longer exists.
    std::function<void(LinkId link, const std::string& reason)> onDown;
    /// Returns false if the message cannot be taken. The link then ends without passing on any later message, because a
    /// message may say only what has changed since the one before.
    std::function<bool(LinkId link, PeerMessage&& message)> onMessage;
};

/// A TCP connection with a reader thread and a writer thread. The threads keep the link alive until both have ended.
class Link : public std::enable_shared_from_this<Link> {
public:
    using Socket = std::shared_ptr<apache::thrift::transport::TSocket>;

    /// Creates a link over an accepted socket, which is open, or over a socket that the link's own thread connects.
    static std::shared_ptr<Link> create(LinkId id, Socket socket, LinkHooks hooks);

    /// Starts the reader thread, which connects the socket if necessary and starts the writer thread.
    void start();
    /// Queues a message; heartbeats are sent before all others. Returns false if the link is closed, or if the queue is
    /// full because the peer reads too slowly.
    bool send(PeerMessage message);
    /// Closes the connection. May be called on any thread.
    void close();
    LinkId id() const { return m_id; }

private:
    Link(LinkId id, Socket socket, LinkHooks hooks);
    void runReader();
    void runWriter();
    void fail(const std::string& reason);

    LinkId m_id;
    Socket m_socket;
    LinkHooks m_hooks;
    BoundedRing<PeerMessage> m_outgoing;
    std::mutex m_mutex;
    bool m_connected = false;
    bool m_closing = false;
    /// The first failure of the writer. Empty if the writer has not failed.
    std::string m_failure;
};

} // namespace Plantainpier
