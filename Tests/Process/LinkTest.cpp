/// Connections between processes against a peer that breaks them: the order in which messages and the end of a link
/// are reported.
#include "Shell/Connection/LinkHub.h"

#include "Process/Loopback.h"
#include "Wire/Generated/Peer.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

using namespace Plantainpier;

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

/// A port of the loopback interface that no process listens on.
int findFreePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length));
    ::close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace

class LinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkTest);
    CPPUNIT_TEST(theEndOfALinkIsReportedAfterItsMessages);
    CPPUNIT_TEST(aRefusedMessageEndsItsLink);
    CPPUNIT_TEST(aHeartbeatPassesQueuedMessages);
    CPPUNIT_TEST(anAcceptedLinkThatFallsSilentEnds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int sentMessages = 20;

    std::mutex m_mutex;
    /// Messages that a receiver takes before and including the first heartbeat.
    int m_messagesUpToHeartbeat = 0;
    bool m_isReading = false;
    std::condition_variable m_changed;
    std::unique_ptr<LinkHub> m_hub;
    int m_messages = 0;
    int m_messagesAfterEnd = 0;
    int m_ends = 0;

    bool hasEnded(Duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, timeout, [this] { return m_ends > 0; });
    }

    /// Processes the first message slowly, while answers to it fail.
    bool takeSlowly(LinkId link)
    {
        bool isFirst = false;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            isFirst = ++m_messages == 1;
            m_messagesAfterEnd += m_ends > 0 ? 1 : 0;
        }
        for (int n = 0; isFirst && n < 20 && !hasEnded(milliseconds(20)); ++n)
            m_hub->send(link, Wire::Pong());
        return true;
    }

    /// Opens the port of a hub and returns its number.
    int openHub(std::function<bool(LinkId link)> takeMessage, Duration acceptedTimeout = LinkHub::acceptedLinkTimeout)
    {
        LinkHooks hooks;
        hooks.onUp = [](LinkId) {};
        hooks.onDown = [this](LinkId, const std::string&) {
            std::lock_guard<std::mutex> lock(m_mutex);
            ++m_ends;
            m_changed.notify_all();
        };
        hooks.onMessage
            = [takeMessage = std::move(takeMessage)](LinkId link, PeerMessage&&) { return takeMessage(link); };
        const int port = findFreePort();
        Result<std::unique_ptr<LinkHub>> hub = LinkHub::create("127.0.0.1", port, std::move(hooks), acceptedTimeout);
        CPPUNIT_ASSERT(isOk(hub));
        m_hub = takeValue(std::move(hub));
        return port;
    }

    /// Sends messages to the hub and closes the connection.
    static void sendMessages(int port)
    {
        const std::shared_ptr<TSocket> socket = std::make_shared<TSocket>("127.0.0.1", port);
        socket->open();
        Wire::PeerClient peer(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket)));
        for (int n = 0; n < sentMessages; ++n)
            peer.ping(Wire::Ping());
        socket->close();
    }

public:
    void tearDown() override { m_hub.reset(); }

private:
    // Guards against an owner that misses one report of changes while its queue is full and takes the next one for
    // complete: an end that was in the lost report is not reported again over the same link.
    void aRefusedMessageEndsItsLink()
    {
        constexpr int refusedMessage = 3;
        sendMessages(openHub([this](LinkId) {
            std::lock_guard<std::mutex> lock(m_mutex);
            return ++m_messages != refusedMessage;
        }));
        CPPUNIT_ASSERT(hasEnded(seconds(5)));
        m_hub->stop();
        CPPUNIT_ASSERT_EQUAL(1, m_ends);
        CPPUNIT_ASSERT_EQUAL(refusedMessage, m_messages);
    }

    // Guards against an owner that takes a report for one of a live connection after the connection has ended: it
    // would send orders over a link that no longer exists, and nothing would tell it.
    void theEndOfALinkIsReportedAfterItsMessages()
    {
        sendMessages(openHub([this](LinkId link) { return takeSlowly(link); }));
        CPPUNIT_ASSERT(hasEnded(seconds(5)));
        m_hub->stop();
        CPPUNIT_ASSERT_EQUAL(1, m_ends);
        CPPUNIT_ASSERT_EQUAL(0, m_messagesAfterEnd);
        CPPUNIT_ASSERT_EQUAL(sentMessages, m_messages);
    }

    // Guards against an owner that keeps two threads and a descriptor for each connection that has ever gone silent:
    // the other end has replaced it and says nothing.
    void anAcceptedLinkThatFallsSilentEnds()
    {
        constexpr Duration timeout = milliseconds(400);
        constexpr int heartbeats = 6;
        const int port = openHub(
            [this](LinkId) {
                std::lock_guard<std::mutex> lock(m_mutex);
                ++m_messages;
                return true;
            },
            timeout);
        const std::shared_ptr<TSocket> socket = std::make_shared<TSocket>("127.0.0.1", port);
        socket->open();
        Wire::PeerClient peer(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket)));
        for (int n = 0; n < heartbeats; ++n) {
            peer.ping(Wire::Ping());
            CPPUNIT_ASSERT_MESSAGE("ended although heartbeats arrive", !hasEnded(timeout / 4));
        }
        CPPUNIT_ASSERT_MESSAGE("did not end without heartbeats", hasEnded(4 * timeout));
        m_hub->stop();
        CPPUNIT_ASSERT_EQUAL(heartbeats, m_messages);
    }

    // Guards against a living peer that is taken for dead because its heartbeats wait behind the orders or reports that
    // it sends.
    void aHeartbeatPassesQueuedMessages()
    {
        // More than the buffers of the sockets hold, so that the rest waits in the link.
        constexpr int orderCount = 600;
        constexpr std::size_t orderBytes = 100'000;
        LinkHooks hooks;
        hooks.onUp = [](LinkId) {};
        hooks.onDown = [](LinkId, const std::string&) {};
        hooks.onMessage = [this](LinkId, PeerMessage&& message) {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait_for(lock, seconds(5), [this] { return m_isReading; });
            ++m_messages;
            if (std::holds_alternative<Wire::Ping>(message))
                m_messagesUpToHeartbeat = m_messages;
            m_changed.notify_all();
            return true;
        };
        const int port = findFreePort();
        Result<std::unique_ptr<LinkHub>> receiver = LinkHub::create("127.0.0.1", port, std::move(hooks));
        CPPUNIT_ASSERT(isOk(receiver));
        openHub([](LinkId) { return true; });
        constexpr LinkId link = 1'000;
        m_hub->open(link, "127.0.0.1", port);
        Wire::HostOrders orders;
        orders.hostId = std::string(orderBytes, 'h');
        for (int n = 0; n < orderCount; ++n)
            m_hub->send(link, orders);
        m_hub->send(link, Wire::Ping());
        std::unique_lock<std::mutex> lock(m_mutex);
        m_isReading = true;
        m_changed.notify_all();
        const bool isComplete = m_changed.wait_for(lock, seconds(5), [this] { return m_messages == orderCount + 1; });
        const std::string text = std::to_string(m_messagesUpToHeartbeat) + " of " + std::to_string(m_messages);
        lock.unlock();
        m_hub->stop();
        valueOf(receiver)->stop();
        CPPUNIT_ASSERT_MESSAGE(text, isComplete);
        CPPUNIT_ASSERT_MESSAGE(text, m_messagesUpToHeartbeat <= orderCount / 2);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkTest);
