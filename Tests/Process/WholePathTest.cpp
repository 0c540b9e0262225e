/// One request and one job from end to end through real processes, invalid input, and graceful shutdown.
#include "Process/CallerLoad.h"
#include "Process/Loopback.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace Plantainpier;

class WholePathTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WholePathTest);
    CPPUNIT_TEST(servesARequestAndAJob);
    CPPUNIT_TEST(refusesBadInputAndLives);
    CPPUNIT_TEST(gracefulStopsCutNothing);
    CPPUNIT_TEST(aFrozenEntrySendsNothingToATargetThatLeft);
    CPPUNIT_TEST(refusesBadSettingsBeforeAnyPort);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds timeout { 20 };

    static Json request(const std::string& body, bool idempotent)
    {
        return { { "caller", "test" }, { "class", "checks" }, { "idempotent", idempotent }, { "key", "key-" + body },
            { "deadline_ms", 1000 }, { "body", body } };
    }

    void servesARequestAndAJob()
    {
        Cluster cluster(ClusterOptions {});
        cluster.start();
        const Json answer = cluster.callJson(cluster.entryPort(0), "POST", "/v1/requests", request("hello", false));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.dump(), std::string("done"), answer.value("outcome", ""));
        const Json again = cluster.callJson(cluster.entryPort(1), "POST", "/v1/requests", request("hello", false));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(again.dump(), answer["answer"].dump(), again["answer"].dump());
        CPPUNIT_ASSERT_EQUAL(1, cluster.runCounts()["hello"]);
        const Json queried = cluster.callJson(cluster.entryPort(1), "GET", "/v1/requests/key-hello");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(queried.dump(), std::string("done"), queried.value("outcome", ""));
        const Json unknownKey = cluster.callJson(cluster.entryPort(1), "GET", "/v1/requests/no-such-key");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(unknownKey.dump(), std::string("key_unknown"), unknownKey.value("reason", ""));

        const Json job { { "job", "plan" }, { "team", "planning" }, { "milli_processors", 1000 }, { "memory_mb", 64 },
            { "payload", "{\"run_ms\":200}" } };
        const Json accepted = cluster.callJson(cluster.entryPort(1), "POST", "/v1/jobs", job);
        CPPUNIT_ASSERT_MESSAGE(accepted.dump(), accepted.value("accepted", false));
        const Json log = cluster.callJson(cluster.logPort(), "GET", "/v1/records?from=0&limit=1000");
        CPPUNIT_ASSERT_MESSAGE(
            "the job was accepted but is not in the log", log.dump().find("plan") != std::string::npos);
        const auto isCompleted = [&cluster](int entry) {
            return cluster.callJson(cluster.entryPort(entry), "GET", "/v1/jobs/plan").value("status", "")
                == "completed";
        };
        CPPUNIT_ASSERT(Cluster::await(timeout, [&] { return isCompleted(0) && isCompleted(1); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.starts().size());
        const Json oversizedJob { { "job", "huge" }, { "team", "planning" }, { "milli_processors", 1'000'000 },
            { "memory_mb", 64 } };
        const Json refused = cluster.callJson(cluster.entryPort(0), "POST", "/v1/jobs", oversizedJob);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.dump(), std::string("job_never_fits"), refused.value("reason", ""));
        const HttpResponse metrics = cluster.call(cluster.entryPort(0), "GET", "/metrics");
        CPPUNIT_ASSERT(metrics.body.find("plantainpier_request_seconds_bucket") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200, cluster.call(cluster.entryPort(0), "GET", "/healthz").status);
        CPPUNIT_ASSERT_EQUAL(200, cluster.call(cluster.entryPort(0), "GET", "/readyz").status);
    }

    /// Sends raw bytes to a port and closes the connection.
    static void sendRaw(int port, const std::string& bytes)
    {
        const sockaddr_in address = loopback(port);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        CPPUNIT_ASSERT_EQUAL(0, ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::close(socket);
    }

    static void expectError(const Cluster& cluster, const std::string& method, const std::string& path,
        const std::string& body, const std::string& reason)
    {
        const HttpResponse response = cluster.call(cluster.entryPort(0), method, path, body);
        const Json json = Json::parse(response.body, nullptr, false);
        const std::string actualReason = json.is_object() ? json.value("reason", "") : response.body;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(method + " " + path + " " + body.substr(0, 80), reason, actualReason);
    }

    void refusesBadInputAndLives()
    {
        Cluster cluster(ClusterOptions { .entries = 1, .sides = 1 });
        cluster.start();
        const std::string valid = request("fine", true).dump();
        expectError(cluster, "POST", "/v1/requests", "{", "malformed_body");
        expectError(cluster, "POST", "/v1/requests", "{\"class\":\"checks\"}", "missing_field");
        expectError(cluster, "POST", "/v1/requests", valid.substr(0, valid.size() - 1) + ",\"x\":1}", "unknown_field");
        expectError(cluster, "POST", "/v1/requests", std::string(1'800'000, 'x'), "body_too_large");
        expectError(cluster, "PUT", "/v1/requests", valid, "wrong_method");
        expectError(cluster, "DELETE", "/v1/status", "", "wrong_method");
        expectError(cluster, "GET", "/v1/nothing", "", "unknown_resource");
        expectError(cluster, "POST", "/v1/jobs", "{\"job\":\"x\"}", "missing_field");
        expectError(cluster, "GET", "/v1/jobs/none", "", "job_unknown");
        expectError(cluster, "POST", "/v1/bundles", "{}", "bundle_invalid");
        sendRaw(cluster.entryPort(0), "POST /v1/requests HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"half");
        sendRaw(cluster.entryPort(0), "\x16\x03\x01\x02garbage\r\n\r\n");
        sendRaw(cluster.entryPeerPort(0), std::string("GET / HTTP/1.0\r\n\r\n"));
        sendRaw(cluster.entryPeerPort(0), std::string("\xff\xff\xff\xff\xff\xff", 6));
        sendRaw(cluster.entryPeerPort(0), std::string("\0\0\0\x04\x82\x21\x01\xff", 8));
        const Json answer = cluster.callJson(cluster.entryPort(0), "POST", "/v1/requests", request("fine", true));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.value("outcome", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.runCounts().size());
    }

    void gracefulStopsCutNothing()
    {
        Cluster cluster(ClusterOptions { .entries = 2, .sides = 4, .serviceMilliseconds = 5 });
        cluster.start();
        LoadOptions options;
        options.requests = 10'000;
        options.resend = false;
        CallerLoad load(cluster, options);
        load.start();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(0, cluster.target(0).stop(timeout));
        CPPUNIT_ASSERT_EQUAL(0, cluster.side(1).stop(timeout));
        CPPUNIT_ASSERT_EQUAL(0, cluster.side(0).stop(timeout));
        load.await();
        load.checkOutcomes("graceful stop of target and sides");
        CPPUNIT_ASSERT_EQUAL(0, load.count("unknown"));
        CPPUNIT_ASSERT_EQUAL(0, load.count(""));
        for (int n = 0; n < 2; ++n)
            CPPUNIT_ASSERT_EQUAL(0, cluster.entry(n).stop(timeout));
    }

    void aFrozenEntrySendsNothingToATargetThatLeft()
    {
        Cluster cluster(ClusterOptions { .entries = 2, .sides = 4, .serviceMilliseconds = 5 });
        cluster.start();
        LoadOptions options;
        options.requests = 10'000;
        options.resend = false;
        options.deadlineMilliseconds = 5'000;
        CallerLoad load(cluster, options);
        load.start();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        cluster.entry(0).freeze();
        cluster.setInRotation(0, false);
        CPPUNIT_ASSERT_EQUAL(0, cluster.target(0).stop(timeout));
        // A target listens on that port again, so that a late dispatch would run and be recorded.
        cluster.startUnannouncedTarget(0);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const int runsBefore = cluster.targetRunCount(0);
        cluster.entry(0).resume();
        cluster.setInRotation(0, true);
        load.await();
        load.checkOutcomes("an entry frozen while a target leaves");
        CPPUNIT_ASSERT_EQUAL(0, load.count("unknown"));
        CPPUNIT_ASSERT_EQUAL(0, load.count(""));
        CPPUNIT_ASSERT_EQUAL(runsBefore, cluster.targetRunCount(0));
    }

    void refusesBadSettingsBeforeAnyPort()
    {
        Cluster cluster(ClusterOptions { .entries = 1, .sides = 0 });
        int code = 0;
        const std::string file = cluster.directory() + "/bad.json";
        std::ofstream(file) << R"({"role":"entry","id":"e","zone":"z","cell":"c","colour":1,
            "listen":{"address":"here","http_port":0,"peer_port":1}})";
        const std::string text = cluster.runTool({ "config", "check", file }, code);
        CPPUNIT_ASSERT_EQUAL(1, code);
        for (const char* path : { "/colour", "/listen/address", "/listen/http_port", "/log", "/trusted_keys" })
            CPPUNIT_ASSERT_MESSAGE(text, text.find(path) != std::string::npos);
        ChildProcess daemon({ DAEMON_PROGRAM, "--config", file }, cluster.directory() + "/bad.log");
        CPPUNIT_ASSERT_EQUAL(3, daemon.wait());
        cluster.runTool({ "job", "dance" }, code);
        CPPUNIT_ASSERT_EQUAL(2, code);
        cluster.runTool({ "status", "--entry", "127.0.0.1:1" }, code);
        CPPUNIT_ASSERT_EQUAL(4, code);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);
