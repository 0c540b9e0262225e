/// The HTTP client against a server that breaks connections: what is sent twice, and what is said to be unsent.
#include "Shell/Connection/HttpClient.h"
#include "Process/HttpStandIn.h"
#include "platform/HostProtocol.h"
#include "platform/StoreProtocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace Plantainpier;
using namespace Plantainpier::Platform;

class HttpClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(anOrderOnABrokenConnectionArrivesOnce);
    CPPUNIT_TEST(anAppendOnABrokenConnectionArrivesOnce);
    CPPUNIT_TEST(anOrderThatWasSentIsNotCalledUnsent);
    CPPUNIT_TEST(aReadThatWasSentIsNotCalledUnsent);
    CPPUNIT_TEST(aReadOnABrokenConnectionIsRepeated);
    CPPUNIT_TEST(aConnectionThatWasClosedBeforeIsReplaced);
    CPPUNIT_TEST(nothingIsSentToAClosedPort);
    CPPUNIT_TEST(ordersKeepTheirConnection);
    CPPUNIT_TEST_SUITE_END();

    std::shared_ptr<HttpClient> m_http;

    static HttpRequest startOf(const HttpStandIn& standIn, int run)
    {
        StartOnHost order;
        order.hostId = "host-1";
        order.order.task.jobId = "00000000000000aa";
        order.order.run = run;
        return HostProtocol("127.0.0.1", standIn.port()).start(order);
    }

    static HttpRequest appendOf(const HttpStandIn& standIn, int number)
    {
        AppendToStore append;
        append.epoch = 1;
        append.number = number;
        append.timeout = seconds(1);
        return StoreProtocol("127.0.0.1", standIn.port()).append(append);
    }

    static HttpRequest readOf(const HttpStandIn& standIn, int from)
    {
        ReadStore read;
        read.from = from;
        return StoreProtocol("127.0.0.1", standIn.port()).read(read);
    }

    static std::string nameOf(HttpResponse::Kind kind)
    {
        if (kind == HttpResponse::Kind::Answered)
            return "answered";
        return kind == HttpResponse::Kind::NotConnected ? "not connected" : "broken";
    }

    void checkKind(const std::string& what, HttpResponse::Kind expected, HttpRequest&& request) const
    {
        const HttpResponse response = m_http->fetch(std::move(request));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + response.text, nameOf(expected), nameOf(response.kind));
    }

public:
    void setUp() override
    {
        Result<std::shared_ptr<HttpClient>> created = HttpClient::create();
        CPPUNIT_ASSERT(isOk(created));
        m_http = takeValue(std::move(created));
    }

    void tearDown() override { m_http.reset(); }

private:
    // Guards against an order that one life of a host has read being sent to the next one by the library.
    void anOrderOnABrokenConnectionArrivesOnce()
    {
        HttpStandIn standIn({ .unanswered = 2 });
        checkKind("first", HttpResponse::Kind::Answered, startOf(standIn, 1));
        const HttpResponse broken = m_http->fetch(startOf(standIn, 2));
        // Goes the same way through the client, and later: whatever was sent before has arrived by then.
        checkKind("next", HttpResponse::Kind::Answered, startOf(standIn, 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent again", 1, standIn.received("\"run\":2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.text, nameOf(HttpResponse::Kind::Broken), nameOf(broken.kind));
    }

    // Guards against an append being stored twice, or refused as its own repeat, without the journal knowing.
    void anAppendOnABrokenConnectionArrivesOnce()
    {
        HttpStandIn standIn({ .unanswered = 2 });
        checkKind("first", HttpResponse::Kind::Answered, appendOf(standIn, 1));
        const HttpResponse broken = m_http->fetch(appendOf(standIn, 2));
        checkKind("next", HttpResponse::Kind::Answered, appendOf(standIn, 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent again", 1, standIn.received("&seq=2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.text, nameOf(HttpResponse::Kind::Broken), nameOf(broken.kind));
    }

    // Guards against a task that runs twice: the owner places a start elsewhere that is said never to have been sent.
    void anOrderThatWasSentIsNotCalledUnsent()
    {
        HttpStandIn standIn({ .unanswered = 2, .closesPort = true });
        checkKind("first", HttpResponse::Kind::Answered, startOf(standIn, 1));
        checkKind("sent", HttpResponse::Kind::Broken, startOf(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.received("\"run\":2"));
    }

    // Guards against the same for what may be repeated: the repeat finds no port, but the first one was sent.
    void aReadThatWasSentIsNotCalledUnsent()
    {
        HttpStandIn standIn({ .unanswered = 2, .closesPort = true });
        checkKind("first", HttpResponse::Kind::Answered, readOf(standIn, 1));
        checkKind("sent", HttpResponse::Kind::Broken, readOf(standIn, 2));
    }

    // Guards against reads of the store that fail for each connection that breaks.
    void aReadOnABrokenConnectionIsRepeated()
    {
        HttpStandIn standIn({ .unanswered = 2 });
        checkKind("first", HttpResponse::Kind::Answered, readOf(standIn, 1));
        checkKind("second", HttpResponse::Kind::Answered, readOf(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(2, standIn.received("&from=2"));
    }

    // Guards against orders that fail because the host has closed an idle connection: nothing was sent on it.
    void aConnectionThatWasClosedBeforeIsReplaced()
    {
        HttpStandIn standIn({ .lastOfItsConnection = 1 });
        checkKind("first", HttpResponse::Kind::Answered, startOf(standIn, 1));
        for (int n = 0; n < 500 && standIn.closed() == 0; ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.closed());
        checkKind("second", HttpResponse::Kind::Answered, startOf(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.received("\"run\":2"));
        CPPUNIT_ASSERT_EQUAL(2, standIn.connections());
    }

    // Guards against holding every failure for uncertain: what was never sent can be placed elsewhere at once.
    void nothingIsSentToAClosedPort()
    {
        HttpStandIn standIn({ .unanswered = 1, .closesPort = true });
        checkKind("sent", HttpResponse::Kind::Broken, startOf(standIn, 1));
        checkKind("never sent", HttpResponse::Kind::NotConnected, startOf(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(0, standIn.received("\"run\":2"));
    }

    // Guards against a new connection for each order.
    void ordersKeepTheirConnection()
    {
        constexpr int orders = 20;
        HttpStandIn standIn({});
        for (int n = 1; n <= orders; ++n)
            checkKind("start", HttpResponse::Kind::Answered, startOf(standIn, n));
        CPPUNIT_ASSERT_EQUAL(orders, standIn.received("run-start"));
        CPPUNIT_ASSERT_EQUAL(1, standIn.connections());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
