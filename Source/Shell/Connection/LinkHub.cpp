#include "Shell/Connection/LinkHub.h"

#include <spdlog/spdlog.h>

namespace Plantainpier {

namespace {

    using apache::thrift::transport::TServerSocket;
    using apache::thrift::transport::TSocket;

    constexpr int connectTimeoutMilliseconds = 700;
    constexpr int sendTimeoutMilliseconds = 2'000;
    constexpr Duration stopTimeout = seconds(3);

} // namespace

LinkHub::LinkHub(LinkHooks hooks)
    : m_hooks(std::move(hooks))
{
}

Result<std::unique_ptr<LinkHub>> LinkHub::create(
    const std::string& address, int port, LinkHooks hooks, Duration acceptedTimeout)
{
    std::unique_ptr<LinkHub> hub(new LinkHub(std::move(hooks)));
    try {
        hub->m_server = std::make_shared<TServerSocket>(address, port);
        hub->m_server->setSendTimeout(sendTimeoutMilliseconds);
        hub->m_server->setRecvTimeout(static_cast<int>(toMilliseconds(acceptedTimeout)));
        hub->m_server->listen();
    } catch (const std::exception& exception) {
        return Error { ErrorCode::AddressInUse,
            "cannot listen on " + address + ":" + std::to_string(port) + ": " + exception.what() };
    }
    LinkHub* self = hub.get();
    hub->m_acceptor = std::thread([self] { self->accept(); });
    return hub;
}

LinkHub::~LinkHub() { stop(); }

void LinkHub::accept()
{
    while (true) {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopping)
                return;
        }
        try {
            const std::shared_ptr<TSocket> socket = std::dynamic_pointer_cast<TSocket>(m_server->accept());
            add(++m_lastAccepted, socket);
        } catch (const std::exception& exception) {
            spdlog::debug("event=accept_ended text=\"{}\"", exception.what());
        }
    }
}

LinkHooks LinkHub::makeLinkHooks()
{
    LinkHooks hooks = m_hooks;
    hooks.onDown = [this](LinkId link, const std::string& reason) { onLinkDown(link, reason); };
    return hooks;
}

void LinkHub::add(LinkId id, Link::Socket socket)
{
    const std::shared_ptr<Link> link = Link::create(id, std::move(socket), makeLinkHooks());
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopping)
            return;
        m_links[id] = link;
    }
    link->start();
}

void LinkHub::open(LinkId link, const std::string& address, int port)
{
    const std::shared_ptr<TSocket> socket = std::make_shared<TSocket>(address, port);
    socket->setConnTimeout(connectTimeoutMilliseconds);
    socket->setSendTimeout(sendTimeoutMilliseconds);
    add(link, socket);
}

std::shared_ptr<Link> LinkHub::find(LinkId link)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::unordered_map<LinkId, std::shared_ptr<Link>>::iterator it = m_links.find(link);
    return it == m_links.end() ? nullptr : it->second;
}

void LinkHub::close(LinkId link)
{
    const std::shared_ptr<Link> session = find(link);
    if (session)
        session->close();
}

void LinkHub::send(LinkId link, PeerMessage message)
{
    const std::shared_ptr<Link> session = find(link);
    // The connection to a peer that no longer reads is closed. The outcome of its requests is queried over a new
    // connection.
    if (session && !session->send(std::move(message)))
        session->close();
}

void LinkHub::onLinkDown(LinkId link, const std::string& reason)
{
    m_hooks.onDown(link, reason);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_links.erase(link);
    m_linkRemoved.notify_all();
}

void LinkHub::stop()
{
    std::unordered_map<LinkId, std::shared_ptr<Link>> links;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        links = m_links;
    }
    m_server->interrupt();
    if (m_acceptor.joinable())
        m_acceptor.join();
    for (const std::pair<const LinkId, std::shared_ptr<Link>>& entry : links)
        entry.second->close();
    std::unique_lock<std::mutex> lock(m_mutex);
    m_linkRemoved.wait_for(lock, stopTimeout, [this] { return m_links.empty(); });
}

} // namespace Plantainpier
