/// Which connections are given up when a request times out: all that may have gone silent with the one that carried the
/// request, and no others, since new connections are expensive.
#include "Shell/Connection/ConnectionTable.h"
#include "Support/VirtualTime.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class ConnectionTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionTableTest);
    CPPUNIT_TEST(givesUpAllThatMayHaveGoneSilent);
    CPPUNIT_TEST(keepsAConnectionThatHasAnsweredSince);
    CPPUNIT_TEST(keepsAConnectionInUse);
    CPPUNIT_TEST(keepsConnectionsToOtherPeers);
    CPPUNIT_TEST(tellsConnectionsApartThatUseOneDescriptorInTurn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int firstDescriptor = 10;
    static constexpr int firstLocalPort = 40'000;
    const std::string m_peer = "10.0.0.1:8080";
    const std::string m_otherPeer = "10.0.0.2:8080";
    ConnectionTable m_table;

    /// Opens connections that are idle after their first answer at time 0.
    void openIdleConnections(int count)
    {
        for (int n = 0; n < count; ++n) {
            const ConnectionId id = m_table.add(firstDescriptor + n, m_peer);
            m_table.onEstablished(at(0), id, firstLocalPort + n);
            m_table.onAnswered(at(0), id);
        }
    }

    std::string silentSince(Instant since, const std::string& peer) const
    {
        std::vector<int> descriptors = m_table.findIdleUnprovedSince(peer, since);
        std::sort(descriptors.begin(), descriptors.end());
        std::string text;
        for (const int descriptor : descriptors)
            text += (text.empty() ? "" : " ") + std::to_string(descriptor);
        return text;
    }

    // Guards against a second time-out on a further connection of those that have gone silent together.
    void givesUpAllThatMayHaveGoneSilent()
    {
        openIdleConnections(3);
        CPPUNIT_ASSERT_EQUAL(std::string("10 11 12"), silentSince(at(1000), m_peer));
    }

    // Guards against a slow answer on one connection that replaces all others, although they work.
    void keepsAConnectionThatHasAnsweredSince()
    {
        openIdleConnections(3);
        const ConnectionId id = m_table.onReused(m_peer, firstLocalPort + 1);
        CPPUNIT_ASSERT(id != noConnection);
        m_table.onAnswered(at(1500), id);
        CPPUNIT_ASSERT_EQUAL(std::string("10 12"), silentSince(at(1000), m_peer));
    }

    // Guards against cutting a request in progress, whose outcome would then be unknown.
    void keepsAConnectionInUse()
    {
        openIdleConnections(2);
        m_table.onReused(m_peer, firstLocalPort);
        m_table.add(firstDescriptor + 2, m_peer);
        CPPUNIT_ASSERT_EQUAL(std::string("11"), silentSince(at(1000), m_peer));
    }

    // Guards against new connections to all peers when one of them is silent.
    void keepsConnectionsToOtherPeers()
    {
        openIdleConnections(1);
        const ConnectionId other = m_table.add(firstDescriptor + 1, m_otherPeer);
        // Local ports are unique for each peer only.
        m_table.onEstablished(at(0), other, firstLocalPort);
        m_table.onAnswered(at(0), other);
        CPPUNIT_ASSERT_EQUAL(std::string("10"), silentSince(at(1000), m_peer));
        CPPUNIT_ASSERT_EQUAL(other, m_table.onReused(m_otherPeer, firstLocalPort));
        CPPUNIT_ASSERT_EQUAL(std::string("10"), silentSince(at(1000), m_peer));
        CPPUNIT_ASSERT_EQUAL(std::string(), silentSince(at(1000), m_otherPeer));
    }

    // Guards against taking the end of a request on a closed connection for one on the next connection that got its
    // descriptor.
    void tellsConnectionsApartThatUseOneDescriptorInTurn()
    {
        const ConnectionId former = m_table.add(firstDescriptor, m_peer);
        m_table.onEstablished(at(0), former, firstLocalPort);
        m_table.remove(firstDescriptor);
        const ConnectionId next = m_table.add(firstDescriptor, m_peer);
        m_table.onEstablished(at(0), next, firstLocalPort + 1);
        m_table.onAnswered(at(10), former);
        CPPUNIT_ASSERT_EQUAL(std::string(), silentSince(at(1000), m_peer));
        CPPUNIT_ASSERT_EQUAL(noConnection, m_table.onReused(m_peer, firstLocalPort));
        m_table.onAnswered(at(20), next);
        CPPUNIT_ASSERT_EQUAL(std::string("10"), silentSince(at(1000), m_peer));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTableTest);
