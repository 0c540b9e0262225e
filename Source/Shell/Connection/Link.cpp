#include "Shell/Connection/Link.h"

#include "Wire/Generated/Peer.h"

#include <sys/socket.h>
#include <thread>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Plantainpier {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::protocol::TCompactProtocol;
    using apache::thrift::transport::TFramedTransport;
    using apache::thrift::transport::TMemoryBuffer;
    using apache::thrift::transport::TTransportException;

    constexpr std::size_t outgoingCapacity = 16'384;
    constexpr int maximumFrameBytes = 8 << 20;
    constexpr Duration writerPopTimeout = seconds(1);

    std::shared_ptr<TConfiguration> makeConfiguration()
    {
        return std::make_shared<TConfiguration>(maximumFrameBytes, maximumFrameBytes);
    }

    /// Passes the calls of the generated processor on as typed messages.
    class MessageReceiver : public Wire::PeerIf {
    public:
        explicit MessageReceiver(std::function<void(PeerMessage&&)> onMessage)
            : m_onMessage(std::move(onMessage))
        {
        }

        void announce(const Wire::Announcement& message) override { m_onMessage(message); }
        void acknowledge(const Wire::AnnouncementAck& message) override { m_onMessage(message); }
        void ping(const Wire::Ping& message) override { m_onMessage(message); }
        void pong(const Wire::Pong& message) override { m_onMessage(message); }
        void run(const Wire::RunRequest& message) override { m_onMessage(message); }
        void answer(const Wire::RunAnswer& message) override { m_onMessage(message); }
        void resolve(const Wire::ResolveRequest& message) override { m_onMessage(message); }
        void claim(const Wire::ClaimRequest& message) override { m_onMessage(message); }
        void claimed(const Wire::ClaimAnswer& message) override { m_onMessage(message); }
        void releaseClaim(const Wire::ClaimRelease& message) override { m_onMessage(message); }
        void queryKey(const Wire::KeyQuery& message) override { m_onMessage(message); }
        void publishBundle(const Wire::BundleNotice& message) override { m_onMessage(message); }
        void reserve(const Wire::ReserveRequest& message) override { m_onMessage(message); }
        void reserved(const Wire::ReserveAnswer& message) override { m_onMessage(message); }
        void start(const Wire::StartRequest& message) override { m_onMessage(message); }
        void hold(const Wire::HoldRequest& message) override { m_onMessage(message); }
        void stop(const Wire::StopRequest& message) override { m_onMessage(message); }
        void report(const Wire::AttemptReport& message) override { m_onMessage(message); }
        void hello(const Wire::NodeHello& message) override { m_onMessage(message); }
        void hostReport(const Wire::HostReport& message) override { m_onMessage(message); }
        void hostOrders(const Wire::HostOrders& message) override { m_onMessage(message); }
        void jobCall(const Wire::JobCall& message) override { m_onMessage(message); }
        void jobReply(const Wire::JobReply& message) override { m_onMessage(message); }

    private:
        std::function<void(PeerMessage&&)> m_onMessage;
    };

    /// Sends each message type through the corresponding call of the generated client.
    class MessageSender {
    public:
        explicit MessageSender(Wire::PeerClient& client)
            : m_client(client)
        {
        }

        void operator()(const Wire::Announcement& message) const { m_client.announce(message); }
        void operator()(const Wire::AnnouncementAck& message) const { m_client.acknowledge(message); }
        void operator()(const Wire::Ping& message) const { m_client.ping(message); }
        void operator()(const Wire::Pong& message) const { m_client.pong(message); }
        void operator()(const Wire::RunRequest& message) const { m_client.run(message); }
        void operator()(const Wire::RunAnswer& message) const { m_client.answer(message); }
        void operator()(const Wire::ResolveRequest& message) const { m_client.resolve(message); }
        void operator()(const Wire::ClaimRequest& message) const { m_client.claim(message); }
        void operator()(const Wire::ClaimAnswer& message) const { m_client.claimed(message); }
        void operator()(const Wire::ClaimRelease& message) const { m_client.releaseClaim(message); }
        void operator()(const Wire::KeyQuery& message) const { m_client.queryKey(message); }
        void operator()(const Wire::BundleNotice& message) const { m_client.publishBundle(message); }
        void operator()(const Wire::ReserveRequest& message) const { m_client.reserve(message); }
        void operator()(const Wire::ReserveAnswer& message) const { m_client.reserved(message); }
        void operator()(const Wire::StartRequest& message) const { m_client.start(message); }
        void operator()(const Wire::HoldRequest& message) const { m_client.hold(message); }
        void operator()(const Wire::StopRequest& message) const { m_client.stop(message); }
        void operator()(const Wire::AttemptReport& message) const { m_client.report(message); }
        void operator()(const Wire::NodeHello& message) const { m_client.hello(message); }
        void operator()(const Wire::HostReport& message) const { m_client.hostReport(message); }
        void operator()(const Wire::HostOrders& message) const { m_client.hostOrders(message); }
        void operator()(const Wire::JobCall& message) const { m_client.jobCall(message); }
        void operator()(const Wire::JobReply& message) const { m_client.jobReply(message); }

    private:
        Wire::PeerClient& m_client;
    };

} // namespace

