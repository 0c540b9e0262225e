/// Responses of plantainpier-node while it shuts down: every request that it has read in full must be answered.
#include "Base/Json.h"
#include "Process/ChildProcess.h"
#include "Shell/Connection/HttpClient.h"
#include "Soak/StoreStandIn.h"
#include "platform/NodeProgram.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

using namespace Plantainpier;

class NodeDrainTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NodeDrainTest);
    CPPUNIT_TEST(anEntryThatNobodySucceedsAnswersEveryCall);
    CPPUNIT_TEST(answersAreWrittenBeforeThePortCloses);
    CPPUNIT_TEST(aClosingPortAnswersWhatTheProcessDoesNot);
    CPPUNIT_TEST(aProcessThatNoLongerDecidesAnswersEveryCall);
    CPPUNIT_TEST_SUITE_END();

    using SteadyTime = std::chrono::steady_clock::time_point;

    static constexpr int storePort = 20'421;
    static constexpr int peerPort = 20'422;
    static constexpr int clientPort = 20'423;
    static constexpr int healthPort = 20'424;
    static constexpr int serverPort = 20'425;
    static constexpr unsigned storeSeed = 1;
    static constexpr int callers = 4;
    static constexpr int waitingCalls = 40;
    static constexpr std::chrono::seconds stopLimit { 10 };
    static constexpr std::chrono::milliseconds pollInterval { 20 };
    /// A call whose connection broke later than this had been read by the process.
    static constexpr std::chrono::milliseconds maximumUnreadTime { 50 };
    /// Time after which callers stop, even if the port is still open.
    static constexpr std::chrono::seconds callersTimeout { 15 };
    static constexpr int httpOk = 200;
    static constexpr int httpUnavailable = 503;
    static constexpr int httpTimeout = 504;
    /// How long a call to a port that closes waits for its answer.
    static constexpr std::chrono::seconds answerLimit { 6 };

    /// One call with its response.
    struct Call {
        SteadyTime sent;
        SteadyTime ended;
        HttpResponse response;
    };

    /// One entry process, the only one, with a store.
    struct Entry {
        Entry()
            : folder(std::filesystem::temp_directory_path() / ("plantainpier-drain-" + std::to_string(::getpid())))
        {
            std::filesystem::create_directories(folder);
            Result<std::unique_ptr<StoreStandIn>> created = StoreStandIn::create(storePort, storeSeed);
            CPPUNIT_ASSERT(isOk(created));
            store = takeValue(std::move(created));
            const Json route { { "name", "plans" }, { "hostname", "desk.example" }, { "path_prefix", "/plans/" },
                { "service", "desk" }, { "priority", 0 }, { "max_attempts", 2 }, { "stretch", 2 }, { "slo_ms", 1000 },
                { "timeout_ms", 3000 } };
            const Json service { { "name", "desk" }, { "enforces_capacity", false } };
            store->put("keyed.op", "config",
                Json { { "version", 1 }, { "routes", Json::array({ route }) }, { "services", Json::array({ service }) },
                    { "limits", { { "max_body_bytes", 262144 } } } }
                    .dump());
            const std::string settings = folder / "entry.json";
            std::ofstream(settings) << Json { { "id", "entry-1" }, { "zone", "zone-a" }, { "address", "127.0.0.1" },
                { "peer_port", peerPort }, { "store_address", address(storePort) },
                { "client_address", address(clientPort) }, { "health_address", address(healthPort) },
                { "processor_share", 0.5 }, { "shutdown_s", 6 } };
            process = std::make_unique<ChildProcess>(
                std::vector<std::string> { NODE_PROGRAM, "entry", "--settings", settings }, folder / "entry.log");
            Result<std::shared_ptr<HttpClient>> client = HttpClient::create();
            CPPUNIT_ASSERT(isOk(client));
            http = takeValue(std::move(client));
        }

        ~Entry()
        {
            process.reset();
            std::filesystem::remove_all(folder);
        }

        static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

        /// Requests a job's state. The HTTP client does not repeat this request.
        Call requestJob(const std::string& path) const
        {
            HttpRequest request;
            request.address = "127.0.0.1";
            request.port = clientPort;
            request.path = path;
            request.headers = { "Host: desk.example", "Request-Deadline: 3000" };
            request.mayResend = false;
            Call call;
            call.sent = std::chrono::steady_clock::now();
            call.response = http->fetch(std::move(request));
            call.ended = std::chrono::steady_clock::now();
            return call;
        }

        /// Sends one call after the other until the port is closed.
        std::vector<Call> requestUntilClosed() const
        {
            const SteadyTime limit = std::chrono::steady_clock::now() + callersTimeout;
            std::vector<Call> calls;
            do {
                calls.push_back(requestJob("/plans/00000000000000aa"));
                std::this_thread::sleep_for(pollInterval);
            } while (calls.back().response.kind != HttpResponse::Kind::NotConnected && calls.back().ended < limit);
            return calls;
        }

        std::filesystem::path folder;
        std::unique_ptr<StoreStandIn> store;
        std::unique_ptr<ChildProcess> process;
        std::shared_ptr<HttpClient> http;
    };

    /// The calls that a server has read, kept without an answer.
    struct UnansweredCalls {
        void add(const std::shared_ptr<HttpCall>& call)
        {
            std::lock_guard<std::mutex> lock(mutex);
            calls.push_back(call);
        }

        std::size_t count()
        {
            std::lock_guard<std::mutex> lock(mutex);
            return calls.size();
        }

        /// Waits until the server has read this many calls.
        void await(std::size_t expected)
        {
            for (int n = 0; n < 200 && count() < expected; ++n)
                std::this_thread::sleep_for(pollInterval);
            CPPUNIT_ASSERT_EQUAL(expected, count());
        }

        std::mutex mutex;
        std::vector<std::shared_ptr<HttpCall>> calls;
    };

    /// A program that answers no call and whose decision thread can be stopped.
    class StuckProgram : public Platform::NodeProgram {
    public:
        static constexpr std::chrono::seconds shutdownTimeout { 3 };

        StuckProgram()
            : NodeProgram(makeSettings(), {}, "stuck", 0)
        {
        }

        UnansweredCalls calls;
        std::atomic<bool> isStuck { false };

    protected:
        Result<Success> openServers() override
        {
            Result<std::unique_ptr<HttpServer>> server = HttpServer::create(
                "127.0.0.1", serverPort, 1, [this](const std::shared_ptr<HttpCall>& call) { calls.add(call); });
            if (!isOk(server))
                return errorOf(server);
            m_server = takeValue(std::move(server));
            return Success {};
        }
        void closeServers() override { closeServer(*m_server, "calls"); }
        void tick(Instant, Actions&) override
        {
            while (isStuck)
                std::this_thread::sleep_for(pollInterval);
        }
        void onMessage(Instant, LinkId, const PeerMessage&, Actions&) override { }
        void onLinkUp(Instant, LinkId, Actions&) override { }
        void onLinkDown(Instant, LinkId, Actions&) override { }
        void onRead(Instant, std::uint64_t, const ReadResponse&, Actions&) override { }
        void onNewest(Instant, std::uint64_t, const NewestResponse&, Actions&) override { }
        void performRoleAction(Action&&) override { }
        void fillMetrics() override { }

    private:
        static NodeSettings makeSettings()
        {
            NodeSettings settings;
            settings.id = "stuck";
            settings.peers = Endpoint { "127.0.0.1", peerPort };
            settings.shutdownTimeout = std::chrono::duration_cast<Duration>(shutdownTimeout);
            return settings;
        }

        std::unique_ptr<HttpServer> m_server;
    };

    /// Sends a call to the server of a test.
    static std::future<HttpResponse> callServer(const std::shared_ptr<HttpClient>& client)
    {
        return std::async(std::launch::async, [client] {
            HttpRequest request;
            request.address = "127.0.0.1";
            request.port = serverPort;
            request.path = "/";
            request.timeout = std::chrono::duration_cast<Duration>(answerLimit);
            request.useNewConnection = true;
            request.mayResend = false;
            return client->fetch(std::move(request));
        });
    }

    // Guards against calls that wait for an owner when no process can become the owner any more: the end of the process
    // would cut them off.
    void anEntryThatNobodySucceedsAnswersEveryCall()
    {
        Entry entry;
        int status = 0;
        for (int n = 0; n < 200 && status != httpOk; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            status = entry.requestJob("/plans/").response.status;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the entry did not become the owner and serve", httpOk, status);
        entry.process->requestStop();
        std::vector<std::future<std::vector<Call>>> running;
        running.reserve(callers);
        for (int n = 0; n < callers; ++n)
            running.push_back(std::async(std::launch::async, [&entry] { return entry.requestUntilClosed(); }));
        CPPUNIT_ASSERT_EQUAL(0, entry.process->stop(stopLimit));
        std::size_t unanswered = 0;
        std::size_t refused = 0;
        std::chrono::milliseconds longest {};
        for (std::future<std::vector<Call>>& caller : running) {
            for (const Call& call : caller.get()) {
                if (call.response.kind == HttpResponse::Kind::Broken && call.ended - call.sent > maximumUnreadTime)
                    ++unanswered;
                if (call.response.status != httpUnavailable)
                    continue;
                ++refused;
                longest
                    = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(call.ended - call.sent));
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("calls that were read and not answered", std::size_t(0), unanswered);
        CPPUNIT_ASSERT_MESSAGE("no call was refused with 503 during the shutdown", refused > 0);
        CPPUNIT_ASSERT_MESSAGE(
            "a refusal took " + std::to_string(longest.count()) + " ms", longest < std::chrono::milliseconds(1000));
    }

    // Guards against losing answers that are not yet written to the socket when the port is closed.
    void answersAreWrittenBeforeThePortCloses()
    {
        std::mutex mutex;
        std::vector<std::shared_ptr<HttpCall>> waitingRequests;
        Result<std::unique_ptr<HttpServer>> server
            = HttpServer::create("127.0.0.1", serverPort, 1, [&](const std::shared_ptr<HttpCall>& call) {
                  std::lock_guard<std::mutex> lock(mutex);
                  waitingRequests.push_back(call);
              });
        CPPUNIT_ASSERT(isOk(server));
        Result<std::shared_ptr<HttpClient>> client = HttpClient::create();
        CPPUNIT_ASSERT(isOk(client));
        std::vector<std::future<HttpResponse>> answers;
        answers.reserve(waitingCalls);
        for (int n = 0; n < waitingCalls; ++n) {
            answers.push_back(std::async(std::launch::async, [&client] {
                HttpRequest request;
                request.address = "127.0.0.1";
                request.port = serverPort;
                request.path = "/";
                request.mayResend = false;
                return valueOf(client)->fetch(std::move(request));
            }));
        }
        std::vector<std::shared_ptr<HttpCall>> calls;
        for (int n = 0; n < 200 && calls.size() < waitingCalls; ++n) {
            std::this_thread::sleep_for(pollInterval);
            std::lock_guard<std::mutex> lock(mutex);
            calls = waitingRequests;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(waitingCalls), calls.size());
        waitingRequests.clear();
        for (const std::shared_ptr<HttpCall>& call : calls)
            CPPUNIT_ASSERT(call->reply(httpOk, "{}"));
        valueOf(server)->stop();
        int answered = 0;
        for (std::future<HttpResponse>& answer : answers)
            answered += answer.get().status == httpOk ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(waitingCalls, answered);
    }

    // Guards against connections that are closed on calls which were read: the decision thread is slow or has gone.
    void aClosingPortAnswersWhatTheProcessDoesNot()
    {
        UnansweredCalls unanswered;
        Result<std::unique_ptr<HttpServer>> server = HttpServer::create(
            "127.0.0.1", serverPort, 1, [&](const std::shared_ptr<HttpCall>& call) { unanswered.add(call); });
        CPPUNIT_ASSERT(isOk(server));
        Result<std::shared_ptr<HttpClient>> client = HttpClient::create();
        CPPUNIT_ASSERT(isOk(client));
        std::vector<std::future<HttpResponse>> answers;
        answers.reserve(waitingCalls);
        for (int n = 0; n < waitingCalls; ++n)
            answers.push_back(callServer(valueOf(client)));
        unanswered.await(waitingCalls);
        std::future<std::size_t> cut = std::async(std::launch::async, [&server] { return valueOf(server)->stop(); });
        std::this_thread::sleep_for(pollInterval);
        std::future<HttpResponse> lastAnswer = callServer(valueOf(client));
        int answered = 0;
        for (std::future<HttpResponse>& answer : answers)
            answered += answer.get().status == httpTimeout ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(waitingCalls, answered);
        CPPUNIT_ASSERT_EQUAL(httpUnavailable, lastAnswer.get().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cut.get());
        unanswered.await(waitingCalls);
    }

    // Guards against a shutdown that waits for the decision thread until the platform kills the process.
    void aProcessThatNoLongerDecidesAnswersEveryCall()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        Result<std::shared_ptr<HttpClient>> client = HttpClient::create();
        CPPUNIT_ASSERT(isOk(client));
        StuckProgram program;
        bool ended = false;
        std::thread runner([&program, &ended] { ended = isOk(program.run()); });
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        std::future<HttpResponse> answer = callServer(valueOf(client));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        const std::size_t read = program.calls.count();
        program.isStuck = true;
        const SteadyTime stoppedAt = std::chrono::steady_clock::now();
        // The thread waits for this signal as for SIGTERM.
        pthread_kill(runner.native_handle(), SIGINT);
        const HttpResponse response = answer.get();
        const SteadyTime endedAt = std::chrono::steady_clock::now();
        program.isStuck = false;
        runner.join();
        CPPUNIT_ASSERT(ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), read);
        CPPUNIT_ASSERT_EQUAL(httpTimeout, response.status);
        CPPUNIT_ASSERT(endedAt - stoppedAt < StuckProgram::shutdownTimeout);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeDrainTest);
