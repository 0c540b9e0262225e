/// All connections of a process to its peers: accepts, dials, finds by id.
#pragma once

#include "Shell/Connection/Link.h"

#include <condition_variable>
#include <thread>
#include <thrift/transport/TServerSocket.h>
#include <unordered_map>

namespace Plantainpier {

/// The Thrift port and the links of one process. Lives for the process.
class LinkHub {
public:
    static Result<std::unique_ptr<LinkHub>> create(const std::string& address, int port, LinkHooks hooks);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    void open(LinkId link, const std::string& address, int port);
    void close(LinkId link);
    void send(LinkId link, PeerMessage message);
    /// Ends everything and waits for the sessions to be gone, for a bounded time.
    void stop();

private:
    explicit LinkHub(LinkHooks hooks);
    void accept();
    void add(LinkId id, Link::Socket socket);
    std::shared_ptr<Link> find(LinkId link);
    LinkHooks sessionHooks();
    void onSessionDown(LinkId link, const std::string& why);

    LinkHooks m_hooks;
    std::shared_ptr<apache::thrift::transport::TServerSocket> m_server;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::condition_variable m_sessionGone;
    std::unordered_map<LinkId, std::shared_ptr<Link>> m_links;
    LinkId m_lastAccepted = noLink;
    bool m_stopping = false;
};

} // namespace Plantainpier
