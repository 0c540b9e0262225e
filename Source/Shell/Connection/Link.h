/// One connection between two processes of the system: one-way Thrift messages in both directions.
#pragma once

#include "Base/BoundedRing.h"
#include "Decision/Process/Message.h"

#include <functional>
#include <memory>
#include <thrift/transport/TSocket.h>

namespace Plantainpier {

/// What a link tells its owner. Called on the link's own threads.
struct LinkHooks {
    std::function<void(LinkId link)> onUp;
    /// Called exactly once, whatever ended the link.
    std::function<void(LinkId link, const std::string& why)> onDown;
    std::function<void(LinkId link, PeerMessage&& message)> onMessage;
};

/// A session over one TCP connection with a reading and a writing thread. Keeps itself alive until both have ended.
class Link : public std::enable_shared_from_this<Link> {
public:
    using Socket = std::shared_ptr<apache::thrift::transport::TSocket>;

    /// Over a socket that was accepted (already open) or is still to be connected by the link's own thread.
    static std::shared_ptr<Link> create(LinkId id, Socket socket, LinkHooks hooks);

    void start();
    /// False when the peer takes messages slower than they come and the ring is full.
    bool send(PeerMessage message);
    /// Ends the session; safe from any thread.
    void close();
    LinkId id() const { return m_id; }

private:
    Link(LinkId id, Socket socket, LinkHooks hooks);
    void read();
    void write();
    void end(const std::string& why);

    LinkId m_id;
    Socket m_socket;
    LinkHooks m_hooks;
    BoundedRing<PeerMessage> m_outgoing;
    std::mutex m_mutex;
    bool m_connected = false;
    bool m_closing = false;
    bool m_ended = false;
};

} // namespace Plantainpier
