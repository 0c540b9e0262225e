/// plantainpierd: the daemon. Its role is chosen in its settings.
#include "Base/LogLine.h"
#include "Shell/Process/EntryDaemon.h"
#include "Shell/Process/SideDaemon.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <sodium.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace {

using namespace Plantainpier;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitFailure = 4;
constexpr std::size_t logRingLines = 16'384;

/// From here on the end signals are only taken by the thread that waits for them.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void setUpLog(const std::string& level)
{
    // Lines are written by a thread of their own: a slow reader of the log must not hold up a decision. When the ring
    // is full the oldest lines are lost.
    spdlog::init_thread_pool(logRingLines, 1);
    spdlog::set_default_logger(
        std::make_shared<spdlog::async_logger>("plantainpierd", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
            spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest));
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%f level=%l %v");
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::flush_on(spdlog::level::info);
}

template <typename Role> Result<Success> runRole(const Settings& settings)
{
    Result<std::unique_ptr<Role>> daemon = Role::create(settings);
    if (!isOk(daemon))
        return errorOf(daemon);
    return valueOf(daemon)->run();
}

int runDaemon(const std::string& path, bool checkOnly)
{
    const Result<Settings> loaded = loadSettings(path);
    if (!isOk(loaded)) {
        std::cerr << "plantainpierd: " << errorOf(loaded).message << "\n";
        return exitSettings;
    }
    if (checkOnly)
        return 0;
    const Settings& settings = valueOf(loaded);
    blockSignals();
    setUpLog(settings.logLevel);
    const Result<Success> ended
        = settings.role == Role::Entry ? runRole<EntryDaemon>(settings) : runRole<SideDaemon>(settings);
    spdlog::shutdown();
    if (isOk(ended))
        return 0;
    std::cerr << "plantainpierd: " << errorOf(ended).message << "\n";
    return exitFailure;
}

int runWithOptions(int argc, char** argv)
{
    if (sodium_init() < 0)
        return exitFailure;
    cxxopts::Options options("plantainpierd", "The plantainpier daemon; its role is set in its settings file.");
    options.add_options()("config", "JSON settings file", cxxopts::value<std::string>())(
        "check", "only check the settings")("help", "show this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("config") == 0) {
            std::cerr << "plantainpierd: give a settings file: plantainpierd --config FILE\n";
            return exitUsage;
        }
        return runDaemon(parsed["config"].as<std::string>(), parsed.count("check") > 0);
    } catch (const std::exception& exception) {
        std::cerr << "plantainpierd: " << exception.what() << "; see plantainpierd --help\n";
        return exitUsage;
    }
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
