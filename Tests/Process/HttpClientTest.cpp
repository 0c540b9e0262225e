/// The HTTP client against a server that breaks connections: which requests are sent twice, and which are reported as
/// not sent.
#include "Shell/Connection/HttpClient.h"
#include "Process/HttpStandIn.h"
#include "platform/HostProtocol.h"
#include "platform/StoreProtocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>
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
    CPPUNIT_TEST(aLateAnswerIsNotTakenForTheNextOne);
    CPPUNIT_TEST(listsAreAnsweredAfterOneSilentConnection);
    CPPUNIT_TEST(listsAreAnsweredAfterSixtySilentConnections);
    CPPUNIT_TEST(readsAreAnsweredAfterSixtySilentConnections);
    CPPUNIT_TEST(appendsAreAnsweredAfterSixtySilentConnections);
    CPPUNIT_TEST(connectionsToOtherServersAreKept);
    CPPUNIT_TEST_SUITE_END();

    using SteadyClock = std::chrono::steady_clock;
    using MakeRequest = std::function<HttpRequest(const HttpStandIn& standIn, int number)>;

    static constexpr int manyConnections = 60;
    /// The platform's bound contact_ms: a process counts as in touch again this long after a disruption.
    static constexpr std::chrono::seconds contactTime { 3 };

    std::shared_ptr<HttpClient> m_http;

    static HttpRequest listRequest(const HttpStandIn& standIn, int)
    {
        ListHost list;
        list.hostId = "host-1";
        list.wait = HostAgentTiming {}.listWait;
        return HostProtocol("127.0.0.1", standIn.port()).encodeList(list);
    }

    static HttpRequest startRequest(const HttpStandIn& standIn, int run)
    {
        StartOnHost order;
        order.hostId = "host-1";
        order.order.task.jobId = "00000000000000aa";
        order.order.run = run;
        return HostProtocol("127.0.0.1", standIn.port()).encodeStart(order);
    }

    static HttpRequest appendRequest(const HttpStandIn& standIn, int number)
    {
        AppendToStore append;
        append.epoch = 1;
        append.appendNumber = number;
        append.timeout = seconds(1);
        return StoreProtocol("127.0.0.1", standIn.port()).encodeAppend(append);
    }

    static HttpRequest readRequest(const HttpStandIn& standIn, int from)
    {
        ReadStore read;
        read.fromOffset = from;
        return StoreProtocol("127.0.0.1", standIn.port()).encodeRead(read);
    }

    static std::string kindName(HttpResponse::Kind kind)
    {
        if (kind == HttpResponse::Kind::Answered)
            return "answered";
        return kind == HttpResponse::Kind::NotConnected ? "not connected" : "broken";
    }

    /// Sends this many requests at the same time and waits for their answers, so that each has a connection.
    void openConnections(const HttpStandIn& standIn, int count, const MakeRequest& makeRequest) const
    {
        std::vector<std::future<HttpResponse>> answers;
        for (int n = 1; n <= count; ++n) {
            const std::shared_ptr<std::promise<HttpResponse>> promise = std::make_shared<std::promise<HttpResponse>>();
            answers.push_back(promise->get_future());
            m_http->submit(makeRequest(standIn, n),
                [promise](HttpResponse&& response) { promise->set_value(std::move(response)); });
        }
        for (std::future<HttpResponse>& answer : answers)
            CPPUNIT_ASSERT_EQUAL(kindName(HttpResponse::Kind::Answered), kindName(answer.get().kind));
        CPPUNIT_ASSERT_EQUAL(count, standIn.acceptedCount());
    }

    /// Opens idle connections, silences them, and repeats a request until it is answered.
    void checkServiceAfterSilence(int connections, const MakeRequest& makeRequest) const
    {
        HttpStandIn standIn({ .requestsAtOnce = connections });
        openConnections(standIn, connections, makeRequest);
        standIn.silenceOpenConnections();
        const SteadyClock::time_point silentAt = SteadyClock::now();
        int unanswered = 0;
        for (int n = connections + 1; SteadyClock::now() - silentAt < contactTime; ++n) {
            if (m_http->fetch(makeRequest(standIn, n)).kind == HttpResponse::Kind::Answered)
                break;
            ++unanswered;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests without an answer", 1, unanswered);
        CPPUNIT_ASSERT(SteadyClock::now() - silentAt < contactTime);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("new connections", connections + 1, standIn.acceptedCount());
    }

    void checkKind(const std::string& what, HttpResponse::Kind expected, HttpRequest&& request) const
    {
        const HttpResponse response = m_http->fetch(std::move(request));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + response.text, kindName(expected), kindName(response.kind));
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
    // Guards against the HTTP library repeating an order that one incarnation of a host has read, so that the next
    // incarnation receives the order too.
    void anOrderOnABrokenConnectionArrivesOnce()
    {
        HttpStandIn standIn({ .unansweredRequest = 2 });
        checkKind("first", HttpResponse::Kind::Answered, startRequest(standIn, 1));
        const HttpResponse broken = m_http->fetch(startRequest(standIn, 2));
        // This order takes the same path through the client, later: all that was sent before has arrived once it is
        // answered.
        checkKind("next", HttpResponse::Kind::Answered, startRequest(standIn, 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "times that the server received the unanswered request", 1, standIn.countReceived("\"run\":2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.text, kindName(HttpResponse::Kind::Broken), kindName(broken.kind));
    }

    // Guards against an append that is sent twice unnoticed by the store writer: the store would write it twice or
    // reject the repeat.
    void anAppendOnABrokenConnectionArrivesOnce()
    {
        HttpStandIn standIn({ .unansweredRequest = 2 });
        checkKind("first", HttpResponse::Kind::Answered, appendRequest(standIn, 1));
        const HttpResponse broken = m_http->fetch(appendRequest(standIn, 2));
        checkKind("next", HttpResponse::Kind::Answered, appendRequest(standIn, 3));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "times that the server received the unanswered request", 1, standIn.countReceived("&seq=2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.text, kindName(HttpResponse::Kind::Broken), kindName(broken.kind));
    }

    // Guards against a task that runs twice: the owner places a start on another host if the start is reported as never
    // sent.
    void anOrderThatWasSentIsNotCalledUnsent()
    {
        HttpStandIn standIn({ .unansweredRequest = 2, .closesPort = true });
        checkKind("first", HttpResponse::Kind::Answered, startRequest(standIn, 1));
        checkKind("sent", HttpResponse::Kind::Broken, startRequest(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.countReceived("\"run\":2"));
    }

    // Guards against a read being reported as not sent: the repeat finds the port closed, but the first request was
    // sent.
    void aReadThatWasSentIsNotCalledUnsent()
    {
        HttpStandIn standIn({ .unansweredRequest = 2, .closesPort = true });
        checkKind("first", HttpResponse::Kind::Answered, readRequest(standIn, 1));
        checkKind("sent", HttpResponse::Kind::Broken, readRequest(standIn, 2));
    }

    // Guards against failing a store read whenever a connection breaks.
    void aReadOnABrokenConnectionIsRepeated()
    {
        HttpStandIn standIn({ .unansweredRequest = 2 });
        checkKind("first", HttpResponse::Kind::Answered, readRequest(standIn, 1));
        checkKind("second", HttpResponse::Kind::Answered, readRequest(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(2, standIn.countReceived("&from=2"));
    }

    // Guards against orders that fail because the host has closed an idle connection: nothing was sent over it, so the
    // order may be sent over a new one.
    void aConnectionThatWasClosedBeforeIsReplaced()
    {
        HttpStandIn standIn({ .lastBeforeClose = 1 });
        checkKind("first", HttpResponse::Kind::Answered, startRequest(standIn, 1));
        for (int n = 0; n < 500 && standIn.closedCount() == 0; ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.closedCount());
        checkKind("second", HttpResponse::Kind::Answered, startRequest(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(1, standIn.countReceived("\"run\":2"));
        CPPUNIT_ASSERT_EQUAL(2, standIn.acceptedCount());
    }

    // Guards against treating every failure as uncertain: an order that was never sent can be placed on another host at
    // once.
    void nothingIsSentToAClosedPort()
    {
        HttpStandIn standIn({ .unansweredRequest = 1, .closesPort = true });
        checkKind("sent", HttpResponse::Kind::Broken, startRequest(standIn, 1));
        checkKind("never sent", HttpResponse::Kind::NotConnected, startRequest(standIn, 2));
        CPPUNIT_ASSERT_EQUAL(0, standIn.countReceived("\"run\":2"));
    }

    // Guards against a late answer to a list that timed out being taken for the answer to the next list: the runs that
    // were started meanwhile would be missing from it.
    void aLateAnswerIsNotTakenForTheNextOne()
    {
        constexpr int conflict = 409;
        HttpStandIn standIn({ .lateRequest = 2 });
        checkKind("first", HttpResponse::Kind::Answered, startRequest(standIn, 1));
        HttpRequest late = startRequest(standIn, 2);
        late.timeout = milliseconds(HttpStandIn::lateAnswerMilliseconds / 4);
        checkKind("late", HttpResponse::Kind::Broken, std::move(late));
        for (int run = 3; run <= 5; ++run) {
            const HttpResponse response = m_http->fetch(startRequest(standIn, run));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                response.text, kindName(HttpResponse::Kind::Answered), kindName(response.kind));
            CPPUNIT_ASSERT(response.status != conflict);
        }
        CPPUNIT_ASSERT_EQUAL(1, standIn.countReceived("\"run\":2"));
        CPPUNIT_ASSERT_EQUAL(2, standIn.acceptedCount());
    }

    // Guards against a client that sends each request over a further idle connection of those that have gone silent, so
    // that a host is out of reach for a second for each connection that was open to it.
    void listsAreAnsweredAfterSixtySilentConnections() { checkServiceAfterSilence(manyConnections, listRequest); }

    // Guards against the same with the only connection.
    void listsAreAnsweredAfterOneSilentConnection() { checkServiceAfterSilence(1, listRequest); }

    // Guards against the same towards the store, with requests that may be sent twice.
    void readsAreAnsweredAfterSixtySilentConnections() { checkServiceAfterSilence(manyConnections, readRequest); }

    // Guards against the same towards the store, with requests that must not be sent twice.
    void appendsAreAnsweredAfterSixtySilentConnections() { checkServiceAfterSilence(manyConnections, appendRequest); }

    // Guards against new connections to all peers whenever one of them is slow.
    void connectionsToOtherServersAreKept()
    {
        HttpStandIn silent({});
        HttpStandIn other({ .requestsAtOnce = manyConnections });
        openConnections(silent, 1, startRequest);
        openConnections(other, manyConnections, startRequest);
        silent.silenceOpenConnections();
        checkKind("silent", HttpResponse::Kind::Broken, startRequest(silent, 2));
        for (int n = 1; n <= manyConnections; ++n)
            checkKind("other", HttpResponse::Kind::Answered, startRequest(other, n));
        CPPUNIT_ASSERT_EQUAL(manyConnections, other.acceptedCount());
    }

    // Guards against opening a new connection for each order.
    void ordersKeepTheirConnection()
    {
        constexpr int orders = 20;
        HttpStandIn standIn({});
        for (int n = 1; n <= orders; ++n)
            checkKind("start", HttpResponse::Kind::Answered, startRequest(standIn, n));
        CPPUNIT_ASSERT_EQUAL(orders, standIn.countReceived("run-start"));
        CPPUNIT_ASSERT_EQUAL(1, standIn.acceptedCount());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
