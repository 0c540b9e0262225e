/// Main function of plantainpier-standin, which simulates the platform's log service, a worker or a target for the
/// tests and quickstart.
#include "StandIns/LogStandIn.h"
#include "StandIns/TargetStandIn.h"
#include "StandIns/WorkerStandIn.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace Plantainpier;

constexpr int exitUsage = 2;
constexpr int exitFailure = 4;
constexpr int serverThreads = 2;

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForTerminationSignal()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

/// Runs the HTTP server until SIGTERM or SIGINT. Calls beforeStop while the server still accepts calls.
int runServer(
    const cxxopts::ParseResult& options, HttpServer::OnCall onCall, const std::function<void()>& beforeStop = [] {})
{
    const Result<std::unique_ptr<HttpServer>> server = HttpServer::create(
        options["address"].as<std::string>(), options["port"].as<int>(), serverThreads, std::move(onCall));
    if (isOk(server)) {
        waitForTerminationSignal();
        beforeStop();
        return 0;
    }
    std::cerr << "plantainpier-standin: " << errorOf(server).message << "\n";
    return exitFailure;
}

int runLog(const cxxopts::ParseResult& options)
{
    LogStandInOptions settings;
    settings.retainedRecords = options["retained-records"].as<std::size_t>();
    settings.appendsPerSecond = options["appends-per-second"].as<int>();
    LogStandIn standIn(settings);
    return runServer(options, [&standIn](const std::shared_ptr<HttpCall>& call) { standIn.onCall(call); });
}

int runWorker(const cxxopts::ParseResult& options)
{
    WorkerStandIn standIn(std::chrono::milliseconds(options["usage-lag-ms"].as<int>()));
    return runServer(options, [&standIn](const std::shared_ptr<HttpCall>& call) { standIn.onCall(call); });
}

int runTarget(const cxxopts::ParseResult& options)
{
    TargetStandInOptions settings;
    settings.targetId = options["id"].as<std::string>();
    settings.address = options["address"].as<std::string>();
    settings.port = options["port"].as<int>();
    settings.sidePort = options["side-port"].as<int>();
    settings.workerPort = options["worker-port"].as<int>();
    settings.auditFile = options["audit-file"].as<std::string>();
    settings.slots = options["slots"].as<int>();
    settings.serviceTime = std::chrono::milliseconds(options["service-ms"].as<int>());
    const Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    if (!isOk(http))
        return exitFailure;
    TargetStandIn standIn(settings, valueOf(http));
    return runServer(
        options, [&standIn](const std::shared_ptr<HttpCall>& call) { standIn.onCall(call); },
        [&standIn] { standIn.announceDepartureAndDrain(); });
}

int runWithOptions(int argc, char** argv)
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("plantainpier-standin", "Simulates the log service, a worker or a target for tests.");
    options.add_options()("kind", "log, worker or target", cxxopts::value<std::string>())(
        "address", "IP address", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "HTTP port", cxxopts::value<int>())("retained-records", "maximum number of records that the log keeps",
        cxxopts::value<std::size_t>()->default_value("1000000"))("appends-per-second",
        "maximum number of appends per second that the log accepts",
        cxxopts::value<int>()->default_value("500"))("usage-lag-ms",
        "age of the worker's usage reports in milliseconds", cxxopts::value<int>()->default_value("1000"))(
        "id", "id of the target", cxxopts::value<std::string>()->default_value("target"))("side-port",
        "HTTP port of the side on the target's host", cxxopts::value<int>()->default_value("0"))("worker-port",
        "HTTP port of the worker on the target's host; 0 for none",
        cxxopts::value<int>()->default_value("0"))("audit-file", "file that gets a line for each run of the target",
        cxxopts::value<std::string>()->default_value(""))(
        "slots", "number of requests that the target runs at once", cxxopts::value<int>()->default_value("8"))(
        "service-ms", "base service time of a request in milliseconds", cxxopts::value<int>()->default_value("10"));
    options.parse_positional({ "kind" });
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        const std::string kind = parsed.count("kind") > 0 ? parsed["kind"].as<std::string>() : "";
        if (kind == "log")
            return runLog(parsed);
        if (kind == "worker")
            return runWorker(parsed);
        if (kind == "target")
            return runTarget(parsed);
        std::cerr << options.help();
    } catch (const std::exception& exception) {
        std::cerr << "plantainpier-standin: " << exception.what() << "\n";
    }
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runWithOptions(argc, argv);
    } catch (...) {
        return exitFailure;
    }
}
