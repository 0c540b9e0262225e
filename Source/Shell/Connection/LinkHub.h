/// All connections of a process to its peers: accepts and opens connections and finds them by id.
#pragma once

#include "Shell/Connection/Link.h"

#include <condition_variable>
#include <thread>
#include <thrift/transport/TServerSocket.h>
#include <unordered_map>

namespace Plantainpier {

/// The Thrift port and the links of one process. Used by DecisionProcess; lives for the process.
class LinkHub {
public:
    /// How long the peer of an accepted link may send nothing. A peer that opens a link sends heartbeats on it, a
    /// second apart at most (LinkTiming), and opens a new link if it gets no answer; without this limit the silent one
    /// would keep its threads and its descriptor for good.
    static constexpr Duration acceptedLinkTimeout = seconds(10);

    static Result<std::unique_ptr<LinkHub>> create(
        const std::string& address, int port, LinkHooks hooks, Duration acceptedTimeout = acceptedLinkTimeout);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    /// Starts to connect to a peer; the hooks report the result.
    void open(LinkId link, const std::string& address, int port);
    void close(LinkId link);
    /// Sends a message on the link. Closes the link if its queue is full.
    void send(LinkId link, PeerMessage message);
    /// Closes the port and all links, and waits for a limited time until the links have ended.
    void stop();

private:
    explicit LinkHub(LinkHooks hooks);
    void accept();
    void add(LinkId id, Link::Socket socket);
    std::shared_ptr<Link> find(LinkId link);
    LinkHooks makeLinkHooks();
    void onLinkDown(LinkId link, const std::string& reason);

    LinkHooks m_hooks;
    std::shared_ptr<apache::thrift::transport::TServerSocket> m_server;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::condition_variable m_linkRemoved;
    std::unordered_map<LinkId, std::shared_ptr<Link>> m_links;
    LinkId m_lastAccepted = noLink;
    bool m_stopping = false;
};

} // namespace Plantainpier
