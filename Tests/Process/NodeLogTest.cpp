/// Guards against plantainpier-node blocking or ending when the reader of its log stops reading, and when the reader
/// closes the pipe.
#include "Base/Json.h"
#include "Process/ChildProcess.h"
#include "Shell/Connection/HttpClient.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace Plantainpier;

class NodeLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NodeLogTest);
    CPPUNIT_TEST(aFullPipeHoldsNothingUp);
    CPPUNIT_TEST(aClosedPipeEndsNothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int announcePort = 20'411;
    static constexpr int peerPort = 20'412;
    /// No process listens on this port.
    static constexpr int closedPort = 20'413;
    /// Enough to fill the log: each announcement writes a line of about 95 bytes, a pipe holds 64 KB and the process
    /// keeps 1,024 lines.
    static constexpr int announcements = 2500;
    static constexpr std::chrono::seconds stopLimit { 10 };

    /// A side process whose log is a pipe that the test opens and never reads.
    struct Side {
        Side()
            : folder(std::filesystem::temp_directory_path() / ("plantainpier-log-" + std::to_string(::getpid())))
        {
            std::filesystem::create_directories(folder);
            const std::string pipe = folder / "log";
            ::mkfifo(pipe.c_str(), 0600);
            reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
            const std::string settings = folder / "side.json";
            const std::string closed = "127.0.0.1:" + std::to_string(closedPort);
            std::ofstream(settings) << Json { { "id", "side-1" }, { "zone", "zone-a" }, { "address", "127.0.0.1" },
                { "peer_port", peerPort }, { "store_address", closed }, { "host_address", closed },
                { "announce_address", "127.0.0.1:" + std::to_string(announcePort) } };
            process = std::make_unique<ChildProcess>(
                std::vector<std::string> { NODE_PROGRAM, "side", "--settings", settings }, pipe);
            Result<std::shared_ptr<HttpClient>> created = HttpClient::create();
            CPPUNIT_ASSERT(isOk(created));
            http = takeValue(std::move(created));
        }

        ~Side()
        {
            process.reset();
            closeReader();
            std::filesystem::remove_all(folder);
        }

        void closeReader()
        {
            if (reader >= 0)
                ::close(reader);
            reader = -1;
        }

        /// Sends one announcement; returns the HTTP status, or 0 without an answer.
        int announce()
        {
            ++sequence;
            HttpRequest request;
            request.method = "PUT";
            request.address = "127.0.0.1";
            request.port = announcePort;
            // Each announcement names another host, so that each one writes a log line.
            request.path = "/plantainpier/instances/host-" + std::to_string(sequence);
            request.timeout = seconds(1);
            request.mayResend = true;
            request.body = Json {
                { "service", "desk" }, { "state", "ready" }, { "seq", sequence }, { "born", 1 },
                { "capacity", { { "cpu", 1000 }, { "mem_mb", 1000 } } }
            }.dump();
            return http->fetch(std::move(request)).status;
        }

        void awaitStart()
        {
            for (int n = 0; n < 100 && announce() != 200; ++n)
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }

        std::filesystem::path folder;
        int reader = -1;
        int sequence = 0;
        std::unique_ptr<ChildProcess> process;
        std::shared_ptr<HttpClient> http;
    };

    void aFullPipeHoldsNothingUp()
    {
        Side side;
        side.awaitStart();
        for (int n = 0; n < announcements; ++n)
            CPPUNIT_ASSERT_EQUAL(200, side.announce());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "the process must exit although its log is not read", 0, side.process->stop(stopLimit));
    }

    void aClosedPipeEndsNothing()
    {
        Side side;
        side.awaitStart();
        side.closeReader();
        for (int n = 0; n < announcements; ++n)
            CPPUNIT_ASSERT_EQUAL(200, side.announce());
        CPPUNIT_ASSERT_EQUAL(0, side.process->stop(stopLimit));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeLogTest);