Link::Link(LinkId id, Socket socket, LinkHooks hooks)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_hooks(std::move(hooks))
    , m_outgoing(outgoingCapacity)
{
}

std::shared_ptr<Link> Link::create(LinkId id, Socket socket, LinkHooks hooks)
{
    return std::shared_ptr<Link>(new Link(id, std::move(socket), std::move(hooks)));
}

void Link::start()
{
    std::thread([self = shared_from_this()] { self->runReader(); }).detach();
}

bool Link::send(PeerMessage message)
{
    return isHeartbeat(message) ? m_outgoing.pushUrgent(std::move(message)) : m_outgoing.push(std::move(message));
}

void Link::close()
{
    m_outgoing.close();
    std::lock_guard<std::mutex> lock(m_mutex);
    m_closing = true;
    // Unblocks a read or write on another thread. The descriptor stays open until the link is destroyed, because the
    // other threads still use it.
    if (m_connected)
        ::shutdown(m_socket->getSocketFD(), SHUT_RDWR);
}

void Link::fail(const std::string& reason)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_failure.empty())
            m_failure = reason;
    }
    close();
}

void Link::runReader()
{
    std::string reason = "closed";
    try {
        if (!m_socket->isOpen())
            m_socket->open();
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_connected = true;
            if (m_closing)
                throw TTransportException(TTransportException::INTERRUPTED, "closed while connecting");
        }
        std::thread([self = shared_from_this()] { self->runWriter(); }).detach();
        m_hooks.onUp(m_id);
        // The processor swallows exceptions of the receiver, so a refusal is kept in a flag.
        bool isRefused = false;
        const std::shared_ptr<MessageReceiver> receiver
            = std::make_shared<MessageReceiver>([this, &isRefused](PeerMessage&& message) {
                  isRefused = isRefused || !m_hooks.onMessage(m_id, std::move(message));
              });
        Wire::PeerProcessor processor(receiver);
        const std::shared_ptr<TFramedTransport> framed
            = std::make_shared<TFramedTransport>(m_socket, makeConfiguration());
        const std::shared_ptr<TCompactProtocol> input = std::make_shared<TCompactProtocol>(framed);
        // One-way calls have no reply. The reply of the processor to an unknown call is discarded.
        const std::shared_ptr<TMemoryBuffer> unused = std::make_shared<TMemoryBuffer>();
        const std::shared_ptr<TCompactProtocol> output = std::make_shared<TCompactProtocol>(unused);
        while (!isRefused && processor.process(input, output, nullptr))
            unused->resetBuffer();
        if (isRefused)
            reason = "message refused: the queue of events is full";
    } catch (const std::exception& exception) {
        reason = exception.what();
    }
    close();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_failure.empty())
            reason = m_failure;
    }
    m_hooks.onDown(m_id, reason);
}

void Link::runWriter()
{
    try {
        const std::shared_ptr<TFramedTransport> framed
            = std::make_shared<TFramedTransport>(m_socket, makeConfiguration());
        Wire::PeerClient client(std::make_shared<TCompactProtocol>(framed));
        const MessageSender sender(client);
        while (true) {
            const std::optional<PeerMessage> message = m_outgoing.pop(writerPopTimeout);
            if (message)
                std::visit(sender, *message);
            else if (m_outgoing.isClosed())
                return;
        }
    } catch (const std::exception& exception) {
        // Ends the reader, which reports the end of the link after its last message.
        fail(exception.what());
    }
}

} // namespace Plantainpier
