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
    CPPUNIT_TEST_SUITE_END();

    static constexpr int sentMessages = 20;

    std::mutex m_mutex;
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

    /// Opens the port of the hub. A message of a peer is processed slowly at first, while answers to it fail.
    int openHub()
    {
        LinkHooks hooks;
        hooks.onUp = [](LinkId) {};
        hooks.onDown = [this](LinkId, const std::string&) {
            std::lock_guard<std::mutex> lock(m_mutex);
            ++m_ends;
            m_changed.notify_all();
        };
        hooks.onMessage = [this](LinkId link, PeerMessage&&) {
            bool isFirst = false;
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                isFirst = ++m_messages == 1;
                m_messagesAfterEnd += m_ends > 0 ? 1 : 0;
            }
            for (int n = 0; isFirst && n < 20 && !hasEnded(milliseconds(20)); ++n)
                m_hub->send(link, Wire::Pong());
        };
        const int port = findFreePort();
        Result<std::unique_ptr<LinkHub>> hub = LinkHub::create("127.0.0.1", port, std::move(hooks));
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
    // Guards against an owner that takes a report for one of a live connection after the connection has ended: it
    // would send orders over a link that no longer exists, and nothing would tell it.
    void theEndOfALinkIsReportedAfterItsMessages()
    {
        sendMessages(openHub());
        CPPUNIT_ASSERT(hasEnded(seconds(5)));
        m_hub->stop();
        CPPUNIT_ASSERT_EQUAL(1, m_ends);
        CPPUNIT_ASSERT_EQUAL(0, m_messagesAfterEnd);
        CPPUNIT_ASSERT_EQUAL(sentMessages, m_messages);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkTest);
