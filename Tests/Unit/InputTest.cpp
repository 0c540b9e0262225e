/// Tests the validation of requests, jobs and settings: all of the input is checked, and each error is reported with
/// its JSON path.
#include "Decision/Job/JobIntake.h"
#include "Decision/Request/CallerRequest.h"
#include "Shell/Process/Settings.h"
#include "Support/TestBundle.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class InputTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InputTest);
    CPPUNIT_TEST(readsARequest);
    CPPUNIT_TEST(refusesInvalidRequests);
    CPPUNIT_TEST(refusesInvalidJobs);
    CPPUNIT_TEST(readsSettings);
    CPPUNIT_TEST(reportsEveryErrorOfSettings);
    CPPUNIT_TEST(encodesBinaryAnswersAsBase64);
    CPPUNIT_TEST_SUITE_END();

    static ErrorCode requestError(const std::string& text)
    {
        const Result<CallerRequest> request = parseCallerRequest(text);
        return isOk(request) ? ErrorCode::Ok : errorOf(request).code;
    }
    static Json makeSideSettings()
    {
        return Json { { "role", "side" }, { "id", "side-1" }, { "zone", "z" }, { "rack", "r" },
            { "listen", { { "address", "127.0.0.1" }, { "http_port", 1000 }, { "peer_port", 1001 } } },
            { "worker", { { "address", "127.0.0.1" }, { "port", 1002 } } },
            { "capacity", { { "milli_processors", 16000 }, { "memory_mb", 60000 } } },
            { "entries", { { { "address", "127.0.0.1" }, { "port", 1003 } } } },
            { "trusted_keys", { testKey().publicHex() } } };
    }

    void readsARequest()
    {
        const Result<CallerRequest> request = parseCallerRequest(
            R"({"caller":"c","class":"checks","idempotent":false,"key":"k","deadline_ms":250,"body":"b"})");
        CPPUNIT_ASSERT(isOk(request));
        CPPUNIT_ASSERT(valueOf(request).deadline == milliseconds(250));
    }

    void refusesInvalidRequests()
    {
        CPPUNIT_ASSERT(requestError("{") == ErrorCode::MalformedBody);
        CPPUNIT_ASSERT(requestError("[]") == ErrorCode::MalformedBody);
        CPPUNIT_ASSERT(requestError(R"({"caller":"c","class":"x","idempotent":true})") == ErrorCode::MissingField);
        CPPUNIT_ASSERT(requestError(R"({"caller":"c","class":"x","idempotent":false,"deadline_ms":1})")
            == ErrorCode::MissingField);
        CPPUNIT_ASSERT(requestError(R"({"caller":"c","class":"x","idempotent":true,"deadline_ms":1,"dedline":2})")
            == ErrorCode::UnknownField);
        for (const char* deadline : { "0", "-1", "1e99", "99999999999999999999", "\"5\"", "null", "600001" }) {
            const std::string text
                = std::string(R"({"caller":"c","class":"x","idempotent":true,"deadline_ms":)") + deadline + "}";
            CPPUNIT_ASSERT_MESSAGE(text, requestError(text) != ErrorCode::Ok);
        }
    }

    void refusesInvalidJobs()
    {
        const Result<JobSubmission> job
            = parseJobSubmission(R"({"job":"j","team":"t","milli_processors":0,"memory_mb":1,"prio":1})", "cell");
        CPPUNIT_ASSERT(!isOk(job));
        CPPUNIT_ASSERT(errorOf(job).message.find("/milli_processors") != std::string::npos);
        CPPUNIT_ASSERT(errorOf(job).message.find("/prio") != std::string::npos);
    }

    void readsSettings()
    {
        const Result<Settings> settings = parseSettings(makeSideSettings().dump());
        CPPUNIT_ASSERT_MESSAGE(isOk(settings) ? "" : errorOf(settings).message, isOk(settings));
        CPPUNIT_ASSERT(valueOf(settings).role == Role::Side);
    }

    void reportsEveryErrorOfSettings()
    {
        Json json = makeSideSettings();
        json["listen"]["address"] = "localhost";
        json["listen"]["peer_port"] = 1000;
        json["capacity"]["memory_mb"] = -1;
        json["entries"][0]["port"] = 70000;
        json["trusted_keys"][0] = "secret";
        json["cell"] = "an entry's key";
        const Result<Settings> settings = parseSettings(json.dump());
        CPPUNIT_ASSERT(!isOk(settings));
        for (const char* path : { "/listen/address", "/listen/peer_port", "/capacity/memory_mb", "/entries/0/port",
                 "/trusted_keys/0", "/cell" })
            CPPUNIT_ASSERT_MESSAGE(path, errorOf(settings).message.find(path) != std::string::npos);
    }

    void encodesBinaryAnswersAsBase64()
    {
        CallerAnswer answer;
        answer.outcome = Wire::Outcome::Done;
        answer.body = std::string("\xff\x00\x01", 3);
        const Json json = Json::parse(encodeCallerAnswer(answer));
        CPPUNIT_ASSERT_EQUAL(std::string("/wAB"), json["answer_base64"].get<std::string>());
        answer.body = "text";
        CPPUNIT_ASSERT_EQUAL(std::string("text"), Json::parse(encodeCallerAnswer(answer))["answer"].get<std::string>());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(InputTest);
