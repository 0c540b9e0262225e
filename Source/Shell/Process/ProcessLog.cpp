#include "Shell/Process/ProcessLog.h"

#include <csignal>
#include <cstdlib>
#include <future>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace Plantainpier {

namespace {

    /// Well below the time in seconds that the platform grants a process to shut down.
    constexpr std::chrono::seconds closeTimeout(1);

} // namespace

void openLog(const LogOptions& options)
{
    spdlog::init_thread_pool(options.ringLines, 1);
    spdlog::set_default_logger(
        std::make_shared<spdlog::async_logger>(options.program, std::make_shared<spdlog::sinks::stdout_sink_mt>(),
            spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest));
    spdlog::set_pattern(options.pattern);
    spdlog::set_level(spdlog::level::from_str(options.level));
    spdlog::flush_on(spdlog::level::info);
}

std::uint64_t droppedLogLines()
{
    const std::shared_ptr<spdlog::details::thread_pool> pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void closeLog(int exitCode)
{
    std::promise<void> closed;
    std::future<void> ended = closed.get_future();
    std::thread closer([&closed] {
        spdlog::shutdown();
        closed.set_value();
    });
    if (ended.wait_for(closeTimeout) != std::future_status::ready)
        std::_Exit(exitCode);
    closer.join();
}

void blockSignals(bool alsoReload)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (alsoReload)
        sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace Plantainpier
