/// The platform's protocols: messages are decoded in one place; unreadable parts yield no names and do not discard the
/// readable ones.
#include "Shell/Process/NodeSettings.h"
#include "Support/VirtualTime.h"
#include "platform/HostProtocol.h"
#include "platform/JobProtocol.h"
#include "platform/StoreProtocol.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;
using namespace Plantainpier::Platform;

class PlatformProtocolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformProtocolTest);
    CPPUNIT_TEST(readsAnAnnouncement);
    CPPUNIT_TEST(refusesInvalidAnnouncements);
    CPPUNIT_TEST(readsListsAndSkipsInvalidRows);
    CPPUNIT_TEST(distinguishesACompleteListFromAFullOne);
    CPPUNIT_TEST(aListThatIsMissingOrUnreadableShowsNoAbsence);
    CPPUNIT_TEST(endsAreReadInTheOrderOfTheirNumbers);
    CPPUNIT_TEST(distinguishesHostAnswers);
    CPPUNIT_TEST(encodesAndDecodesRecords);
    CPPUNIT_TEST(readsThePagesOfNewestRecords);
    CPPUNIT_TEST(anAppendWithoutAReadableAnswerIsUncertain);
    CPPUNIT_TEST(readsAConfiguration);
    CPPUNIT_TEST(mapsJobRepliesToClientAnswers);
    CPPUNIT_TEST(reportsAllErrorsOfTheSettings);
    CPPUNIT_TEST_SUITE_END();

    static HttpResponse response(int status, const std::string& body)
    {
        HttpResponse response;
        response.kind = HttpResponse::Kind::Answered;
        response.status = status;
        response.body = body;
        return response;
    }

    void readsAnAnnouncement()
    {
        const Result<HostDescription> description = decodeAnnouncement("i-1",
            R"({"service":"desk","address":"10.0.0.1:1","zone":"north","version":"v1","slots":8,"state":"draining",
                "remaining_ms":2500,"cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},
                "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000,"later":"ignored"})");
        CPPUNIT_ASSERT(isOk(description));
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), valueOf(description).rack);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(16'000), valueOf(description).capacity.milliProcessors);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'700'000'000'000), valueOf(description).incarnation);
        CPPUNIT_ASSERT(valueOf(description).draining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2500), valueOf(description).remainingMilliseconds);
    }

    void refusesInvalidAnnouncements()
    {
        const std::string capacity = R"("capacity":{"cpu":1,"mem_mb":1})";
        for (const std::string& body : { std::string("\x01\x02"), std::string("[]"), std::string("{}"),
                 R"({"service":"desk","state":"asleep","seq":1,)" + capacity + "}",
                 R"({"service":7,"state":"ready","seq":1,)" + capacity + "}",
                 R"({"service":"desk","state":"ready","seq":"4",)" + capacity + "}",
                 std::string(R"({"service":"desk","state":"ready","seq":1,"capacity":{"cpu":"many","mem_mb":1}})") })
            CPPUNIT_ASSERT_MESSAGE(body, !isOk(decodeAnnouncement("i-1", body)));
    }

    void readsListsAndSkipsInvalidRows()
    {
        const HostResponse list = HostProtocol::decodeResponse(response(200,
            R"({"clock_ms":77,"born":5,"running":[["00000000000000aa.0.1.17",2,"cp",41,900],["odd",1,"",0,0],7,
                ["00000000000000aa.0.1",1,"",0,0]],
                "ended":[[58,"00000000000000aa.0.1.9",1,"done",""],[59,"00000000000000aa.0.1.8",1,"melted",""]]})"));
        CPPUNIT_ASSERT_EQUAL(HostAnswer::Done, list.answer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), list.clockMilliseconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.running.size());
        CPPUNIT_ASSERT_EQUAL(17, list.running[0].task.index);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the completed share, not the pace", 41, list.running[0].progressPercent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(900), list.running[0].usage);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.ended.size());
        CPPUNIT_ASSERT_EQUAL(Wire::RunEnd::Completed, list.ended[0].how);
    }

    // Guards against concluding that an end does not exist when it is only missing from a full list.
    void distinguishesACompleteListFromAFullOne()
    {
        std::string rows;
        for (int n = 1; n <= 500; ++n) {
            CPPUNIT_ASSERT(
                !HostProtocol::decodeResponse(response(200, R"({"clock_ms":77,"running":[],"ended":[)" + rows + "]}"))
                     .isIncomplete);
            rows += (n > 1 ? "," : "") + std::string("[") + std::to_string(n)
                + R"(,"00000000000000aa.0.1.9",1,"done",""])";
        }
        const HostResponse full
            = HostProtocol::decodeResponse(response(200, R"({"clock_ms":77,"running":[],"ended":[)" + rows + "]}"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), full.ended.size());
        CPPUNIT_ASSERT(full.isIncomplete);
    }

    // Guards against a second run of an active task: its row was missing because the list was, or could not be read.
    void aListThatIsMissingOrUnreadableShowsNoAbsence()
    {
        const std::string row = R"(["00000000000000aa.0.1.9",1,"",41,0])";
        const std::string end = R"([1,"00000000000000aa.0.1.9",1,"done",""])";
        const std::vector<std::pair<std::string, bool>> cases {
            { R"({"clock_ms":7,"running":[)" + row + R"(],"ended":[)" + end + "]}", false },
            { R"({"clock_ms":7,"running":[],"ended":[]})", false },
            { R"({"clock_ms":7,"ended":[]})", true },
            { R"({"clock_ms":7,"running":7,"ended":[]})", true },
            { R"({"clock_ms":7,"running":[]})", true },
            { R"({"clock_ms":7,"running":[)" + row + R"(,["odd",1,"",0,0]],"ended":[]})", true },
            { R"({"clock_ms":7,"running":[],"ended":[)" + end + R"(,[2,"00000000000000aa.0.1.8",1,"melted",""]]})",
                true },
        };
        for (const std::pair<std::string, bool>& list : cases)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                list.first, list.second, HostProtocol::decodeResponse(response(200, list.first)).isIncomplete);
    }

    // Guards against ends that are passed over because a list names a later one first.
    void endsAreReadInTheOrderOfTheirNumbers()
    {
        const HostResponse list = HostProtocol::decodeResponse(response(200, R"({"clock_ms":77,"running":[],"ended":[
            [59,"00000000000000aa.0.1.8",1,"done",""],[58,"00000000000000aa.0.1.9",1,"done",""]]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.ended.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(58), static_cast<std::int64_t>(list.ended[0].number));
    }

    void distinguishesHostAnswers()
    {
        CPPUNIT_ASSERT_EQUAL(
            HostAnswer::Refused, HostProtocol::decodeResponse(response(409, R"({"reason":"room"})")).answer);
        CPPUNIT_ASSERT_EQUAL(HostAnswer::Refused, HostProtocol::decodeResponse(response(503, "")).answer);
        CPPUNIT_ASSERT_EQUAL(HostAnswer::OtherIncarnation, HostProtocol::decodeResponse(response(421, "")).answer);
        CPPUNIT_ASSERT_EQUAL(HostAnswer::Uncertain, HostProtocol::decodeResponse(response(200, "cut sho")).answer);
        CPPUNIT_ASSERT_EQUAL(HostAnswer::Uncertain, HostProtocol::decodeResponse(HttpResponse {}).answer);
        HttpResponse refused;
        refused.kind = HttpResponse::Kind::NotConnected;
        CPPUNIT_ASSERT_EQUAL(HostAnswer::NotListening, HostProtocol::decodeResponse(refused).answer);
    }

    void encodesAndDecodesRecords()
    {
        const StoreProtocol protocol("127.0.0.1", 1);
        AppendToStore append;
        append.epoch = 7;
        append.appendNumber = 12;
        append.records = { StoreRecord { "j/aa", std::string("\0binary", 7) }, StoreRecord { "p/aa", "" } };
        const HttpRequest request = protocol.encodeAppend(append);
        CPPUNIT_ASSERT(request.path.ends_with("&producer=owner&epoch=7&seq=12"));
        const std::string header(16, '\0');
        const ReadResponse read = StoreProtocol::decodeRead(response(200, header + request.body), 40);
        CPPUNIT_ASSERT(read.answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("j/aa"), read.records[0].key);
        CPPUNIT_ASSERT_EQUAL(append.records[0].value, read.records[0].value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(41), read.records[1].offset);
        CPPUNIT_ASSERT(read.records[1].value.empty());
        const ReadResponse truncatedRead
            = StoreProtocol::decodeRead(response(200, header + request.body.substr(0, request.body.size() - 2)), 40);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "an incomplete record must not be decoded", std::size_t(1), truncatedRead.records.size());
        CPPUNIT_ASSERT(StoreProtocol::decodeRead(response(410, R"({"first":9})"), 4).truncated);
    }

    void readsThePagesOfNewestRecords()
    {
        const NewestResponse newest = StoreProtocol::decodeNewest(
            response(200, R"({"items":[{"key":"owner","value":"AGJpbg==","offset":4},"odd"],"more":true,"end":6})"));
        CPPUNIT_ASSERT(newest.answered && newest.more);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), newest.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("\0bin", 4), newest.records[0].value);
        CPPUNIT_ASSERT(!StoreProtocol::decodeNewest(response(503, "")).answered);
    }

    void anAppendWithoutAReadableAnswerIsUncertain()
    {
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Uncertain, StoreProtocol::decodeAppend(HttpResponse {}).outcome);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Uncertain, StoreProtocol::decodeAppend(response(200, "{")).outcome);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Uncertain, StoreProtocol::decodeAppend(response(500, "{}")).outcome);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Rejected, StoreProtocol::decodeAppend(response(429, "")).outcome);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Fenced, StoreProtocol::decodeAppend(response(409, "{}")).outcome);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::EndMismatch, StoreProtocol::decodeAppend(response(412, "{}")).outcome);
    }

    void readsAConfiguration()
    {
        const Result<PolicySnapshot> policy = decodePolicy(
            R"({"version":7,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/p/","service":"desk",
                "priority":2,"max_attempts":4,"stretch":1.5,"slo_ms":250,"timeout_ms":3000},
                {"name":"r2","hostname":"a.example","path_prefix":"/p/long/","service":"desk"}],
                "services":[{"name":"desk","enforces_capacity":true}],"limits":{"max_body_bytes":100}})");
        CPPUNIT_ASSERT(isOk(policy));
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), valueOf(policy).findQueue("a.example", "/p/long/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), valueOf(policy).findQueue("a.example", "/p/x")->name);
        CPPUNIT_ASSERT(!valueOf(policy).findQueue("b.example", "/p/x"));
        CPPUNIT_ASSERT(!isOk(decodePolicy("{}")));
    }

    void mapsJobRepliesToClientAnswers()
    {
        Wire::JobReply reply;
        reply.kind = Wire::JobReplyKind::Refused;
        reply.retryAfterMilliseconds = 1200;
        const ClientAnswer refused = encodeAnswer(reply);
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), refused.headers.at(0).second);
        reply.kind = Wire::JobReplyKind::Unknown;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the job may have been accepted", 504, encodeAnswer(reply).status);
        reply.kind = Wire::JobReplyKind::State;
        reply.phase = Wire::JobPhase::Completed;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), encodeAnswer(reply).body);
    }

    void reportsAllErrorsOfTheSettings()
    {
        const Result<NodeSettings> invalidSettings = parseNodeSettings(
            R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":0,"store_address":"nowhere",
                "admission":"sometimes","overload_order":""})");
        CPPUNIT_ASSERT(!isOk(invalidSettings));
        CPPUNIT_ASSERT(errorOf(invalidSettings).message.find("/peer_port") != std::string::npos);
        CPPUNIT_ASSERT(errorOf(invalidSettings).message.find("/store_address") != std::string::npos);
        CPPUNIT_ASSERT(errorOf(invalidSettings).message.find("/admission") != std::string::npos);
        CPPUNIT_ASSERT(errorOf(invalidSettings).message.find("/overload_order") != std::string::npos);
        const Result<NodeSettings> unknownPlacement = parseNodeSettings(
            R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":7720,"store_address":"10.0.0.2:81",
                "filler_placement":"leave"})");
        CPPUNIT_ASSERT(!isOk(unknownPlacement));
        CPPUNIT_ASSERT(errorOf(unknownPlacement).message.find("/filler_placement") != std::string::npos);
        const Result<NodeSettings> validSettings = parseNodeSettings(
            R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":7720,"store_address":"10.0.0.2:81","new":1,
                "harm_ms":3000,"admission":"reject_unservable","status_memory_s":120,"filler_placement":"stay"})");
        CPPUNIT_ASSERT(isOk(validSettings));
        CPPUNIT_ASSERT_EQUAL(81, valueOf(validSettings).store.port);
        CPPUNIT_ASSERT(valueOf(validSettings).fillerPlacement == FillerPlacement::Stay);
        CPPUNIT_ASSERT(valueOf(validSettings).admission == AdmissionMode::RejectUnservable);
        CPPUNIT_ASSERT(valueOf(validSettings).overloadOrder == OverloadOrder::LeastSlack);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformProtocolTest);
